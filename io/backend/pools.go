package backend

import (
	"context"
	"sync"

	"dotterelgw/core/contract"
	"dotterelgw/core/ids"
)

// Request asks for a connection.
type Request struct {
	// Organisation is the organisation that the connection is used for.
	Organisation ids.OrganisationID
	// Weight is the organisation's weight in fair sharing.
	Weight float64
	// Limits holds the organisation's limits.
	Limits contract.Limits
	// Server is the backend server to reach.
	Server ids.BackendServerID
	// Address is the server's host and port.
	Address string
	// Database is the database within the server.
	Database ids.DatabaseName
	// ReadOnly asks for a connection whose transactions are read-only by default, also after a promotion of the server.
	ReadOnly bool
	// Watcher states whether waiting still makes sense; nil means that it does.
	Watcher Watcher
}

// Watcher is asked while a request waits for a connection.
type Watcher interface {
	// Stale states that the request is not to wait for this server any longer; another goroutine does not call it.
	Stale(server ids.BackendServerID) bool
}

// Pools holds the connections to all backend servers.
type Pools struct {
	login     Login
	allotment int
	mutex     sync.RWMutex
	servers   map[ids.BackendServerID]*server
}

// Option changes a setting of the pools.
type Option func(*Pools)

// defaultAllotment is the number of connections per server until SetAllotment is called.
const defaultAllotment = 10

// WithAllotment sets the number of connections per server until SetAllotment is called.
func WithAllotment(connections int) Option {
	return func(pools *Pools) { pools.allotment = connections }
}

// New returns pools that log in with the proxy's own identity.
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

// SetAllotment bounds the connections to the server; connections over the bound are closed as they become idle.
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

// Acquire returns a connection in state Busy, after waiting in the organisation's queue if none is free. The error is a
// *refusal.Refusal; nothing was run.
func (pools *Pools) Acquire(ctx context.Context, request Request) (*Conn, error) {
	conn, refused := pools.server(request.Server).acquire(ctx, request)
	if refused != nil {
		return nil, refused
	}
	return conn, nil
}

// Release takes the connection back; it is closed unless every answer was read and it is outside of a transaction.
func (pools *Pools) Release(conn *Conn) { pools.server(conn.request.Server).release(conn) }

// Close closes all idle connections and refuses further requests.
func (pools *Pools) Close() {
	pools.mutex.Lock()
	defer pools.mutex.Unlock()
	for _, server := range pools.servers {
		server.close()
	}
}
