package backend

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"dotterelgw/core/ids"
	"dotterelgw/core/refusal"
	"dotterelgw/core/share"
)

const (
	// openTimeout bounds connecting and logging in; a healthy server takes about 12 ms. Requests that wait for a server
	// that is gone turn to its successor after this time.
	openTimeout = time.Second
	// watchInterval is the interval at which a waiting request is asked whether it still waits for this server.
	watchInterval = 50 * time.Millisecond
	// reopenDelay is the pause after the server reported too many connections, which other VMs may hold.
	reopenDelay = 50 * time.Millisecond
	// sqlStateTooMany is too_many_connections.
	sqlStateTooMany = "53300"
)

// server holds the connections to one backend server and the requests that wait for them.
type server struct {
	login Login
	busy  atomic.Int32

	mutex     sync.Mutex
	allotment int
	// open counts the connections that exist or are being opened.
	open    int
	opening map[ids.DatabaseName]int
	idle    map[ids.DatabaseName][]*Conn
	used    map[ids.OrganisationID]int
	queue   *share.Queue[ids.OrganisationID, *waiter]
	demand  map[ids.DatabaseName]int
	paused  bool
	closed  bool
}

type waiter struct {
	request Request
	result  chan grant
	ticket  share.Ticket[ids.OrganisationID]
}

type grant struct {
	conn    *Conn
	refused *refusal.Refusal
}

func newServer(login Login, allotment int) *server {
	return &server{
		login: login, allotment: allotment,
		opening: make(map[ids.DatabaseName]int),
		idle:    make(map[ids.DatabaseName][]*Conn),
		used:    make(map[ids.OrganisationID]int),
		demand:  make(map[ids.DatabaseName]int),
		queue:   share.New[ids.OrganisationID, *waiter](),
	}
}

func (server *server) acquire(ctx context.Context, request Request) (*Conn, *refusal.Refusal) {
	server.mutex.Lock()
	if server.closed {
		server.mutex.Unlock()
		return nil, refusal.New(refusal.Stopping, "")
	}
	if server.queue.Waiting(request.Organisation) == 0 && server.underLimit(request) {
		// Nobody who could use the connection waits: dispatch serves waiters before a connection stays idle.
		if conn := server.takeIdle(request); conn != nil {
			server.mutex.Unlock()
			return conn, nil
		}
	}
	if limit := request.Limits.Queue; server.queue.Waiting(request.Organisation) >= max(limit, 1) {
		server.mutex.Unlock()
		return nil, refusal.New(refusal.QueueFull, fmt.Sprintf("%d requests wait for %s", limit, request.Server))
	}
	waiting := &waiter{request: request, result: make(chan grant, 1)}
	waiting.ticket = server.queue.Push(request.Organisation, request.Weight, waiting)
	server.demand[request.Database]++
	server.dispatch()
	server.mutex.Unlock()
	return server.await(ctx, waiting)
}

// await waits for a grant until the deadline of the organisation's queue, or until the request turns elsewhere.
func (server *server) await(ctx context.Context, waiting *waiter) (*Conn, *refusal.Refusal) {
	request := &waiting.request
	limit := time.Duration(request.Limits.QueueTimeoutMS) * time.Millisecond
	deadline := time.Now().Add(limit)
	stale := false
	for remaining := limit; remaining > 0 && !stale && ctx.Err() == nil; remaining = time.Until(deadline) {
		timer := time.NewTimer(min(remaining, watchInterval))
		select {
		case granted := <-waiting.result:
			timer.Stop()
			return granted.conn, granted.refused
		case <-timer.C:
			stale = request.Watcher != nil && request.Watcher.Stale(request.Server)
		case <-ctx.Done():
			timer.Stop()
		}
	}
	server.mutex.Lock()
	removed := server.queue.Remove(waiting.ticket)
	if removed {
		server.demand[request.Database]--
	}
	limited := !server.underLimit(*request)
	server.mutex.Unlock()
	switch {
	case !removed:
		granted := <-waiting.result
		return granted.conn, granted.refused
	case stale:
		return nil, refusal.New(refusal.BackendLost, fmt.Sprintf("%s was given up while the request waited", request.Server))
	case limited:
		return nil, refusal.New(refusal.TransactionLimit, fmt.Sprintf("%d connections to %s in use", request.Limits.Transactions, request.Server))
	}
	return nil, refusal.New(refusal.QueueTimeout, fmt.Sprintf("waited %v for %s", limit, request.Server))
}

// underLimit states whether the organisation may hold one more connection. A limit of 0 does not bound.
func (server *server) underLimit(request Request) bool {
	limit := request.Limits.Transactions
	return limit <= 0 || server.used[request.Organisation] < limit
}

