package allot

import (
	"time"

	"dotterelgw/core/ids"
)

// GrowDelay is how long a VM waits before it uses a larger allotment. VMs that still have the old membership keep using
// their old allotments for up to the bound of the configuration check.
const GrowDelay = 5 * time.Second

// Divide returns the number of connections for the VM with the given rank among all live VMs. Ranks come from a rendezvous
// hash of the server, so that the remainders of different servers go to different VMs. Each VM gets at least one
// connection; with more VMs than connections, the server's own limit applies and rejects connections before anything runs.
func Divide(connections, vms, rank int) int {
	if vms < 1 || connections < 1 {
		return 0
	}
	share := connections / vms
	if rank < connections%vms {
		share++
	}
	return max(share, 1)
}

// Allotments holds this VM's allotments by server. A decrease takes effect at once, an increase after GrowDelay.
type Allotments struct {
	current map[ids.BackendServerID]int
	pending map[ids.BackendServerID]increase
}

// increase is a larger allotment that takes effect at a later time.
type increase struct {
	to int
	at time.Duration
}

// New returns an empty set of allotments.
func New() *Allotments {
	return &Allotments{current: make(map[ids.BackendServerID]int), pending: make(map[ids.BackendServerID]increase)}
}

// Set updates the computed allotment of a server and returns the allotment in effect. The first allotment of a server takes
// effect at once. A change of the computed value restarts the delay of an increase.
func (allotments *Allotments) Set(now time.Duration, server ids.BackendServerID, connections int) int {
	inEffect, known := allotments.current[server]
	if !known || connections <= inEffect {
		delete(allotments.pending, server)
		allotments.current[server] = connections
		return connections
	}
	planned, ok := allotments.pending[server]
	switch {
	case !ok || planned.to != connections:
		allotments.pending[server] = increase{to: connections, at: now + GrowDelay}
	case now >= planned.at:
		delete(allotments.pending, server)
		allotments.current[server] = connections
	}
	return allotments.current[server]
}
