// Package balance chooses the server for a read by the expected response time.
package balance
