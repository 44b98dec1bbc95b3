package dbpool

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"dotterelgw/core/answer"
	"dotterelgw/core/ids"
	"dotterelgw/core/schedule"
	"dotterelgw/core/statement"
)

const (
	// dialTimeout bounds the opening of a connection: it takes 12 ms on a free server, and longer if all slots are
	// taken.
	dialTimeout = 700 * time.Millisecond
	// conclusiveDial is the time within which a server that can be reached is expected to accept a connection. Less is often left after a
	// wait, and says nothing about the server.
	conclusiveDial = 100 * time.Millisecond
	// tooManyPause is how long the pool opens no connection after the server refused one because it had too many.
	tooManyPause = 150 * time.Millisecond
)

var (
	// ErrAcquireTimeout reports that no connection became free in time. Nothing was sent.
	ErrAcquireTimeout = errors.New("no connection became free in time")
	// ErrQueueFull reports that no connection is expected to become free in time. Nothing was sent.
	ErrQueueFull = errors.New("too many requests are waiting for a connection")
	// ErrClosed reports that the server was removed or the process is stopping. Nothing was sent.
	ErrClosed = errors.New("connection pool is closed")
	// ErrSuspended reports that nothing of callers may be sent to the server at present. Nothing was sent.
	ErrSuspended = errors.New("connection pool is suspended")
)

// QueueFullError reports that no connection, or no slot of the server, is expected to become free in time. It wraps ErrQueueFull.
type QueueFullError struct {
	// Server is the server that is too busy.
	Server ids.BackendServerID
	// RoomIn is the time after which there is room for the caller; 0 if it isn't known.
	RoomIn time.Duration
	// Expected is the expected wait, and Left the time within which the request would have had to be served.
	Expected, Left time.Duration
	// Cause tells why a schedule refused the request; empty without one.
	Cause schedule.Cause
	// Waiting is the number of requests that wait, and Running the number of statements that run under the schedule.
	Waiting, Running int
}

// Error implements error.Error.
func (full *QueueFullError) Error() string {
	text := fmt.Sprintf("%s: expected wait of %v", full.Server, full.Expected)
	if full.Cause != "" {
		text += fmt.Sprintf(", %v left, %d waiting, %d running, room in %v (%s)", full.Left, full.Waiting, full.Running, full.RoomIn, full.Cause)
	}
	return text + ": " + ErrQueueFull.Error()
}

// Unwrap returns ErrQueueFull.
func (full *QueueFullError) Unwrap() error { return ErrQueueFull }

// Request describes for whom a connection is requested.
type Request struct {
	// Organisation is the organisation whose statements the connection will carry.
	Organisation ids.OrganisationID
	// Priority orders waiting requests; lower values are served first, 0 before all others.
	Priority int
	// Any accepts a connection of any organisation. It is set for control statements of the proxy.
	Any bool
	// Arrived is the boot time at which the operation arrived first; 0 means now.
	Arrived time.Duration
	// Objective is the target latency of the operation, counted from Arrived; 0 means unknown.
	Objective time.Duration
	// Work is the time for which the server is expected to run the statement; 0 means unknown.
	Work time.Duration
	// Continues reports whether the request is for another statement on a connection that is held.
	Continues bool
	// PrimaryOnly reports whether no replica could run the statement.
	PrimaryOnly bool
}

// grant is the answer to a request: a connection, or nil as permission to open one, with the slot of the server if there is a
// schedule; or the reason for a refusal.
type grant struct {
	conn *Conn
	slot *slot
	err  error
}

// Acquire returns a connection for the request, with a slot of the server if the pool has a schedule. If it returns an error, nothing
// was sent.
func (pool *Pool) Acquire(ctx context.Context, request Request) (*Conn, error) {
	began := time.Now()
	granted, err := pool.wait(ctx, request)
	if err != nil {
		return nil, err
	}
	if conn := granted.conn; conn != nil {
		conn.acquiredAt, conn.slot = time.Now(), granted.slot
		return conn, nil
	}
	if ctx.Err() != nil {
		pool.openFailed(granted.slot)
		return nil, fmt.Errorf("%s: %w", pool.server.ID, ErrAcquireTimeout)
	}
	if granted.slot != nil {
		// Under a schedule requests also wait for slots, during which no connection is held.
		began = time.Now()
	}
	conn, err := pool.dial(ctx, request.Organisation, began, granted.slot)
	if err == nil && pool.excludes(request) {
		conn.Release(statement.Idle)
		return nil, fmt.Errorf("%s: %w", pool.server.ID, ErrSuspended)
	}
	return conn, err
}

// wait returns what the request was granted.
func (pool *Pool) wait(ctx context.Context, request Request) (grant, error) {
	waiting := newWaiter(ctx, request)
	if err := pool.enter(waiting); err != nil {
		return grant{}, err
	}
	select {
	case granted := <-waiting.grant:
		return granted, granted.err
	case <-ctx.Done():
	}
	if pool.cancelWait(waiting) {
		return grant{}, fmt.Errorf("%s: %w", pool.server.ID, ErrAcquireTimeout)
	}
	granted := <-waiting.grant
	return granted, granted.err
}

func (pool *Pool) enter(waiting *waiter) error {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	switch {
	case pool.suspended && !waiting.Any:
		return fmt.Errorf("%s: %w", pool.server.ID, ErrSuspended)
	case waiting.Continues && !pool.isScheduled():
		waiting.grant <- grant{}
		return nil
	case pool.closed:
		return ErrClosed
	}
	if err := pool.room.add(waiting); err != nil {
		return err
	}
	pool.dispatch()
	return nil
}

// cancelWait removes a waiter from the queue; false if it was served or refused in the meantime.
func (pool *Pool) cancelWait(waiting *waiter) bool {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	return pool.room.remove(waiting)
}

// opened counts the connections that this process has opened.
var opened atomic.Int64

// dial opens a connection, for which there is permission since the time.
func (pool *Pool) dial(ctx context.Context, organisation ids.OrganisationID, since time.Time, slot *slot) (*Conn, error) {
	deadline := deadlineOf(ctx)
	conclusive := time.Until(deadline) >= conclusiveDial
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	link, err := pool.dialer.Dial(ctx, pool.server, organisation)
	if err != nil {
		pool.pauseAfter(err)
		pool.openFailed(slot)
		if !conclusive && !time.Now().Before(deadline) {
			return nil, fmt.Errorf("%s: %w: opening a connection: %w", pool.server.ID, ErrAcquireTimeout, err)
		}
		return nil, fmt.Errorf("opening a connection: %w", err)
	}
	conn := &Conn{link: link, pool: pool, organisation: organisation, acquiredAt: since, slot: slot, number: opened.Add(1)}
	if _, ok := link.(orderedLink); ok {
		conn.answers = new(answer.Tracker)
	}
	return conn, nil
}

// pauseAfter stops opening connections for a while if the server has too many.
func (pool *Pool) pauseAfter(err error) {
	var refused *RefusedError
	if !errors.As(err, &refused) || refused.Code != statement.TooManyConnections {
		return
	}
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	pool.pausedUntil = time.Now().Add(tooManyPause)
	time.AfterFunc(tooManyPause, pool.retry)
}

// retry serves waiters after a pause.
func (pool *Pool) retry() {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	pool.dispatch()
}

// openFailed records that a permission to open a connection was not used, or in vain.
func (pool *Pool) openFailed(slot *slot) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	pool.open--
	slot.free()
	pool.dispatch()
}
