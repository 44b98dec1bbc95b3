package leader

import (
	"time"

	"dotterelgw/core/catalog"
	"dotterelgw/core/ids"
	"dotterelgw/core/position"
)

// LeaseDuration is the time for which a confirmed primary is known to be the only one. A VM that replaces a primary waits
// this long after fencing unless every VM has acknowledged the fence. It covers three rounds of status requests.
const LeaseDuration = 1500 * time.Millisecond

// Tracker tracks the servers of one group from the view of one VM. It is not safe for concurrent use.
type Tracker struct {
	servers map[ids.BackendServerID]*trackedServer
	// notBefore is the earliest SentAt of an observation that can confirm a lease. It is raised when another VM fences
	// the primary.
	notBefore time.Duration
	// minTerm is the lowest term whose primary can hold a lease by observations sent before minTermUntil; 0 allows all.
	minTerm      ids.Term
	minTermUntil time.Duration
	history      History
	primaryID    ids.BackendServerID
	term         ids.Term
	// newestTerm is the highest term that is known to have had a primary. It outlasts the servers that told of it.
	newestTerm ids.Term
	// newestStart is the latest start time, in Unix milliseconds, of a server that was registered when a server last told of newestTerm.
	newestStart int64
	// assuredAt is the latest time at which no order to promote a server is known to have been pending.
	assuredAt time.Duration
}

// trackedServer is a registered server with its last observation.
type trackedServer struct {
	registration catalog.Server
	// since is the time from which on the answers of the server show every pause: it was registered by then.
	since time.Duration
	// latest is valid only if observed is set.
	latest   Observation
	observed bool
}

// NewTracker returns a tracker without servers.
func NewTracker() *Tracker {
	return &Tracker{servers: make(map[ids.BackendServerID]*trackedServer)}
}

// SetServers replaces the registered servers, which were read at the time or before. The last observation of a server that has
// restarted is discarded.
func (tracker *Tracker) SetServers(now time.Duration, servers []catalog.Server) {
	next := make(map[ids.BackendServerID]*trackedServer, len(servers))
	for _, registration := range servers {
		if server, ok := tracker.servers[registration.ID]; ok && server.registration.SameProcess(registration) {
			server.registration = registration
			next[registration.ID] = server
			continue
		}
		next[registration.ID] = &trackedServer{registration: registration, since: now}
	}
	tracker.servers = next
	tracker.forgetTerm()
	tracker.selectPrimary()
}

// Observe records a server's response to a status request. Responses that are older than the last one are ignored.
func (tracker *Tracker) Observe(id ids.BackendServerID, observation Observation) {
	server, ok := tracker.servers[id]
	if !ok || server.observed && observation.SentAt < server.latest.SentAt {
		return
	}
	if server.restartsWith(observation) {
		server.since = observation.SentAt
	}
	server.latest, server.observed = observation, true
	tracker.KnowTerm(observation.Term)
	tracker.selectPrimary()
	tracker.extendAssurance()
	// The lease may cover the primary's last observation only now that another server has confirmed it.
	if primary, ok := tracker.servers[tracker.primaryID]; ok {
		tracker.Sample(tracker.primaryID, primary.latest.SentAt, primary.latest.Received)
	}
}

// Revoke ends the primary's lease. Only observations sent since now can confirm a new one. It is called when another VM
// is about to replace the primary.
func (tracker *Tracker) Revoke(now time.Duration) { tracker.notBefore = max(tracker.notBefore, now) }

// RequireTerm denies a lease to any primary of a term lower than this one, by observations sent before until, while another VM
// replaces the primary. Term 0 removes the restriction.
func (tracker *Tracker) RequireTerm(term ids.Term, until time.Duration) {
	tracker.minTerm, tracker.minTermUntil = term, until
}

// selectPrimary selects the primary with the highest term. A primary that crashed may restart under another identifier
// in the same term, so of two with the same term the one that was observed last is selected.
func (tracker *Tracker) selectPrimary() {
	var primaryID ids.BackendServerID
	var newest Observation
	for id, server := range tracker.servers {
		if !server.observed || server.latest.Role != catalog.RolePrimary {
			continue
		}
		later := server.latest.Term == newest.Term && server.latest.SentAt > newest.SentAt
		if primaryID == "" || server.latest.Term > newest.Term || later {
			primaryID, newest = id, server.latest
		}
	}
	term := newest.Term
	if primaryID != tracker.primaryID || term != tracker.term {
		tracker.history.Clear()
	}
	tracker.primaryID, tracker.term = primaryID, term
}

