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
func (plan *Plan) firstRecord() (config.TermRecord, bool) {
	statuses := make([]*Status, 0, len(plan.situation.Own))
	for _, evidence := range plan.situation.Own {
		if evidence.Silent == 0 && evidence.Status.Server != "" {
			statuses = append(statuses, &evidence.Status)
		}
	}
	leader, ok := Leader(len(plan.group.Servers), statuses)
	if !ok {
		return config.TermRecord{}, false
	}
	term := statuses[leader].Term
	return config.TermRecord{
		Term: term, Primary: statuses[leader].Server, Step: Steady, Orderer: plan.self,
		Starts: []position.Position{{Term: term}},
	}, true
}

func (plan *Plan) swap(now time.Duration, record config.TermRecord) []Command {
	plan.storeInFlight, plan.storeSentAt = true, now
	return []Command{{Kind: Swap, Record: record, Expected: plan.revision}}
}

func (plan *Plan) initialise(now time.Duration) []Command {
	record, _ := plan.firstRecord()
	plan.term = record.Term
	return plan.swap(now, record)
}

// claim stores a claim to the next term.
func (plan *Plan) claim(now time.Duration) []Command {
	record := plan.record
	for _, evidence := range plan.situation.Own {
		record.Term = max(record.Term, evidence.Status.Promised)
	}
	record.Term++
	record.Step, record.Orderer, record.Candidate, record.Start = Fencing, plan.self, "", 0
	plan.term = record.Term
	if plan.planned {
		plan.plannedAt = now
	}
	plan.candidates, plan.caughtUp = map[ids.BackendServerID]Status{}, false
	return plan.swap(now, record)
}

// awaitOrderer restarts the timeout for the step of another orderer.
func (plan *Plan) awaitOrderer(now time.Duration) []Command {
	plan.stepSince = now
	return nil
}

// readBack reads the record after a lost response or a conflict, unless a request to the store is in flight.
func (plan *Plan) readBack(now time.Duration) []Command {
	if plan.storeInFlight || plan.commandedAt > 0 && now-plan.storeSentAt < storeInterval {
		return nil
	}
	plan.storeInFlight, plan.storeSentAt, plan.commandedAt = true, now, now
	return []Command{{Kind: Read}}
}

// retryDue reports whether the interval since the last command has elapsed, and restarts it if so.
func (plan *Plan) retryDue(now, every time.Duration) bool {
	if plan.commandedAt > 0 && now-plan.commandedAt < every {
		return false
	}
	plan.commandedAt = now
	return true
}

// fence sends the fences that are missing. A planned handover first fences only the primary and waits until a replica has
// received the rest of its log, because a fenced replica stops receiving.
func (plan *Plan) fence(now time.Duration) []Command {
	if plan.planned && !plan.caughtUp {
		if now-plan.stepSince < catchUpTimeout {
			return plan.fencePrimary(now)
		}
		plan.caughtUp = true
	}
	if len(plan.candidates) >= plan.quorum && !plan.planned {
		return nil
	}
	if !plan.retryDue(now, retryInterval) {
		return nil
	}
	var commands []Command
	for _, server := range plan.group.Servers {
		if _, ok := plan.candidates[server.ID]; !ok && !plan.fenceDeferred(server.ID, now) {
			commands = append(commands, Command{Kind: Fence, Server: server, Term: plan.term})
		}
	}
	return commands
}

// fenceDeferred reports whether the server is the lost primary and its fence is deferred. The claim was made because enough
// other servers respond. A primary that responds but does not replicate has the longest log, so if it was fenced together
// with the others, it would be promoted again.
func (plan *Plan) fenceDeferred(server ids.BackendServerID, now time.Duration) bool {
	evidence, _ := find(plan.situation.Own, server)
	return !plan.planned && server == plan.record.Primary && evidence.Silent >= LostAfter && now-plan.stepSince < fenceDeferral
}

