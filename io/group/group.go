package group

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"dotterelgw/core/config"
	"dotterelgw/core/failover"
	"dotterelgw/core/ids"
	"dotterelgw/core/route"
)

// sample is one answered status request.
type sample struct {
	status failover.Status
	// asked orders status requests by the moment before they were sent.
	asked uint64
	// sent is the time just before the request was sent.
	sent time.Duration
}

// server is the state of one backend server; the group's mutex guards it.
type server struct {
	record    config.ServerRecord
	index     int
	wake      chan struct{}
	sample    *sample
	watch     failover.Watch
	reachable bool
	// listed states that the VM list has the server as leaving; the server may also say so itself.
	listed bool
	// leftAt is the time since which either is the case.
	leftAt    time.Duration
	currentAt time.Duration
	pause     time.Duration
}

func (server *server) leaving() bool {
	return server.listed || server.sample != nil && server.sample.status.Leaving
}

// group is the state of one database group.
type group struct {
	groups *Groups
	record config.GroupRecord
	view   atomic.Pointer[route.View]
	used   atomic.Bool
	active atomic.Bool

	mutex    sync.Mutex
	servers  []*server
	term     config.TermRecord
	asked    uint64
	watched  bool
	lastUse  time.Duration
	stop     context.CancelFunc
	replaced bool
	barriers []*barrier
	writes   []*write
	ages     ages
	// replication shows whether the primary's log reaches its replicas.
	replication failover.Replication
}

func newGroup(groups *Groups, record config.GroupRecord, term config.TermRecord, leaving map[ids.BackendServerID]time.Duration) *group {
	group := &group{groups: groups, record: record, term: term}
	for index, one := range record.Servers {
		leftAt, left := leaving[one.ID]
		group.servers = append(group.servers, &server{
			record: one, index: index, wake: make(chan struct{}, 1), watch: failover.NewWatch(groups.now()),
			listed: left, leftAt: leftAt,
		})
	}
	group.publishLocked()
	return group
}

// use notes that the data path needs the group, and starts or hastens the polling. Between two polls only the first
// call takes the lock.
func (group *group) use() {
	if group.used.Load() {
		return
	}
	group.mutex.Lock()
	defer group.mutex.Unlock()
	now := group.groups.now()
	slow := now-group.lastUse > 2*usedInterval
	group.lastUse = now
	group.used.Store(true)
	group.startLocked()
	if slow {
		for _, server := range group.servers {
			server.poke()
		}
	}
}

func (group *group) watch(watched bool) {
	group.mutex.Lock()
	defer group.mutex.Unlock()
	if watched && !group.watched {
		group.startLocked()
	}
	group.watched = watched
}

func (group *group) startLocked() {
	if group.replaced || group.active.Load() {
		return
	}
	ctx, stop := context.WithCancel(context.Background())
	group.stop = stop
	group.active.Store(true)
	group.replication = failover.NewReplication(group.groups.now())
	for _, server := range group.servers {
		server.watch = failover.NewWatch(group.groups.now())
		group.groups.running.Add(1)
		go group.poll(ctx, server)
	}
}

func (group *group) stopLocked() {
	if group.active.Load() {
		group.active.Store(false)
		group.used.Store(false)
		group.stop()
	}
}

// replace ends the group because its record changed or the process stops; it returns whether it was watched.
func (group *group) replace() bool {
	group.mutex.Lock()
	defer group.mutex.Unlock()
	group.replaced = true
	group.stopLocked()
	for _, barrier := range group.barriers {
		barrier.finish(errReplaced)
	}
	for _, write := range group.writes {
		write.finish(errReplaced)
	}
	group.barriers, group.writes = nil, nil
	return group.watched
}

func (group *group) applyTerm(record config.TermRecord) {
	group.mutex.Lock()
	defer group.mutex.Unlock()
	group.term = record
	group.evaluateLocked()
}

func (group *group) setLeaving(id ids.BackendServerID, leaving bool, at time.Duration) {
	group.mutex.Lock()
	defer group.mutex.Unlock()
	for _, server := range group.servers {
		if server.record.ID == id {
			if leaving && !server.leaving() {
				server.leftAt = at
			}
			server.listed = leaving
			group.publishLocked()
		}
	}
}

func (group *group) observe(id ids.BackendServerID) {
	group.mutex.Lock()
	defer group.mutex.Unlock()
	for _, server := range group.servers {
		if server.record.ID == id {
			server.reachable = false
			group.publishLocked()
			server.poke()
		}
	}
}

func (group *group) evidence() []failover.Evidence {
	group.mutex.Lock()
	defer group.mutex.Unlock()
	now := group.groups.now()
	all := make([]failover.Evidence, 0, len(group.servers))
	for _, server := range group.servers {
		evidence := server.watch.Evidence(now)
		evidence.Server = server.record.ID
		evidence.Status.Leaving = server.leaving()
		if stuck := group.replication.Stuck(); evidence.Status.Accepts() && stuck >= failover.SuspectAfter {
			// Without replicas it can acknowledge no write, so it counts as silent.
			evidence.Silent = max(evidence.Silent, stuck)
		}
		all = append(all, evidence)
	}
	return all
}

// evaluateLocked decides everything that waits after a change, and publishes the view.
func (group *group) evaluateLocked() {
	n := len(group.servers)
	samples := make([]*sample, n)
	statuses := make([]*failover.Status, n)
	for index, server := range group.servers {
		if samples[index] = server.sample; server.sample != nil {
			statuses[index] = &server.sample.status
		}
	}
	group.ages.confirm(n, samples)
	group.writes = finishWrites(group.writes, n, statuses, group.term.Starts)
	before := len(group.barriers)
	group.barriers = finishBarriers(group.barriers, samples)
	group.groups.counters.barriers.Inc(int64(before - len(group.barriers)))
	group.publishLocked()
}

// primaryLocked returns the index of the primary and its term: the server that last answered as primary in the
// highest term, or the one that the term record names if the record is newer than that answer.
func (group *group) primaryLocked() (int, ids.Term) {
	primary, term := -1, ids.Term(0)
	for index, server := range group.servers {
		if server.sample != nil && server.sample.status.Primary && server.sample.status.Term > term {
			primary, term = index, server.sample.status.Term
		}
	}
	if primary >= 0 && !group.servers[primary].sample.status.Accepts() {
		primary = -1
	}
	if group.term.Step == failover.Steady && group.term.Term > term {
		primary, term = -1, group.term.Term
		for index, server := range group.servers {
			if server.record.ID == group.term.Primary && (server.sample == nil || server.sample.status.Term < term) {
				primary = index
			}
		}
	}
	return primary, term
}

func (group *group) publishLocked() {
	primary, term := group.primaryLocked()
	view := &route.View{
		Group: group.record.Group, Term: term, Primary: primary, Starts: group.term.Starts,
		Servers: make([]route.Server, len(group.servers)),
	}
	now := group.groups.now()
	for index, server := range group.servers {
		leaving := server.leaving()
		if leaving && index == primary {
			leaving = now-server.leftAt >= leavingPrimaryGrace
		}
		shown := route.Server{
			ID: server.record.ID, Address: server.record.Address, Zone: server.record.AvailabilityZone,
			Reachable: server.reachable, Leaving: leaving, Busy: group.groups.busy(server.record.ID),
		}
		if server.sample != nil {
			shown.Replayed = server.sample.status.Visible()
			server.currentAt = max(server.currentAt, group.ages.currentAt(shown.Replayed, group.term.Starts))
			shown.CurrentAt = server.currentAt
		}
		view.Servers[index] = shown
	}
	group.view.Store(view)
}