// Primary returns the server that acts as primary in the highest term observed.
func (tracker *Tracker) Primary() (registration catalog.Server, term ids.Term, ok bool) {
	server, ok := tracker.servers[tracker.primaryID]
	if !ok {
		return catalog.Server{}, 0, false
	}
	return server.registration, tracker.term, true
}

// LeaseExpiry returns the end of the primary's lease: the time up to which no other server can have acknowledged a write.
// It is 0 if there is no lease. A lease requires observations of the primary and of one other server. Since a replacement
// fences either the primary or all other servers before it promotes one, at least one of the two would report it, unless it has
// restarted since. Therefore the lease also requires that no order was pending.
func (tracker *Tracker) LeaseExpiry() time.Duration {
	confirmedAt, confirmed := tracker.confirmedAt()
	if !confirmed {
		return 0
	}
	return min(confirmedAt, tracker.assuredAt) + LeaseDuration
}

// KnowTerm records a term that has had a primary. A primary of an earlier term has been replaced and is denied a lease.
func (tracker *Tracker) KnowTerm(term ids.Term) {
	if term < tracker.newestTerm || term == 0 {
		return
	}
	tracker.newestTerm = term
	tracker.noteStarts()
}

// noteStarts records the latest start time of the registered servers.
func (tracker *Tracker) noteStarts() {
	for _, server := range tracker.servers {
		tracker.newestStart = max(tracker.newestStart, server.registration.StartedMS)
	}
}

// forgetTerm forgets the newest term once all servers have started after those that had a part in it. Databases that start empty begin with
// their first term again.
func (tracker *Tracker) forgetTerm() {
	if tracker.newestStart == 0 {
		// The term was known before any server was.
		tracker.noteStarts()
		return
	}
	for _, server := range tracker.servers {
		if server.registration.StartedMS <= tracker.newestStart {
			return
		}
	}
	if len(tracker.servers) > 0 {
		tracker.newestTerm, tracker.newestStart = 0, 0
	}
}

// confirmedAt returns the time at which the primary led and another server received its log, or false if there is none.
func (tracker *Tracker) confirmedAt() (time.Duration, bool) {
	notBefore := tracker.notBefore
	if tracker.term < tracker.minTerm {
		notBefore = max(notBefore, tracker.minTermUntil)
	}
	primary, ok := tracker.servers[tracker.primaryID]
	if !ok || primary.latest.SentAt < notBefore || tracker.term < tracker.newestTerm {
		return 0, false
	}
	if len(tracker.servers) == 1 {
		return primary.latest.SentAt, true
	}
	replicaSentAt := time.Duration(-1)
	for id, server := range tracker.servers {
		if id != tracker.primaryID && server.observed && server.latest.Term <= tracker.term && server.latest.PausedTerm <= tracker.term {
			replicaSentAt = max(replicaSentAt, server.latest.SentAt)
		}
	}
	confirmedAt := min(primary.latest.SentAt, replicaSentAt)
	return confirmedAt, replicaSentAt >= 0 && confirmedAt >= notBefore
}

// Sample records that the server had the position at a time not earlier than sentAt. It has no effect unless the server is
// the primary and its lease covers sentAt.
func (tracker *Tracker) Sample(id ids.BackendServerID, sentAt time.Duration, at position.Position) {
	if id == tracker.primaryID && at.Term == tracker.term && sentAt <= tracker.LeaseExpiry() {
		tracker.history.Add(sentAt, at)
	}
}

// MinReadPosition returns the minimum position that covers every write acknowledged before the time, or false if none is known.
func (tracker *Tracker) MinReadPosition(before time.Duration) (position.Position, bool) {
	return tracker.history.MinPosition(before)
}

// Lag returns how far a server that had applied its log up to the position was behind the primary at the given time. It is
// a lower bound, because it is measured from the oldest sample that the server lacked.
func (tracker *Tracker) Lag(applied position.Position, at time.Duration) time.Duration {
	missing, ok := tracker.history.FirstMissing(applied)
	if !ok {
		return 0
	}
	return max(at-missing, 0)
}

// Observed returns the last observation of the server, or false if there is none.
func (tracker *Tracker) Observed(id ids.BackendServerID) (Observation, bool) {
	server, ok := tracker.servers[id]
	if !ok || !server.observed {
		return Observation{}, false
	}
	return server.latest, true
}
