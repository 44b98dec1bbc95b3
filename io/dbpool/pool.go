package dbpool

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"dotterelgw/core/balance"
	"dotterelgw/core/catalog"
	"dotterelgw/core/ids"
	"dotterelgw/core/statement"
)

const (
	// dialTimeout bounds the opening of a connection: 12 ms on a free server, more where all slots are taken.
	dialTimeout = 700 * time.Millisecond
	// crowdedPause is how long a pool opens nothing after the server had too many connections.
	crowdedPause = 150 * time.Millisecond
	// quietAfter is the idle time after which a connection is checked before use.
	quietAfter = 50 * time.Millisecond
	// controlConnections is the number of connections beyond the limit for statements of the proxy's own, which must not
	// wait for transactions of callers.
	controlConnections = 1
	// holdGain is the weight of the last hold in the average.
	holdGain = 0.1
	// matchPatience is how long a request may be passed by others that match an idle connection.
	matchPatience = 40 * time.Millisecond
)

var (
	// ErrNoConnection states that no connection became free in time; nothing was sent.
	ErrNoConnection = errors.New("no connection became free")
	// ErrCrowded states that no connection is expected to become free in time; nothing was sent.
	ErrCrowded = errors.New("too many requests wait for a connection")
	// ErrClosed states that the server is gone or the process ends; nothing was sent.
	ErrClosed = errors.New("the pool is closed")
)

// Pool holds the connections of this VM to one backend server.
type Pool struct {
	server catalog.Server
	dialer Dialer

	mutex sync.Mutex
	limit int
	// keep is how long an idle connection is kept; 0 means for ever. sweeping states that a look at the idle ones is due.
	keep     time.Duration
	sweeping bool
	// open counts the connections that exist or are being opened.
	open int
	// idle holds the connections that nobody uses, longest idle first.
	idle    []*Conn
	waiters []*waiter
	// crowdedUntil is the time up to which nothing is opened.
	crowdedUntil time.Time
	// hold is the average time for which a connection is held.
	hold   time.Duration
	closed bool
}

// waiter is a request for a connection; grant gets a connection, or nil as the permission to open one.
type waiter struct {
	Request
	arrived time.Time
	grant   chan *Conn
}

// Request says for whom a connection is wanted.
type Request struct {
	// Organisation is whose statements the connection carries.
	Organisation ids.OrganisationID
	// Priority orders waiting requests; 0 comes first.
	Priority int
	// Any accepts a connection of any organisation, for statements of the proxy's own.
	Any bool
}

// New returns a pool without connections.
func New(server catalog.Server, dialer Dialer, limit int) *Pool {
	return &Pool{server: server, dialer: dialer, limit: limit}
}

// SetLimit changes the greatest number of connections.
func (pool *Pool) SetLimit(limit int) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	pool.limit = limit
	for pool.open > limit && len(pool.idle) > 0 {
		pool.evict()
	}
	pool.dispatch()
}

// SetKeep changes how long an idle connection is kept; 0 means for ever.
func (pool *Pool) SetKeep(keep time.Duration) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	pool.keep = keep
	pool.sweepLater()
}

// sweepLater has connections closed that will have been idle for too long. The mutex is held.
func (pool *Pool) sweepLater() {
	if pool.keep > 0 && !pool.sweeping && len(pool.idle) > 0 {
		pool.sweeping = true
		time.AfterFunc(pool.keep-time.Since(pool.idle[0].idleAt), pool.sweep)
	}
}

// sweep closes the connections that have been idle for too long.
func (pool *Pool) sweep() {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	pool.sweeping = false
	for pool.keep > 0 && len(pool.idle) > 0 && time.Since(pool.idle[0].idleAt) >= pool.keep {
		pool.evict()
	}
	pool.sweepLater()
}

// State is what the choice of a server needs to know of a pool.
type State struct {
	// Busy is the number of connections in use.
	Busy int
	// Waiting is the number of requests that wait for a connection.
	Waiting int
	// Matching states that a connection of the organisation is idle.
	Matching bool
	// Free states that a connection can be opened without closing another.
	Free bool
	// Evictable states that an idle connection of another organisation can make room.
	Evictable bool
}

// State returns the pool's present state for the organisation.
func (pool *Pool) State(organisation ids.OrganisationID) State {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	state := State{
		Busy: pool.open - len(pool.idle), Waiting: len(pool.waiters),
		Free: pool.open < pool.limit && time.Now().After(pool.crowdedUntil), Evictable: len(pool.idle) > 0,
	}
	for _, conn := range pool.idle {
		if conn.organisation == organisation {
			state.Matching = true
		}
	}
	return state
}

// Acquire returns a connection for the request. Whatever the error, nothing was sent.
func (pool *Pool) Acquire(ctx context.Context, request Request) (*Conn, error) {
	pool.mutex.Lock()
	if pool.closed {
		pool.mutex.Unlock()
		return nil, ErrClosed
	}
	if expected, deadline := pool.expectedWait(request), deadlineOf(ctx); expected > time.Until(deadline) {
		pool.mutex.Unlock()
		return nil, fmt.Errorf("%s: expected wait of %v: %w", pool.server.ID, expected, ErrCrowded)
	}
	waiting := &waiter{Request: request, arrived: time.Now(), grant: make(chan *Conn, 1)}
	pool.waiters = append(pool.waiters, waiting)
	pool.dispatch()
	pool.mutex.Unlock()
	select {
	case conn := <-waiting.grant:
		return pool.granted(ctx, waiting, conn)
	case <-ctx.Done():
	}
	if pool.withdraw(waiting) {
		return nil, fmt.Errorf("%s: %w", pool.server.ID, ErrNoConnection)
	}
	conn := <-waiting.grant
	if conn == nil {
		pool.forget()
		return nil, fmt.Errorf("%s: %w", pool.server.ID, ErrNoConnection)
	}
	conn.takenAt = time.Now()
	return conn, nil
}

