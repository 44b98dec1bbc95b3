package backend

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"dotterelgw/core/fairqueue"
	"dotterelgw/core/ids"
	"dotterelgw/core/refusal"
)

const (
	// openTimeout bounds connecting and logging in, which takes about 12 ms with a healthy server. Requests that wait for
	// an unreachable server are routed to its successor after this time.
	openTimeout = time.Second
	// staleCheckInterval is the interval at which the WaitCondition of a waiting request is queried.
	staleCheckInterval = 50 * time.Millisecond
	// reopenDelay is the pause before connections are opened again after the server reported too many connections, which
	// other VMs may hold.
	reopenDelay = 50 * time.Millisecond
	// sqlStateTooManyConnections is the SQLSTATE too_many_connections.
	sqlStateTooManyConnections = "53300"
)

// server is the pool of connections to one backend server, with the queue of requests that wait for them.
type server struct {
	login Login
	// busy counts the connections in use; it is read without the mutex.
	busy atomic.Int32

	mutex     sync.Mutex
	allotment int
	// openCount counts the connections that are open or being opened.
	openCount int
	opening   map[poolKey]int
	idle      map[poolKey][]*Conn
	// openByKey counts the connections of each key that are open or being opened.
	openByKey map[poolKey]int
	// inUse counts the connections in use by each organisation.
	inUse map[ids.OrganisationID]int
	queue *fairqueue.Queue[ids.OrganisationID, *waiter]
	// demand counts the queued requests of each key.
	demand map[poolKey]int
	// openingPaused is set for reopenDelay after the server reported too many connections.
	openingPaused bool
	closed        bool
}

// waiter is a request that waits in the queue.
type waiter struct {
	request Request
	result  chan grant
	ticket  fairqueue.Ticket[ids.OrganisationID]
}

// grant is the result of a wait: a connection or a refusal.
type grant struct {
	conn    *Conn
	refused *refusal.Refusal
}

func newServer(login Login, allotment int) *server {
	return &server{
		login: login, allotment: allotment,
		opening:   make(map[poolKey]int),
		idle:      make(map[poolKey][]*Conn),
		openByKey: make(map[poolKey]int),
		inUse:     make(map[ids.OrganisationID]int),
		demand:    make(map[poolKey]int),
		queue:     fairqueue.New[ids.OrganisationID, *waiter](),
	}
}

func (server *server) acquire(ctx context.Context, request Request) (*Conn, *refusal.Refusal) {
	server.mutex.Lock()
	if server.closed {
		server.mutex.Unlock()
		return nil, refusal.New(refusal.Stopping, "")
	}
	if server.queue.Waiting(request.Organisation) == 0 && server.underLimit(request) {
		// No waiter could use the connection, because dispatch serves waiters before a connection stays idle.
		if conn := server.takeIdle(request); conn != nil {
			server.mutex.Unlock()
			return conn, nil
		}
	}
	if limit := request.Limits.Queue; server.queue.Waiting(request.Organisation) >= max(limit, 1) {
		server.mutex.Unlock()
		return nil, refusal.New(refusal.QueueFull, fmt.Sprintf("%d requests wait for %s", limit, request.Server))
	}
	queued := &waiter{request: request, result: make(chan grant, 1)}
	queued.ticket = server.queue.Push(request.Organisation, request.Weight, queued)
	server.demand[request.poolKey()]++
	server.dispatch()
	server.mutex.Unlock()
	return server.await(ctx, queued)
}

// await waits for a grant until the queue timeout of the organisation, or until the WaitCondition reports the request as stale.
func (server *server) await(ctx context.Context, queued *waiter) (*Conn, *refusal.Refusal) {
	request := &queued.request
	limit := time.Duration(request.Limits.QueueTimeoutMS) * time.Millisecond
	deadline := time.Now().Add(limit)
	stale := false
	for remaining := limit; remaining > 0 && !stale && ctx.Err() == nil; remaining = time.Until(deadline) {
		timer := time.NewTimer(min(remaining, staleCheckInterval))
		select {
		case granted := <-queued.result:
			timer.Stop()
			return granted.conn, granted.refused
		case <-timer.C:
			stale = request.WaitCondition != nil && request.WaitCondition.StopWaiting(request.Server)
		case <-ctx.Done():
			timer.Stop()
		}
	}
	server.mutex.Lock()
	removed := server.queue.Remove(queued.ticket)
	if removed {
		server.demand[request.poolKey()]--
	}
	atLimit := !server.underLimit(*request)
	server.mutex.Unlock()
	switch {
	case !removed:
		granted := <-queued.result
		return granted.conn, granted.refused
	case stale:
		return nil, refusal.New(refusal.BackendLost, fmt.Sprintf("%s was given up while the request waited", request.Server))
	case atLimit:
		return nil, refusal.New(refusal.TransactionLimit, fmt.Sprintf("%d connections to %s in use", request.Limits.Transactions, request.Server))
	}
	return nil, refusal.New(refusal.QueueTimeout, fmt.Sprintf("waited %v for %s", limit, request.Server))
}

