package monitor

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"dotterelgw/core/balance"
	"dotterelgw/core/catalog"
	"dotterelgw/core/coldstart"
	"dotterelgw/core/ids"
	"dotterelgw/core/leader"
	"dotterelgw/core/observer"
	"dotterelgw/core/position"
	"dotterelgw/core/statement"
	"dotterelgw/io/clock"
	"dotterelgw/io/dbpool"
)

const (
	// unreachableFailures is the number of consecutive failures after which a server counts as unreachable.
	unreachableFailures = 2
	// silenceTimeout is the time without any answer after which lost answers mean that a server is unreachable. Single
	// answers may be lost while others arrive.
	silenceTimeout = 250 * time.Millisecond
	// dialFailureWeight is the number of failures that a failed dial counts for, as it is stronger evidence than a late
	// answer.
	dialFailureWeight = 2
)

// Server is what this VM knows of one incarnation of a backend server.
type Server struct {
	// Pool holds the connections to the server.
	Pool *dbpool.Pool
	// control holds the connection for control statements while other VMs hold the connections for callers.
	control *dbpool.Pool

	group *Group
	info  atomic.Pointer[catalog.Server]
	// homes holds the VMs that hold the server's connections for all, the preferred one first; none if every VM opens its own.
	homes    atomic.Pointer[[]ids.VMID]
	inFlight atomic.Int32
	stop     chan struct{}
	// wakeup triggers the next status request at once.
	wakeup chan struct{}
	// leavingSince is the boot time in nanoseconds since which the server is known to be leaving; 0 if it is not.
	leavingSince atomic.Int64
	// addedAt is the time at which this VM learned of the server.
	addedAt time.Duration
	// closed reports whether the server was last closed to callers. Monitor.closing guards it.
	closed bool
	// askedAt is the boot time in nanoseconds at which this VM last polled the server.
	askedAt atomic.Int64

	mutex   sync.Mutex
	latency balance.Latency
	applied position.Position
	seenAt  time.Duration
	// busy is the last observed number of statements that run or wait on the server.
	busy int
	// connections is the last observed number of connections of all VMs; the largest integer until it is known.
	connections int
	failures    int
	// failingSince is the time of the first failure after the last answer.
	failingSince time.Duration
	// failedAt is the time of the last failure.
	failedAt time.Duration
	// allotment is this VM's share of the connections.
	allotment allotment
	// warming tells until when the server is cold. regainedAt is the time at which it last responded again after it was unreachable.
	warming    coldstart.Warming
	regainedAt time.Duration
	// dialFailed reports whether a connection could not be opened since the last answer.
	dialFailed bool
}

// Info returns the server's registration.
func (server *Server) Info() catalog.Server { return *server.info.Load() }

// KnownFor returns the time since this VM learned of the server.
func (server *Server) KnownFor() time.Duration { return clock.Now() - server.addedAt }

// ID returns the server's identifier.
func (server *Server) ID() ids.BackendServerID { return server.Info().ID }

// register stores a newer registration of the same incarnation of the server.
func (server *Server) register(info catalog.Server) {
	server.info.Store(&info)
	server.mutex.Lock()
	server.warming.Update(clock.Now(), info.ColdLeft)
	server.mutex.Unlock()
	switch {
	case !info.Leaving:
		server.leavingSince.Store(0)
	case server.leavingSince.Load() == 0:
		server.leavingSince.Store(int64(clock.Now()))
	}
}

// leavingGrace is how long a leaving primary is still used while it is being replaced.
const leavingGrace = 3 * time.Second

// Usable reports whether the server accepts new work if it is the primary.
func (server *Server) Usable() bool {
	since := time.Duration(server.leavingSince.Load())
	return server.Reachable() && !server.Closed() && (since == 0 || clock.Now()-since < leavingGrace)
}

// Begin counts a statement that is about to be sent. The result is to be passed to Answered or Failed.
func (server *Server) Begin() time.Duration {
	server.inFlight.Add(1)
	return clock.Now()
}

// Answered records the answer to a statement sent at sentAt. The work flag tells that the statement occupied a slot, so
// that its latency shows how busy the server is.
func (server *Server) Answered(sentAt time.Duration, reply statement.Reply, work bool) {
	server.inFlight.Add(-1)
	now := clock.Now()
	server.mutex.Lock()
	server.failures, server.failingSince, server.dialFailed = 0, 0, false
	if work {
		server.latency.Observe(now, now-sentAt)
	}
	if reply.Position != (position.Position{}) {
		server.applied, server.seenAt = reply.Position, now
	}
	server.mutex.Unlock()
	if reply.Position != (position.Position{}) {
		server.group.sample(server.ID(), sentAt, reply.Position)
	}
}

// Acknowledge records the success of a write at the position and reports whether it may be sent to the caller, see
// Group.Acknowledge.
func (server *Server) Acknowledge(deadline time.Time, at position.Position) bool {
	return server.group.Acknowledge(deadline, at)
}

// Failed records that a statement got no answer.
func (server *Server) Failed(sentAt time.Duration) {
	server.inFlight.Add(-1)
	server.fail(1)
	now := clock.Now()
	server.mutex.Lock()
	server.latency.Observe(now, now-sentAt)
	server.mutex.Unlock()
}

