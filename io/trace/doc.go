// Package trace collects the log lines about one request from the logs of several VMs.
package trace
