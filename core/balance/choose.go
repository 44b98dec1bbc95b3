package balance

import (
	"time"

	"dotterelgw/core/position"
)

const (
	// connectCost is the time that opening a connection takes on a free server.
	connectCost = 13 * time.Millisecond
	// evictCost is the further cost of closing another organisation's connection, which is likely to be opened again.
	evictCost = 6 * time.Millisecond
	// remoteCost is the price of a round trip and of bytes to another availability zone, in time.
	remoteCost = 2 * time.Millisecond
	// leaderFactor makes the primary less attractive for reads, since writes can go nowhere else.
	leaderFactor = 1.4
)

// Candidate is a server that may run a read.
type Candidate struct {
	// Leader states that the server is the primary, whose log is complete.
	Leader bool
	// Local states that the server is in the VM's own availability zone.
	Local bool
	// Latency is the time that a statement is expected to take.
	Latency time.Duration
	// Slots is the number of statements that the server runs at a time.
	Slots int
	// InFlight is the number of this VM's statements that run or wait there.
	InFlight int
	// Busy is the number of statements of all VMs that were seen to run or wait there a moment ago.
	Busy int
	// Matching states that an idle connection of the organisation is at hand.
	Matching bool
	// Free states that a connection can be opened without closing another.
	Free bool
	// Evictable states that an idle connection of another organisation can make room.
	Evictable bool
	// Applied is the position that reads on the server were last known to see.
	Applied position.Position
	// Lag is how far the server was behind the primary then.
	Lag time.Duration
}

// Reaches states whether the server is expected to see the position by now. wantAge is the time since the primary was
// there. A server that is expected wrongly refuses the read and nothing ran.
func (candidate *Candidate) Reaches(want position.Position, wantAge time.Duration) bool {
	if candidate.Leader || want == (position.Position{}) || !candidate.Applied.Less(want) {
		return true
	}
	return candidate.Lag < wantAge
}

// Cost returns the time at which the server is expected to answer.
func (candidate *Candidate) Cost() time.Duration {
	slots := max(candidate.Slots, 1)
	ahead := max(candidate.InFlight, candidate.Busy-slots)
	cost := float64(candidate.Latency) * (1 + float64(ahead)/float64(slots))
	if candidate.Leader {
		cost *= leaderFactor
	}
	switch {
	case candidate.Matching:
	case candidate.Free:
		cost += float64(connectCost)
	case candidate.Evictable:
		cost += float64(connectCost + evictCost)
	default:
		// Every connection is in use: one must become free first.
		cost += float64(candidate.Latency) + float64(connectCost)
	}
	if !candidate.Local {
		cost += float64(remoteCost)
	}
	return time.Duration(cost)
}

// Choose returns the index of the candidate with the least cost among those that reach the position, or -1.
func Choose(candidates []Candidate, want position.Position, wantAge time.Duration) int {
	best := -1
	var least time.Duration
	for index := range candidates {
		candidate := &candidates[index]
		if !candidate.Reaches(want, wantAge) {
			continue
		}
		if cost := candidate.Cost(); best < 0 || cost < least {
			best, least = index, cost
		}
	}
	return best
}
