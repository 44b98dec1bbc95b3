// Package history records the outcome of every request of a run and checks the record against the guarantees of the proxy.
package history
