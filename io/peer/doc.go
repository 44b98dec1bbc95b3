// Package peer connects the VMs of a fleet over gRPC with mutual TLS.
package peer
