// Package observe holds the log and the metrics of a process.
package observe
