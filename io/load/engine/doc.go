// Package engine runs an experiment. It sends the scheduled requests, injects the failures of the experiment, records the
// outcome of every request and reads the stored rows after the run, so that the history can be checked.
package engine