// takeIdle hands an idle connection of the database over, most recently used first, so that it is likely to be alive.
func (server *server) takeIdle(request Request) *Conn {
	for {
		conns := server.idle[request.Database]
		if len(conns) == 0 {
			return nil
		}
		conn := conns[len(conns)-1]
		conns[len(conns)-1] = nil
		server.idle[request.Database] = conns[:len(conns)-1]
		if conn.request.Address != request.Address {
			server.discard(conn)
			continue
		}
		if !conn.quiet() {
			server.open--
			conn.fire(answered)
			continue
		}
		conn.request = request
		conn.fire(acquired)
		server.used[request.Organisation]++
		server.busy.Add(1)
		return conn
	}
}

// discard closes an idle connection that is not needed.
func (server *server) discard(conn *Conn) {
	server.open--
	conn.fire(expired)
}

// dispatch hands idle connections to waiters in fair order and opens connections for the rest. The mutex is held.
func (server *server) dispatch() {
	for {
		waiting, ok := server.queue.Pop(func(_ ids.OrganisationID, candidate *waiter) bool {
			return server.underLimit(candidate.request) && len(server.idle[candidate.request.Database]) > 0
		})
		if !ok {
			break
		}
		conn := server.takeIdle(waiting.request)
		if conn == nil {
			// The idle connections turned out to be closed by the server: the waiter waits for a new one.
			waiting.ticket = server.queue.Push(waiting.request.Organisation, waiting.request.Weight, waiting)
			break
		}
		server.demand[waiting.request.Database]--
		waiting.result <- grant{conn: conn}
	}
	if server.paused || server.closed {
		return
	}
	for database, demand := range server.demand {
		if demand == 0 {
			delete(server.demand, database)
			continue
		}
		for server.opening[database] < demand && (server.open < server.allotment || server.evict(database)) {
			server.open++
			server.opening[database]++
			go server.openOne(database)
		}
	}
}

// evict closes an idle connection of another database, to make room for one of the given database.
func (server *server) evict(database ids.DatabaseName) bool {
	if server.open > server.allotment {
		return false
	}
	for other, conns := range server.idle {
		if other == database || len(conns) == 0 {
			continue
		}
		server.idle[other] = conns[1:]
		server.discard(conns[0])
		return true
	}
	return false
}

// openOne opens a connection to the database for whichever waiter is first when it is ready.
func (server *server) openOne(database ids.DatabaseName) {
	server.mutex.Lock()
	request, ok := server.example(database)
	server.mutex.Unlock()
	var conn *Conn
	var err error
	if ok {
		ctx, stop := context.WithTimeout(context.Background(), openTimeout)
		conn, err = server.login.dial(ctx, request)
		stop()
	}
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.opening[database]--
	switch {
	case conn != nil && !server.closed:
		server.idle[database] = append(server.idle[database], conn)
	case conn != nil:
		server.discard(conn)
	default:
		server.open--
	}
	var login *LoginError
	if errors.As(err, &login) && login.SQLState == sqlStateTooMany {
		// Nothing was run, so waiters stay in the queue until a connection is free or their deadline passes.
		server.pause()
	} else if err != nil {
		server.fail(database, err)
	}
	server.dispatch()
	server.trim()
}

// example returns a waiting request for the database, which supplies the address.
func (server *server) example(database ids.DatabaseName) (request Request, ok bool) {
	server.queue.Each(func(candidate *waiter) bool {
		if candidate.request.Database == database {
			request, ok = candidate.request, true
		}
		return !ok
	})
	return request, ok
}

func (server *server) pause() {
	if server.paused {
		return
	}
	server.paused = true
	time.AfterFunc(reopenDelay, func() {
		server.mutex.Lock()
		defer server.mutex.Unlock()
		server.paused = false
		server.dispatch()
	})
}

// fail refuses the waiters of the database: the server cannot be reached, so waiting on gains nothing.
func (server *server) fail(database ids.DatabaseName, err error) {
	for {
		waiting, ok := server.queue.Pop(func(_ ids.OrganisationID, candidate *waiter) bool {
			return candidate.request.Database == database
		})
		if !ok {
			return
		}
		server.demand[database]--
		waiting.result <- grant{refused: refusal.New(refusal.BackendLost, err.Error())}
	}
}

func (server *server) release(conn *Conn) {
	server.busy.Add(-1)
	reusable := conn.giveBack()
	server.mutex.Lock()
	defer server.mutex.Unlock()
	organisation := conn.request.Organisation
	if server.used[organisation]--; server.used[organisation] <= 0 {
		delete(server.used, organisation)
	}
	if reusable && !server.closed && server.open <= server.allotment {
		server.idle[conn.database] = append(server.idle[conn.database], conn)
	} else {
		server.discard(conn)
	}
	if server.queue.Len() > 0 {
		server.dispatch()
	}
}

func (server *server) setAllotment(connections int) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.allotment = connections
	server.trim()
	server.dispatch()
}

// trim closes idle connections over the allotment.
func (server *server) trim() {
	for database, conns := range server.idle {
		for len(conns) > 0 && server.open > server.allotment {
			server.discard(conns[0])
			conns = conns[1:]
		}
		server.idle[database] = conns
	}
}

func (server *server) close() {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.closed = true
	for database, conns := range server.idle {
		for _, conn := range conns {
			server.discard(conn)
		}
		delete(server.idle, database)
	}
}
