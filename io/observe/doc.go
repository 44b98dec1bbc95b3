// Package observe provides the logs and the metrics endpoint of a process.
package observe
