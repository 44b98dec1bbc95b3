package monitor

import "time"

// demand remembers for a while that something was asked for.
type demand struct {
	memory time.Duration
	// at is the time of the last time; 0 for never.
	at time.Duration
}

// note notes that it is asked for now, and states whether it was not for a while.
func (demand *demand) note(now time.Duration) (first bool) {
	first = !demand.recent(now)
	demand.at = now
	return first
}

// recent states whether it was asked for lately.
func (demand *demand) recent(now time.Duration) bool {
	return demand.at > 0 && now-demand.at <= demand.memory
}
