package intake

import (
	"errors"
	"fmt"
	"net"
	"runtime"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"dotterelgw/core/budget"
	"dotterelgw/io/observe"
)

// ErrShort reports that a connection got no memory, or was closed since others needed what it held.
var ErrShort = errors.New("memory for callers is short")

const (
	// patience is how long a connection waits for memory before others are closed for it. Reading stops meanwhile, so that the peer
	// is slowed down.
	patience = 100 * time.Millisecond
	// maxWait bounds the wait for memory.
	maxWait = 2 * time.Second
	// searchPause is the time after a search for connections to close for newcomers that found none. A connection has to be
	// idle or stalled for ten times as long.
	searchPause = 100 * time.Millisecond
	// closeBatch is the divisor of the number of connections that are closed at once when there are too many, so that the choice is
	// made once for many newcomers.
	closeBatch = 64
	// collectShare is the divisor of the budget that is given back between collections.
	collectShare = 4
)

// Limits holds what callers may take together.
type Limits struct {
	// Memory is the budget in bytes.
	Memory budget.Bytes
	// Connections is the maximum number of connections.
	Connections int
	// Starting is the maximum number of connections without a start-up.
	Starting int
	// MessageTimeout bounds the time from the first byte of a message to its last one.
	MessageTimeout time.Duration
	// AnswerTimeout bounds the time until the caller has taken the next part of an answer.
	AnswerTimeout time.Duration
}

// Intake admits connections and holds the budget. It is safe for concurrent use.
type Intake struct {
	eventLog *observe.EventLog
	started  time.Time
	counters counters

	mutex       sync.Mutex
	limits      Limits
	budget      *budget.Budget
	connections map[budget.ConnectionID]*Connection
	lastID      budget.ConnectionID
	// closing counts the connections that are to end and have not yet, closingHeld is what they hold.
	closing     int
	closingHeld budget.Bytes
	// any and withoutStartUp search for connections to close for newcomers.
	any, withoutStartUp search
	// released is closed and replaced when memory is given back or a connection is to end.
	released chan struct{}
	// uncollected is what was given back since the last collection that the intake asked for.
	uncollected budget.Bytes
}

// search looks for connections to close for newcomers.
type search struct {
	eligible func(connection budget.Connection) bool
	// pausedUntil is the time until which there is no search, since the last one found none.
	pausedUntil time.Duration
}

// counters counts what clients outside the limits cause.
type counters struct {
	closedForMemory, closedForConnections, refusedMemory, refusedConnections, waits metrics.Counter
}

// New returns an intake without connections.
func New(limits Limits, eventLog *observe.EventLog, registry metrics.Registry) *Intake {
	intake := &Intake{
		eventLog: eventLog, started: time.Now(), limits: limits, budget: budget.New(limits.Memory),
		connections: make(map[budget.ConnectionID]*Connection), released: make(chan struct{}),
		any:            search{eligible: func(budget.Connection) bool { return true }},
		withoutStartUp: search{eligible: func(connection budget.Connection) bool { return connection.Activity == budget.Starting }},
		counters: counters{
			closedForMemory:      metrics.GetOrRegisterCounter("callers_closed_for_memory", registry),
			closedForConnections: metrics.GetOrRegisterCounter("callers_closed_for_connections", registry),
			refusedMemory:        metrics.GetOrRegisterCounter("callers_refused_memory", registry),
			refusedConnections:   metrics.GetOrRegisterCounter("callers_refused_connections", registry),
			waits:                metrics.GetOrRegisterCounter("callers_memory_waits", registry),
		},
	}
	metrics.NewRegisteredFunctionalGauge("callers_memory_bytes", registry, func() int64 { return int64(intake.held()) })
	return intake
}

func (intake *Intake) held() budget.Bytes {
	intake.mutex.Lock()
	defer intake.mutex.Unlock()
	return intake.budget.Held()
}

