package balance

import "time"

const (
	// initialBackoff is the backoff after the first attempt that a server rejected since it had no free slot.
	initialBackoff = 10 * time.Millisecond
	// maxBackoff is the upper limit of the backoff, which doubles with each attempt.
	maxBackoff = 160 * time.Millisecond
)

// BusyBackoff returns the backoff before a statement is sent again to a server that had no free slot for it. Attempts is the
// number of earlier attempts that were rejected for that reason. Jitter between 0 and 1 spreads the retries of the VMs over the
// second half of the backoff: if many came back at once, most would find no slot again.
func BusyBackoff(attempts int, jitter float64) time.Duration {
	backoff := initialBackoff
	for range attempts {
		backoff = min(2*backoff, maxBackoff)
	}
	return backoff/2 + time.Duration(jitter*float64(backoff)/2)
}
