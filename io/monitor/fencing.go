package monitor

import (
	"time"

	"dotterelgw/core/handover"
	"dotterelgw/core/ids"
	"dotterelgw/core/position"
	"dotterelgw/io/clock"
)

// Acknowledge records the success of a write at the position and reports whether it may be sent to the caller. While the
// primary is being replaced, or may be without the knowledge of this VM, it waits, at most until the deadline, until it is known whether
// the successor holds the write.
func (group *Group) Acknowledge(deadline time.Time, at position.Position) bool {
	writeState, changed := group.evaluate(at, false)
	if writeState != handover.Pending {
		return writeState == handover.Durable
	}
	group.awaitsDecision(at, 1)
	defer group.awaitsDecision(at, -1)
	for writeState == handover.Pending {
		timer := time.NewTimer(min(time.Until(deadline), undecidedRecheckInterval))
		select {
		case <-changed:
		case <-timer.C:
		}
		timer.Stop()
		writeState, changed = group.evaluate(at, true)
		if !time.Now().Before(deadline) && writeState == handover.Pending {
			writeState = handover.PossiblyLost
		}
	}
	return writeState == handover.Durable
}

// awaitsDecision counts a write that waits until it may be acknowledged.
func (group *Group) awaitsDecision(at position.Position, count int) {
	group.mutex.Lock()
	group.waiting += count
	fenced := group.fencedTerm()
	assuredAge := clock.Now() - group.tracker.AssuredAt()
	group.mutex.Unlock()
	if count > 0 {
		group.monitor.eventLog.LimitedEvent("acknowledgement_waits", "group", group.id, "term", at.Term, "position", at.Log, "fenced_term", fenced,
			"assured_age_ms", assuredAge.Milliseconds())
		group.RequestPoll()
	}
}

// fencedTerm returns the term of the successor while this VM is fenced, otherwise 0. The mutex must be held.
func (group *Group) fencedTerm() ids.Term {
	term, _ := group.fence.MinTerm()
	return term
}

// undecidedRecheckInterval is the longest time between two checks of a write that waits for the end of a replacement.
const undecidedRecheckInterval = 100 * time.Millisecond

// evaluate returns the verdict on the write and a channel that is closed at the next change. A kept write counts as
// acknowledged from now on.
func (group *Group) evaluate(at position.Position, waited bool) (handover.WriteState, <-chan struct{}) {
	group.mutex.Lock()
	defer group.mutex.Unlock()
	writeState := group.fence.Durability(clock.Now(), at, waited, group.tracker.AssuredUntil())
	if writeState == handover.Durable && group.acknowledged.Less(at) {
		group.acknowledged = at
	}
	return writeState, group.changed
}

// Fence keeps this VM, on request of the VM that replaces the primary, from relying on any primary of an earlier term. It returns the position
// of the last write that this VM acknowledged.
func (group *Group) Fence(term ids.Term) position.Position {
	group.mutex.Lock()
	defer group.mutex.Unlock()
	group.fenced = clock.Now()
	if held, _ := group.fence.MinTerm(); held < term {
		group.monitor.eventLog.Event("primary_fenced", "group", group.id, "term", term, "primary", group.leader,
			"acknowledged_term", group.acknowledged.Term, "acknowledged", group.acknowledged.Log)
	}
	group.fence.Renew(group.fenced, term)
	group.tracker.Revoke(group.fenced)
	group.tracker.RequireTerm(group.fence.MinTerm())
	return group.acknowledged
}

// fenceAtStart fences primaries that were being replaced, or had been replaced, at the time at which this VM read the fences.
func (group *Group) fenceAtStart(fence StoredFence, readAt time.Duration) {
	group.knowTerm(fence.NewestTerm)
	if fence.Term > 0 {
		group.Fence(fence.Term)
		return
	}
	group.Assure(readAt)
}

// knowTerm records a term that has had a primary.
func (group *Group) knowTerm(term ids.Term) {
	group.mutex.Lock()
	defer group.mutex.Unlock()
	group.tracker.KnowTerm(term)
}

// Assure records that no order to promote a server of the group was pending at the time.
func (group *Group) Assure(at time.Duration) {
	group.mutex.Lock()
	defer group.mutex.Unlock()
	group.tracker.Assure(at)
	if group.waiting > 0 {
		group.wake()
	}
}

// assuranceMargin is the time before the end of an assurance at which a VM looks for another one.
const assuranceMargin = 200 * time.Millisecond

// NeedsAssurance reports whether requests for the group will soon have to wait only because nothing tells this VM that no order to
// promote a server is pending.
func (group *Group) NeedsAssurance() bool {
	now := clock.Now()
	group.mutex.Lock()
	defer group.mutex.Unlock()
	return group.used.active(now) && group.tracker.NeedsAssurance(now, assuranceMargin)
}

// assuredAt returns the latest time at which no order to promote a server of the group is known to have been pending.
func (group *Group) assuredAt() time.Duration {
	group.mutex.Lock()
	defer group.mutex.Unlock()
	return group.tracker.AssuredAt()
}

// Release ends the fence for the term because no server was promoted.
func (group *Group) Release(term ids.Term) {
	group.resolve("nobody_promoted", term, func() { group.fence.Release(term) })
}

// PrimaryPromoted records that the primary of the term starts with the log up to start.
func (group *Group) PrimaryPromoted(term ids.Term, start position.Position) {
	group.resolve("successor_leads", term, func() { group.fence.PrimaryPromoted(term, start) })
}

// resolve applies the change to the fence and wakes those who wait for its end.
func (group *Group) resolve(outcome string, term ids.Term, change func()) {
	group.mutex.Lock()
	defer group.mutex.Unlock()
	before, _ := group.fence.MinTerm()
	change()
	if after, _ := group.fence.MinTerm(); before != 0 && after == 0 {
		group.monitor.eventLog.Event("fence_ended", "group", group.id, "term", term, "outcome", outcome,
			"held_ms", (clock.Now() - group.fenced).Milliseconds())
	}
	group.tracker.RequireTerm(group.fence.MinTerm())
	group.wake()
}
