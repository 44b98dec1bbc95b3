package membership

import "time"

// LossTimeout is the time after which unheard members count as lost for good, so that a group does not stay without a primary for
// ever. Databases that crash are back within about 10 s.
const LossTimeout = 30 * time.Second

// SilenceTimeout is the time after which a member that neither answers nor is registered counts as lost for good. Cuts and crashes that end
// last 12 s at the most. It is shorter than LossTimeout, as the rest of the group has all writes by then.
const SilenceTimeout = 15 * time.Second

// Wait measures for how long a promotion has waited for unheard members. The zero value does not wait.
type Wait struct {
	since time.Duration
}

// Update records the outcome of an attempt to promote. waits is set if it failed because acknowledged writes may be missing. Time in
// which the registrations are not known does not count, as members that are back can't be seen.
func (wait *Wait) Update(now time.Duration, waits, registrationsKnown bool) {
	switch {
	case !registrationsKnown, !waits:
		wait.since = 0
	case wait.since == 0:
		wait.since = now
	}
}

// For returns how long the promotion has waited, 0 if it does not wait.
func (wait *Wait) For(now time.Duration) time.Duration {
	if wait.since == 0 {
		return 0
	}
	return now - wait.since
}

// IsOverdue reports whether the unheard members count as lost.
func (wait *Wait) IsOverdue(now time.Duration) bool { return wait.For(now) >= LossTimeout }
