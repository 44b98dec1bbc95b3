// Package balance chooses the server for a read by when each is expected to answer.
package balance
