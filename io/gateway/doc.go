// Package gateway assembles one proxy process from its parts and runs it.
package gateway
