// Package fleet starts the platform stand-in, database stand-ins and proxies as separate processes on this machine, for
// the demo, for tests against real processes and for exercises.
package fleet
