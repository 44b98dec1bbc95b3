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

// sample is an answered status request.
type sample struct {
	status failover.Status
	// sequence numbers the status requests of a group; it is assigned before the request is sent.
	sequence uint64
	// sent is the time just before the request was sent.
	sent time.Duration
}

// server is the state of one backend server, guarded by the group's mutex.
type server struct {
	record    config.ServerRecord
	index     int
	wake      chan struct{}
	sample    *sample
	monitor   failover.ProbeMonitor
	reachable bool
	// listedLeaving is set if the VM list marks the server as leaving. The server may also report this in its status.
	listedLeaving bool
	// leavingSince is the time at which the first of the two was seen.
	leavingSince time.Duration
	// currentAt is the latest time for which the server is known to have had all writes, 0 for none.
	currentAt time.Duration
	// confirmBackoff is the last pause between status requests while a write waits to be confirmed.
	confirmBackoff time.Duration
}

func (server *server) leaving() bool {
	return server.listedLeaving || server.sample != nil && server.sample.status.Leaving
}

// group is the state of one database group.
type group struct {
	groups *Groups
	record config.GroupRecord
	view   atomic.Pointer[route.View]
	// useRecorded is set by the first use after a status request; it keeps further uses from taking the mutex.
	useRecorded atomic.Bool
	polling     atomic.Bool

	mutex   sync.Mutex
	servers []*server
	term    config.TermRecord
	// sequence is the sequence number of the last status request.
	sequence uint64
	watched  bool
	lastUse  time.Duration
	stop     context.CancelFunc
	replaced bool
	barriers []*barrier
	writes   []*write
	history  history
	// replication tracks whether the primary's log reaches its replicas.
	replicationMonitor failover.ReplicationMonitor
}

func newGroup(groups *Groups, record config.GroupRecord, term config.TermRecord, leaving map[ids.BackendServerID]time.Duration) *group {
	group := &group{groups: groups, record: record, term: term}
	for index, serverRecord := range record.Servers {
		leavingSince, isLeaving := leaving[serverRecord.ID]
		group.servers = append(group.servers, &server{
			record: serverRecord, index: index, wake: make(chan struct{}, 1), monitor: failover.NewProbeMonitor(groups.now()),
			listedLeaving: isLeaving, leavingSince: leavingSince,
		})
	}
	group.publishLocked()
	return group
}

// recordUse records that the data path uses the group. It starts the polling, or polls at once if the polling has slowed
// down. Between two polls only the first call takes the mutex.
func (group *group) recordUse() {
	if group.useRecorded.Load() {
		return
	}
	group.mutex.Lock()
	defer group.mutex.Unlock()
	now := group.groups.now()
	pollingSlowly := now-group.lastUse > 2*minPollInterval
	group.lastUse = now
	group.useRecorded.Store(true)
	group.startLocked()
	if pollingSlowly {
		for _, server := range group.servers {
			server.triggerPoll()
		}
	}
}

func (group *group) setWatched(watched bool) {
	group.mutex.Lock()
	defer group.mutex.Unlock()
	if watched && !group.watched {
		group.startLocked()
	}
	group.watched = watched
}

func (group *group) startLocked() {
	if group.replaced || group.polling.Load() {
		return
	}
	ctx, stop := context.WithCancel(context.Background())
	group.stop = stop
	group.polling.Store(true)
	group.replicationMonitor = failover.NewReplicationMonitor(group.groups.now())
	for _, server := range group.servers {
		server.monitor = failover.NewProbeMonitor(group.groups.now())
		group.groups.pollers.Add(1)
		go group.poll(ctx, server)
	}
}

func (group *group) stopLocked() {
	if group.polling.Load() {
		group.polling.Store(false)
		group.useRecorded.Store(false)
		group.stop()
	}
}

// replace shuts the group down because its record has changed or the process stops, and reports whether it was watched.
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
				server.leavingSince = at
			}
			server.listedLeaving = leaving
			group.publishLocked()
		}
	}
}

// markUnreachable marks the server as unreachable and polls it at once.
func (group *group) markUnreachable(id ids.BackendServerID) {
	group.mutex.Lock()
	defer group.mutex.Unlock()
	for _, server := range group.servers {
		if server.record.ID == id {
			server.reachable = false
			group.publishLocked()
			server.triggerPoll()
		}
	}
}

func (group *group) evidence() []failover.Evidence {
	group.mutex.Lock()
	defer group.mutex.Unlock()
	now := group.groups.now()
	observations := make([]failover.Evidence, 0, len(group.servers))
	for _, server := range group.servers {
		evidence := server.monitor.Evidence(now)
		evidence.Server = server.record.ID
		evidence.Status.Leaving = server.leaving()
		if stalled := group.replicationMonitor.StalledFor(); evidence.Status.AcceptsWrites() && stalled >= failover.SuspectAfter {
			// A primary that cannot reach its replicas cannot acknowledge writes, so it counts as unresponsive.
			evidence.Silent = max(evidence.Silent, stalled)
		}
		observations = append(observations, evidence)
	}
	return observations
}

// evaluateLocked completes the writes and barriers that a change decides, and publishes the view.
func (group *group) evaluateLocked() {
	serverCount := len(group.servers)
	samples := make([]*sample, serverCount)
	statuses := make([]*failover.Status, serverCount)
	for index, server := range group.servers {
		if samples[index] = server.sample; server.sample != nil {
			statuses[index] = &server.sample.status
		}
	}
	group.history.confirm(serverCount, samples)
	group.writes = finishWrites(group.writes, serverCount, statuses, group.term.Starts)
	before := len(group.barriers)
	group.barriers = finishBarriers(group.barriers, samples)
	group.groups.counters.barriers.Inc(int64(before - len(group.barriers)))
	group.publishLocked()
}

// primaryLocked returns the index of the primary, -1 for none, and its term. The primary is the server that last answered
// as primary in the highest term, or the one named by the term record if the record is newer than that answer.
func (group *group) primaryLocked() (int, ids.Term) {
	primary, term := -1, ids.Term(0)
	for index, server := range group.servers {
		if server.sample != nil && server.sample.status.Primary && server.sample.status.Term > term {
			primary, term = index, server.sample.status.Term
		}
	}
	if primary >= 0 && !group.servers[primary].sample.status.AcceptsWrites() {
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

// publishLocked builds the routing view and publishes it.
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
			leaving = now-server.leavingSince >= leavingPrimaryGrace
		}
		entry := route.Server{
			ID: server.record.ID, Address: server.record.Address, Zone: server.record.AvailabilityZone,
			Reachable: server.reachable, Leaving: leaving, Busy: group.groups.busyConnections(server.record.ID),
		}
		if server.sample != nil {
			entry.Replayed = server.sample.status.Visible()
			server.currentAt = max(server.currentAt, group.history.currentAt(entry.Replayed, group.term.Starts))
			entry.CurrentAt = server.currentAt
		}
		view.Servers[index] = entry
	}
	group.view.Store(view)
}
