package group

import (
	"context"
	"fmt"

	"dotterelgw/core/failover"
	"dotterelgw/core/ids"
	"dotterelgw/core/position"
	"dotterelgw/core/refusal"
)

// write is a write whose durability is awaited.
type write struct {
	want position.Position
	ran  ids.BackendServerID
	done chan struct{}
	err  error
}

func (write *write) finish(err error) {
	write.err = err
	close(write.done)
}

// Confirm returns nil once every later primary is certain to have the write that the server ran at the position. It
// waits up to 5 s; the error is a *refusal.Refusal with reason outcome_unknown.
func (groups *Groups) Confirm(ctx context.Context, id ids.GroupID, server ids.BackendServerID, want position.Position) error {
	err := groups.confirm(ctx, id, server, want)
	if err != nil {
		groups.counters.unknown.Inc(1)
		return err
	}
	groups.counters.confirmed.Inc(1)
	return nil
}

func (groups *Groups) confirm(ctx context.Context, id ids.GroupID, server ids.BackendServerID, want position.Position) error {
	var limited context.Context
	for {
		group := groups.find(id)
		if group == nil {
			return refusal.New(refusal.OutcomeUnknown, fmt.Sprintf("group %s is unknown", id))
		}
		group.use()
		write := group.await(server, want)
		if write == nil {
			return nil
		}
		if limited == nil {
			var cancel context.CancelFunc
			limited, cancel = context.WithTimeout(ctx, groups.confirmDeadline)
			defer cancel()
		}
		select {
		case <-write.done:
			if write.err != errReplaced {
				return write.err
			}
		case <-limited.Done():
			group.abandon(write)
			return refusal.New(refusal.OutcomeUnknown, fmt.Sprintf("no other server of %s reported the write in time", id))
		}
	}
}

// await registers the write, or returns nil if it is known to be durable.
func (group *group) await(ran ids.BackendServerID, want position.Position) *write {
	group.mutex.Lock()
	defer group.mutex.Unlock()
	waiting := &write{want: want, ran: ran, done: make(chan struct{})}
	if group.replaced {
		waiting.finish(errReplaced)
		return waiting
	}
	statuses := make([]*failover.Status, len(group.servers))
	for index, server := range group.servers {
		if server.sample != nil {
			statuses[index] = &server.sample.status
		}
	}
	if len(finishWrites([]*write{waiting}, len(statuses), statuses, group.term.Starts)) == 0 {
		if waiting.err == nil {
			return nil
		}
		return waiting
	}
	group.writes = append(group.writes, waiting)
	for _, server := range group.servers {
		server.pause = 0
		if server.record.ID != ran {
			server.poke()
		}
	}
	return waiting
}

func (group *group) abandon(left *write) {
	group.mutex.Lock()
	defer group.mutex.Unlock()
	for index, write := range group.writes {
		if write == left {
			group.writes = append(group.writes[:index], group.writes[index+1:]...)
			return
		}
	}
}

// finishWrites ends the waits that the statuses decide and returns the others.
func finishWrites(writes []*write, n int, statuses []*failover.Status, starts []position.Position) []*write {
	kept := writes[:0]
	for _, write := range writes {
		switch failover.Durability(write.want, write.ran, n, statuses, starts) {
		case failover.Durable:
			write.finish(nil)
		case failover.Lost:
			write.finish(refusal.New(refusal.OutcomeUnknown, "a later primary began before the write"))
		default:
			kept = append(kept, write)
		}
	}
	clear(writes[len(kept):])
	return kept
}
