package failover

import (
	"time"

	"dotterelgw/core/ids"
	"dotterelgw/core/position"
)

// connectGrace is the time that the replicas of a new primary have to connect and catch up. With a shorter time, a group whose
// replicas take long to connect could replace its primary again and again.
const connectGrace = 5 * time.Second

// receiveGrace is the time that replicas have in addition to LostAfter. After a stall of the primary of up to 1 s, which must
// not cause a promotion, a busy replica needs some time to receive what was committed before and after the stall.
const receiveGrace = 600 * time.Millisecond

// Replication monitors whether the log of a group's primary reaches its replicas. A primary that responds but does not
// replicate cannot have any write acknowledged.
type Replication struct {
	// term is the term of the observed primary.
	term ids.Term
	// replicated is set once a majority has received the primary's log in the term.
	replicated bool

	// pending is set while too few replicas have received the log up to want.
	pending bool
	// stalledFor is the time for which the log has been pending without progress.
	stalledFor time.Duration
	// observedAt is the time of the last call of Observe.
	observedAt time.Duration
	// want is the end of the primary's log when it was first seen to be pending.
	want position.Position
	// received is the end of the longest log among the replicas when they last made progress.
	received position.Position
}

// NewReplication returns a monitor that starts at the time now.
func NewReplication(now time.Duration) Replication { return Replication{observedAt: now} }

// Observe records, at the time now, the last statuses of those of a group's n servers that respond.
func (replication *Replication) Observe(now time.Duration, n int, statuses []Status) {
	// If the watcher itself was paused, its pause must not count as a stall of the replication.
	elapsed := min(now-replication.observedAt, ProbeTimeout)
	replication.observedAt = now
	primary := -1
	for index, status := range statuses {
		if status.Accepts() && (primary < 0 || status.Term > statuses[primary].Term) {
			primary = index
		}
	}
	if primary < 0 {
		replication.pending = false
		return
	}
	if term := statuses[primary].Term; term != replication.term {
		*replication = Replication{observedAt: now, term: term}
	}
	following, holders, received := 0, 1, position.Position{}
	want := statuses[primary].End()
	if replication.pending && !want.Less(replication.want) {
		want = replication.want
	}
	for _, status := range statuses {
		if status.Primary || status.Term != statuses[primary].Term || status.Promised > status.Term {
			continue
		}
		following++
		if !status.End().Less(want) {
			holders++
		}
		if received.Less(status.End()) {
			received = status.End()
		}
	}
	switch {
	case following < FenceQuorum(n) || holders >= KeepCount(n):
		// A promotion without the primary is impossible, or a majority has the log.
		replication.pending = false
		replication.replicated = replication.replicated || holders >= KeepCount(n) && want.Term == replication.term
	case !replication.pending || replication.received.Less(received):
		// The log has just become pending, or a replica has made progress.
		replication.pending, replication.stalledFor, replication.want, replication.received = true, 0, want, received
	default:
		replication.stalledFor += elapsed
	}
}

// Stuck returns the time for which replication has stalled, without the time that replicas are allowed to take.
func (replication *Replication) Stuck() time.Duration {
	switch {
	case !replication.pending:
		return 0
	case !replication.replicated:
		return max(replication.stalledFor-connectGrace, 0)
	default:
		return max(replication.stalledFor-receiveGrace, 0)
	}
}