// ConnectionUnusable records that a statement was not sent, since its connection turned out to be closed or to hold an answer to no call.
// A server that leaves no connection usable answers nothing, although it accepts connections.
func (server *Server) ConnectionUnusable() {
	server.inFlight.Add(-1)
	server.fail(1)
}

// DialFailed records that no connection to the server could be opened.
func (server *Server) DialFailed() {
	server.mutex.Lock()
	server.dialFailed = true
	server.mutex.Unlock()
	server.fail(dialFailureWeight)
}

func (server *Server) fail(count int) {
	server.mutex.Lock()
	was := server.failures
	server.failures += count
	now := server.failures
	server.failedAt = clock.Now()
	if server.failingSince == 0 {
		server.failingSince = server.failedAt
	}
	server.mutex.Unlock()
	if was == 0 && server.group.observes() {
		server.group.monitor.reportSuspect(server.group)
	}
	if was < unreachableFailures && now >= unreachableFailures {
		server.group.monitor.eventLog.Event("dependency_lost", "dependency", "backend_server", "server", server.ID(),
			"group", server.group.id, "failures", now)
		server.group.notify()
	}
}

// Latency returns the expected latency of a statement on the server.
func (server *Server) Latency() time.Duration {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	return server.latency.Estimate(clock.Now())
}

// ExpectedLatency returns the expected latency of a statement, including the wait behind those last seen queued on the
// server.
func (server *Server) ExpectedLatency() time.Duration {
	slots := max(server.Info().Slots, 1)
	server.mutex.Lock()
	defer server.mutex.Unlock()
	return server.latency.Estimate(clock.Now()) + balance.QueueDelay(max(server.busy-slots, 0), slots, server.latency.Estimate(clock.Now()))
}

// Reachable reports whether the server is expected to answer.
func (server *Server) Reachable() bool {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	return !server.silent()
}

// silent reports whether the failures since the last answer mean that the server is unreachable. The mutex must be held.
func (server *Server) silent() bool {
	return server.failures >= unreachableFailures && (server.dialFailed || clock.Now()-server.failingSince >= silenceTimeout)
}

// SilentFor returns for how long every attempt to reach the server has failed; 0 while it answers.
func (server *Server) SilentFor() time.Duration {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	if !server.silent() {
		return 0
	}
	return clock.Now() - server.failingSince
}

// observe records an answered status request.
func (server *Server) observe(observation leader.Observation) {
	server.mutex.Lock()
	was := server.failures
	server.failures, server.failingSince, server.dialFailed = 0, 0, false
	if was >= unreachableFailures {
		server.regainedAt = clock.Now()
	}
	server.mutex.Unlock()
	if was >= unreachableFailures {
		server.group.monitor.eventLog.Event("dependency_regained", "dependency", "backend_server", "server", server.ID(),
			"group", server.group.id, "failures", was)
	}
	server.record(observation)
}

// record stores an observation made by this or another VM.
func (server *Server) record(observation leader.Observation) {
	server.mutex.Lock()
	if observation.SentAt > server.seenAt {
		server.applied, server.seenAt = observation.Applied, observation.SentAt
		server.connections, server.busy = observation.Connections, observation.ActiveStatements
	}
	server.mutex.Unlock()
	server.setLimit()
	server.group.observe(server.ID(), observation)
}

// situation returns the input for deciding when this VM polls the server.
func (server *Server) situation() observer.PollState {
	group, monitor, now := server.group, server.group.monitor, clock.Now()
	observed, known := group.Observed(server.ID())
	primary, _, _ := group.Primary()
	age := time.Duration(math.MaxInt64)
	if known {
		age = now - observed.SentAt
	}
	server.mutex.Lock()
	silent, failedAt := server.silent(), server.failedAt
	server.mutex.Unlock()
	return observer.PollState{
		VMs: monitor.plan.Load().VMs(), IsObserver: group.observes(), Used: group.inUse(), OnDuty: monitor.onDuty != nil && monitor.onDuty(),
		Closed: server.Closed() && server != primary, Silent: silent, Age: age, ReachedByOthers: known && observed.SentAt > failedAt, SinceRequest: now - time.Duration(server.askedAt.Load()),
	}
}

// candidate describes the server for the choice of a server for a read.
func (server *Server) candidate(organisation ids.OrganisationID, isLeader bool, now time.Duration) balance.Candidate {
	info := server.Info()
	pool := server.Pool.State(organisation)
	server.mutex.Lock()
	applied, seenAt := server.applied, server.seenAt
	server.mutex.Unlock()
	lag := server.group.lag(applied, seenAt)
	server.mutex.Lock()
	defer server.mutex.Unlock()
	return balance.Candidate{
		Primary: isLeader, Local: info.Zone == server.group.monitor.zone, Latency: server.latency.Estimate(now), Slots: info.Slots,
		InFlight: int(server.inFlight.Load()) + pool.Waiting, Busy: server.busy, Matching: pool.Matching || server.handsOver(), Free: pool.Free, Evictable: pool.Evictable,
		Applied: applied, Lag: lag,
	}
}

// PollNow triggers a status request at once, for example when a supposed primary answered as a replica.
func (server *Server) PollNow() {
	select {
	case server.wakeup <- struct{}{}:
	default:
	}
}
