// Package home chooses the VMs that hold the connections to a backend server for all VMs, and decides which of them this VM relies on.
package home
