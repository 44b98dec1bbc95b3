package failover

import (
	_ "embed"
	"time"

	"dotterelgw/core/chart"
	"dotterelgw/core/config"
	"dotterelgw/core/ids"
)

const (
	// StaleAfter is the age at which another VM takes over a step other than steady.
	StaleAfter = 2 * time.Second
	// promoteFor is the time after which a candidate that does not answer is given up.
	promoteFor = time.Second
	// catchUpFor is the time that a planned change gives a replica to receive the rest of the fenced primary's log.
	catchUpFor = time.Second
	// spareFor is the time after which a promotion fences the lost primary too, for want of others.
	spareFor = time.Second
	// rankDelay keeps the second and third watcher from racing with the first.
	rankDelay = 300 * time.Millisecond
	// retryEvery and storeEvery are the pauses between repeated orders to servers and to the key-value service.
	retryEvery = 100 * time.Millisecond
	storeEvery = 200 * time.Millisecond
	// plannedEvery is the pause between two planned changes of a group, each of which stops writes for a moment.
	plannedEvery = 5 * time.Second
	// examineEvery is the pause between status requests while a planned change waits for a replica.
	examineEvery = 10 * time.Millisecond
	// maxUnused bounds the claimed but unused terms that a history lists, so that they do not displace real ones.
	maxUnused = 16
	// repairEvery is the pause between two orders to follow.
	repairEvery = 500 * time.Millisecond
)

//go:embed promotion.toml
var promotionChart []byte

// Plan is one VM's part in the promotions of one group. It takes in events and returns commands; it is not safe for
// concurrent use.
type Plan struct {
	self    ids.VMID
	group   config.GroupRecord
	machine *chart.Machine

	// record is the newest known term record, of the revision; the revision is 0 for none.
	record   config.TermRecord
	revision ids.Revision
	// term is the term that this VM claimed last.
	term ids.Term
	// candidates holds the answers of fenced servers of the claimed term.
	candidates map[ids.BackendServerID]Status
	// planned states that the claim replaces a leaving primary; caughtUp, that a replica has all of its log.
	planned   bool
	plannedAt time.Duration
	caughtUp  bool

	storing   bool
	storedAt  time.Duration
	orderedAt time.Duration
	sinceStep time.Duration
	lostSince time.Duration
	repaired  map[ids.BackendServerID]time.Duration
	situation Situation

	// quorum and choose are the rules that make promotions safe; tests replace them to show what they prevent.
	quorum int
	choose func([]Status) Status
}

var actions = map[chart.Action]func(*Plan, time.Duration) []Command{
	"claim":      (*Plan).claim,
	"initialise": (*Plan).initialise,
	"note":       (*Plan).note,
	"read_back":  (*Plan).readBack,
	"fence":      (*Plan).fence,
	"record":     (*Plan).decide,
	"promote":    (*Plan).promote,
	"complete":   (*Plan).complete,
	"follow":     (*Plan).follow,
	"repair":     (*Plan).repair,
}

// NewPlan returns the plan of the VM for the group, begun at the time now.
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
		self: self, group: group, machine: chart.NewMachine(loaded), quorum: FenceCount(len(group.Servers)),
		choose: furthest, repaired: map[ids.BackendServerID]time.Duration{}, sinceStep: now,
	}, nil
}

// State returns the plan's state by its name in the chart.
func (plan *Plan) State() string { return string(plan.machine.State()) }

// Record returns the newest known term record.
func (plan *Plan) Record() config.TermRecord { return plan.record }

// Active states whether this VM carries out a promotion.
func (plan *Plan) Active() bool {
	return plan.machine.State() != "steady" && plan.machine.State() != "observing"
}

// NeedsOthers states whether the plan's decision needs the evidence of the other watchers.
func (plan *Plan) NeedsOthers(own []Evidence) bool {
	return plan.revision > 0 && plan.machine.State() == "steady" && (Situation{Own: own}).suspected(plan.record)
}

// fire moves the machine and carries out the transition's actions.
func (plan *Plan) fire(now time.Duration, event chart.Event) []Command {
	before := plan.machine.State()
	due, err := plan.machine.Fire(event)
	if err != nil {
		return nil // the plan has ended
	}
	if plan.machine.State() != before {
		plan.sinceStep, plan.orderedAt = now, 0
	}
	var commands []Command
	for _, action := range due {
		commands = append(commands, actions[action](plan, now)...)
	}
	return commands
}

// Tick decides at the time now; it is called every 200 ms, and every 20 ms while the plan is active.
func (plan *Plan) Tick(now time.Duration, situation Situation) []Command {
	plan.situation = situation
	switch plan.machine.State() {
	case "steady":
		if event := plan.due(now); event != "" {
			return plan.fire(now, event)
		}
	case "observing":
		if now-plan.sinceStep >= StaleAfter+time.Duration(situation.Rank)*rankDelay && situation.reachable() >= plan.quorum {
			plan.planned = false
			return plan.fire(now, "primary_lost")
		}
	case "fencing":
		if commands := plan.decidable(now); commands != nil {
			return commands
		}
	case "promoting":
		if now-plan.sinceStep >= promoteFor && situation.reachable() >= plan.quorum {
			plan.planned = false
			return plan.fire(now, "primary_lost")
		}
	}
	return plan.fire(now, "retry")
}

