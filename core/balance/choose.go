package balance

import (
	"time"

	"dotterelgw/core/position"
)

const (
	// connectCost is the time to open a connection to a server without load.
	connectCost = 13 * time.Millisecond
	// evictCost is the additional cost of evicting an idle connection of another organisation, which is likely to be reopened.
	evictCost = 6 * time.Millisecond
	// remoteCost is the cost of a round trip and of traffic to another availability zone, expressed as time.
	remoteCost = 2 * time.Millisecond
	// primaryFactor multiplies the cost of reads on the primary, to leave its capacity to writes, which only it can run.
	primaryFactor = 1.4
)

// Candidate is a server that may run a read.
type Candidate struct {
	// Primary reports whether the server is the primary, which has the complete log.
	Primary bool
	// Local reports whether the server is in the availability zone of this VM.
	Local bool
	// Latency is the estimated response time of one statement.
	Latency time.Duration
	// Slots is the number of statements that the server runs concurrently.
	Slots int
	// InFlight is the number of statements of this VM that are running or queued on the server.
	InFlight int
	// Busy is the number of statements of all VMs that were running or queued on the server when its state was last read.
	Busy int
	// Matching reports whether this VM has an idle connection of the organisation.
	Matching bool
	// Free reports whether a connection can be opened without closing another.
	Free bool
	// Evictable reports whether an idle connection of another organisation can be closed to open a new one.
	Evictable bool
	// Applied is the last known log position that reads on the server see.
	Applied position.Position
	// Lag is the replication lag of the server when Applied was read.
	Lag time.Duration
}

// Reaches reports whether reads on the server are expected to see the position by now. wantAge is the time since the primary
// was at that position. If the expectation is wrong, the server rejects the read without running anything.
func (candidate *Candidate) Reaches(want position.Position, wantAge time.Duration) bool {
	if candidate.Primary || want == (position.Position{}) || !candidate.Applied.Less(want) {
		return true
	}
	return candidate.Lag < wantAge
}

// Cost returns the expected response time of the server, including queueing and connection setup.
func (candidate *Candidate) Cost() time.Duration {
	slots := max(candidate.Slots, 1)
	queued := max(candidate.InFlight, candidate.Busy-slots)
	cost := float64(candidate.Latency) * (1 + float64(queued)/float64(slots))
	if candidate.Primary {
		cost *= primaryFactor
	}
	switch {
	case candidate.Matching:
	case candidate.Free:
		cost += float64(connectCost)
	case candidate.Evictable:
		cost += float64(connectCost + evictCost)
	default:
		// All connections are in use, so the request waits until one is released.
		cost += float64(candidate.Latency) + float64(connectCost)
	}
	if !candidate.Local {
		cost += float64(remoteCost)
	}
	return time.Duration(cost)
}

// Choose returns the index of the cheapest candidate among those that reach the position, or -1 if there is none.
func Choose(candidates []Candidate, want position.Position, wantAge time.Duration) int {
	best := -1
	var bestCost time.Duration
	for index := range candidates {
		candidate := &candidates[index]
		if !candidate.Reaches(want, wantAge) {
			continue
		}
		if cost := candidate.Cost(); best < 0 || cost < bestCost {
			best, bestCost = index, cost
		}
	}
	return best
}
