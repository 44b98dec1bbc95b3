package leader

import (
	"time"

	"dotterelgw/core/catalog"
	"dotterelgw/core/ids"
	"dotterelgw/core/position"
)

// LeaseDuration is the time for which a confirmed primary counts as the only one. Whoever replaces a primary lets this
// time pass after fencing unless every VM has acknowledged the fence. It covers three rounds of status requests.
const LeaseDuration = 1500 * time.Millisecond

// Tracker follows the servers of one group as one VM sees them. It is not safe for concurrent use.
type Tracker struct {
	members map[ids.BackendServerID]*member
	// revoked is the time up to which observations confirm nothing, as another VM fences the primary.
	revoked time.Duration
	// bound is the term before which no primary is relied on for observations sent before boundUntil; 0 means none.
	bound      ids.Term
	boundUntil time.Duration
	history    History
	leader     ids.BackendServerID
	term       ids.Term
}

// member is what is known of one registered server.
type member struct {
	server   catalog.Server
	observed Observation
	known    bool
}

// NewTracker returns a tracker without servers.
func NewTracker() *Tracker {
	return &Tracker{members: make(map[ids.BackendServerID]*member)}
}

// SetServers replaces the registered servers. What is known of a server that started anew is forgotten.
func (tracker *Tracker) SetServers(servers []catalog.Server) {
	next := make(map[ids.BackendServerID]*member, len(servers))
	for _, server := range servers {
		if held, ok := tracker.members[server.ID]; ok && held.server.Same(server) {
			held.server = server
			next[server.ID] = held
			continue
		}
		next[server.ID] = &member{server: server}
	}
	tracker.members = next
	tracker.elect()
}

// Observe notes the answer of a server to a status request.
func (tracker *Tracker) Observe(id ids.BackendServerID, observation Observation) {
	held, ok := tracker.members[id]
	if !ok || held.known && observation.SentAt < held.observed.SentAt {
		return
	}
	held.observed, held.known = observation, true
	tracker.elect()
	// The primary's observation may count only now that another server confirms it.
	if primary, ok := tracker.members[tracker.leader]; ok {
		tracker.Sample(tracker.leader, primary.observed.SentAt, primary.observed.Received)
	}
}

// Revoke ends the certainty about the primary: only observations sent later than now confirm it again. It answers the
// VM that is about to replace the primary.
func (tracker *Tracker) Revoke(now time.Duration) { tracker.revoked = max(tracker.revoked, now) }

// Bind has the tracker rely on no primary of a term before this one until the time, as another VM replaces the primary.
// Term 0 ends this.
func (tracker *Tracker) Bind(term ids.Term, until time.Duration) {
	tracker.bound, tracker.boundUntil = term, until
}

// elect takes the primary with the highest term as the leader. A primary that crashed may come back under another identifier
// in the same term: the one that answered last is the one that lives.
func (tracker *Tracker) elect() {
	var leader ids.BackendServerID
	var newest Observation
	for id, member := range tracker.members {
		if !member.known || member.observed.Role != catalog.Leader {
			continue
		}
		later := member.observed.Term == newest.Term && member.observed.SentAt > newest.SentAt
		if leader == "" || member.observed.Term > newest.Term || later {
			leader, newest = id, member.observed
		}
	}
	term := newest.Term
	if leader != tracker.leader || term != tracker.term {
		tracker.history.Clear()
	}
	tracker.leader, tracker.term = leader, term
}

// Leader returns the server that acts as primary in the highest term seen.
func (tracker *Tracker) Leader() (server catalog.Server, term ids.Term, ok bool) {
	held, ok := tracker.members[tracker.leader]
	if !ok {
		return catalog.Server{}, 0, false
	}
	return held.server, tracker.term, true
}

// CertainUntil returns the time up to which no other server can have acknowledged a write. The primary itself and one
// more server must have been asked: a replacement fences the primary or all others before it promotes, so one of
// the two would have told.
func (tracker *Tracker) CertainUntil() time.Duration {
	revoked := tracker.revoked
	if tracker.term < tracker.bound {
		revoked = max(revoked, tracker.boundUntil)
	}
	primary, ok := tracker.members[tracker.leader]
	if !ok || primary.observed.SentAt < revoked {
		return 0
	}
	if len(tracker.members) == 1 {
		return primary.observed.SentAt + LeaseDuration
	}
	witness := time.Duration(-1)
	for id, member := range tracker.members {
		if id != tracker.leader && member.known && member.observed.Term <= tracker.term && member.observed.Paused <= tracker.term {
			witness = max(witness, member.observed.SentAt)
		}
		if member.known && member.observed.Term > tracker.term {
			return 0
		}
	}
	confirmed := min(primary.observed.SentAt, witness)
	if witness < 0 || confirmed < revoked {
		return 0
	}
	return confirmed + LeaseDuration
}

// Sample notes that the server had the position at a time not earlier than sentAt.
func (tracker *Tracker) Sample(id ids.BackendServerID, sentAt time.Duration, at position.Position) {
	if id == tracker.leader && at.Term == tracker.term && sentAt <= tracker.CertainUntil() {
		tracker.history.Add(sentAt, at)
	}
}

// Floor returns a position that covers every write acknowledged before the time; false when none is known.
func (tracker *Tracker) Floor(before time.Duration) (position.Position, bool) {
	return tracker.history.Floor(before)
}

// Lag returns how far a server was behind the primary at the time at which reads on it saw the position. It is a lower
// bound, as it counts from the oldest known position that the server lacked.
func (tracker *Tracker) Lag(applied position.Position, at time.Duration) time.Duration {
	missing, ok := tracker.history.Missing(applied)
	if !ok {
		return 0
	}
	return max(at-missing, 0)
}

// Observed returns what was last seen of the server.
func (tracker *Tracker) Observed(id ids.BackendServerID) (Observation, bool) {
	held, ok := tracker.members[id]
	if !ok || !held.known {
		return Observation{}, false
	}
	return held.observed, true
}
