package backend

import (
	"context"
	"sync"

	"dotterelgw/core/contract"
	"dotterelgw/core/ids"
)

// Request describes a connection to acquire.
type Request struct {
	// Organisation is the organisation on whose behalf the connection is used.
	Organisation ids.OrganisationID
	// Weight is the organisation's weight in fair sharing.
	Weight float64
	// Limits holds the organisation's limits.
	Limits contract.Limits
	// Server is the backend server to connect to.
	Server ids.BackendServerID
	// Address is the server's host and port.
	Address string
	// Database is the name of the database on the server.
	Database ids.DatabaseName
	// ReadOnly requests a connection whose transactions are read-only by default, even after the server was promoted.
	ReadOnly bool
	// WaitCondition can end the wait early; with nil, the request waits until its timeout.
	WaitCondition WaitCondition
}

// WaitCondition is queried periodically while a request waits for a connection.
type WaitCondition interface {
	// StopWaiting reports whether the request should stop waiting for this server. It is called only on the goroutine of
	// Acquire.
	StopWaiting(server ids.BackendServerID) bool
}

// Pools holds the connections to all backend servers.
type Pools struct {
	login     Login
	allotment int
	mutex     sync.RWMutex
	servers   map[ids.BackendServerID]*server
}

// Option changes the defaults of New.
type Option func(*Pools)

// defaultAllotment is the number of connections per server until SetAllotment is called.
const defaultAllotment = 10

// WithAllotment sets the number of connections per server until SetAllotment is called.
func WithAllotment(connections int) Option {
	return func(pools *Pools) { pools.allotment = connections }
}

// New returns pools that log in with the credentials of the proxy.
func New(login Login, options ...Option) *Pools {
	pools := &Pools{login: login, allotment: defaultAllotment, servers: make(map[ids.BackendServerID]*server)}
	for _, option := range options {
		option(pools)
	}
	return pools
}

func (pools *Pools) server(id ids.BackendServerID) *server {
	pools.mutex.RLock()
	found, ok := pools.servers[id]
	pools.mutex.RUnlock()
	if ok {
		return found
	}
	pools.mutex.Lock()
	defer pools.mutex.Unlock()
	if found, ok = pools.servers[id]; !ok {
		found = newServer(pools.login, pools.allotment)
		pools.servers[id] = found
	}
	return found
}

// SetAllotment bounds the connections to the server. Connections in excess of the bound are closed when they become idle.
func (pools *Pools) SetAllotment(id ids.BackendServerID, connections int) {
	pools.server(id).setAllotment(connections)
}

// Busy returns the number of connections to the server that are in use.
func (pools *Pools) Busy(id ids.BackendServerID) int {
	pools.mutex.RLock()
	found, ok := pools.servers[id]
	pools.mutex.RUnlock()
	if !ok {
		return 0
	}
	return int(found.busy.Load())
}

// Waiting returns the number of requests that wait for a connection to the server.
func (pools *Pools) Waiting(id ids.BackendServerID) int {
	found := pools.server(id)
	found.mutex.Lock()
	defer found.mutex.Unlock()
	return found.queue.Len()
}

// Acquire returns a connection in state busy. It waits in the organisation's queue if none is free. The error is a
// *refusal.Refusal; nothing was run on the server.
func (pools *Pools) Acquire(ctx context.Context, request Request) (*Conn, error) {
	conn, refused := pools.server(request.Server).acquire(ctx, request)
	if refused != nil {
		return nil, refused
	}
	return conn, nil
}

// Release returns the connection to its pool. It is closed instead if a response was not read or a transaction is open.
func (pools *Pools) Release(conn *Conn) { pools.server(conn.request.Server).release(conn) }

// Close closes all idle connections and refuses further requests. Connections in use are closed on release.
func (pools *Pools) Close() {
	pools.mutex.Lock()
	defer pools.mutex.Unlock()
	for _, server := range pools.servers {
		server.close()
	}
}
