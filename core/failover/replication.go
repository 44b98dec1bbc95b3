package failover

import (
	"time"

	"dotterelgw/core/ids"
	"dotterelgw/core/position"
)

// followFor is the time that the replicas of a new primary get to reach it. Replacing it earlier could go on for ever
// where replicas take long to connect.
const followFor = 5 * time.Second

// receiveFor is the time that replicas get beyond LostAfter. After a stall of the primary of up to 1 s, which must not
// promote, a busy replica needs a moment to receive what was committed before and after it.
const receiveFor = 600 * time.Millisecond

// Replication watches whether the log of a group's primary reaches its replicas. A primary that answers but whose
// replicas receive nothing can acknowledge no write.
type Replication struct {
	term ids.Term
	// replicated states that the primary's log has reached its replicas in the term.
	replicated bool

	pending  bool
	stuck    time.Duration
	last     time.Duration
	want     position.Position
	received position.Position
}

// NewReplication returns a watch that begins at the time now.
func NewReplication(now time.Duration) Replication { return Replication{last: now} }

// Observe takes in, at the time now, the last statuses of those of a group's n servers that answer.
func (replication *Replication) Observe(now time.Duration, n int, statuses []Status) {
	// A watcher that was paused itself must not report the length of its pause.
	passed := min(now-replication.last, ProbeTimeout)
	replication.last = now
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
		*replication = Replication{last: now, term: term}
	}
	following, held, received := 0, 1, position.Position{}
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
			held++
		}
		if received.Less(status.End()) {
			received = status.End()
		}
	}
	switch {
	case following < FenceCount(n) || held >= KeepCount(n):
		// A promotion could not do without the primary, or nothing is missing.
		replication.pending = false
		replication.replicated = replication.replicated || held >= KeepCount(n) && want.Term == replication.term
	case !replication.pending || replication.received.Less(received):
		// A replica that is catching up makes progress.
		replication.pending, replication.stuck, replication.want, replication.received = true, 0, want, received
	default:
		replication.stuck += passed
	}
}

// Stuck returns the time, beyond what replicas are given, for which they have received nothing although the primary has
// more.
func (replication *Replication) Stuck() time.Duration {
	switch {
	case !replication.pending:
		return 0
	case !replication.replicated:
		return max(replication.stuck-followFor, 0)
	default:
		return max(replication.stuck-receiveFor, 0)
	}
}
