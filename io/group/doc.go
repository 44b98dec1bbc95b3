// Package group polls the servers of database groups, publishes routing views and decides which writes are durable.
package group
