package group

import (
	"context"
	"fmt"

	"dotterelgw/core/failover"
	"dotterelgw/core/ids"
	"dotterelgw/core/position"
	"dotterelgw/core/refusal"
)

// write is a write that a caller waits for to become durable.
type write struct {
	// target is the log position of the write.
	target position.Position
	// origin is the server that ran the write.
	origin ids.BackendServerID
	done   chan struct{}
	err    error
}

func (write *write) finish(err error) {
	write.err = err
	close(write.done)
}

// Confirm returns nil once every later primary is certain to have the write that the server ran at the target position.
// It waits up to 5 s; the error is a *refusal.Refusal with reason outcome_unknown.
func (groups *Groups) Confirm(ctx context.Context, id ids.GroupID, server ids.BackendServerID, target position.Position) error {
	err := groups.confirm(ctx, id, server, target)
	if err != nil {
		groups.counters.unknown.Inc(1)
		return err
	}
	groups.counters.confirmed.Inc(1)
	return nil
}

func (groups *Groups) confirm(ctx context.Context, id ids.GroupID, server ids.BackendServerID, target position.Position) error {
	var waitCtx context.Context
	for {
		group := groups.find(id)
		if group == nil {
			return refusal.New(refusal.OutcomeUnknown, fmt.Sprintf("group %s is unknown", id))
		}
		group.recordUse()
		write := group.awaitDurable(server, target)
		if write == nil {
			return nil
		}
		if waitCtx == nil {
			var cancel context.CancelFunc
			waitCtx, cancel = context.WithTimeout(ctx, groups.confirmTimeout)
			defer cancel()
		}
		select {
		case <-write.done:
			if write.err != errReplaced {
				return write.err
			}
		case <-waitCtx.Done():
			group.abandon(write)
			return refusal.New(refusal.OutcomeUnknown, fmt.Sprintf("no other server of %s reported the write in time", id))
		}
	}
}

// awaitDurable registers a write to wait for, or returns nil if it is known to be durable.
func (group *group) awaitDurable(origin ids.BackendServerID, target position.Position) *write {
	group.mutex.Lock()
	defer group.mutex.Unlock()
	pending := &write{target: target, origin: origin, done: make(chan struct{})}
	if group.replaced {
		pending.finish(errReplaced)
		return pending
	}
	statuses := make([]*failover.Status, len(group.servers))
	for index, server := range group.servers {
		if server.sample != nil {
			statuses[index] = &server.sample.status
		}
	}
	if len(finishWrites([]*write{pending}, len(statuses), statuses, group.term.Starts)) == 0 {
		if pending.err == nil {
			return nil
		}
		return pending
	}
	group.writes = append(group.writes, pending)
	for _, server := range group.servers {
		server.confirmBackoff = 0
		if server.record.ID != origin {
			server.triggerPoll()
		}
	}
	return pending
}

// abandon removes a write whose caller stopped waiting.
func (group *group) abandon(abandoned *write) {
	group.mutex.Lock()
	defer group.mutex.Unlock()
	for index, write := range group.writes {
		if write == abandoned {
			group.writes = append(group.writes[:index], group.writes[index+1:]...)
			return
		}
	}
}

// finishWrites completes the writes that the statuses show to be durable or lost, and returns the others.
func finishWrites(writes []*write, serverCount int, statuses []*failover.Status, starts []position.Position) []*write {
	remaining := writes[:0]
	for _, write := range writes {
		switch failover.Durability(write.target, write.origin, serverCount, statuses, starts) {
		case failover.Durable:
			write.finish(nil)
		case failover.Lost:
			write.finish(refusal.New(refusal.OutcomeUnknown, "a later primary began before the write"))
		default:
			remaining = append(remaining, write)
		}
	}
	clear(writes[len(remaining):])
	return remaining
}
