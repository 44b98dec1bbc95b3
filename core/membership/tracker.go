package membership

import (
	"maps"
	"slices"
	"time"

	"dotterelgw/core/ids"
	"dotterelgw/core/position"
)

// Server is what is known of a registered server, or of a member that is not registered and was asked at its address.
type Server struct {
	Member
	// Unlisted is set if the server is not registered. That alone says nothing of its process, which may still receive the log.
	Unlisted bool
	// Ended is set if nothing of the process is left at its address, EndedAt is a time at which that was so.
	Ended   bool
	EndedAt time.Duration
	// Renewed is set if the registration lapses unless the server renews it.
	Renewed bool
	// Observed is set if the server has answered; the fields below are of its last answer.
	Observed bool
	// Silent is set if the server does not answer now.
	Silent bool
	// Primary is set if the server acts as primary.
	Primary bool
	// Term is the highest term that the server knows.
	Term ids.Term
	// Received is the end of the server's log.
	Received position.Position
	// ObservedAt is the time at which the request for the answer was sent.
	ObservedAt time.Duration
}

// Tracker keeps the record of one group up to date. It is not safe for concurrent use.
type Tracker struct {
	record Record
	// absences holds the members that do not answer.
	absences map[Member]*absence
	// unknown is the state of the members that an incomplete record lacks.
	unknown absence
	// term is the highest term that any server has known.
	term ids.Term
	// departures holds the members that left the record and were not yet taken.
	departures []Departure
}

// Departure tells why a member left the record.
type Departure struct {
	Member
	// AbsentFor is how long the member had been absent.
	AbsentFor time.Duration
	// Required is the position that another replica had reached, so that the log of the member was not needed.
	Required position.Position
}

// absence is the state of a member that does not answer or is not known.
type absence struct {
	// since is the time since which the member is absent. It counts anew once the process is known to have ended.
	since time.Duration
	// unlistedSince is the time since which the member neither answers nor is registered; 0 if it is registered.
	unlistedSince time.Duration
	// mayHelp is set while the process of the member may still receive the log, and so help to acknowledge writes.
	mayHelp bool
	// required is the end of the primary's log at requiredAt, after since. It covers every write that the absent member has helped to
	// acknowledge. It is valid if known is set.
	required   position.Position
	requiredAt time.Duration
	known      bool
	// covered is set if another replica has had the required log. The log of the absent member is then not needed.
	covered bool
}

// NewTracker returns a tracker that starts with the record.
func NewTracker(record Record) *Tracker {
	return &Tracker{record: record, absences: make(map[Member]*absence)}
}

// Record returns the current record.
func (tracker *Tracker) Record() Record { return tracker.record }

// Add adds the members of a record that was stored, by this VM or another one. It completes the record, as whoever stored it knew all
// members.
func (tracker *Tracker) Add(stored Record) {
	tracker.record = tracker.record.Union(stored)
	tracker.record.Incomplete = false
}

// MarkIncomplete states that no record of the members could be read at the time, so that the group may have members that are not known. For how
// long members have been absent counts anew, as nobody has looked since the record was last kept.
func (tracker *Tracker) MarkIncomplete(now time.Duration) {
	tracker.record.Incomplete = true
	clear(tracker.absences)
	tracker.unknown = absence{since: now}
}

// Update brings the record up to date with the servers and returns it. A server joins when it first answers, or when it is found to renew
// its registration, since the primary may reach a server that this VM can't. A member whose process has ended leaves once the primary and
// one more member have every write that it may have helped to acknowledge. That its registration is gone doesn't suffice: the process
// may be cut off from the store only. By the same rule an incomplete record becomes complete: members that are not known are not needed
// then.
func (tracker *Tracker) Update(now time.Duration, servers []Server) Record {
	known := make(map[Member]Server, len(servers))
	for _, server := range servers {
		known[server.Member] = server
		if !server.Unlisted && (server.Observed || server.Renewed) {
			tracker.record = tracker.record.with(server.Member)
		}
	}
	tracker.raiseTerm(servers)
	primary := tracker.newestPrimary(servers)
	if tracker.record.Incomplete && primary != nil {
		tracker.unknown.update(*primary, servers)
		tracker.record.Incomplete = !tracker.unknown.covered
	}
	for _, member := range tracker.record.Members {
		server, isKnown := known[member]
		if isKnown && !server.Silent && !server.Ended {
			delete(tracker.absences, member)
			continue
		}
		isListed := isKnown && !server.Unlisted
		tracker.markAbsent(now, member, isListed)
		if !isListed {
			tracker.markEnded(now, member, server, servers, primary != nil)
		}
		if primary != nil {
			tracker.absences[member].update(*primary, servers)
		}
	}
	tracker.record = tracker.record.without(func(member Member) bool {
		absence, absent := tracker.absences[member]
		leaves := absent && !absence.mayHelp && absence.covered
		if leaves {
			tracker.departures = append(tracker.departures, Departure{Member: member, AbsentFor: now - absence.since, Required: absence.required})
		}
		return leaves
	})
	maps.DeleteFunc(tracker.absences, func(member Member, _ *absence) bool { return !tracker.record.Contains(member) })
	return tracker.record
}

