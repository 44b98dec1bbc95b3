package handover

import "time"

const (
	// candidateInterval is the delay between two candidates for the lease that allows a VM to replace primaries. A write to
	// the store and the notification of the other VMs complete within a few intervals.
	candidateInterval = 60 * time.Millisecond
	// maxCandidateDelay bounds the delay of the last candidate.
	maxCandidateDelay = 10 * time.Second
	// unsentLimit is the time for which a holder of the lease may fail to connect to the promotion service before it leaves the lease to
	// another VM, which may reach it. It covers two timeouts of a connection (400 ms).
	unsentLimit = time.Second
	// retakeDelay is the additional delay of a VM that has left the lease to another one, for retakePeriod. If no other VM takes it, the
	// service is away for all of them, and this VM may as well try again.
	retakeDelay  = time.Second
	retakePeriod = 10 * time.Second
)

// LeavesDuty reports whether a VM that has failed to connect to the promotion service for some time leaves the lease to another VM. A VM
// that did so less than retakePeriod ago keeps it, so that the lease does not move all the time while the service is away for all.
func LeavesDuty(unsentFor, sinceHandOver time.Duration, handedOver bool) bool {
	return unsentFor >= unsentLimit && (!handedOver || sinceHandOver >= retakePeriod)
}

// RetakeDelay returns the additional delay of a VM that left the lease to another one.
func RetakeDelay(sinceHandOver time.Duration, handedOver bool) time.Duration {
	if !handedOver || sinceHandOver >= retakePeriod {
		return 0
	}
	return retakeDelay
}

// CandidateDelay returns how long the VM with the rank waits before it tries to take a lease that has become free. The delays
// keep many VMs from writing to the store at once: later ranks write only if the earlier ones have failed too.
func CandidateDelay(rank int) time.Duration {
	return min(time.Duration(rank)*candidateInterval, maxCandidateDelay)
}
