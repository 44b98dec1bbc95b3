package group

import (
	"time"

	"dotterelgw/core/failover"
	"dotterelgw/core/ids"
	"dotterelgw/core/position"
)

const (
	// minMarkInterval is the minimum time between two marks. It keeps the frequent status requests of barriers and
	// confirmations from filling the list.
	minMarkInterval = 20 * time.Millisecond
	maxMarks        = 128
	// maxPendingMarks bounds the marks that are not confirmed yet. While no majority answers, the oldest are dropped.
	maxPendingMarks = 8
)

// mark is a position of the primary with the time at which the status request for it was sent.
type mark struct {
	at       time.Duration
	sequence uint64
	position position.Position
	term     ids.Term
}

// history records positions that the primary reported while it was confirmed as leader. The staleness of replicas is
// derived from them.
type history struct {
	pending []mark
	marks   []mark
}

// addPending records a status of a primary that has not been confirmed as leader yet.
func (history *history) addPending(sample *sample) {
	if count := len(history.pending); count > 0 && sample.sent-history.pending[count-1].at < minMarkInterval {
		return
	}
	if len(history.pending) == maxPendingMarks {
		history.pending = append(history.pending[:0], history.pending[1:]...)
	}
	history.pending = append(history.pending, mark{
		at: sample.sent, sequence: sample.sequence, position: sample.status.End(), term: sample.status.Term,
	})
}

// confirm adds the newest pending mark that a majority confirms by samples requested no earlier, and removes it and the
// older ones from the pending marks.
func (history *history) confirm(serverCount int, samples []*sample) {
	for index := len(history.pending) - 1; index >= 0; index-- {
		pending := history.pending[index]
		supporting := 0
		for _, sample := range samples {
			if sample != nil && sample.sequence >= pending.sequence && sample.status.Promised <= pending.term {
				supporting++
			}
		}
		if supporting >= failover.WriteQuorum(serverCount) {
			history.add(pending)
			history.pending = append(history.pending[:0], history.pending[index+1:]...)
			return
		}
	}
}

// add appends a mark. A full list first drops every second mark of its older half, so that older marks are further
// apart.
func (history *history) add(confirmed mark) {
	if len(history.marks) == maxMarks {
		kept := history.marks[:0]
		for index, entry := range history.marks {
			if index >= maxMarks/2 || index%2 == 0 {
				kept = append(kept, entry)
			}
		}
		history.marks = kept
	}
	history.marks = append(history.marks, confirmed)
}

// currentAt returns the time of the latest mark whose position is included in visible, or 0 for none.
func (history *history) currentAt(visible position.Position, starts []position.Position) time.Duration {
	for index := len(history.marks) - 1; index >= 0; index-- {
		if position.Reached(visible, history.marks[index].position, starts) {
			return history.marks[index].at
		}
	}
	return 0
}
