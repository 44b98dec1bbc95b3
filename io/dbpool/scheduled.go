package dbpool

import (
	"context"
	"slices"
	"time"

	"dotterelgw/core/balance"
	"dotterelgw/core/ids"
	"dotterelgw/core/schedule"
	"dotterelgw/io/clock"
)

// SetSchedule bounds the number of statements of the pool that run at the server at a time, and serves waiting requests in the order
// of core/schedule. A policy that runs no statement switches the schedule off. Control statements go before all and are not bounded.
func (pool *Pool) SetSchedule(policy schedule.Policy) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	scheduled, ok := pool.room.(*scheduledRoom)
	switch {
	case ok && policy.Running > 0:
		scheduled.queue.SetPolicy(policy)
		pool.dispatch()
		return
	case !ok && policy.Running <= 0:
		// Waiters that were added again would be judged again, and some refused.
		return
	}
	waiters := pool.room.removeAll()
	if policy.Running > 0 {
		pool.room = newScheduledRoom(pool, policy)
	} else {
		pool.room = &listRoom{pool: pool}
	}
	for _, waiting := range waiters {
		if waiting.Continues {
			waiting.grant <- grant{}
			continue
		}
		if err := pool.room.add(waiting); err != nil {
			waiting.grant <- grant{err: err}
		}
	}
	pool.dispatch()
}

// SetScheduleObserver sets who is told what the schedule decides. It must be called before SetSchedule.
func (pool *Pool) SetScheduleObserver(observer *ScheduleObserver) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	pool.observer = observer
}

// Admit takes a slot of the server for one more statement on the connection, which Run or Release frees; it does nothing without a schedule. If
// it returns an error, nothing was sent.
func (conn *Conn) Admit(ctx context.Context, request Request) error {
	if conn.slot != nil {
		return nil
	}
	request.Continues = true
	granted, err := conn.pool.wait(ctx, request)
	if err != nil {
		return err
	}
	conn.slot = granted.slot
	return nil
}

// NeedsSlot reports whether the next statement on the connection needs a slot of the server, see Admit.
func (conn *Conn) NeedsSlot() bool {
	conn.pool.mutex.Lock()
	defer conn.pool.mutex.Unlock()
	return conn.slot == nil && conn.pool.isScheduled()
}

// isScheduled reports whether statements need slots. The mutex must be held.
func (pool *Pool) isScheduled() bool {
	_, ok := pool.room.(*scheduledRoom)
	return ok && !pool.closed
}

// slot is the right to run one statement at the server. A nil slot needs not be freed.
type slot struct {
	room         *scheduledRoom
	organisation ids.OrganisationID
	priority     int
	takenAt      time.Duration
	// ended reports whether the statement ran to its end, so that the time shows its work.
	ended bool
}

// free returns the slot. The mutex of the pool must be held.
func (slot *slot) free() {
	if slot == nil {
		return
	}
	slot.room.queue.Done()
	slot.room.pool.observer.ended()
	if slot.ended {
		slot.room.estimates.Observe(slot.organisation, slot.priority, clock.Now()-slot.takenAt)
	}
}

// freeSlot frees the slot of the connection, if it has one.
func (conn *Conn) freeSlot() {
	if conn.slot == nil {
		return
	}
	conn.pool.mutex.Lock()
	defer conn.pool.mutex.Unlock()
	conn.slot.free()
	conn.slot = nil
	conn.pool.dispatch()
}

// scheduledRoom serves waiters in the order of a schedule.
type scheduledRoom struct {
	pool      *Pool
	queue     *schedule.Queue
	estimates schedule.Estimates
	// control holds the control statements.
	control listRoom
	// waiters and tickets hold the waiters in the queue.
	waiters map[schedule.Ticket]*waiter
	tickets map[*waiter]schedule.Ticket
	// decidedAt is the time of the last decision of next.
	decidedAt time.Duration
}

func newScheduledRoom(pool *Pool, policy schedule.Policy) *scheduledRoom {
	return &scheduledRoom{
		pool: pool, queue: schedule.New(policy), control: listRoom{pool: pool},
		waiters: make(map[schedule.Ticket]*waiter), tickets: make(map[*waiter]schedule.Ticket),
	}
}

func (room *scheduledRoom) len() int { return room.control.len() + room.queue.Len() }

