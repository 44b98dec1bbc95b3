// Package engine runs an experiment: it sends the scheduled requests, breaks what the experiment says, records what
// became of every request and reads the rows back for the checker.
package engine
