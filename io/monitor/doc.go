// Package monitor asks backend servers for their state and keeps what each VM knows of the database groups.
package monitor