func (plan *Plan) fencePrimary(now time.Duration) []Command {
	_, fenced := plan.candidates[plan.record.Primary]
	if !plan.retryDue(now, map[bool]time.Duration{false: retryInterval, true: examineInterval}[fenced]) {
		return nil
	}
	var commands []Command
	for _, server := range plan.group.Servers {
		switch {
		case server.ID == plan.record.Primary && !fenced:
			commands = append(commands, Command{Kind: Fence, Server: server, Term: plan.term})
		case server.ID != plan.record.Primary && fenced:
			commands = append(commands, Command{Kind: Examine, Server: server})
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

func (plan *Plan) isLeaving(status Status) bool {
	evidence, _ := find(plan.situation.Own, status.Server)
	return status.Leaving || evidence.Status.Leaving
}

// fenced returns the statuses of the fenced servers that are not leaving, and of all fenced servers with the leaving ones
// last.
func (plan *Plan) fenced() (staying, all []Status) {
	var leaving []Status
	for _, server := range plan.group.Servers {
		if status, ok := plan.candidates[server.ID]; ok && plan.isLeaving(status) {
			leaving = append(leaving, status)
		} else if ok {
			staying = append(staying, status)
		}
	}
	return staying, append(slices.Clone(staying), leaving...)
}

// chooseCandidate chooses the candidate and stores it. The candidate is the fenced server with the longest log; servers
// that are leaving are excluded if a quorum remains without them.
func (plan *Plan) chooseCandidate(now time.Duration) []Command {
	staying, all := plan.fenced()
	if len(staying) >= plan.quorum {
		all = staying
	}
	chosen := plan.choose(all)
	end := chosen.End()
	record := plan.record
	record.Term, record.Step, record.Orderer, record.Candidate = plan.term, Promoting, plan.self, chosen.Server
	record.Start = end.Log
	record.Starts = position.Extend(plan.record.Starts, end.Term, plan.firstUnusedTerm(), position.Position{Term: plan.term, Log: end.Log})
	return plan.swap(now, record)
}

// firstUnusedTerm returns the first of the terms before the claimed one that are known to have had no primary, or 0 if there
// are none. A claim keeps the starts of all promotions recorded before it, so the terms after the last start were only
// claimed.
func (plan *Plan) firstUnusedTerm() ids.Term {
	starts := plan.record.Starts
	if len(starts) == 0 || plan.term-starts[len(starts)-1].Term > maxUnusedTerms {
		return 0
	}
	return starts[len(starts)-1].Term + 1
}

// promote sends the promotion that the record describes.
func (plan *Plan) promote(now time.Duration) []Command {
	if !plan.retryDue(now, retryInterval) {
		return nil
	}
	return []Command{{Kind: Promote, Server: plan.server(plan.record.Candidate), Term: plan.term, Start: plan.record.Start}}
}

// complete stores that the candidate is the primary.
func (plan *Plan) complete(now time.Duration) []Command {
	record := plan.record
	record.Step, record.Primary = Steady, record.Candidate
	return plan.swap(now, record)
}

// follow makes the other fenced servers follow the promoted candidate.
func (plan *Plan) follow(now time.Duration) []Command {
	var commands []Command
	for _, server := range plan.group.Servers {
		if server.ID == plan.record.Candidate {
			continue
		}
		status, ok := plan.candidates[server.ID]
		if !ok {
			// The position at which its log diverges from the new primary's is unknown. repair sends the command once it responds.
			continue
		}
		plan.repairedAt[server.ID] = now
		commands = append(commands, plan.followCommand(server, plan.record.Candidate, followStart(plan.record, status)))
	}
	return commands
}

func (plan *Plan) followCommand(server config.ServerRecord, primary ids.BackendServerID, start ids.LogPosition) Command {
	return Command{Kind: Follow, Server: server, Term: plan.record.Term, Primary: plan.server(primary), Start: start}
}

// followStart returns the position up to which a server's log agrees with that of the record's primary. group_follow drops
// what lies beyond it. The server may have missed several terms.
func followStart(record config.TermRecord, status Status) ids.LogPosition {
	if agreed, ok := position.Divergence(record.Starts, status.LogTerm); ok && status.LogTerm != record.Term {
		return agreed
	}
	if index := position.Index(record.Starts, record.Term); index >= 0 {
		return record.Starts[index].Log
	}
	return 0
}

// repair fences servers that act in an older term than the record's, so that their logs no longer change. Fenced then makes
// them follow the primary. The first watcher does so at once, the others only after a delay in case the first one fails.
func (plan *Plan) repair(now time.Duration) []Command {
	primary, ok := find(plan.situation.Own, plan.record.Primary)
	if !ok || primary.Silent > 0 || !primary.Status.Accepts() || primary.Status.Term != plan.record.Term {
		return nil
	}
	var commands []Command
	for _, evidence := range plan.situation.Own {
		last, seen := plan.repairedAt[evidence.Server]
		switch {
		case evidence.Server == plan.record.Primary || evidence.Silent > 0 || !plan.needsFollow(evidence.Status):
			delete(plan.repairedAt, evidence.Server)
		case !seen && plan.situation.Rank > 0:
			plan.repairedAt[evidence.Server] = now + time.Duration(plan.situation.Rank)*rankDelay
		case !seen || now-last >= repairInterval:
			plan.repairedAt[evidence.Server] = now
			commands = append(commands, Command{Kind: Fence, Server: plan.server(evidence.Server), Term: plan.record.Term})
		}
	}
	return commands
}

// needsFollow reports whether the server is a replaced primary or still follows one.
func (plan *Plan) needsFollow(status Status) bool {
	return status.Server != "" && status.Server != plan.record.Primary && status.Term < plan.record.Term
}

func (plan *Plan) server(id ids.BackendServerID) config.ServerRecord {
	for _, server := range plan.group.Servers {
		if server.ID == id {
			return server
		}
	}
	return config.ServerRecord{ID: id}
}
