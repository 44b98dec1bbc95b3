package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the VM's boot, suspension included, so that a lease also runs out while the VM sleeps.
func Now() time.Duration {
	var at unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &at); err != nil {
		// The call fails only for a clock that the kernel does not have, which no supported kernel lacks.
		panic("reading the boot clock: " + err.Error())
	}
	return time.Duration(at.Nano())
}
