// Package intake admits the connections of callers and holds the budget of memory that they share.
package intake
