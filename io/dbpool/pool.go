package dbpool

import (
	"sync"
	"sync/atomic"
	"time"

	"dotterelgw/core/catalog"
	"dotterelgw/core/ids"
)

const (
	// controlConnections is the number of connections beyond the limit for control statements of the proxy, which must
	// not wait for transactions of callers.
	controlConnections = 1
	// holdWeight is the weight of the latest hold time in the moving average.
	holdWeight = 0.1
)

// Pool holds the connections of this VM to one backend server.
type Pool struct {
	server catalog.Server
	dialer Dialer
	// awaitsSetUp reports whether the server has refused to set up a session. A statement that left together with the refused call ran with
	// other values than those of its session.
	awaitsSetUp atomic.Bool
	// answersTwice reports whether the server has sent an answer that belongs to no call of its own.
	answersTwice atomic.Bool

	mutex sync.Mutex
	limit int
	// idleTimeout is how long an idle connection is kept; 0 means no limit. sweepScheduled reports whether a sweep of the
	// idle connections is scheduled.
	idleTimeout    time.Duration
	sweepScheduled bool
	// open counts the connections that exist or are being opened.
	open int
	// idle holds the unused connections, longest idle first.
	idle []*Conn
	// room holds the requests that wait. observer is told what its schedule decides.
	room     waitingRoom
	observer *ScheduleObserver
	// answers is told of answers that can't belong to a call.
	answers *AnswerObserver
	// pausedUntil is the time until which no connection is opened.
	pausedUntil time.Time
	// avgHold is the moving average of the time for which a connection is held.
	avgHold time.Duration
	closed  bool
	// suspended reports whether only control statements of the proxy get a connection.
	suspended bool
}

// New returns an empty pool.
func New(server catalog.Server, dialer Dialer, limit int) *Pool {
	pool := &Pool{server: server, dialer: dialer, limit: limit}
	pool.room = &listRoom{pool: pool}
	return pool
}

// SetLimit changes the maximum number of connections.
func (pool *Pool) SetLimit(limit int) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	pool.limit = limit
	for pool.open > limit && len(pool.idle) > 0 {
		pool.evict()
	}
	pool.dispatch()
}

// SetIdleTimeout changes how long an idle connection is kept; 0 means no limit.
func (pool *Pool) SetIdleTimeout(idleTimeout time.Duration) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	pool.idleTimeout = idleTimeout
	pool.scheduleSweep()
}

// scheduleSweep schedules the next sweep for when the longest idle connection reaches the idle timeout. The mutex must
// be held.
func (pool *Pool) scheduleSweep() {
	if pool.idleTimeout > 0 && !pool.sweepScheduled && len(pool.idle) > 0 {
		pool.sweepScheduled = true
		time.AfterFunc(pool.idleTimeout-time.Since(pool.idle[0].idleAt), pool.sweep)
	}
}

// sweep closes the connections that have reached the idle timeout.
func (pool *Pool) sweep() {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	pool.sweepScheduled = false
	for pool.idleTimeout > 0 && len(pool.idle) > 0 && time.Since(pool.idle[0].idleAt) >= pool.idleTimeout {
		pool.evict()
	}
	pool.scheduleSweep()
}

// State describes a pool for the choice of a server.
type State struct {
	// Busy is the number of connections in use.
	Busy int
	// Waiting is the number of requests that wait for a connection.
	Waiting int
	// Matching reports whether a connection of the organisation is idle.
	Matching bool
	// Free reports whether a connection can be opened without closing another one.
	Free bool
	// Evictable reports whether an idle connection can be closed to make room.
	Evictable bool
}

// State returns the current state of the pool for the organisation.
func (pool *Pool) State(organisation ids.OrganisationID) State {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	state := State{
		Busy: pool.open - len(pool.idle), Waiting: pool.room.len(),
		Free: pool.open < pool.limit && time.Now().After(pool.pausedUntil), Evictable: len(pool.idle) > 0,
	}
	for _, conn := range pool.idle {
		if conn.organisation == organisation {
			state.Matching = true
		}
	}
	return state
}

func (pool *Pool) release(conn *Conn, usable bool) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	conn.slot.free()
	conn.slot = nil
	pool.avgHold += time.Duration(holdWeight * float64(time.Since(conn.acquiredAt)-pool.avgHold))
	if !usable || pool.closed || pool.open > pool.limit || pool.suspended && pool.open > controlConnections {
		pool.open--
		go conn.link.Close(!conn.broken)
	} else {
		conn.idleAt = time.Now()
		pool.idle = append(pool.idle, conn)
		pool.scheduleSweep()
	}
	pool.dispatch()
}

// dispatch serves waiters while a connection is idle or may be opened. The mutex must be held.
func (pool *Pool) dispatch() {
	for waiting := pool.room.next(); waiting != nil; waiting = pool.room.next() {
		var conn *Conn
		if !waiting.Continues {
			reserved, ok := pool.reserve(waiting.Request)
			if !ok {
				return
			}
			conn = reserved
		}
		waiting.grant <- grant{conn: conn, slot: pool.room.take(waiting)}
	}
}

// matchingIdle returns the index of the most recently used idle connection that fits the request, or -1.
func (pool *Pool) matchingIdle(request Request) int {
	for index := len(pool.idle) - 1; index >= 0; index-- {
		if request.Any || pool.idle[index].organisation == request.Organisation {
			return index
		}
	}
	return -1
}

// reserve returns an idle connection, or nil as permission to open one; false if neither is available.
func (pool *Pool) reserve(request Request) (*Conn, bool) {
	for {
		index := pool.matchingIdle(request)
		if index < 0 {
			break
		}
		conn := pool.idle[index]
		pool.idle = append(pool.idle[:index], pool.idle[index+1:]...)
		if conn.link.Usable() {
			return conn, true
		}
		conn.reportSurplus()
		pool.open--
		conn.link.Close(false)
	}
	if !pool.mayReserve(request) {
		return nil, false
	}
	if pool.open >= pool.limitFor(request) || pool.isPaused() {
		pool.evict()
	}
	pool.open++
	return nil, true
}

// mayReserve reports whether a connection is idle for the request, or may be opened.
func (pool *Pool) mayReserve(request Request) bool {
	if pool.matchingIdle(request) >= 0 {
		return true
	}
	if pool.isPaused() {
		return pool.isScheduled() && len(pool.idle) > 0
	}
	return pool.open < pool.limitFor(request) || len(pool.idle) > 0
}

// isPaused reports whether the server has refused a connection recently. Under a schedule one connection may replace another one
// meanwhile, so that a request without a connection doesn't hold up those behind it.
func (pool *Pool) isPaused() bool { return time.Now().Before(pool.pausedUntil) && pool.open > 0 }

// limitFor returns the number of connections that may be open for the request.
func (pool *Pool) limitFor(request Request) int {
	if request.Any {
		return pool.limit + controlConnections
	}
	return pool.limit
}

// evict closes the connection that has been idle the longest.
func (pool *Pool) evict() {
	conn := pool.idle[0]
	pool.idle = pool.idle[1:]
	pool.open--
	conn.link.Close(true)
}

// Close closes the idle connections and refuses further requests. Connections in use are closed when they are released.
func (pool *Pool) Close() {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	pool.closed = true
	for len(pool.idle) > 0 {
		pool.evict()
	}
	for _, waiting := range pool.room.removeAll() {
		if !waiting.Continues {
			pool.open++
		}
		waiting.grant <- grant{}
	}
}
