package failover

import (
	_ "embed"
	"time"

	"dotterelgw/core/chart"
	"dotterelgw/core/config"
	"dotterelgw/core/ids"
)

const (
	// StaleAfter is the age at which another VM takes over a promotion whose step has not changed.
	StaleAfter = 2 * time.Second
	// promoteTimeout is the time after which a candidate that does not respond is abandoned.
	promoteTimeout = time.Second
	// catchUpTimeout is the time that a planned handover gives a replica to receive the rest of the fenced primary's log.
	catchUpTimeout = time.Second
	// fenceDeferral is the time after which a promotion fences the lost primary too, if too few other servers were fenced.
	fenceDeferral = time.Second
	// rankDelay is the delay per rank that keeps the second and third watchers from racing with the first.
	rankDelay = 300 * time.Millisecond
	// retryInterval and storeInterval are the intervals of retries to servers and to the key-value service.
	retryInterval = 100 * time.Millisecond
	storeInterval = 200 * time.Millisecond
	// plannedInterval is the minimum time between two planned handovers of a group, each of which briefly stops writes.
	plannedInterval = 5 * time.Second
	// examineInterval is the interval of status requests while a planned handover waits for a replica.
	examineInterval = 10 * time.Millisecond
	// maxUnusedTerms bounds the number of claimed but unused terms in a term history, so that they do not displace terms that
	// had a primary.
	maxUnusedTerms = 16
	// repairInterval is the interval at which the repair of a server is retried.
	repairInterval = 500 * time.Millisecond
)

//go:embed promotion.toml
var promotionChart []byte

// Plan is the state machine by which one VM takes part in the promotions of one group. It receives events and returns
// commands. It is not safe for concurrent use.
type Plan struct {
	self    ids.VMID
	group   config.GroupRecord
	machine *chart.Machine

	// record is the newest known term record and revision its revision, 0 if there is none.
	record   config.TermRecord
	revision ids.Revision
	// term is the last term that this VM claimed.
	term ids.Term
	// candidates holds the statuses of the servers fenced for the claimed term.
	candidates map[ids.BackendServerID]Status
	// planned is set if the claim replaces a leaving primary. plannedAt is the time of the last such claim. caughtUp is set
	// once a replica has the whole log of that primary or the wait for one has timed out.
	planned   bool
	plannedAt time.Duration
	caughtUp  bool

	// storeInFlight is set while a request to the key-value service is in flight. storeSentAt is the time at which the last
	// one was sent.
	storeInFlight bool
	storeSentAt   time.Duration
	// commandedAt is the time of the last command that is subject to a retry interval, 0 if there is none in this state.
	commandedAt time.Duration
	// stepSince is the time at which the current state or step was entered.
	stepSince time.Duration
	// lostSince is the time since which a claim is due but delayed by rank, 0 if none is.
	lostSince time.Duration
	// repairedAt holds the time of the last repair of each server. It lies in the future while the repair is delayed by rank.
	repairedAt map[ids.BackendServerID]time.Duration
	// situation is the one of the last call of Tick.
	situation Situation

	// quorum and choose are the rules that make promotions safe. Tests replace them to show which faults they prevent.
	quorum int
	choose func([]Status) Status
}

var actions = map[chart.Action]func(*Plan, time.Duration) []Command{
	"claim":      (*Plan).claim,
	"initialise": (*Plan).initialise,
	"note":       (*Plan).awaitOrderer,
	"read_back":  (*Plan).readBack,
	"fence":      (*Plan).fence,
	"record":     (*Plan).chooseCandidate,
	"promote":    (*Plan).promote,
	"complete":   (*Plan).complete,
	"follow":     (*Plan).follow,
	"repair":     (*Plan).repair,
}

// NewPlan returns the plan of the VM self for the group, started at the time now.
func NewPlan(self ids.VMID, group config.GroupRecord, now time.Duration) (*Plan, error) {
	known := make([]chart.Action, 0, len(actions))
	for action := range actions {
		known = append(known, action)
	}
	loaded, err := chart.Load(promotionChart, known...)
	if err != nil {
		return nil, err
	}
	return &Plan{
		self: self, group: group, machine: chart.NewMachine(loaded), quorum: FenceQuorum(len(group.Servers)),
		choose: mostAdvanced, repairedAt: map[ids.BackendServerID]time.Duration{}, stepSince: now,
	}, nil
}

