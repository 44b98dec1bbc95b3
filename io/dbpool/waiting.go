package dbpool

import (
	"context"
	"slices"
	"time"

	"dotterelgw/core/balance"
)

// maxMatchDelay is how long a request may be overtaken by others that match an idle connection.
const maxMatchDelay = 40 * time.Millisecond

// waiter is a request that waits for a connection.
type waiter struct {
	Request
	arrived time.Time
	// deadline is the time by which the request must be served.
	deadline time.Time
	grant    chan grant
}

func newWaiter(ctx context.Context, request Request) *waiter {
	return &waiter{Request: request, arrived: time.Now(), deadline: deadlineOf(ctx), grant: make(chan grant, 1)}
}

// deadlineOf returns the context's deadline, or one in the distant future if it has none.
func deadlineOf(ctx context.Context) time.Time {
	if deadline, ok := ctx.Deadline(); ok {
		return deadline
	}
	return time.Now().Add(time.Hour)
}

// waitingRoom holds the requests that wait for a pool and decides which one is served next. The mutex of the pool must be held.
type waitingRoom interface {
	// add adds the waiter. The error is a *QueueFullError if the waiter can't be served in time.
	add(waiting *waiter) error
	// next returns the waiter to serve, nil if none can be served now.
	next() *waiter
	// take removes the waiter that next returned, and takes a slot of the server for it if the room bounds them.
	take(waiting *waiter) *slot
	// remove removes the waiter; false if it was served or refused before.
	remove(waiting *waiter) bool
	// removeAll removes and returns all waiters in the order of their arrival.
	removeAll() []*waiter
	// len returns the number of waiters.
	len() int
}

// listRoom serves waiters by priority and arrival, and prefers those that match an idle connection.
type listRoom struct {
	pool    *Pool
	waiters []*waiter
}

func (room *listRoom) len() int { return len(room.waiters) }

func (room *listRoom) add(waiting *waiter) error {
	left := time.Until(waiting.deadline)
	if expected := room.expectedWait(waiting); expected > left {
		return &QueueFullError{Server: room.pool.server.ID, Expected: expected, Left: left, Waiting: room.len()}
	}
	room.waiters = append(room.waiters, waiting)
	return nil
}

// expectedWait returns how long the waiter is expected to wait behind those that are served before it.
func (room *listRoom) expectedWait(waiting *waiter) time.Duration {
	ahead := 0
	for _, other := range room.waiters {
		if other.Priority <= waiting.Priority {
			ahead++
		}
	}
	return balance.QueueDelay(ahead, room.pool.limit, room.pool.avgHold)
}

// next returns the waiter to serve, by priority and then by arrival. A waiter that matches an idle connection overtakes others that
// have not waited longer than maxMatchDelay.
func (room *listRoom) next() *waiter {
	if len(room.waiters) == 0 {
		return nil
	}
	first := room.waiters[0]
	for _, waiting := range room.waiters[1:] {
		if waiting.Priority < first.Priority {
			first = waiting
		}
	}
	if time.Since(first.arrived) > maxMatchDelay || room.pool.matchingIdle(first.Request) >= 0 {
		return first
	}
	for _, waiting := range room.waiters {
		if waiting.Priority == first.Priority && room.pool.matchingIdle(waiting.Request) >= 0 {
			return waiting
		}
	}
	return first
}

func (room *listRoom) take(waiting *waiter) *slot {
	room.remove(waiting)
	return nil
}

func (room *listRoom) remove(waiting *waiter) bool {
	index := slices.Index(room.waiters, waiting)
	if index < 0 {
		return false
	}
	room.waiters = slices.Delete(room.waiters, index, index+1)
	return true
}

func (room *listRoom) removeAll() []*waiter {
	waiters := room.waiters
	room.waiters = nil
	return waiters
}
