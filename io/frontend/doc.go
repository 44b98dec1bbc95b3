// Package frontend is the caller side of the proxy: listener, TLS, start-up, SCRAM-SHA-256 and cancel requests.
package frontend
