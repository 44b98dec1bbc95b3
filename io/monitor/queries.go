package monitor

import (
	"sync"
	"time"

	"dotterelgw/core/ids"
	"dotterelgw/io/clock"
	"dotterelgw/io/mesh"
)

// queryTTL is how long the answer to a query is accepted.
const queryTTL = 2 * time.Second

// queries holds the queries to other VMs that may still be answered.
type queries struct {
	mutex   sync.Mutex
	number  uint64
	pending map[uint64]*query
}

// query is one query to one VM.
type query struct {
	sentAt time.Duration
	// done is closed by the last part of the answer.
	done chan struct{}
}

// add registers a query that is about to be sent and removes expired ones.
func (queries *queries) add(now time.Duration) (uint64, *query) {
	queries.mutex.Lock()
	defer queries.mutex.Unlock()
	for number, sent := range queries.pending {
		if now-sent.sentAt > queryTTL {
			delete(queries.pending, number)
		}
	}
	if queries.pending == nil {
		queries.pending = make(map[uint64]*query)
	}
	queries.number++
	sent := &query{sentAt: now, done: make(chan struct{})}
	queries.pending[queries.number] = sent
	return queries.number, sent
}

// sentAt returns when the query was sent; false if it was answered, has expired or never existed.
func (queries *queries) sentAt(number uint64) (time.Duration, bool) {
	queries.mutex.Lock()
	defer queries.mutex.Unlock()
	sent, known := queries.pending[number]
	if !known {
		return 0, false
	}
	return sent.sentAt, true
}

// answered completes the query.
func (queries *queries) answered(number uint64) {
	queries.mutex.Lock()
	defer queries.mutex.Unlock()
	if sent, known := queries.pending[number]; known {
		close(sent.done)
		delete(queries.pending, number)
	}
}

// queryPeers queries several VMs at once, each for some groups, and returns the groups without an answer in time.
func (monitor *Monitor) queryPeers(wanted map[ids.VMID][]ids.GroupID, observe bool) []ids.GroupID {
	sent := make(map[ids.VMID]*query, len(wanted))
	for vm, groups := range wanted {
		number, query := monitor.sent.add(clock.Now())
		sent[vm] = query
		mesh.Send(monitor.sharing.Mesh, vm, kindQuery, queryRequest{Number: number, Groups: groups, Observe: observe})
	}
	timer := time.NewTimer(answerTimeout)
	defer timer.Stop()
	expired := false
	var missing []ids.GroupID
	for vm, query := range sent {
		if !query.answeredInTime(timer, &expired) {
			missing = append(missing, wanted[vm]...)
		}
	}
	return missing
}

// answeredInTime reports whether the query is answered before the timer fires. It sets expired when the timer fires, for
// the queries checked after it.
func (query *query) answeredInTime(timer *time.Timer, expired *bool) bool {
	if !*expired {
		select {
		case <-query.done:
			return true
		case <-timer.C:
			*expired = true
		}
	}
	select {
	case <-query.done:
		return true
	default:
		return false
	}
}