// expectedWait returns how long the request is expected to wait behind those that come before it. The mutex is held.
func (pool *Pool) expectedWait(request Request) time.Duration {
	ahead := 0
	for _, waiting := range pool.waiters {
		if waiting.Priority <= request.Priority {
			ahead++
		}
	}
	return balance.Wait(ahead, pool.limit, pool.hold)
}

// deadlineOf returns the context's deadline, far in the future if it has none.
func deadlineOf(ctx context.Context) time.Time {
	if deadline, ok := ctx.Deadline(); ok {
		return deadline
	}
	return time.Now().Add(time.Hour)
}

// withdraw takes a waiter out of the queue; false if it was served meanwhile.
func (pool *Pool) withdraw(waiting *waiter) bool {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	for index, candidate := range pool.waiters {
		if candidate == waiting {
			pool.waiters = append(pool.waiters[:index], pool.waiters[index+1:]...)
			return true
		}
	}
	return false
}

// granted turns a grant into a connection, opening one if it is a permission.
func (pool *Pool) granted(ctx context.Context, waiting *waiter, conn *Conn) (*Conn, error) {
	if conn != nil {
		conn.takenAt = time.Now()
		return conn, nil
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	link, err := pool.dialer.Dial(ctx, pool.server, waiting.Organisation)
	if err != nil {
		pool.refused(err)
		return nil, fmt.Errorf("opening a connection: %w", err)
	}
	return &Conn{link: link, pool: pool, organisation: waiting.Organisation, takenAt: waiting.arrived}, nil
}

// refused counts a connection that could not be opened.
func (pool *Pool) refused(err error) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	pool.open--
	var refusal *RefusedError
	if errors.As(err, &refusal) && refusal.Code == statement.TooManyConnections {
		pool.crowdedUntil = time.Now().Add(crowdedPause)
		time.AfterFunc(crowdedPause, pool.retry)
	}
	pool.dispatch()
}

// retry serves waiters after a pause.
func (pool *Pool) retry() {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	pool.dispatch()
}

// forget counts a connection that is gone or was never opened.
func (pool *Pool) forget() {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	pool.open--
	pool.dispatch()
}

func (pool *Pool) release(conn *Conn, usable bool) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	pool.hold += time.Duration(holdGain * float64(time.Since(conn.takenAt)-pool.hold))
	if !usable || pool.closed || pool.open > pool.limit {
		pool.open--
		go conn.link.Close(!conn.broken)
	} else {
		conn.idleAt = time.Now()
		pool.idle = append(pool.idle, conn)
		pool.sweepLater()
	}
	pool.dispatch()
}

// dispatch serves waiters while a connection is idle or may be opened. The mutex is held.
func (pool *Pool) dispatch() {
	for len(pool.waiters) > 0 {
		index := pool.next()
		waiting := pool.waiters[index]
		conn, ok := pool.take(waiting)
		if !ok {
			return
		}
		pool.waiters = append(pool.waiters[:index], pool.waiters[index+1:]...)
		waiting.grant <- conn
	}
}

// next returns the waiter to serve: by priority, then by arrival; one that matches an idle connection passes others that
// have not waited long.
func (pool *Pool) next() int {
	best := 0
	for index, waiting := range pool.waiters[1:] {
		if waiting.Priority < pool.waiters[best].Priority {
			best = index + 1
		}
	}
	first := pool.waiters[best]
	if time.Since(first.arrived) > matchPatience || pool.matching(first.Request) >= 0 {
		return best
	}
	for index, waiting := range pool.waiters {
		if waiting.Priority == first.Priority && pool.matching(waiting.Request) >= 0 {
			return index
		}
	}
	return best
}

// matching returns the index of the connection used last among the idle ones that fit, or -1.
func (pool *Pool) matching(request Request) int {
	for index := len(pool.idle) - 1; index >= 0; index-- {
		if request.Any || pool.idle[index].organisation == request.Organisation {
			return index
		}
	}
	return -1
}

// take returns an idle connection, or nil as the permission to open one; false if neither can be had.
func (pool *Pool) take(waiting *waiter) (*Conn, bool) {
	for {
		index := pool.matching(waiting.Request)
		if index < 0 {
			break
		}
		conn := pool.idle[index]
		pool.idle = append(pool.idle[:index], pool.idle[index+1:]...)
		if time.Since(conn.idleAt) < quietAfter || conn.link.Quiet() {
			return conn, true
		}
		pool.open--
		conn.link.Close(false)
	}
	if time.Now().Before(pool.crowdedUntil) && pool.open > 0 {
		return nil, false
	}
	limit := pool.limit
	if waiting.Any {
		limit += controlConnections
	}
	if pool.open >= limit {
		if len(pool.idle) == 0 {
			return nil, false
		}
		pool.evict()
	}
	pool.open++
	return nil, true
}

// evict closes the connection that was idle the longest.
func (pool *Pool) evict() {
	conn := pool.idle[0]
	pool.idle = pool.idle[1:]
	pool.open--
	conn.link.Close(true)
}

// Close closes the idle connections and refuses further requests; connections in use close as they are released.
func (pool *Pool) Close() {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	pool.closed = true
	for len(pool.idle) > 0 {
		pool.evict()
	}
	for _, waiting := range pool.waiters {
		pool.open++
		waiting.grant <- nil
	}
	pool.waiters = nil
}