// TakeDepartures returns the members that left the record since the last call.
func (tracker *Tracker) TakeDepartures() []Departure {
	departures := tracker.departures
	tracker.departures = nil
	return departures
}

// isSucceeded reports whether one of the registered servers is a later process under the identifier of the member, or answers at its
// address.
func (member Member) isSucceeded(servers []Server) bool {
	return slices.ContainsFunc(servers, func(server Server) bool {
		isSamePlace := server.ID == member.ID || server.Address == member.Address && server.Observed
		return !server.Unlisted && isSamePlace && server.StartedMS > member.StartedMS
	})
}

// markAbsent records that the member does not answer. It may still receive writes from a primary that it reaches.
func (tracker *Tracker) markAbsent(now time.Duration, member Member, isListed bool) {
	current, known := tracker.absences[member]
	if !known {
		current = &absence{since: now, mayHelp: true}
		tracker.absences[member] = current
	}
	switch {
	case isListed:
		current.unlistedSince, current.mayHelp = 0, true
	case current.unlistedSince == 0:
		current.unlistedSince = now
	}
}

// markEnded records whether the process of an absent member that is not registered has ended, or counts as lost. What it may have acknowledged
// until then is compared anew, unless that was done with a later answer of the primary, or there is no primary to compare with.
func (tracker *Tracker) markEnded(now time.Duration, member Member, server Server, servers []Server, primaryAnswers bool) {
	current, endedAt := tracker.absences[member], now
	if server.Ended {
		endedAt = server.EndedAt
	}
	isLost := now-current.unlistedSince >= SilenceTimeout
	hasEnded := server.Ended || isLost || member.isSucceeded(servers)
	if current.mayHelp && hasEnded && primaryAnswers && current.requiredAt <= endedAt {
		current.since = endedAt
		current.forget()
	}
	current.mayHelp = !hasEnded
}

// update compares the logs of the primary and of the replicas with what the absent member may have helped to acknowledge. While it may
// still help, it is compared with each answer of the primary anew.
func (absence *absence) update(primary Server, servers []Server) {
	if absence.mayHelp {
		absence.forget()
	}
	if !absence.known && primary.ObservedAt > absence.since {
		absence.required, absence.requiredAt, absence.known = primary.Received, primary.ObservedAt, true
	}
	if !absence.known || absence.covered {
		return
	}
	for _, server := range servers {
		isReplica := server.Observed && !server.Silent && server.Member != primary.Member
		if isReplica && !server.Received.Less(absence.required) {
			absence.covered = true
		}
	}
}

// raiseTerm records the highest term. What was compared with the log of an earlier primary is compared anew, since a server may have
// acknowledged writes of the later one by then.
func (tracker *Tracker) raiseTerm(servers []Server) {
	previous := tracker.term
	for _, server := range servers {
		if server.Observed {
			tracker.term = max(tracker.term, server.Term)
		}
	}
	if tracker.term == previous {
		return
	}
	tracker.unknown.forget()
	for _, absence := range tracker.absences {
		absence.forget()
	}
}

// forget discards what was compared.
func (absence *absence) forget() {
	absence.required, absence.known, absence.covered = position.Position{}, false, false
}

// newestPrimary returns the answering primary of the highest term, nil if there is none. A primary of an earlier term may lack writes.
func (tracker *Tracker) newestPrimary(servers []Server) *Server {
	for index, server := range servers {
		if server.Observed && !server.Silent && server.Primary && server.Term == tracker.term {
			return &servers[index]
		}
	}
	return nil
}
