// Package member keeps a VM's view of the fleet's membership and assigns duties to VMs by rendezvous hashing.
package member
