package observer

import (
	"time"

	"dotterelgw/core/member"
)

const (
	// Interval is the time between two status requests of an observer to a server.
	Interval = 300 * time.Millisecond
	// unusedInterval is the time between two status requests of the VM that performs failovers to a server of a group that it
	// has no requests for.
	unusedInterval = time.Second
	// closedInterval is the time between two status requests to a server that gets no statements of callers, since its availability zone is
	// evacuated. A replacement of the primary still needs its log.
	closedInterval = time.Second
	// recheckInterval is the time after which a VM that sends no status requests checks whether it needs to.
	recheckInterval = time.Second
	// StaleAfter is the age of the newest observation at which a VM queries the server itself. An observation is passed on
	// by two VMs and is up to 0.95 s old when the next one arrives.
	StaleAfter = 1100 * time.Millisecond
	// retryInterval is the least time between two status requests to a server that did not respond.
	retryInterval = 100 * time.Millisecond
	// staleMargin is added to the time at which an observation becomes stale to get the time of the next check.
	staleMargin = 20 * time.Millisecond
	// spacing is the minimum time, over all VMs, between two status requests to a server by VMs that do not observe it. Each
	// request takes up a connection, and a server may have fewer connections than there are VMs.
	spacing = 10 * time.Millisecond
	// recoverySpacing replaces spacing once an observer has reached a server that this VM could not reach.
	recoverySpacing = 2 * time.Millisecond
)

// PollState is the input to the decision when a VM sends the next status request to a server.
type PollState struct {
	// VMs is the number of VMs in the fleet.
	VMs int
	// IsObserver reports whether other VMs rely on this one for the state of the group.
	IsObserver bool
	// Used reports whether this VM has requests for the group.
	Used bool
	// OnDuty reports whether this VM performs failovers.
	OnDuty bool
	// Closed reports whether the server gets no statements of callers and is not the primary, whose position reads elsewhere need.
	Closed bool
	// Silent reports whether the server failed to respond to this VM.
	Silent bool
	// Age is the age of the newest observation of the server by any VM.
	Age time.Duration
	// ReachedByOthers reports whether another VM has reached the server since it failed to respond to this VM.
	ReachedByOthers bool
	// SinceRequest is the time since this VM last sent the server a status request.
	SinceRequest time.Duration
}

// UntilNextRequest returns the time until the next status request, 0 for now, and true. If this VM needs to send none, it
// returns the time until the next check and false.
func (pollState PollState) UntilNextRequest() (wait time.Duration, ask bool) {
	interval, ask := pollState.interval()
	if !ask {
		return recheckInterval, false
	}
	wait = max(interval-pollState.SinceRequest, 0)
	if pollState.ignoresOthers() || pollState.Silent {
		return wait, true
	}
	return max(wait, pollState.untilStale()), true
}

// untilStale returns the time until the newest observation is stale, including the margin.
func (pollState PollState) untilStale() time.Duration {
	if pollState.Age >= StaleAfter {
		return 0
	}
	return StaleAfter - pollState.Age + staleMargin
}

// ignoresOthers reports whether this VM queries the server even if other VMs have observed it recently.
func (pollState PollState) ignoresOthers() bool { return pollState.IsObserver || pollState.OnDuty }

// interval returns the minimum time between two status requests, or false if none are needed.
func (pollState PollState) interval() (time.Duration, bool) {
	fleet := time.Duration(pollState.VMs)
	switch {
	case pollState.Closed:
		return closedInterval, pollState.ignoresOthers()
	case pollState.Silent && (pollState.ignoresOthers() || pollState.Used && pollState.VMs <= member.MaxVMsWithoutCollectors):
		return retryInterval, true
	case pollState.IsObserver:
		return Interval, true
	case pollState.OnDuty:
		return unusedInterval, true
	case pollState.Used && pollState.Silent && pollState.ReachedByOthers:
		return max(retryInterval, fleet*recoverySpacing), true
	case pollState.Used:
		return max(retryInterval, fleet*spacing), true
	}
	return 0, false
}
