// Package observer decides which VMs ask the backend servers for their state and from whom the others learn it.
package observer
