package observer

import (
	"time"

	"dotterelgw/core/member"
)

const (
	// Interval is the time between two requests of an observer to a server.
	Interval = 300 * time.Millisecond
	// unusedInterval is the time between two requests of the VM that replaces primaries to a server of a group that it has no
	// requests for.
	unusedInterval = time.Second
	// restInterval is the time after which a VM that asks nothing looks again whether it should.
	restInterval = time.Second
	// Stale is the age of the newest observation from which on a VM asks the server itself. An observation passes two VMs
	// and is up to 0.95 s old when the next one comes.
	Stale = 1100 * time.Millisecond
	// askAgain is the time after which a server that did not answer is asked again.
	askAgain = 100 * time.Millisecond
	// staleSlack is the time by which a look comes after an observation has become stale.
	staleSlack = 20 * time.Millisecond
	// spacing is the least time between two requests to a server by VMs that do not observe it, over all VMs: each occupies a
	// connection, and a server has fewer of them than there may be VMs.
	spacing = 10 * time.Millisecond
	// regainSpacing is the same after an observer has reached a server that this VM could not reach.
	regainSpacing = 2 * time.Millisecond
)

// Situation is what decides when a VM asks a server for its state.
type Situation struct {
	// VMs is the number of VMs.
	VMs int
	// Observes states that other VMs rely on this one for the state of the group.
	Observes bool
	// Used states that this VM has requests for the group.
	Used bool
	// OnDuty states that this VM replaces primaries.
	OnDuty bool
	// Silent states that the server did not answer this VM.
	Silent bool
	// Age is the age of the newest observation of the server by any VM.
	Age time.Duration
	// Regained states that another VM reached the server after it had not answered this one.
	Regained bool
	// SinceAsked is the time since this VM last asked the server.
	SinceAsked time.Duration
}

// Due returns the time until the server is to be asked, 0 for now, and whether it is to be asked then; else the time is that of
// the next look.
func (situation Situation) Due() (wait time.Duration, ask bool) {
	every, ask := situation.every()
	if !ask {
		return restInterval, false
	}
	wait = max(every-situation.SinceAsked, 0)
	if situation.foremost() || situation.Silent {
		return wait, true
	}
	return max(wait, situation.untilStale()), true
}

// untilStale returns the time until the observations of other VMs are too old.
func (situation Situation) untilStale() time.Duration {
	if situation.Age >= Stale {
		return 0
	}
	return Stale - situation.Age + staleSlack
}

// foremost states whether this VM asks the server whatever others observed.
func (situation Situation) foremost() bool { return situation.Observes || situation.OnDuty }

// every returns the least time between two requests; false if there is no need for any.
func (situation Situation) every() (time.Duration, bool) {
	fleet := time.Duration(situation.VMs)
	switch {
	case situation.Silent && (situation.foremost() || situation.Used && situation.VMs <= member.SmallFleet):
		return askAgain, true
	case situation.Observes:
		return Interval, true
	case situation.OnDuty:
		return unusedInterval, true
	case situation.Used && situation.Silent && situation.Regained:
		return max(askAgain, fleet*regainSpacing), true
	case situation.Used:
		return max(askAgain, fleet*spacing), true
	}
	return 0, false
}
