// Package trace finds what the logs of several VMs say of one request.
package trace
