// Package member keeps the membership view of a VM and assigns duties by rendezvous hashing.
package member
