package home

import (
	"time"

	"dotterelgw/core/ids"
)

const (
	// firstAvoidance is how long a home is avoided after it was lost; it doubles with each further loss.
	firstAvoidance = 500 * time.Millisecond
	// maxAvoidance bounds the time for which a lost home is avoided.
	maxAvoidance = 8 * time.Second
	// maxDoublings bounds the shift that doubles the avoidance, so that it can't overflow.
	maxDoublings = 8
	// leavingAvoidance is how long a home is avoided after it announced that it stops.
	leavingAvoidance = 3 * time.Second
	// serverAvoidance is how long a home is avoided for a server that it can't reach or doesn't know.
	serverAvoidance = time.Second

	// slowOverhead is the time added to a statement by the way through a home above which the home can count as slow.
	slowOverhead = 60 * time.Millisecond
	// slowFactor is how many times the overhead of all homes that of a slow one is. Where all are slow, this VM or all VMs are.
	slowFactor = 3
	// slowAvoidance is how long the other home of a server is preferred to a slow one.
	slowAvoidance = 2 * time.Second
	// overheadWeight is the weight of a new sample in the average overhead of a home, fleetWeight that in the average of all homes.
	overheadWeight, fleetWeight = 0.2, 0.02
)

// Health is what this VM knows of the VMs that it uses as homes. It is not safe for concurrent use.
type Health struct {
	self ids.VMID
	vms  map[ids.VMID]*vmHealth
	// overhead is the average overhead over all homes.
	overhead time.Duration
}

// vmHealth is what this VM knows of one home.
type vmHealth struct {
	// losses counts the losses since the last answer.
	losses     int
	avoidUntil time.Duration
	// serverUntil is the time until which the home is avoided for single servers.
	serverUntil map[ids.BackendServerID]time.Duration
	// overhead is the average overhead, slowUntil the time until which the home counts as slow.
	overhead, slowUntil time.Duration
}

// NewHealth returns a state in which every home is relied upon.
func NewHealth(self ids.VMID) *Health { return &Health{self: self, vms: make(map[ids.VMID]*vmHealth)} }

// of returns what is known of the VM, to be changed.
func (health *Health) of(vm ids.VMID) *vmHealth {
	known, ok := health.vms[vm]
	if !ok {
		known = &vmHealth{serverUntil: make(map[ids.BackendServerID]time.Duration)}
		health.vms[vm] = known
	}
	return known
}

// Choose returns the home to use for the server of those that are ranked: the first one that is relied upon and not slow, or else the
// first one that is relied upon. It returns false if there is none, and the VM itself if that is the one to use.
func (health *Health) Choose(now time.Duration, ranked []ids.VMID, server ids.BackendServerID) (ids.VMID, bool) {
	var slow ids.VMID
	for _, vm := range ranked {
		known, ok := health.vms[vm]
		if vm == health.self || !ok {
			return vm, true
		}
		if now < known.avoidUntil || now < known.serverUntil[server] {
			continue
		}
		if now >= known.slowUntil {
			return vm, true
		}
		if slow == "" {
			slow = vm
		}
	}
	return slow, slow != ""
}

// Lost records that the home could not be reached or stopped answering, and returns for how long it is avoided.
func (health *Health) Lost(now time.Duration, vm ids.VMID) time.Duration {
	known := health.of(vm)
	avoidance := min(firstAvoidance<<min(known.losses, maxDoublings), maxAvoidance)
	known.losses++
	known.avoidUntil = max(known.avoidUntil, now+avoidance)
	return avoidance
}

// WasLost reports whether the home has been lost and has not answered since.
func (health *Health) WasLost(vm ids.VMID) bool {
	known, ok := health.vms[vm]
	return ok && known.losses > 0
}

// Leaving records that the home announced that it stops.
func (health *Health) Leaving(now time.Duration, vm ids.VMID) {
	known := health.of(vm)
	known.avoidUntil = max(known.avoidUntil, now+leavingAvoidance)
}

// Unreachable records that the home can't reach the server, or doesn't know it.
func (health *Health) Unreachable(now time.Duration, vm ids.VMID, server ids.BackendServerID) {
	known := health.of(vm)
	for other, until := range known.serverUntil {
		if now >= until {
			delete(known.serverUntil, other)
		}
	}
	known.serverUntil[server] = now + serverAvoidance
}

// Answered records an answer through the home and the time that the way through the home added to it. It returns true if the home
// counts as slow from now on.
func (health *Health) Answered(now time.Duration, vm ids.VMID, overhead time.Duration) bool {
	known := health.of(vm)
	known.losses = 0
	known.overhead += time.Duration(overheadWeight * float64(overhead-known.overhead))
	health.overhead += time.Duration(fleetWeight * float64(overhead-health.overhead))
	if known.overhead < max(slowOverhead, slowFactor*health.overhead) || now < known.slowUntil {
		return false
	}
	// The average starts anew, so that the home is judged by what it does when it is used again.
	known.slowUntil, known.overhead = now+slowAvoidance, 0
	return true
}

// Keep forgets the VMs that are not registered any more.
func (health *Health) Keep(registered map[ids.VMID]bool) {
	for vm := range health.vms {
		if !registered[vm] {
			delete(health.vms, vm)
		}
	}
}
