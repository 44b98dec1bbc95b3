package handover

import "time"

const (
	// candidateStep is the time by which a candidate for the duty of replacing primaries comes after the one before it: a call
	// to the store, and the news of a holder reach the others within a few steps.
	candidateStep = 60 * time.Millisecond
	// longestCandidacy bounds the time for which the last candidate waits.
	longestCandidacy = 10 * time.Second
)

// Candidacy returns how long the VM with the rank waits before it takes the duty that has become free. Of many VMs only the first
// write to the store; the next ones do so if those are gone as well.
func Candidacy(rank int) time.Duration {
	return min(time.Duration(rank)*candidateStep, longestCandidacy)
}
