// Package backend holds the connections to backend servers and the pools that share them among organisations.
package backend
