package group

import (
	"context"
	"fmt"

	"github.com/juju/errors"

	"dotterelgw/core/failover"
	"dotterelgw/core/ids"
	"dotterelgw/core/position"
	"dotterelgw/core/refusal"
)

// errReplaced ends a wait whose group was replaced by a newer record; the wait starts again.
var errReplaced = errors.ConstError("group replaced")

// barrier is a leadership barrier shared by all that began to wait between the same two status requests.
type barrier struct {
	// after is the number of the last status request sent before the wait began.
	after    uint64
	done     chan struct{}
	position position.Position
	err      error
	waiting  int
}

func (barrier *barrier) finish(err error) {
	barrier.err = err
	close(barrier.done)
}

// Barrier returns the position of the primary, confirmed as leader by a majority of the group's servers that were all
// asked after the call. It waits up to 3 s; the error is a *refusal.Refusal.
func (groups *Groups) Barrier(ctx context.Context, id ids.GroupID) (position.Position, error) {
	limited, cancel := context.WithTimeout(ctx, groups.barrierDeadline)
	defer cancel()
	for {
		group := groups.find(id)
		if group == nil {
			return position.Position{}, refusal.New(refusal.NoPrimary, fmt.Sprintf("group %s is unknown", id))
		}
		group.use()
		barrier := group.joinBarrier()
		select {
		case <-barrier.done:
			if barrier.err == nil {
				return barrier.position, nil
			}
		case <-limited.Done():
			groups.counters.refused.Inc(1)
			return position.Position{}, group.leaveBarrier(barrier)
		}
	}
}

// joinBarrier adds the caller to the barrier whose status requests are all still to be sent.
func (group *group) joinBarrier() *barrier {
	group.mutex.Lock()
	defer group.mutex.Unlock()
	if count := len(group.barriers); count > 0 && group.barriers[count-1].after == group.asked {
		group.barriers[count-1].waiting++
		return group.barriers[count-1]
	}
	joined := &barrier{after: group.asked, done: make(chan struct{}), waiting: 1}
	if group.replaced {
		joined.finish(errReplaced)
		return joined
	}
	group.barriers = append(group.barriers, joined)
	for _, server := range group.servers {
		server.poke()
	}
	return joined
}

// leaveBarrier ends a wait without success and states why.
func (group *group) leaveBarrier(left *barrier) error {
	group.mutex.Lock()
	defer group.mutex.Unlock()
	if left.waiting--; left.waiting == 0 {
		for index, barrier := range group.barriers {
			if barrier == left {
				group.barriers = append(group.barriers[:index], group.barriers[index+1:]...)
				break
			}
		}
	}
	answers, claims := 0, false
	for _, server := range group.servers {
		if server.sample != nil && server.sample.asked > left.after {
			answers++
			claims = claims || server.sample.status.Accepts()
		}
	}
	reason := refusal.NoPrimary
	if claims {
		// A server claims to be the primary, but it may have been replaced.
		reason = refusal.StaleRoute
	}
	return refusal.New(reason, fmt.Sprintf("group %s: %d of %d servers answered", group.record.Group, answers, len(group.servers)))
}

// finishBarriers ends the barriers that the samples satisfy and returns the others.
func finishBarriers(barriers []*barrier, samples []*sample) []*barrier {
	kept := barriers[:0]
	for _, barrier := range barriers {
		fresh := make([]*failover.Status, len(samples))
		for index, sample := range samples {
			if sample != nil && sample.asked > barrier.after {
				fresh[index] = &sample.status
			}
		}
		leader, ok := failover.Leader(len(samples), fresh)
		if !ok {
			kept = append(kept, barrier)
			continue
		}
		barrier.position = fresh[leader].End()
		if barrier.position.Term == 0 {
			barrier.position.Term = fresh[leader].Term
		}
		barrier.finish(nil)
	}
	clear(barriers[len(kept):])
	return kept
}
