package failover

import (
	"slices"
	"time"

	"dotterelgw/core/config"
	"dotterelgw/core/ids"
	"dotterelgw/core/position"
)

// firstRecord returns the record of a group that has none, from the servers' own status: a primary to which a
// majority is loyal.
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
	plan.storing, plan.storedAt = true, now
	return []Command{{Kind: Swap, Record: record, Expected: plan.revision}}
}

func (plan *Plan) initialise(now time.Duration) []Command {
	record, _ := plan.firstRecord()
	plan.term = record.Term
	return plan.swap(now, record)
}

// claim takes the next term.
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

// note begins the wait for another orderer.
func (plan *Plan) note(now time.Duration) []Command {
	plan.sinceStep = now
	return nil
}

// readBack reads the record to settle a lost answer or a conflict, unless a request is under way.
func (plan *Plan) readBack(now time.Duration) []Command {
	if plan.storing || plan.orderedAt > 0 && now-plan.storedAt < storeEvery {
		return nil
	}
	plan.storing, plan.storedAt, plan.orderedAt = true, now, now
	return []Command{{Kind: Read}}
}

// paced states whether an order may be repeated.
func (plan *Plan) paced(now, every time.Duration) bool {
	if plan.orderedAt > 0 && now-plan.orderedAt < every {
		return false
	}
	plan.orderedAt = now
	return true
}

// fence orders the fences that are missing. A planned change first fences the primary alone and waits until a replica
// has received the rest of its log, since a fenced replica receives nothing more.
func (plan *Plan) fence(now time.Duration) []Command {
	if plan.planned && !plan.caughtUp {
		if now-plan.sinceStep < catchUpFor {
			return plan.fencePrimary(now)
		}
		plan.caughtUp = true
	}
	if len(plan.candidates) >= plan.quorum && !plan.planned {
		return nil
	}
	if !plan.paced(now, retryEvery) {
		return nil
	}
	var commands []Command
	for _, server := range plan.group.Servers {
		if _, ok := plan.candidates[server.ID]; !ok && !plan.spared(server.ID, now) {
			commands = append(commands, Command{Kind: Fence, Server: server, Term: plan.term})
		}
	}
	return commands
}

// spared states whether the server is the lost primary and need not be fenced yet: the claim was made because enough
// others answer. A primary that answers but does not replicate has the longest log and would be promoted again.
func (plan *Plan) spared(server ids.BackendServerID, now time.Duration) bool {
	evidence, _ := find(plan.situation.Own, server)
	return !plan.planned && server == plan.record.Primary && evidence.Silent >= LostAfter && now-plan.sinceStep < spareFor
}

func (plan *Plan) fencePrimary(now time.Duration) []Command {
	_, fenced := plan.candidates[plan.record.Primary]
	if !plan.paced(now, map[bool]time.Duration{false: retryEvery, true: examineEvery}[fenced]) {
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

// furthest returns the status with the most advanced log.
func furthest(statuses []Status) Status {
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

// fenced returns the answers of the fenced servers: those that stay, and all, with those that stay first.
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

// decide records the candidate: the furthest of the fenced servers, without those that are leaving if enough remain.
func (plan *Plan) decide(now time.Duration) []Command {
	staying, all := plan.fenced()
	if len(staying) >= plan.quorum {
		all = staying
	}
	chosen := plan.choose(all)
	end := chosen.End()
	record := plan.record
	record.Term, record.Step, record.Orderer, record.Candidate = plan.term, Promoting, plan.self, chosen.Server
	record.Start = end.Log
	record.Starts = position.Extend(plan.record.Starts, end.Term, plan.firstUnused(), position.Position{Term: plan.term, Log: end.Log})
	return plan.swap(now, record)
}

// firstUnused returns the first term of those before the claimed one that surely had no primary, or 0 for none. A claim
// keeps the start of every promotion that was recorded before it, so the terms after the last start were only claimed.
func (plan *Plan) firstUnused() ids.Term {
	starts := plan.record.Starts
	if len(starts) == 0 || plan.term-starts[len(starts)-1].Term > maxUnused {
		return 0
	}
	return starts[len(starts)-1].Term + 1
}

// promote orders the promotion that the record states.
func (plan *Plan) promote(now time.Duration) []Command {
	if !plan.paced(now, retryEvery) {
		return nil
	}
	return []Command{{Kind: Promote, Server: plan.server(plan.record.Candidate), Term: plan.term, Start: plan.record.Start}}
}

// complete records that the candidate is the primary.
func (plan *Plan) complete(now time.Duration) []Command {
	record := plan.record
	record.Step, record.Primary = Steady, record.Candidate
	return plan.swap(now, record)
}

// follow orders the other servers to follow the promoted candidate.
func (plan *Plan) follow(now time.Duration) []Command {
	var commands []Command
	for _, server := range plan.group.Servers {
		if server.ID == plan.record.Candidate {
			continue
		}
		status, ok := plan.candidates[server.ID]
		if !ok {
			// Where its log parts from the new primary's is not known; repair sends the order once it answers.
			continue
		}
		plan.repaired[server.ID] = now
		commands = append(commands, plan.followCommand(server, plan.record.Candidate, followStart(plan.record, status)))
	}
	return commands
}

func (plan *Plan) followCommand(server config.ServerRecord, primary ids.BackendServerID, start ids.LogPosition) Command {
	return Command{Kind: Follow, Server: server, Term: plan.record.Term, Primary: plan.server(primary), Start: start}
}

// followStart returns the position up to which a server's log agrees with that of the record's primary, for
// group_follow to drop what lies beyond; a server may have missed several terms.
func followStart(record config.TermRecord, status Status) ids.LogPosition {
	if agreed, ok := position.Divergence(record.Starts, status.LogTerm); ok && status.LogTerm != record.Term {
		return agreed
	}
	if index := position.Index(record.Starts, record.Term); index >= 0 {
		return record.Starts[index].Log
	}
	return 0
}

// repair fences servers that act in a term older than the record's, so that their logs no longer change; Fenced then
// orders them to follow. The first watcher does so at once, the others if it does not.
func (plan *Plan) repair(now time.Duration) []Command {
	primary, ok := find(plan.situation.Own, plan.record.Primary)
	if !ok || primary.Silent > 0 || !primary.Status.Accepts() || primary.Status.Term != plan.record.Term {
		return nil
	}
	var commands []Command
	for _, evidence := range plan.situation.Own {
		last, seen := plan.repaired[evidence.Server]
		switch {
		case evidence.Server == plan.record.Primary || evidence.Silent > 0 || !plan.astray(evidence.Status):
			delete(plan.repaired, evidence.Server)
		case !seen && plan.situation.Rank > 0:
			plan.repaired[evidence.Server] = now + time.Duration(plan.situation.Rank)*rankDelay
		case !seen || now-last >= repairEvery:
			plan.repaired[evidence.Server] = now
			commands = append(commands, Command{Kind: Fence, Server: plan.server(evidence.Server), Term: plan.record.Term})
		}
	}
	return commands
}

// astray states whether a server follows a replaced primary or is one.
func (plan *Plan) astray(status Status) bool {
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
