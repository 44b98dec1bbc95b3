// Package failover detects the loss of a group's primary, runs the promotion of its replacement and decides which writes
// are durable. It serves groups whose writes are acknowledged by a majority of their servers.
package failover
