// Package retry holds the closed table of reasons for repeating a request, and the budgets that bound repeats.
package retry
