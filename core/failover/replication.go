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

// ReplicationMonitor monitors whether the log of a group's primary reaches its replicas. A primary that responds but does not
// replicate cannot have any write acknowledged.
type ReplicationMonitor struct {
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

// NewReplicationMonitor returns a monitor that starts at the time now.
func NewReplicationMonitor(now time.Duration) ReplicationMonitor {
	return ReplicationMonitor{observedAt: now}
}

// Observe records, at the time now, the last statuses of those of a group's n servers that respond.
func (replicationMonitor *ReplicationMonitor) Observe(now time.Duration, n int, statuses []Status) {
	// If the watcher itself was paused, its pause must not count as a stall of the replication.
	elapsed := min(now-replicationMonitor.observedAt, ProbeTimeout)
	replicationMonitor.observedAt = now
	primary := -1
	for index, status := range statuses {
		if status.AcceptsWrites() && (primary < 0 || status.Term > statuses[primary].Term) {
			primary = index
		}
	}
	if primary < 0 {
		replicationMonitor.pending = false
		return
	}
	if term := statuses[primary].Term; term != replicationMonitor.term {
		*replicationMonitor = ReplicationMonitor{observedAt: now, term: term}
	}
	following, holders, received := 0, 1, position.Position{}
	want := statuses[primary].End()
	if replicationMonitor.pending && !want.Less(replicationMonitor.want) {
		want = replicationMonitor.want
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
	case following < FenceQuorum(n) || holders >= WriteQuorum(n):
		// A promotion without the primary is impossible, or a majority has the log.
		replicationMonitor.pending = false
		replicationMonitor.replicated = replicationMonitor.replicated || holders >= WriteQuorum(n) && want.Term == replicationMonitor.term
	case !replicationMonitor.pending || replicationMonitor.received.Less(received):
		// The log has just become pending, or a replica has made progress.
		replicationMonitor.pending, replicationMonitor.stalledFor, replicationMonitor.want, replicationMonitor.received = true, 0, want, received
	default:
		replicationMonitor.stalledFor += elapsed
	}
}

// StalledFor returns the time for which replication has stalled, without the time that replicas are allowed to take.
func (replicationMonitor *ReplicationMonitor) StalledFor() time.Duration {
	switch {
	case !replicationMonitor.pending:
		return 0
	case !replicationMonitor.replicated:
		return max(replicationMonitor.stalledFor-connectGrace, 0)
	default:
		return max(replicationMonitor.stalledFor-receiveGrace, 0)
	}
}
