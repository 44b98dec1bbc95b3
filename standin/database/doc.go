// Package database is a stand-in for one PostgreSQL server of a database group. It speaks the PostgreSQL v3 protocol
// over SQLite files and has asynchronous replication, terms, log positions and fault-injection switches.
//
// Replication is statement-based, so statements must be deterministic: random() and CURRENT_TIMESTAMP give different
// values on each server.
package database
