// Package failover decides when a group's primary is lost, which server replaces it and which writes are durable.
package failover
