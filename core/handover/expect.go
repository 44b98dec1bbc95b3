package handover

import "time"

const (
	// replacementTime is how long the replacement of a lost primary takes from its first failure: until it counts as lost,
	// the agreement of the VMs and the promotion.
	replacementTime = 1600 * time.Millisecond
	// handoverTime is how long a replacement takes from the fence.
	handoverTime = 750 * time.Millisecond
	// overdueTime is the least that is still expected of a replacement that takes longer than usual.
	overdueTime = 300 * time.Millisecond
	// overduePart is the part of the time by which a replacement is overdue that it is expected to take still.
	overduePart = 2
	// unreachableAfter is the age of the newest answer of the key-value service from which on nobody is expected to have the duty
	// of replacing primaries: its lease lasts 1.5 s, and answers are up to 2.2 s old while all is well.
	unreachableAfter = 3500 * time.Millisecond
	// unreachableTime is what is expected of a replacement that nobody can order: the return of the service, and the replacement.
	unreachableTime = 3 * time.Second
)

// Signs is what a VM knows of a group whose primary may be about to be replaced.
type Signs struct {
	// SilentFor is the time for which the primary has been silent; 0 while it answers.
	SilentFor time.Duration
	// SinceFence is the time since it was fenced.
	SinceFence time.Duration
	// ServiceAge is the time since the key-value service last answered this VM or one that passes on its records.
	ServiceAge time.Duration
}

// ExpectedBack returns the time after which the group is expected to have a primary that takes work. It is 0 if nothing speaks
// against the primary.
func ExpectedBack(signs Signs) time.Duration {
	switch overdue := signs.SilentFor - replacementTime; {
	case signs.SinceFence < handoverTime:
		return handoverTime - signs.SinceFence
	case signs.SilentFor == 0:
		return 0
	case signs.ServiceAge > unreachableAfter:
		return unreachableTime
	case overdue > 0:
		return max(overdue/overduePart, overdueTime)
	default:
		return max(-overdue, overdueTime)
	}
}
