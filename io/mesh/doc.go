// Package mesh carries authenticated datagrams between the VMs.
package mesh
