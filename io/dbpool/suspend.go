package dbpool

import "fmt"

// Suspend keeps connections from callers, or ends that. Those who wait get ErrSuspended, and all idle connections but one for control
// statements are closed. Connections in use are closed when they are released.
func (pool *Pool) Suspend(suspended bool) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	if pool.suspended == suspended || pool.closed {
		return
	}
	pool.suspended = suspended
	if !suspended {
		return
	}
	for _, waiting := range pool.room.removeAll() {
		if !waiting.Any {
			waiting.grant <- grant{err: fmt.Errorf("%s: %w", pool.server.ID, ErrSuspended)}
			continue
		}
		if err := pool.room.add(waiting); err != nil {
			waiting.grant <- grant{err: err}
		}
	}
	for pool.open > controlConnections && len(pool.idle) > 0 {
		pool.evict()
	}
}

// excludes reports whether the pool is suspended for the request. Opening a connection takes time in which that may happen.
func (pool *Pool) excludes(request Request) bool {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	return pool.suspended && !request.Any
}

// InUse returns the number of connections that are in use or being opened.
func (pool *Pool) InUse() int {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	return pool.open - len(pool.idle)
}
