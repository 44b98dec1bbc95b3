// Package monitor polls the state of backend servers and keeps what each VM knows of the database groups.
package monitor
