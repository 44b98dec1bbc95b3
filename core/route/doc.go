// Package route chooses the backend server for a statement.
package route
