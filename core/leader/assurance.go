package leader

import (
	"time"

	"dotterelgw/core/catalog"
	"dotterelgw/core/handover"
)

// Assure records that no order to promote a server of the group was pending at the time. The VM that replaces primaries and the fences
// in the store tell so; other VMs pass it on.
func (tracker *Tracker) Assure(at time.Duration) {
	tracker.assuredAt = max(tracker.assuredAt, at)
	tracker.extendAssurance()
}

// AssuredAt returns the latest time at which no order to promote a server of the group is known to have been pending.
func (tracker *Tracker) AssuredAt() time.Duration { return tracker.assuredAt }

// AssuredUntil returns the time until which writes of the primary may be acknowledged. A VM that replaces the primary after AssuredAt
// orders nothing before then, unless this VM has acknowledged its fence.
func (tracker *Tracker) AssuredUntil() time.Duration { return tracker.assuredAt + LeaseDuration }

// NeedsAssurance reports whether the assurance ends within the time although the primary is confirmed for longer.
func (tracker *Tracker) NeedsAssurance(now, within time.Duration) bool {
	confirmedAt, confirmed := tracker.confirmedAt()
	return confirmed && now < confirmedAt+LeaseDuration && tracker.AssuredUntil() < now+within && tracker.assuredAt < confirmedAt
}

// extendAssurance moves the assurance forward by what the servers have answered.
func (tracker *Tracker) extendAssurance() {
	tracker.assuredAt = max(tracker.assuredAt, tracker.pairReceivedAt(), tracker.allReceivedAt())
}

// pairReceivedAt returns the latest time at which the primary led and a replica received its log, both of which were known at the last
// assurance; 0 if there are no two. Before an order either the primary steps down or all other members but one pause, and while the order
// is pending only a restart ends that. So an order since the last assurance would show at one of the two; a server that has started
// since says nothing.
func (tracker *Tracker) pairReceivedAt() time.Duration {
	primary, ok := tracker.servers[tracker.primaryID]
	if !ok || primary.since > tracker.assuredAt {
		return 0
	}
	var confirmedAt time.Duration
	for id, server := range tracker.servers {
		if id != tracker.primaryID && server.since <= tracker.assuredAt && tracker.takesPart(server) {
			confirmedAt = max(confirmedAt, min(primary.latest.SentAt, server.latest.SentAt))
		}
	}
	return confirmedAt
}

// allReceivedAt returns the time at which all servers took part in replication, if none of them has started so recently that an order from
// before its start may be pending; otherwise 0. An order names a server that is paused until it leads.
func (tracker *Tracker) allReceivedAt() time.Duration {
	var oldest time.Duration
	for _, server := range tracker.servers {
		if !tracker.takesPart(server) || server.latest.SentAt < server.since+handover.FenceDuration {
			return 0
		}
		if oldest == 0 || server.latest.SentAt < oldest {
			oldest = server.latest.SentAt
		}
	}
	return oldest
}

// takesPart reports whether the server is the primary or receives the log, by its last answer.
func (tracker *Tracker) takesPart(server *trackedServer) bool {
	switch {
	case !server.observed, server.latest.Term > tracker.term, server.latest.PausedTerm > tracker.term:
		return false
	case server.latest.Role == catalog.RolePrimary:
		return server.registration.ID == tracker.primaryID
	}
	return true
}

// restartsWith reports whether the observation shows that the server has stepped down or lost a part of its log since the last one. What
// it says from then on does not tell whether an order is pending.
func (server *trackedServer) restartsWith(observation Observation) bool {
	steppedDown := server.latest.Role == catalog.RolePrimary && observation.Role != catalog.RolePrimary
	return server.observed && (steppedDown || observation.Received.Less(server.latest.Received))
}
