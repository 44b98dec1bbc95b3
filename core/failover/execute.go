package failover

import (
	"slices"
	"time"

	"dotterelgw/core/config"
	"dotterelgw/core/ids"
	"dotterelgw/core/position"
)

// firstRecord derives the first record of a group from the statuses of its servers, or returns false unless a majority
// confirms a primary.
func (coordinator *Coordinator) firstRecord() (config.TermRecord, bool) {
	statuses := make([]*Status, 0, len(coordinator.tickInput.Own))
	for _, evidence := range coordinator.tickInput.Own {
		if evidence.Silent == 0 && evidence.Status.Server != "" {
			statuses = append(statuses, &evidence.Status)
		}
	}
	leader, ok := ConfirmedPrimary(len(coordinator.group.Servers), statuses)
	if !ok {
		return config.TermRecord{}, false
	}
	term := statuses[leader].Term
	return config.TermRecord{
		Term: term, Primary: statuses[leader].Server, Step: Steady, Orderer: coordinator.self,
		Starts: []position.Position{{Term: term}},
	}, true
}

func (coordinator *Coordinator) swap(now time.Duration, record config.TermRecord) []Command {
	coordinator.storeInFlight, coordinator.storeSentAt = true, now
	return []Command{{Kind: Swap, Record: record, Expected: coordinator.revision}}
}

func (coordinator *Coordinator) initialise(now time.Duration) []Command {
	record, _ := coordinator.firstRecord()
	coordinator.term = record.Term
	return coordinator.swap(now, record)
}

// claim stores a claim to the next term.
func (coordinator *Coordinator) claim(now time.Duration) []Command {
	record := coordinator.record
	for _, evidence := range coordinator.tickInput.Own {
		record.Term = max(record.Term, evidence.Status.Promised)
	}
	record.Term++
	record.Step, record.Orderer, record.Candidate, record.Start = Fencing, coordinator.self, "", 0
	coordinator.term = record.Term
	if coordinator.planned {
		coordinator.plannedAt = now
	}
	coordinator.candidates, coordinator.caughtUp = map[ids.BackendServerID]Status{}, false
	return coordinator.swap(now, record)
}

// awaitOrderer restarts the timeout for the step of another orderer.
func (coordinator *Coordinator) awaitOrderer(now time.Duration) []Command {
	coordinator.stepSince = now
	return nil
}

// readBack reads the record after a lost response or a conflict, unless a request to the store is in flight.
func (coordinator *Coordinator) readBack(now time.Duration) []Command {
	if coordinator.storeInFlight || coordinator.commandedAt > 0 && now-coordinator.storeSentAt < storeInterval {
		return nil
	}
	coordinator.storeInFlight, coordinator.storeSentAt, coordinator.commandedAt = true, now, now
	return []Command{{Kind: Read}}
}

// retryDue reports whether the interval since the last command has elapsed, and restarts it if so.
func (coordinator *Coordinator) retryDue(now, every time.Duration) bool {
	if coordinator.commandedAt > 0 && now-coordinator.commandedAt < every {
		return false
	}
	coordinator.commandedAt = now
	return true
}

// fence sends the fences that are missing. A planned handover first fences only the primary and waits until a replica has
// received the rest of its log, because a fenced replica stops receiving.
func (coordinator *Coordinator) fence(now time.Duration) []Command {
	if coordinator.planned && !coordinator.caughtUp {
		if now-coordinator.stepSince < catchUpTimeout {
			return coordinator.fencePrimary(now)
		}
		coordinator.caughtUp = true
	}
	if len(coordinator.candidates) >= coordinator.quorum && !coordinator.planned {
		return nil
	}
	if !coordinator.retryDue(now, retryInterval) {
		return nil
	}
	var commands []Command
	for _, server := range coordinator.group.Servers {
		if _, ok := coordinator.candidates[server.ID]; !ok && !coordinator.fenceDeferred(server.ID, now) {
			commands = append(commands, Command{Kind: Fence, Server: server, Term: coordinator.term})
		}
	}
	return commands
}

// fenceDeferred reports whether the server is the lost primary and its fence is deferred. The claim was made because enough
// other servers respond. A primary that responds but does not replicate has the longest log, so if it was fenced together
// with the others, it would be promoted again.
func (coordinator *Coordinator) fenceDeferred(server ids.BackendServerID, now time.Duration) bool {
	evidence, _ := find(coordinator.tickInput.Own, server)
	return !coordinator.planned && server == coordinator.record.Primary && evidence.Silent >= LostAfter && now-coordinator.stepSince < fenceDeferral
}

func (coordinator *Coordinator) fencePrimary(now time.Duration) []Command {
	_, fenced := coordinator.candidates[coordinator.record.Primary]
	if !coordinator.retryDue(now, map[bool]time.Duration{false: retryInterval, true: examineInterval}[fenced]) {
		return nil
	}
	var commands []Command
	for _, server := range coordinator.group.Servers {
		switch {
		case server.ID == coordinator.record.Primary && !fenced:
			commands = append(commands, Command{Kind: Fence, Server: server, Term: coordinator.term})
		case server.ID != coordinator.record.Primary && fenced:
			commands = append(commands, Command{Kind: QueryStatus, Server: server})
		}
	}
	return commands
}

// mostAdvanced returns the status with the longest log.
func mostAdvanced(statuses []Status) Status {
	best := statuses[0]
	for _, status := range statuses[1:] {
		if best.End().Less(status.End()) {
			best = status
		}
	}
	return best
}

func (coordinator *Coordinator) isLeaving(status Status) bool {
	evidence, _ := find(coordinator.tickInput.Own, status.Server)
	return status.Leaving || evidence.Status.Leaving
}

