package handover

import "time"

const (
	// candidateInterval is the delay between two candidates for the lease that allows a VM to replace primaries. A write to
	// the store and the notification of the other VMs complete within a few intervals.
	candidateInterval = 60 * time.Millisecond
	// maxCandidateDelay bounds the delay of the last candidate.
	maxCandidateDelay = 10 * time.Second
)

// CandidateDelay returns how long the VM with the rank waits before it tries to take a lease that has become free. The delays
// keep many VMs from writing to the store at once: later ranks write only if the earlier ones have failed too.
func CandidateDelay(rank int) time.Duration {
	return min(time.Duration(rank)*candidateInterval, maxCandidateDelay)
}