// SetLimits changes the limits; connections that are admitted already keep their timeouts.
func (intake *Intake) SetLimits(limits Limits) {
	intake.mutex.Lock()
	defer intake.mutex.Unlock()
	intake.limits = limits
	intake.budget.SetCapacity(limits.Memory)
}

// now returns the time since the start of the intake.
func (intake *Intake) now() time.Duration { return time.Since(intake.started) }

// Admit returns the connection of a caller, nil if there are too many. Stalled and idle connections are closed for newcomers.
func (intake *Intake) Admit(conn net.Conn) *Connection {
	intake.mutex.Lock()
	defer intake.mutex.Unlock()
	intake.makeRoom()
	if len(intake.connections) >= intake.limits.Connections {
		intake.counters.refusedConnections.Inc(1)
		intake.eventLog.LimitedEvent("connection_refused", "sessions", len(intake.connections), "limit", intake.limits.Connections)
		return nil
	}
	intake.lastID++
	connection := &Connection{intake: intake, conn: conn, id: intake.lastID, limits: intake.limits}
	connection.Enter(budget.Starting)
	intake.connections[connection.id] = connection
	return connection
}

// makeRoom closes connections if there are nearly too many, or too many without a start-up. The mutex is held.
func (intake *Intake) makeRoom() {
	limit := intake.limits.Connections
	batch := max(limit/closeBatch, 1)
	if len(intake.connections)+batch > limit {
		intake.closeMany(&intake.any, batch)
	} else if starting := intake.limits.Starting; len(intake.connections) >= starting && intake.starting() >= starting {
		intake.closeMany(&intake.withoutStartUp, batch)
	}
}

// starting returns the number of connections without a start-up. The mutex is held.
func (intake *Intake) starting() int {
	count := 0
	for _, connection := range intake.connections {
		if connection.activity() == budget.Starting && !connection.closing {
			count++
		}
	}
	return count
}

// closeMany closes up to count connections that the search finds, less those that are being closed already. The mutex is held.
func (intake *Intake) closeMany(search *search, count int) {
	now := intake.now()
	count -= intake.closing
	if count <= 0 || now < search.pausedUntil {
		return
	}
	candidates := make([]budget.Connection, 0, len(intake.connections))
	for _, connection := range intake.connections {
		if described := connection.describe(); !connection.closing && search.eligible(described) {
			candidates = append(candidates, described)
		}
	}
	victims := budget.ForConnections(candidates, count, now)
	if len(victims) == 0 {
		search.pausedUntil = now + searchPause
	}
	for _, id := range victims {
		intake.counters.closedForConnections.Inc(1)
		intake.close(intake.connections[id], "connections")
	}
}

// close ends a connection for others. The mutex is held.
func (intake *Intake) close(connection *Connection, cause string) {
	described := connection.describe()
	connection.closing = true
	intake.closing++
	intake.closingHeld += connection.held
	intake.eventLog.LimitedEvent("caller_closed", "cause", cause, "activity", described.Activity, "since_ms", (intake.now() - described.Since).Milliseconds(),
		"held_bytes", described.Held, "memory_bytes", intake.budget.Held(), "memory_limit_bytes", intake.limits.Memory,
		"connections", len(intake.connections), "connections_limit", intake.limits.Connections)
	connection.evicted.Store(true)
	// An error means that the connection is closed already.
	_ = connection.conn.SetDeadline(time.Unix(1, 0))
	// The connection may be waiting for memory itself.
	intake.wake()
}

// wake wakes all that wait for memory. The mutex is held.
func (intake *Intake) wake() {
	close(intake.released)
	intake.released = make(chan struct{})
}

// Reserve takes bytes that belong to no caller's connection, such as those of an answer that is being received. It waits for them until the
// deadline at most.
func (intake *Intake) Reserve(bytes budget.Bytes, deadline time.Time) error {
	return intake.reserve(nil, bytes, patience, deadline)
}

