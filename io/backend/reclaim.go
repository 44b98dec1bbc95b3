package backend

import (
	"time"

	"dotterelgw/core/ids"
)

const (
	// reclaimAfterIdle is the time for which an idle connection is kept before it may be replaced by one for another key
	// that has connections already, because opening takes 12 ms.
	reclaimAfterIdle = 2 * time.Second
	// reclaimAfterLead is the number of requests, at weight 1, by which the requests for one database may be served ahead
	// of fair order before one of its connections is replaced by one to a waiting database without connections.
	reclaimAfterLead = 4
)

// poolKey identifies the requests that can share connections of a server.
type poolKey struct {
	database ids.DatabaseName
	readOnly bool
}

func (request *Request) poolKey() poolKey {
	return poolKey{database: request.Database, readOnly: request.ReadOnly}
}

// uncount removes a closed or failed connection from the counts. The mutex is held.
func (server *server) uncount(poolKey poolKey) {
	server.openCount--
	if server.openByKey[poolKey]--; server.openByKey[poolKey] <= 0 {
		delete(server.openByKey, poolKey)
	}
}

// openForWaiters opens connections, up to the allotment, for the waiters that idle connections cannot serve.
func (server *server) openForWaiters() {
	if server.openingPaused || server.closed {
		return
	}
	for poolKey, demand := range server.demand {
		if demand == 0 {
			delete(server.demand, poolKey)
			continue
		}
		for server.opening[poolKey] < demand && server.openCount < server.allotment {
			server.startOpening(poolKey)
		}
	}
}

// startOpening opens a connection for the key in the background.
func (server *server) startOpening(poolKey poolKey) {
	server.openCount++
	server.openByKey[poolKey]++
	server.opening[poolKey]++
	go server.openConnection(poolKey)
}

// reclaim closes idle connections to open connections for keys that have waiters, if the allotment is used up and victim
// finds an idle connection of another key.
func (server *server) reclaim() {
	if server.openingPaused || server.closed || server.openCount != server.allotment {
		return
	}
	for poolKey, demand := range server.demand {
		if demand <= server.opening[poolKey] || len(server.idle[poolKey]) > 0 {
			continue
		}
		if victim, ok := server.victim(poolKey); ok {
			conn := server.idle[victim][0]
			server.idle[victim] = server.idle[victim][1:]
			server.discard(conn)
			server.startOpening(poolKey)
		}
	}
}

// victim returns a key whose longest idle connection is to be replaced by one for the requester. A key qualifies
// if it exceeds its fair share of the allotment while the requester is below it, or if it has no waiters and either the
// requester has no connections or the connection was idle for reclaimAfterIdle, or if the requester has no connections
// and the key's waiters are more than reclaimAfterLead ahead of it in fair order.
func (server *server) victim(requester poolKey) (victim poolKey, ok bool) {
	keys := len(server.openByKey)
	if server.openByKey[requester] == 0 {
		keys++
	}
	fairShare := max(1, server.allotment/keys)
	for poolKey, conns := range server.idle {
		if poolKey == requester || len(conns) == 0 {
			continue
		}
		switch {
		case server.openByKey[poolKey] > fairShare && server.openByKey[requester] < fairShare:
			return poolKey, true
		case server.demand[poolKey] == 0 && (server.openByKey[requester] == 0 || time.Since(conns[0].idleSince) > reclaimAfterIdle):
			return poolKey, true
		case server.openByKey[requester] == 0 && server.lead(poolKey, requester) > reclaimAfterLead:
			return poolKey, true
		}
	}
	return victim, false
}

// lead returns how far the waiters of the first key are ahead of those of the second in fair order, as the difference of
// their virtual finish times. It returns 0 if either has no waiter.
func (server *server) lead(first, second poolKey) float64 {
	ahead, okAhead := server.virtualFinish(first)
	behind, okBehind := server.virtualFinish(second)
	if !okAhead || !okBehind {
		return 0
	}
	return ahead - behind
}

// virtualFinish returns the virtual finish time of the next waiter for the key, and false if there is none.
func (server *server) virtualFinish(wanted poolKey) (float64, bool) {
	return server.queue.Finish(func(_ ids.OrganisationID, candidate *waiter) bool { return candidate.request.poolKey() == wanted })
}
