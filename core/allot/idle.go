package allot

import "time"

// idleTimeout is how long an idle connection is kept when there are more VMs than connections. Within this time another
// statement of the same organisation can reuse it, which saves the 12 ms of opening a new one.
const idleTimeout = 250 * time.Millisecond

// IdleTimeout returns how long a VM keeps an idle connection to a server, given the number of connections usable by all VMs
// together. 0 means without limit, which applies when there is at least one connection for each VM. Otherwise idle
// connections of some VMs would block the others. They would also block the new processes after a power loss, since the
// server still holds the connections of the old ones.
func IdleTimeout(usable, vms int) time.Duration {
	if usable >= vms {
		return 0
	}
	return idleTimeout
}