// Release gives back what Reserve took.
func (intake *Intake) Release(bytes budget.Bytes) {
	intake.mutex.Lock()
	defer intake.mutex.Unlock()
	intake.release(bytes)
}

// release gives bytes back. The buffers behind them are garbage that still fills the memory, so a collection is awaited before more than a
// part of the budget is given to others. The mutex is held.
func (intake *Intake) release(bytes budget.Bytes) {
	intake.uncollected += bytes
	if intake.uncollected*collectShare >= intake.limits.Memory {
		intake.uncollected = 0
		runtime.GC()
	}
	intake.budget.Release(bytes)
	intake.wake()
}

// reserve takes bytes for the connection, or for none. Other connections are closed for it after the patience.
func (intake *Intake) reserve(connection *Connection, bytes budget.Bytes, patience time.Duration, deadline time.Time) error {
	began := time.Now()
	if latest := began.Add(maxWait); deadline.IsZero() || deadline.After(latest) {
		deadline = latest
	}
	for {
		released, err := intake.try(connection, bytes, time.Since(began) >= patience)
		if err != nil || released == nil {
			return err
		}
		now := time.Now()
		if !now.Before(deadline) {
			return intake.refuse(connection, bytes)
		}
		next := deadline
		if patient := began.Add(patience); now.Before(patient) && patient.Before(next) {
			next = patient
		}
		timer := time.NewTimer(next.Sub(now))
		select {
		case <-released:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// try takes the bytes or returns the channel that is closed when memory is given back. With closeOthers it closes connections that rank before
// this one, and returns ErrShort if they would not suffice.
func (intake *Intake) try(connection *Connection, bytes budget.Bytes, closeOthers bool) (<-chan struct{}, error) {
	intake.mutex.Lock()
	defer intake.mutex.Unlock()
	if connection != nil && connection.evicted.Load() {
		return nil, ErrShort
	}
	if intake.budget.Reserve(bytes) {
		if connection != nil {
			connection.hold(bytes)
		}
		return nil, nil
	}
	intake.counters.waits.Inc(1)
	if closeOthers && !intake.closeForBytes(connection, bytes) {
		return nil, intake.refuseLocked(connection, bytes)
	}
	return intake.released, nil
}

// closeForBytes closes connections so that the bytes become free, and returns false if those that may be closed would not suffice. The mutex
// is held.
func (intake *Intake) closeForBytes(connection *Connection, bytes budget.Bytes) bool {
	missing := intake.budget.Missing(bytes) - intake.closingHeld
	if missing <= 0 {
		return true
	}
	candidates := make([]budget.Connection, 0, len(intake.connections))
	for _, other := range intake.connections {
		if !other.closing && other.held > 0 {
			candidates = append(candidates, other.describe())
		}
	}
	asker := budget.Connection{Activity: budget.Working}
	if connection != nil {
		asker = connection.describe()
		asker.Held += bytes
	}
	victims, enough := budget.ForBytes(candidates, asker, missing, intake.now())
	if !enough {
		return false
	}
	for _, id := range victims {
		intake.counters.closedForMemory.Inc(1)
		intake.close(intake.connections[id], "memory")
	}
	return true
}

func (intake *Intake) refuse(connection *Connection, bytes budget.Bytes) error {
	intake.mutex.Lock()
	defer intake.mutex.Unlock()
	return intake.refuseLocked(connection, bytes)
}

// refuseLocked counts and logs that no memory was given. The mutex is held.
func (intake *Intake) refuseLocked(connection *Connection, bytes budget.Bytes) error {
	var described budget.Connection
	if connection != nil {
		described = connection.describe()
	}
	intake.counters.refusedMemory.Inc(1)
	intake.eventLog.LimitedEvent("memory_refused", "activity", described.Activity, "held_bytes", described.Held, "asked_bytes", bytes,
		"memory_bytes", intake.budget.Held(), "memory_limit_bytes", intake.limits.Memory)
	return fmt.Errorf("%d bytes: %w", bytes, ErrShort)
}
