package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the boot of the VM, including the time for which the VM was suspended, so that leases also expire
// during a suspension.
func Now() time.Duration {
	var at unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &at); err != nil {
		// The call fails only if the kernel lacks the clock; every supported kernel has it.
		panic("reading the boot clock: " + err.Error())
	}
	return time.Duration(at.Nano())
}
