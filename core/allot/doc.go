// Package allot divides the connections of a backend server among the VMs.
package allot
