// Package database is a stand-in for one PostgreSQL server of a database group: the PostgreSQL v3 protocol over
// SQLite files, with asynchronous replication, terms, log positions and fault-injection switches.
//
// The log is replicated by statement, so statements must be deterministic: random() and CURRENT_TIMESTAMP give
// different values on each server.
package database
