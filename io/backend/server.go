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
	opening map[slot]int
	idle    map[slot][]*Conn
	// held counts the connections of each slot, those being opened included.
	held   map[slot]int
	used   map[ids.OrganisationID]int
	queue  *share.Queue[ids.OrganisationID, *waiter]
	demand map[slot]int
	paused bool
	closed bool
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
		opening: make(map[slot]int),
		idle:    make(map[slot][]*Conn),
		held:    make(map[slot]int),
		used:    make(map[ids.OrganisationID]int),
		demand:  make(map[slot]int),
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
	server.demand[request.slot()]++
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
		server.demand[request.slot()]--
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
		conns := server.idle[request.slot()]
		if len(conns) == 0 {
			return nil
		}
		conn := conns[len(conns)-1]
		conns[len(conns)-1] = nil
		server.idle[request.slot()] = conns[:len(conns)-1]
		if conn.request.Address != request.Address {
			server.discard(conn)
			continue
		}
		if !conn.quiet() {
			server.drop(conn.slot)
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
	server.drop(conn.slot)
	conn.fire(expired)
}

// dispatch hands idle connections to waiters in fair order and opens connections for the rest. The mutex is held.
func (server *server) dispatch() {
	server.reclaim()
	for {
		waiting, ok := server.queue.Pop(func(_ ids.OrganisationID, candidate *waiter) bool {
			return server.underLimit(candidate.request) && len(server.idle[candidate.request.slot()]) > 0
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
		server.demand[waiting.request.slot()]--
		waiting.result <- grant{conn: conn}
	}
	server.openMore()
}

// openOne opens a connection of the slot for whichever waiter is first when it is ready.
func (server *server) openOne(slot slot) {
	server.mutex.Lock()
	request, ok := server.example(slot)
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
	server.opening[slot]--
	switch {
	case conn != nil && !server.closed:
		conn.idleSince = time.Now()
		server.idle[slot] = append(server.idle[slot], conn)
	case conn != nil:
		server.discard(conn)
	default:
		server.drop(slot)
	}
	var login *LoginError
	if errors.As(err, &login) && login.SQLState == sqlStateTooMany {
		// Nothing was run, so waiters stay in the queue until a connection is free or their deadline passes.
		server.pause()
	} else if err != nil {
		server.fail(slot, err)
	}
	server.dispatch()
	server.trim()
}

// example returns a waiting request of the slot, which supplies the address.
func (server *server) example(slot slot) (request Request, ok bool) {
	server.queue.Each(func(candidate *waiter) bool {
		if candidate.request.slot() == slot {
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

// fail refuses the waiters of the slot: the server cannot be reached, so waiting on gains nothing.
func (server *server) fail(slot slot, err error) {
	for {
		waiting, ok := server.queue.Pop(func(_ ids.OrganisationID, candidate *waiter) bool {
			return candidate.request.slot() == slot
		})
		if !ok {
			return
		}
		server.demand[slot]--
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
		conn.idleSince = time.Now()
		server.idle[conn.slot] = append(server.idle[conn.slot], conn)
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
	for slot, conns := range server.idle {
		for len(conns) > 0 && server.open > server.allotment {
			server.discard(conns[0])
			conns = conns[1:]
		}
		server.idle[slot] = conns
	}
}

func (server *server) close() {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.closed = true
	for slot, conns := range server.idle {
		for _, conn := range conns {
			server.discard(conn)
		}
		delete(server.idle, slot)
	}
}
