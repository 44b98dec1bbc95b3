// Package wire reads and writes PostgreSQL v3 messages as frames, which can be forwarded without decoding.
package wire
