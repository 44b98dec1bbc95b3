// Package group polls the servers of database groups, publishes routing views and determines which writes are durable.
package group