// underLimit reports whether the organisation may use one more connection. A limit of 0 means no limit.
func (server *server) underLimit(request Request) bool {
	limit := request.Limits.Transactions
	return limit <= 0 || server.inUse[request.Organisation] < limit
}

// takeIdle returns an idle connection for the request, or nil. The most recently used one is returned first, because it is
// most likely to be still open.
func (server *server) takeIdle(request Request) *Conn {
	for {
		conns := server.idle[request.poolKey()]
		if len(conns) == 0 {
			return nil
		}
		conn := conns[len(conns)-1]
		conns[len(conns)-1] = nil
		server.idle[request.poolKey()] = conns[:len(conns)-1]
		if conn.request.Address != request.Address {
			server.discard(conn)
			continue
		}
		if !conn.usable() {
			server.uncount(conn.poolKey)
			conn.fire(answered)
			continue
		}
		conn.request = request
		conn.fire(acquired)
		server.inUse[request.Organisation]++
		server.busy.Add(1)
		return conn
	}
}

// discard closes a connection and removes it from the counts. The mutex is held.
func (server *server) discard(conn *Conn) {
	server.uncount(conn.poolKey)
	conn.fire(expired)
}

// dispatch grants idle connections to waiters in fair order and opens connections for the others. The mutex is held.
func (server *server) dispatch() {
	server.reclaim()
	for {
		queued, ok := server.queue.Pop(func(_ ids.OrganisationID, candidate *waiter) bool {
			return server.underLimit(candidate.request) && len(server.idle[candidate.request.poolKey()]) > 0
		})
		if !ok {
			break
		}
		conn := server.takeIdle(queued.request)
		if conn == nil {
			// The server had closed the idle connections, so the waiter returns to the queue for a new one.
			queued.ticket = server.queue.Push(queued.request.Organisation, queued.request.Weight, queued)
			break
		}
		server.demand[queued.request.poolKey()]--
		queued.result <- grant{conn: conn}
	}
	server.openForWaiters()
}

// openConnection opens a connection for the key. It is granted to the waiter that is first when it is ready.
func (server *server) openConnection(poolKey poolKey) {
	server.mutex.Lock()
	request, ok := server.waitingRequest(poolKey)
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
	server.opening[poolKey]--
	switch {
	case conn != nil && !server.closed:
		conn.idleSince = time.Now()
		server.idle[poolKey] = append(server.idle[poolKey], conn)
	case conn != nil:
		server.discard(conn)
	default:
		server.uncount(poolKey)
	}
	var login *LoginError
	if errors.As(err, &login) && login.SQLState == sqlStateTooManyConnections {
		// Nothing was run, so waiters stay in the queue until a connection is free or their timeout expires.
		server.pauseOpening()
	} else if err != nil {
		server.refuseWaiters(poolKey, err)
	}
	server.dispatch()
	server.closeExcess()
}

// waitingRequest returns any waiting request for the key, which supplies the address.
func (server *server) waitingRequest(poolKey poolKey) (request Request, ok bool) {
	server.queue.Each(func(candidate *waiter) bool {
		if candidate.request.poolKey() == poolKey {
			request, ok = candidate.request, true
		}
		return !ok
	})
	return request, ok
}

// pauseOpening stops opening connections for reopenDelay.
func (server *server) pauseOpening() {
	if server.openingPaused {
		return
	}
	server.openingPaused = true
	time.AfterFunc(reopenDelay, func() {
		server.mutex.Lock()
		defer server.mutex.Unlock()
		server.openingPaused = false
		server.dispatch()
	})
}

// refuseWaiters refuses all waiters for the key, because the server cannot be reached and further waiting is pointless.
func (server *server) refuseWaiters(poolKey poolKey, err error) {
	for {
		queued, ok := server.queue.Pop(func(_ ids.OrganisationID, candidate *waiter) bool {
			return candidate.request.poolKey() == poolKey
		})
		if !ok {
			return
		}
		server.demand[poolKey]--
		queued.result <- grant{refused: refusal.New(refusal.BackendLost, err.Error())}
	}
}

func (server *server) release(conn *Conn) {
	server.busy.Add(-1)
	reusable := conn.recycle()
	server.mutex.Lock()
	defer server.mutex.Unlock()
	organisation := conn.request.Organisation
	if server.inUse[organisation]--; server.inUse[organisation] <= 0 {
		delete(server.inUse, organisation)
	}
	if reusable && !server.closed && server.openCount <= server.allotment {
		conn.idleSince = time.Now()
		server.idle[conn.poolKey] = append(server.idle[conn.poolKey], conn)
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
	server.closeExcess()
	server.dispatch()
}

// closeExcess closes idle connections in excess of the allotment.
func (server *server) closeExcess() {
	for poolKey, conns := range server.idle {
		for len(conns) > 0 && server.openCount > server.allotment {
			server.discard(conns[0])
			conns = conns[1:]
		}
		server.idle[poolKey] = conns
	}
}

func (server *server) close() {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.closed = true
	for poolKey, conns := range server.idle {
		for _, conn := range conns {
			server.discard(conn)
		}
		delete(server.idle, poolKey)
	}
}
