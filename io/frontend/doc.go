// Package frontend accepts caller connections. It handles TLS, start-up, SCRAM-SHA-256 authentication and cancel requests,
// and opens a session for each authenticated caller.
package frontend
