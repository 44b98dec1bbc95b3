package backend

import (
	"time"

	"dotterelgw/core/ids"
)

const (
	// keepIdle is the time for which a connection that is not needed stays with its database, since opening takes 12 ms.
	keepIdle = 2 * time.Second
	// switchLead is the number of requests, at weight 1, by which the waiters of a connection's database may be served
	// ahead of their turn before the connection is replaced by one of a database that has none.
	switchLead = 4
)

// slot is what requests must agree on to use the same connection.
type slot struct {
	database ids.DatabaseName
	readOnly bool
}

func (request *Request) slot() slot {
	return slot{database: request.Database, readOnly: request.ReadOnly}
}

// drop counts a connection that is gone.
func (server *server) drop(slot slot) {
	server.open--
	if server.held[slot]--; server.held[slot] <= 0 {
		delete(server.held, slot)
	}
}

// openMore opens connections for the waiters that idle connections cannot serve.
func (server *server) openMore() {
	if server.paused || server.closed {
		return
	}
	for slot, demand := range server.demand {
		if demand == 0 {
			delete(server.demand, slot)
			continue
		}
		for server.opening[slot] < demand && server.open < server.allotment {
			server.start(slot)
		}
	}
}

func (server *server) start(slot slot) {
	server.open++
	server.held[slot]++
	server.opening[slot]++
	go server.openOne(slot)
}

// reclaim replaces idle connections by connections of slots that wait and have less than their part of the allotment.
func (server *server) reclaim() {
	if server.paused || server.closed || server.open != server.allotment {
		return
	}
	for slot, demand := range server.demand {
		if demand <= server.opening[slot] || len(server.idle[slot]) > 0 {
			continue
		}
		if victim, ok := server.victim(slot); ok {
			conn := server.idle[victim][0]
			server.idle[victim] = server.idle[victim][1:]
			server.discard(conn)
			server.start(slot)
		}
	}
}

// victim returns a slot whose longest idle connection is to make room for one of the slot that needs one.
func (server *server) victim(needy slot) (victim slot, ok bool) {
	slots := len(server.held)
	if server.held[needy] == 0 {
		slots++
	}
	part := max(1, server.allotment/slots)
	for slot, conns := range server.idle {
		if slot == needy || len(conns) == 0 {
			continue
		}
		switch {
		case server.held[slot] > part && server.held[needy] < part:
			return slot, true
		case server.demand[slot] == 0 && (server.held[needy] == 0 || time.Since(conns[0].idleSince) > keepIdle):
			return slot, true
		case server.held[needy] == 0 && server.lead(slot, needy) > switchLead:
			return slot, true
		}
	}
	return victim, false
}

// lead returns how far the waiters of one slot are ahead of those of another in the fair order.
func (server *server) lead(one, other slot) float64 {
	ahead, okAhead := server.finish(one)
	behind, okBehind := server.finish(other)
	if !okAhead || !okBehind {
		return 0
	}
	return ahead - behind
}

func (server *server) finish(wanted slot) (float64, bool) {
	return server.queue.Finish(func(_ ids.OrganisationID, candidate *waiter) bool { return candidate.request.slot() == wanted })
}
