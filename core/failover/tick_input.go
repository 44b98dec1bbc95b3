package failover

import (
	"dotterelgw/core/config"
	"dotterelgw/core/ids"
)

// WatcherCount is the number of VMs that watch a group.
const WatcherCount = 3

// TickInput is the input of a watcher's decision.
type TickInput struct {
	// Own holds this VM's evidence in the order of the group record.
	Own []Evidence
	// Others holds the current evidence of the other watchers that responded.
	Others [][]Evidence
	// Rank is the rank of this VM among the watchers, 0 for the first.
	Rank int
	// Watchers is the number of watchers, this VM included.
	Watchers int
}

// find returns the evidence of the server.
func find(evidence []Evidence, server ids.BackendServerID) (Evidence, bool) {
	for _, one := range evidence {
		if one.Server == server {
			return one, true
		}
	}
	return Evidence{}, false
}

// lost reports whether the record's primary is silent or no longer acts as primary of the record's term.
func lost(evidence []Evidence, record config.TermRecord) bool {
	primary, ok := find(evidence, record.Primary)
	if !ok {
		return false
	}
	return primary.Silent >= LostAfter || primary.Status.Server != "" && !(primary.Status.AcceptsWrites() && primary.Status.Term >= record.Term)
}

// suspected reports whether this VM suspects that the primary is lost and should query the other watchers.
func (tickInput TickInput) suspected(record config.TermRecord) bool {
	primary, ok := find(tickInput.Own, record.Primary)
	return ok && primary.Silent >= SuspectAfter || lost(tickInput.Own, record)
}

// lost reports whether this VM and, unless it is the only watcher, at least one other watcher see the record's primary as
// lost.
func (tickInput TickInput) lost(record config.TermRecord) bool {
	if !lost(tickInput.Own, record) {
		return false
	}
	for _, other := range tickInput.Others {
		if lost(other, record) {
			return true
		}
	}
	return tickInput.Watchers == 1
}

// reachable returns the number of servers that respond to this VM.
func (tickInput TickInput) reachable() int {
	count := 0
	for _, evidence := range tickInput.Own {
		if evidence.Silent == 0 && evidence.Status.Server != "" {
			count++
		}
	}
	return count
}

// replaceable reports whether the record's primary is leaving and another server can replace it.
func (tickInput TickInput) replaceable(record config.TermRecord) bool {
	primary, ok := find(tickInput.Own, record.Primary)
	if !ok || !primary.Status.Leaving {
		return false
	}
	for _, evidence := range tickInput.Own {
		status := evidence.Status
		if evidence.Server != record.Primary && evidence.Silent == 0 && !status.Primary && !status.Leaving &&
			status.Term == record.Term && status.LogTerm == primary.Status.LogTerm {
			return tickInput.reachable() >= FenceQuorum(len(tickInput.Own))
		}
	}
	return false
}