// fenced returns the statuses of the fenced servers that are not leaving, and of all fenced servers with the leaving ones
// last.
func (coordinator *Coordinator) fenced() (staying, all []Status) {
	var leaving []Status
	for _, server := range coordinator.group.Servers {
		if status, ok := coordinator.candidates[server.ID]; ok && coordinator.isLeaving(status) {
			leaving = append(leaving, status)
		} else if ok {
			staying = append(staying, status)
		}
	}
	return staying, append(slices.Clone(staying), leaving...)
}

// chooseCandidate chooses the candidate and stores it. The candidate is the fenced server with the longest log; servers
// that are leaving are excluded if a quorum remains without them.
func (coordinator *Coordinator) chooseCandidate(now time.Duration) []Command {
	staying, all := coordinator.fenced()
	if len(staying) >= coordinator.quorum {
		all = staying
	}
	chosen := coordinator.choose(all)
	end := chosen.End()
	record := coordinator.record
	record.Term, record.Step, record.Orderer, record.Candidate = coordinator.term, Promoting, coordinator.self, chosen.Server
	record.Start = end.Log
	record.Starts = position.Extend(coordinator.record.Starts, end.Term, coordinator.firstUnusedTerm(), position.Position{Term: coordinator.term, Log: end.Log})
	return coordinator.swap(now, record)
}

// firstUnusedTerm returns the first of the terms before the claimed one that are known to have had no primary, or 0 if there
// are none. A claim keeps the starts of all promotions recorded before it, so the terms after the last start were only
// claimed.
func (coordinator *Coordinator) firstUnusedTerm() ids.Term {
	starts := coordinator.record.Starts
	if len(starts) == 0 || coordinator.term-starts[len(starts)-1].Term > maxUnusedTerms {
		return 0
	}
	return starts[len(starts)-1].Term + 1
}

// promote sends the promotion that the record describes.
func (coordinator *Coordinator) promote(now time.Duration) []Command {
	if !coordinator.retryDue(now, retryInterval) {
		return nil
	}
	return []Command{{Kind: Promote, Server: coordinator.server(coordinator.record.Candidate), Term: coordinator.term, Start: coordinator.record.Start}}
}

// complete stores that the candidate is the primary.
func (coordinator *Coordinator) complete(now time.Duration) []Command {
	record := coordinator.record
	record.Step, record.Primary = Steady, record.Candidate
	return coordinator.swap(now, record)
}

// follow makes the other fenced servers follow the promoted candidate.
func (coordinator *Coordinator) follow(now time.Duration) []Command {
	var commands []Command
	for _, server := range coordinator.group.Servers {
		if server.ID == coordinator.record.Candidate {
			continue
		}
		status, ok := coordinator.candidates[server.ID]
		if !ok {
			// The position at which its log diverges from the new primary's is unknown. repair sends the command once it responds.
			continue
		}
		coordinator.repairedAt[server.ID] = now
		commands = append(commands, coordinator.followCommand(server, coordinator.record.Candidate, followStart(coordinator.record, status)))
	}
	return commands
}

func (coordinator *Coordinator) followCommand(server config.ServerRecord, primary ids.BackendServerID, start ids.LogPosition) Command {
	return Command{Kind: Follow, Server: server, Term: coordinator.record.Term, Primary: coordinator.server(primary), Start: start}
}

// followStart returns the position up to which a server's log agrees with that of the record's primary. group_follow drops
// what lies beyond it. The server may have missed several terms.
func followStart(record config.TermRecord, status Status) ids.LogPosition {
	if agreed, ok := position.Divergence(record.Starts, status.LogTerm); ok && status.LogTerm != record.Term {
		return agreed
	}
	if index := position.TermIndex(record.Starts, record.Term); index >= 0 {
		return record.Starts[index].Log
	}
	return 0
}

// repair fences servers that act in an older term than the record's, so that their logs no longer change. Fenced then makes
// them follow the primary. The first watcher does so at once, the others only after a delay in case the first one fails.
func (coordinator *Coordinator) repair(now time.Duration) []Command {
	primary, ok := find(coordinator.tickInput.Own, coordinator.record.Primary)
	if !ok || primary.Silent > 0 || !primary.Status.AcceptsWrites() || primary.Status.Term != coordinator.record.Term {
		return nil
	}
	var commands []Command
	for _, evidence := range coordinator.tickInput.Own {
		last, seen := coordinator.repairedAt[evidence.Server]
		switch {
		case evidence.Server == coordinator.record.Primary || evidence.Silent > 0 || !coordinator.needsFollow(evidence.Status):
			delete(coordinator.repairedAt, evidence.Server)
		case !seen && coordinator.tickInput.Rank > 0:
			coordinator.repairedAt[evidence.Server] = now + time.Duration(coordinator.tickInput.Rank)*rankDelay
		case !seen || now-last >= repairInterval:
			coordinator.repairedAt[evidence.Server] = now
			commands = append(commands, Command{Kind: Fence, Server: coordinator.server(evidence.Server), Term: coordinator.record.Term})
		}
	}
	return commands
}

// needsFollow reports whether the server is a replaced primary or still follows one.
func (coordinator *Coordinator) needsFollow(status Status) bool {
	return status.Server != "" && status.Server != coordinator.record.Primary && status.Term < coordinator.record.Term
}

func (coordinator *Coordinator) server(id ids.BackendServerID) config.ServerRecord {
	for _, server := range coordinator.group.Servers {
		if server.ID == id {
			return server
		}
	}
	return config.ServerRecord{ID: id}
}