// State returns the name of the plan's state in the chart.
func (plan *Plan) State() string { return string(plan.machine.State()) }

// Record returns the newest known term record.
func (plan *Plan) Record() config.TermRecord { return plan.record }

// Active reports whether this VM is carrying out a promotion or storing the group's first record.
func (plan *Plan) Active() bool {
	return plan.machine.State() != "steady" && plan.machine.State() != "observing"
}

// NeedsOthers reports whether the next decision requires the evidence of the other watchers.
func (plan *Plan) NeedsOthers(own []Evidence) bool {
	return plan.revision > 0 && plan.machine.State() == "steady" && (Situation{Own: own}).suspected(plan.record)
}

// fire applies the event to the state machine and carries out the actions of the transition.
func (plan *Plan) fire(now time.Duration, event chart.Event) []Command {
	before := plan.machine.State()
	due, err := plan.machine.Fire(event)
	if err != nil {
		return nil // the plan has been stopped
	}
	if plan.machine.State() != before {
		plan.stepSince, plan.commandedAt = now, 0
	}
	var commands []Command
	for _, action := range due {
		commands = append(commands, actions[action](plan, now)...)
	}
	return commands
}

// Tick makes the decisions that depend on time or on the situation. It is called every 200 ms, and every 20 ms while the plan
// is active.
func (plan *Plan) Tick(now time.Duration, situation Situation) []Command {
	plan.situation = situation
	switch plan.machine.State() {
	case "steady":
		if event := plan.due(now); event != "" {
			return plan.fire(now, event)
		}
	case "observing":
		if now-plan.stepSince >= StaleAfter+time.Duration(situation.Rank)*rankDelay && situation.reachable() >= plan.quorum {
			plan.planned = false
			return plan.fire(now, "primary_lost")
		}
	case "fencing":
		if commands := plan.checkFenced(now); commands != nil {
			return commands
		}
	case "promoting":
		if now-plan.stepSince >= promoteTimeout && situation.reachable() >= plan.quorum {
			plan.planned = false
			return plan.fire(now, "primary_lost")
		}
	}
	return plan.fire(now, "retry")
}

// due returns the event that the situation of a steady group requires, or an empty string if there is none.
func (plan *Plan) due(now time.Duration) chart.Event {
	situation := plan.situation
	plan.planned = false
	if plan.revision == 0 {
		if _, ok := plan.firstRecord(); ok {
			return "record_missing"
		}
		if situation.reachable() < plan.quorum || now-plan.stepSince < StaleAfter {
			return ""
		}
		return plan.afterRankDelay(now)
	}
	if situation.lost(plan.record) && situation.reachable() >= plan.quorum {
		// The record of a new primary may arrive before its first status.
		primary, _ := find(situation.Own, plan.record.Primary)
		if primary.Silent >= LostAfter || now-plan.stepSince >= LostAfter {
			return plan.afterRankDelay(now)
		}
		return ""
	}
	if situation.replaceable(plan.record) && (plan.plannedAt == 0 || now-plan.plannedAt >= plannedInterval) {
		plan.planned = true
		return plan.afterRankDelay(now)
	}
	plan.lostSince = 0
	return ""
}

// afterRankDelay returns primary_lost once the delay for this watcher's rank has elapsed.
func (plan *Plan) afterRankDelay(now time.Duration) chart.Event {
	if plan.lostSince == 0 {
		plan.lostSince = now
	}
	if now-plan.lostSince < time.Duration(plan.situation.Rank)*rankDelay {
		return ""
	}
	plan.lostSince = 0
	return "primary_lost"
}

