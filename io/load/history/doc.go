// Package history holds what became of each request of a run and checks it against the guarantees of the proxy.
package history
