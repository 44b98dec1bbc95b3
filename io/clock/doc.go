// Package clock provides a monotonic clock that includes the time for which the VM was suspended.
package clock
