// Package clock reads a clock that also counts the time for which the VM was suspended.
package clock