func (room *scheduledRoom) add(waiting *waiter) error {
	if waiting.Any {
		return room.control.add(waiting)
	}
	left := time.Until(waiting.deadline)
	if expected := room.connectionWait(waiting); expected > 0 && expected > left {
		return room.refuse(waiting, schedule.Refusal{Cause: noConnection, Expected: expected, Left: left, RoomIn: expected - left, Waiting: room.queue.Len()})
	}
	now := clock.Now()
	ticket, refusal, ok := room.queue.Push(now, room.entry(waiting, now+left))
	if ok {
		room.waiters[ticket], room.tickets[waiting] = waiting, ticket
	}
	room.deliverRefusals()
	if !ok {
		return room.refuse(waiting, refusal)
	}
	room.pool.observer.waiting(1)
	return nil
}

// entry describes the waiter, which must be served by the given boot time.
func (room *scheduledRoom) entry(waiting *waiter, latestStart time.Duration) schedule.Entry {
	work, arrived := waiting.Work, waiting.Arrived
	if work == 0 {
		work = room.estimates.Expect(waiting.Organisation, waiting.Priority)
	}
	if arrived == 0 {
		arrived = clock.Now()
	}
	return schedule.Entry{
		Organisation: waiting.Organisation, Priority: waiting.Priority, Arrived: arrived, Objective: waiting.Objective,
		Deadline: latestStart + work, Work: work, Continues: waiting.Continues, PrimaryOnly: waiting.PrimaryOnly,
	}
}

// noConnection means that slots are free, but all connections are held by open transactions.
const noConnection schedule.Cause = "no_connection"

// connectionWait returns how long the waiter is expected to wait for a connection while slots are free.
func (room *scheduledRoom) connectionWait(waiting *waiter) time.Duration {
	if waiting.Continues || room.queue.IsFull() || room.pool.mayReserve(waiting.Request) {
		return 0
	}
	if room.pool.isPaused() {
		return time.Until(room.pool.pausedUntil)
	}
	return balance.QueueDelay(room.queue.Len(), room.pool.limit, room.pool.avgHold)
}

func (room *scheduledRoom) next() *waiter {
	if first := room.control.next(); first != nil && room.pool.mayReserve(first.Request) {
		return first
	}
	room.decidedAt = clock.Now()
	ticket, ok := room.queue.Next(room.decidedAt)
	room.deliverRefusals()
	if !ok {
		return nil
	}
	return room.waiters[ticket]
}

func (room *scheduledRoom) take(waiting *waiter) *slot {
	if waiting.Any {
		return room.control.take(waiting)
	}
	room.queue.Pop(room.decidedAt)
	room.forget(waiting)
	room.pool.observer.started(waiting.Priority, time.Since(waiting.arrived))
	return &slot{room: room, organisation: waiting.Organisation, priority: waiting.Priority, takenAt: clock.Now()}
}

func (room *scheduledRoom) forget(waiting *waiter) {
	delete(room.waiters, room.tickets[waiting])
	delete(room.tickets, waiting)
	room.pool.observer.waiting(-1)
}

// deliverRefusals tells the waiters that have become impossible to serve.
func (room *scheduledRoom) deliverRefusals() {
	for _, refused := range room.queue.TakeRefused() {
		waiting := room.waiters[refused.Ticket]
		room.forget(waiting)
		waiting.grant <- grant{err: room.refuse(waiting, refused.Refusal)}
	}
}

// refuse returns the error for a waiter that can't be served in time.
func (room *scheduledRoom) refuse(waiting *waiter, refusal schedule.Refusal) error {
	full := &QueueFullError{
		Server: room.pool.server.ID, RoomIn: refusal.RoomIn, Expected: refusal.Expected, Left: refusal.Left, Cause: refusal.Cause,
		Waiting: refusal.Waiting, Running: room.queue.Running(),
	}
	room.pool.observer.refused(waiting, full)
	return full
}

func (room *scheduledRoom) remove(waiting *waiter) bool {
	if waiting.Any {
		return room.control.remove(waiting)
	}
	ticket, ok := room.tickets[waiting]
	if !ok {
		return false
	}
	room.queue.Remove(ticket)
	room.forget(waiting)
	return true
}

func (room *scheduledRoom) removeAll() []*waiter {
	waiters := room.control.removeAll()
	for waiting := range room.tickets {
		waiters = append(waiters, waiting)
	}
	for _, waiting := range waiters {
		room.remove(waiting)
	}
	slices.SortFunc(waiters, func(one, other *waiter) int { return one.arrived.Compare(other.arrived) })
	return waiters
}
