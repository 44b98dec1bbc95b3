package allot

import (
	"time"

	"dotterelgw/core/ids"
)

// GrowDelay is the time for which a VM waits before it uses a larger allotment. VMs that still know the old
// membership use theirs for up to the bound of the configuration check.
const GrowDelay = 5 * time.Second

// Divide returns the number of connections for the VM at this rank among all live VMs. Ranks are those of a rendezvous
// hash of the server, so that the remainders of different servers fall on different VMs. Each VM gets at least one
// connection; when there are more VMs than connections the server's own limit decides, and refuses before anything runs.
func Divide(connections, vms, rank int) int {
	if vms < 1 || connections < 1 {
		return 0
	}
	part := connections / vms
	if rank < connections%vms {
		part++
	}
	return max(part, 1)
}

// Allotments keeps this VM's allotments; a smaller one is in force at once, a larger one after GrowDelay.
type Allotments struct {
	current map[ids.BackendServerID]int
	grow    map[ids.BackendServerID]growth
}

type growth struct {
	to int
	at time.Duration
}

// New returns no allotments.
func New() *Allotments {
	return &Allotments{current: make(map[ids.BackendServerID]int), grow: make(map[ids.BackendServerID]growth)}
}

// Set takes the newly computed allotment of a server and returns the one in force.
func (allotments *Allotments) Set(now time.Duration, server ids.BackendServerID, connections int) int {
	held, known := allotments.current[server]
	if !known || connections <= held {
		delete(allotments.grow, server)
		allotments.current[server] = connections
		return connections
	}
	waiting, ok := allotments.grow[server]
	switch {
	case !ok || waiting.to != connections:
		allotments.grow[server] = growth{to: connections, at: now + GrowDelay}
	case now >= waiting.at:
		delete(allotments.grow, server)
		allotments.current[server] = connections
	}
	return allotments.current[server]
}
