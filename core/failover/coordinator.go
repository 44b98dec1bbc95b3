package failover

import (
	_ "embed"
	"time"

	"dotterelgw/core/config"
	"dotterelgw/core/ids"
	"dotterelgw/core/statemachine"
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

// Coordinator is the state machine by which one VM takes part in the promotions of one group. It receives events and returns
// commands. It is not safe for concurrent use.
type Coordinator struct {
	self    ids.VMID
	group   config.GroupRecord
	machine *statemachine.Machine

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
	// tickInput is the input of the last call of Tick.
	tickInput TickInput

	// quorum and choose are the rules that make promotions safe. Tests replace them to show which faults they prevent.
	quorum int
	choose func([]Status) Status
}

var actions = map[statemachine.Action]func(*Coordinator, time.Duration) []Command{
	"claim":      (*Coordinator).claim,
	"initialise": (*Coordinator).initialise,
	"note":       (*Coordinator).awaitOrderer,
	"read_back":  (*Coordinator).readBack,
	"fence":      (*Coordinator).fence,
	"record":     (*Coordinator).chooseCandidate,
	"promote":    (*Coordinator).promote,
	"complete":   (*Coordinator).complete,
	"follow":     (*Coordinator).follow,
	"repair":     (*Coordinator).repair,
}

// NewCoordinator returns the coordinator of the VM self for the group, started at the time now.
func NewCoordinator(self ids.VMID, group config.GroupRecord, now time.Duration) (*Coordinator, error) {
	known := make([]statemachine.Action, 0, len(actions))
	for action := range actions {
		known = append(known, action)
	}
	loaded, err := statemachine.Load(promotionChart, known...)
	if err != nil {
		return nil, err
	}
	return &Coordinator{
		self: self, group: group, machine: statemachine.NewMachine(loaded), quorum: FenceQuorum(len(group.Servers)),
		choose: mostAdvanced, repairedAt: map[ids.BackendServerID]time.Duration{}, stepSince: now,
	}, nil
}

// State returns the name of the coordinator's state in the chart.
func (coordinator *Coordinator) State() string { return string(coordinator.machine.State()) }

// Record returns the newest known term record.
func (coordinator *Coordinator) Record() config.TermRecord { return coordinator.record }

// Active reports whether this VM is carrying out a promotion or storing the group's first record.
func (coordinator *Coordinator) Active() bool {
	return coordinator.machine.State() != "steady" && coordinator.machine.State() != "observing"
}

// NeedsOthers reports whether the next decision requires the evidence of the other watchers.
func (coordinator *Coordinator) NeedsOthers(own []Evidence) bool {
	return coordinator.revision > 0 && coordinator.machine.State() == "steady" && (TickInput{Own: own}).suspected(coordinator.record)
}

// fire applies the event to the state machine and carries out the actions of the transition.
func (coordinator *Coordinator) fire(now time.Duration, event statemachine.Event) []Command {
	before := coordinator.machine.State()
	due, err := coordinator.machine.Fire(event)
	if err != nil {
		return nil // the coordinator has been stopped
	}
	if coordinator.machine.State() != before {
		coordinator.stepSince, coordinator.commandedAt = now, 0
	}
	var commands []Command
	for _, action := range due {
		commands = append(commands, actions[action](coordinator, now)...)
	}
	return commands
}

// Tick makes the decisions that depend on time or on the input. It is called every 200 ms, and every 20 ms while the coordinator
// is active.
func (coordinator *Coordinator) Tick(now time.Duration, tickInput TickInput) []Command {
	coordinator.tickInput = tickInput
	switch coordinator.machine.State() {
	case "steady":
		if event := coordinator.due(now); event != "" {
			return coordinator.fire(now, event)
		}
	case "observing":
		if now-coordinator.stepSince >= StaleAfter+time.Duration(tickInput.Rank)*rankDelay && tickInput.reachable() >= coordinator.quorum {
			coordinator.planned = false
			return coordinator.fire(now, "primary_lost")
		}
	case "fencing":
		if commands := coordinator.checkFenced(now); commands != nil {
			return commands
		}
	case "promoting":
		if now-coordinator.stepSince >= promoteTimeout && tickInput.reachable() >= coordinator.quorum {
			coordinator.planned = false
			return coordinator.fire(now, "primary_lost")
		}
	}
	return coordinator.fire(now, "retry")
}

// due returns the event that the input of a steady group requires, or an empty string if there is none.
func (coordinator *Coordinator) due(now time.Duration) statemachine.Event {
	tickInput := coordinator.tickInput
	coordinator.planned = false
	if coordinator.revision == 0 {
		if _, ok := coordinator.firstRecord(); ok {
			return "record_missing"
		}
		if tickInput.reachable() < coordinator.quorum || now-coordinator.stepSince < StaleAfter {
			return ""
		}
		return coordinator.afterRankDelay(now)
	}
	if tickInput.lost(coordinator.record) && tickInput.reachable() >= coordinator.quorum {
		// The record of a new primary may arrive before its first status.
		primary, _ := find(tickInput.Own, coordinator.record.Primary)
		if primary.Silent >= LostAfter || now-coordinator.stepSince >= LostAfter {
			return coordinator.afterRankDelay(now)
		}
		return ""
	}
	if tickInput.replaceable(coordinator.record) && (coordinator.plannedAt == 0 || now-coordinator.plannedAt >= plannedInterval) {
		coordinator.planned = true
		return coordinator.afterRankDelay(now)
	}
	coordinator.lostSince = 0
	return ""
}

// afterRankDelay returns primary_lost once the delay for this watcher's rank has elapsed.
func (coordinator *Coordinator) afterRankDelay(now time.Duration) statemachine.Event {
	if coordinator.lostSince == 0 {
		coordinator.lostSince = now
	}
	if now-coordinator.lostSince < time.Duration(coordinator.tickInput.Rank)*rankDelay {
		return ""
	}
	coordinator.lostSince = 0
	return "primary_lost"
}

// Applied handles a term record received from the key-value service.
func (coordinator *Coordinator) Applied(now time.Duration, record config.TermRecord, revision ids.Revision) []Command {
	if revision <= coordinator.revision {
		return nil
	}
	coordinator.record, coordinator.revision = record, revision
	if coordinator.machine.State() == "steady" {
		coordinator.stepSince = now
	}
	if record.Orderer == coordinator.self && record.Term == coordinator.term && coordinator.Active() {
		if expectedStep[coordinator.machine.State()] == record.Step {
			return coordinator.fire(now, "stored")
		}
		return nil
	}
	if record.Step == Steady {
		return coordinator.fire(now, "record_steady")
	}
	return coordinator.fire(now, "record_open")
}

// expectedStep maps each state that waits for a record to be stored to the step of that record.
var expectedStep = map[statemachine.State]string{
	"initialising": Steady, "claiming": Fencing, "recording": Promoting, "completing": Steady,
}

// Swapped handles the result of a Swap of the record. revision is that of the stored record.
func (coordinator *Coordinator) Swapped(now time.Duration, result SwapResult, record config.TermRecord, revision ids.Revision) []Command {
	coordinator.storeInFlight = false
	if result == SwapStored {
		return coordinator.Applied(now, record, revision)
	}
	if expectedStep[coordinator.machine.State()] == record.Step && record.Term == coordinator.term {
		return coordinator.fire(now, "in_doubt")
	}
	return nil
}

// Read handles the result of a Read of the term record. revision is 0 if there is no record. failed is set if the service
// did not respond.
func (coordinator *Coordinator) Read(now time.Duration, record config.TermRecord, revision ids.Revision, failed bool) []Command {
	coordinator.storeInFlight = false
	if failed {
		return nil
	}
	before, waiting := coordinator.revision, expectedStep[coordinator.machine.State()]
	commands := coordinator.Applied(now, record, revision)
	if waiting != "" && revision <= before && expectedStep[coordinator.machine.State()] == waiting {
		return append(commands, coordinator.fire(now, "not_stored")...)
	}
	return commands
}

// Fenced handles a server's response to a fence for the term. refused is set if the server has promised a higher term.
func (coordinator *Coordinator) Fenced(now time.Duration, term ids.Term, status Status, refused bool) []Command {
	if coordinator.machine.State() == "steady" && term == coordinator.record.Term && !refused && coordinator.needsFollow(status) {
		return []Command{coordinator.followCommand(coordinator.server(status.Server), coordinator.record.Primary, followStart(coordinator.record, status))}
	}
	if term != coordinator.term || coordinator.machine.State() != "fencing" {
		return nil
	}
	if refused || status.Promised > term {
		return coordinator.fire(now, "refused")
	}
	coordinator.candidates[status.Server] = status
	return coordinator.checkFenced(now)
}

// checkFenced fires the event fenced once a quorum of servers has been fenced. A planned handover also waits, for a limited
// time, until the server to be chosen is not leaving itself.
func (coordinator *Coordinator) checkFenced(now time.Duration) []Command {
	if len(coordinator.candidates) < coordinator.quorum {
		return nil
	}
	if coordinator.planned {
		staying, all := coordinator.fenced()
		waits := len(staying) < coordinator.quorum && coordinator.isLeaving(coordinator.choose(all)) && now-coordinator.stepSince < 2*catchUpTimeout
		if !coordinator.caughtUp || waits {
			return nil
		}
	}
	return coordinator.fire(now, "fenced")
}

// StatusReceived handles the status of a server during a planned handover.
func (coordinator *Coordinator) StatusReceived(now time.Duration, status Status) []Command {
	if coordinator.machine.State() != "fencing" || !coordinator.planned || coordinator.caughtUp {
		return nil
	}
	old, fenced := coordinator.candidates[coordinator.record.Primary]
	if fenced && !status.Leaving && status.Server != old.Server && !status.End().Less(old.End()) {
		coordinator.caughtUp, coordinator.commandedAt = true, 0
		return coordinator.fence(now)
	}
	return nil
}

// Promoted handles the candidate's response to a promotion. refused is set if it has promised a higher term.
func (coordinator *Coordinator) Promoted(now time.Duration, term ids.Term, status Status, refused bool) []Command {
	if term != coordinator.term || coordinator.machine.State() != "promoting" {
		return nil
	}
	if refused {
		return coordinator.fire(now, "refused")
	}
	if status.Primary && status.Term == term {
		return coordinator.fire(now, "promoted")
	}
	return nil
}

// Stop ends the coordinator. Later calls return no commands.
func (coordinator *Coordinator) Stop(now time.Duration) { coordinator.fire(now, "stop") }