// Applied handles a term record received from the key-value service.
func (plan *Plan) Applied(now time.Duration, record config.TermRecord, revision ids.Revision) []Command {
	if revision <= plan.revision {
		return nil
	}
	plan.record, plan.revision = record, revision
	if plan.machine.State() == "steady" {
		plan.stepSince = now
	}
	if record.Orderer == plan.self && record.Term == plan.term && plan.Active() {
		if expectedStep[plan.machine.State()] == record.Step {
			return plan.fire(now, "stored")
		}
		return nil
	}
	if record.Step == Steady {
		return plan.fire(now, "record_steady")
	}
	return plan.fire(now, "record_open")
}

// expectedStep maps each state that waits for a record to be stored to the step of that record.
var expectedStep = map[chart.State]string{
	"initialising": Steady, "claiming": Fencing, "recording": Promoting, "completing": Steady,
}

// Swapped handles the result of a Swap of the record. revision is that of the stored record.
func (plan *Plan) Swapped(now time.Duration, result SwapResult, record config.TermRecord, revision ids.Revision) []Command {
	plan.storeInFlight = false
	if result == SwapStored {
		return plan.Applied(now, record, revision)
	}
	if expectedStep[plan.machine.State()] == record.Step && record.Term == plan.term {
		return plan.fire(now, "in_doubt")
	}
	return nil
}

// Read handles the result of a Read of the term record. revision is 0 if there is no record. failed is set if the service
// did not respond.
func (plan *Plan) Read(now time.Duration, record config.TermRecord, revision ids.Revision, failed bool) []Command {
	plan.storeInFlight = false
	if failed {
		return nil
	}
	before, waiting := plan.revision, expectedStep[plan.machine.State()]
	commands := plan.Applied(now, record, revision)
	if waiting != "" && revision <= before && expectedStep[plan.machine.State()] == waiting {
		return append(commands, plan.fire(now, "not_stored")...)
	}
	return commands
}

// Fenced handles a server's response to a fence for the term. refused is set if the server has promised a higher term.
func (plan *Plan) Fenced(now time.Duration, term ids.Term, status Status, refused bool) []Command {
	if plan.machine.State() == "steady" && term == plan.record.Term && !refused && plan.needsFollow(status) {
		return []Command{plan.followCommand(plan.server(status.Server), plan.record.Primary, followStart(plan.record, status))}
	}
	if term != plan.term || plan.machine.State() != "fencing" {
		return nil
	}
	if refused || status.Promised > term {
		return plan.fire(now, "refused")
	}
	plan.candidates[status.Server] = status
	return plan.checkFenced(now)
}

// checkFenced fires the event fenced once a quorum of servers has been fenced. A planned handover also waits, for a limited
// time, until the server to be chosen is not leaving itself.
func (plan *Plan) checkFenced(now time.Duration) []Command {
	if len(plan.candidates) < plan.quorum {
		return nil
	}
	if plan.planned {
		staying, all := plan.fenced()
		waits := len(staying) < plan.quorum && plan.isLeaving(plan.choose(all)) && now-plan.stepSince < 2*catchUpTimeout
		if !plan.caughtUp || waits {
			return nil
		}
	}
	return plan.fire(now, "fenced")
}

// Examined handles the status of a server during a planned handover.
func (plan *Plan) Examined(now time.Duration, status Status) []Command {
	if plan.machine.State() != "fencing" || !plan.planned || plan.caughtUp {
		return nil
	}
	old, fenced := plan.candidates[plan.record.Primary]
	if fenced && !status.Leaving && status.Server != old.Server && !status.End().Less(old.End()) {
		plan.caughtUp, plan.commandedAt = true, 0
		return plan.fence(now)
	}
	return nil
}

// Promoted handles the candidate's response to a promotion. refused is set if it has promised a higher term.
func (plan *Plan) Promoted(now time.Duration, term ids.Term, status Status, refused bool) []Command {
	if term != plan.term || plan.machine.State() != "promoting" {
		return nil
	}
	if refused {
		return plan.fire(now, "refused")
	}
	if status.Primary && status.Term == term {
		return plan.fire(now, "promoted")
	}
	return nil
}

// Stop ends the plan. Later calls return no commands.
func (plan *Plan) Stop(now time.Duration) { plan.fire(now, "stop") }
