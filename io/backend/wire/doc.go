// Package wire reads and writes messages of the PostgreSQL v3 protocol as frames, which can be forwarded without decoding.
package wire
