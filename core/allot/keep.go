package allot

import "time"

// keepTime is how long an idle connection is kept where there are more VMs than connections. Of the statements that come
// meanwhile some are of the same organisation and need none of the 12 ms of a new one.
const keepTime = 250 * time.Millisecond

// Keep returns for how long a VM keeps an idle connection to a server, of which the number is usable by all VMs together; 0
// means for ever. Where each VM has a part of its own it may lie idle. Else idle connections of some VMs would keep the
// others out, and after a loss of power, with which they stay open at the server, the next processes.
func Keep(usable, vms int) time.Duration {
	if usable >= vms {
		return 0
	}
	return keepTime
}
