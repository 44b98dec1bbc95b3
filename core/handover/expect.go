package handover

import "time"

const (
	// replacementTime is how long the replacement of a lost primary takes from its first failure: until it counts as lost,
	// the agreement of the VMs and the promotion.
	replacementTime = 1600 * time.Millisecond
	// handoverTime is how long a replacement takes from the fence.
	handoverTime = 750 * time.Millisecond
	// overdueTime is what is still expected of a replacement that takes longer than usual.
	overdueTime = 300 * time.Millisecond
)

// ExpectedBack returns the time after which a group is expected to have a primary that takes work, from the time for which
// the primary has been silent and the time since it was fenced. It is 0 if nothing speaks against the primary.
func ExpectedBack(silentFor, sinceFence time.Duration) time.Duration {
	switch {
	case sinceFence < handoverTime:
		return handoverTime - sinceFence
	case silentFor > 0:
		return max(replacementTime-silentFor, overdueTime)
	}
	return 0
}