// due returns the event that the situation of a steady group calls for.
func (plan *Plan) due(now time.Duration) chart.Event {
	situation := plan.situation
	plan.planned = false
	if plan.revision == 0 {
		if _, ok := plan.firstRecord(); ok {
			return "record_missing"
		}
		if situation.reachable() < plan.quorum || now-plan.sinceStep < StaleAfter {
			return ""
		}
		return plan.ranked(now)
	}
	if situation.lost(plan.record) && situation.reachable() >= plan.quorum {
		// A new primary's first status may still be under way when its record arrives.
		primary, _ := find(situation.Own, plan.record.Primary)
		if primary.Silent >= LostAfter || now-plan.sinceStep >= LostAfter {
			return plan.ranked(now)
		}
		return ""
	}
	if situation.replaceable(plan.record) && (plan.plannedAt == 0 || now-plan.plannedAt >= plannedEvery) {
		plan.planned = true
		return plan.ranked(now)
	}
	plan.lostSince = 0
	return ""
}

// ranked returns primary_lost once this watcher's turn has come.
func (plan *Plan) ranked(now time.Duration) chart.Event {
	if plan.lostSince == 0 {
		plan.lostSince = now
	}
	if now-plan.lostSince < time.Duration(plan.situation.Rank)*rankDelay {
		return ""
	}
	plan.lostSince = 0
	return "primary_lost"
}

// Applied takes in a term record of the key-value service.
func (plan *Plan) Applied(now time.Duration, record config.TermRecord, revision ids.Revision) []Command {
	if revision <= plan.revision {
		return nil
	}
	plan.record, plan.revision = record, revision
	if plan.machine.State() == "steady" {
		plan.sinceStep = now
	}
	if record.Orderer == plan.self && record.Term == plan.term && plan.Active() {
		if awaited[plan.machine.State()] == record.Step {
			return plan.fire(now, "stored")
		}
		return nil
	}
	if record.Step == Steady {
		return plan.fire(now, "record_steady")
	}
	return plan.fire(now, "record_open")
}

// awaited gives the step whose storing a state waits for.
var awaited = map[chart.State]string{
	"initialising": Steady, "claiming": Fencing, "recording": Promoting, "completing": Steady,
}

// Swapped takes in the result of a Swap of the record; the revision is that of the stored record.
func (plan *Plan) Swapped(now time.Duration, result SwapResult, record config.TermRecord, revision ids.Revision) []Command {
	plan.storing = false
	if result == SwapStored {
		return plan.Applied(now, record, revision)
	}
	if awaited[plan.machine.State()] == record.Step && record.Term == plan.term {
		return plan.fire(now, "in_doubt")
	}
	return nil
}

// Read takes in the term record as read from the service, with revision 0 for none; failed states that the service
// did not answer.
func (plan *Plan) Read(now time.Duration, record config.TermRecord, revision ids.Revision, failed bool) []Command {
	plan.storing = false
	if failed {
		return nil
	}
	before, waiting := plan.revision, awaited[plan.machine.State()]
	commands := plan.Applied(now, record, revision)
	if waiting != "" && revision <= before && awaited[plan.machine.State()] == waiting {
		return append(commands, plan.fire(now, "not_stored")...)
	}
	return commands
}

// Fenced takes in a server's answer to a fence of the term; refused states that it promised a higher term.
func (plan *Plan) Fenced(now time.Duration, term ids.Term, status Status, refused bool) []Command {
	if plan.machine.State() == "steady" && term == plan.record.Term && !refused && plan.astray(status) {
		return []Command{plan.followCommand(plan.server(status.Server), plan.record.Primary, followStart(plan.record, status))}
	}
	if term != plan.term || plan.machine.State() != "fencing" {
		return nil
	}
	if refused || status.Promised > term {
		return plan.fire(now, "refused")
	}
	plan.candidates[status.Server] = status
	return plan.decidable(now)
}

// decidable fires fenced once enough servers have answered. A planned change also waits until the furthest of them is
// not the leaving primary itself.
func (plan *Plan) decidable(now time.Duration) []Command {
	if len(plan.candidates) < plan.quorum {
		return nil
	}
	if plan.planned {
		staying, all := plan.fenced()
		waits := len(staying) < plan.quorum && plan.isLeaving(plan.choose(all)) && now-plan.sinceStep < 2*catchUpFor
		if !plan.caughtUp || waits {
			return nil
		}
	}
	return plan.fire(now, "fenced")
}

// Examined takes in a server's status during a planned change.
func (plan *Plan) Examined(now time.Duration, status Status) []Command {
	if plan.machine.State() != "fencing" || !plan.planned || plan.caughtUp {
		return nil
	}
	old, fenced := plan.candidates[plan.record.Primary]
	if fenced && !status.Leaving && status.Server != old.Server && !status.End().Less(old.End()) {
		plan.caughtUp, plan.orderedAt = true, 0
		return plan.fence(now)
	}
	return nil
}

// Promoted takes in the candidate's answer; refused states that it promised a higher term.
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

// Stop ends the plan.
func (plan *Plan) Stop(now time.Duration) { plan.fire(now, "stop") }
