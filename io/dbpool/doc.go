// Package dbpool keeps the connections to backend servers, which are few and belong to one organisation each.
package dbpool
