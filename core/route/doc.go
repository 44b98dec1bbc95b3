// Package route chooses the backend server that runs a statement.
package route
