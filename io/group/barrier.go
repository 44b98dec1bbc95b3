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

// errReplaced ends a wait in a group that was replaced by one for a newer record; the caller waits again in the new one.
var errReplaced = errors.ConstError("group replaced")

// barrier is a leadership barrier, shared by all callers that began to wait between the same two status requests.
type barrier struct {
	// afterSequence is the sequence number of the last status request sent before the wait began.
	afterSequence uint64
	done          chan struct{}
	position      position.Position
	err           error
	waiting       int
}

func (barrier *barrier) finish(err error) {
	barrier.err = err
	close(barrier.done)
}

// Barrier returns the position of the primary, confirmed as leader by a majority of the group's servers in answers to
// status requests sent after the call. It waits up to 3 s; the error is a *refusal.Refusal.
func (groups *Groups) Barrier(ctx context.Context, id ids.GroupID) (position.Position, error) {
	waitCtx, cancel := context.WithTimeout(ctx, groups.barrierTimeout)
	defer cancel()
	for {
		group := groups.find(id)
		if group == nil {
			return position.Position{}, refusal.New(refusal.NoPrimary, fmt.Sprintf("group %s is unknown", id))
		}
		group.recordUse()
		barrier := group.joinBarrier()
		select {
		case <-barrier.done:
			if barrier.err == nil {
				return barrier.position, nil
			}
		case <-waitCtx.Done():
			groups.counters.refused.Inc(1)
			return position.Position{}, group.leaveBarrier(barrier)
		}
	}
}

// joinBarrier adds the caller to the barrier for which no status request has been sent yet, or to a new one.
func (group *group) joinBarrier() *barrier {
	group.mutex.Lock()
	defer group.mutex.Unlock()
	if count := len(group.barriers); count > 0 && group.barriers[count-1].afterSequence == group.sequence {
		group.barriers[count-1].waiting++
		return group.barriers[count-1]
	}
	joined := &barrier{afterSequence: group.sequence, done: make(chan struct{}), waiting: 1}
	if group.replaced {
		joined.finish(errReplaced)
		return joined
	}
	group.barriers = append(group.barriers, joined)
	for _, server := range group.servers {
		server.triggerPoll()
	}
	return joined
}

// leaveBarrier ends a wait that timed out or was cancelled and returns the reason as a refusal.
func (group *group) leaveBarrier(abandoned *barrier) error {
	group.mutex.Lock()
	defer group.mutex.Unlock()
	if abandoned.waiting--; abandoned.waiting == 0 {
		for index, barrier := range group.barriers {
			if barrier == abandoned {
				group.barriers = append(group.barriers[:index], group.barriers[index+1:]...)
				break
			}
		}
	}
	answers, primaryClaimed := 0, false
	for _, server := range group.servers {
		if server.sample != nil && server.sample.sequence > abandoned.afterSequence {
			answers++
			primaryClaimed = primaryClaimed || server.sample.status.AcceptsWrites()
		}
	}
	reason := refusal.NoPrimary
	if primaryClaimed {
		// A server claims to be the primary, but it may have been replaced.
		reason = refusal.StaleRoute
	}
	return refusal.New(reason, fmt.Sprintf("group %s: %d of %d servers answered", group.record.Group, answers, len(group.servers)))
}

// finishBarriers completes the barriers for which the samples confirm a leader, and returns the others.
func finishBarriers(barriers []*barrier, samples []*sample) []*barrier {
	remaining := barriers[:0]
	for _, barrier := range barriers {
		fresh := make([]*failover.Status, len(samples))
		for index, sample := range samples {
			if sample != nil && sample.sequence > barrier.afterSequence {
				fresh[index] = &sample.status
			}
		}
		leader, ok := failover.ConfirmedPrimary(len(samples), fresh)
		if !ok {
			remaining = append(remaining, barrier)
			continue
		}
		barrier.position = fresh[leader].End()
		if barrier.position.Term == 0 {
			barrier.position.Term = fresh[leader].Term
		}
		barrier.finish(nil)
	}
	clear(barriers[len(remaining):])
	return remaining
}
