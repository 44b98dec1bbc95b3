// Package dbpool pools the connections to backend servers. Connections are scarce, and each belongs to one organisation.
package dbpool
