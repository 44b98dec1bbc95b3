// Package gateway assembles the components of a proxy process and runs them.
package gateway
