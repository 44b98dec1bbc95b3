// Package relay decides which VMs pass on the records of the key-value service, and keeps what they pass on.
package relay
