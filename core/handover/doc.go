// Package handover decides when to replace a primary and by which server. It serves groups with semi-synchronous
// replication, whose primary acknowledges a write once a replica has received it.
package handover
