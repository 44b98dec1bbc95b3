// Package peer connects the processes of a fleet over gRPC with mutual TLS.
package peer
