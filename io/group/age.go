package group

import (
	"time"

	"dotterelgw/core/failover"
	"dotterelgw/core/ids"
	"dotterelgw/core/position"
)

const (
	// markSpacing keeps frequent status requests of the barrier and of confirmations from filling the list.
	markSpacing = 20 * time.Millisecond
	markCount   = 128
	// pendingCount bounds the marks that wait for a majority; in an outage of the majority the oldest are dropped.
	pendingCount = 8
)

// mark is a position of the primary at a time, measured from when the status request was sent.
type mark struct {
	at       time.Duration
	asked    uint64
	position position.Position
	term     ids.Term
}

// ages keeps the positions of the primary, confirmed as leader, from which the age of replicas follows.
type ages struct {
	pending []mark
	marks   []mark
}

// sampled takes in a status of the primary that has not been confirmed as leader yet.
func (ages *ages) sampled(sample *sample) {
	if count := len(ages.pending); count > 0 && sample.sent-ages.pending[count-1].at < markSpacing {
		return
	}
	if len(ages.pending) == pendingCount {
		ages.pending = append(ages.pending[:0], ages.pending[1:]...)
	}
	ages.pending = append(ages.pending, mark{
		at: sample.sent, asked: sample.asked, position: sample.status.End(), term: sample.status.Term,
	})
}

// confirm moves the pending marks that a majority has confirmed by samples asked for later.
func (ages *ages) confirm(n int, samples []*sample) {
	for index := len(ages.pending) - 1; index >= 0; index-- {
		pending := ages.pending[index]
		loyal := 0
		for _, sample := range samples {
			if sample != nil && sample.asked >= pending.asked && sample.status.Promised <= pending.term {
				loyal++
			}
		}
		if loyal >= failover.KeepCount(n) {
			ages.add(pending)
			ages.pending = append(ages.pending[:0], ages.pending[index+1:]...)
			return
		}
	}
}

// add appends a mark; a full list drops every second mark of its older half, so that the spacing grows with the age.
func (ages *ages) add(confirmed mark) {
	if len(ages.marks) == markCount {
		kept := ages.marks[:0]
		for index, one := range ages.marks {
			if index >= markCount/2 || index%2 == 0 {
				kept = append(kept, one)
			}
		}
		ages.marks = kept
	}
	ages.marks = append(ages.marks, confirmed)
}

// currentAt returns the time of the latest mark that the position includes, or 0 for none.
func (ages *ages) currentAt(visible position.Position, starts []position.Position) time.Duration {
	for index := len(ages.marks) - 1; index >= 0; index-- {
		if position.Reached(visible, ages.marks[index].position, starts) {
			return ages.marks[index].at
		}
	}
	return 0
}
