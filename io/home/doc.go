// Package home hands statements to the VMs that hold the connections to a backend server, and runs the statements of other VMs on the
// connections that this VM holds.
package home
