package monitor

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"dotterelgw/core/balance"
	"dotterelgw/core/catalog"
	"dotterelgw/core/ids"
	"dotterelgw/core/leader"
	"dotterelgw/core/observer"
	"dotterelgw/core/position"
	"dotterelgw/core/statement"
	"dotterelgw/io/clock"
	"dotterelgw/io/dbpool"
)

const (
	// failuresDown is the number of failures in a row after which a server counts as unreachable.
	failuresDown = 2
	// silentAfter is the time without any answer after which lost answers tell that a server is unreachable; single answers
	// may be lost while others come.
	silentAfter = 250 * time.Millisecond
	// refusedFailures is the weight of a connection that the server refused, which tells more than a late answer.
	refusedFailures = 2
)

// Server is what this VM knows of one life of a backend server.
type Server struct {
	// Pool holds the connections to the server.
	Pool *dbpool.Pool

	group    *Group
	info     atomic.Pointer[catalog.Server]
	inFlight atomic.Int32
	stop     chan struct{}
	// hurry makes the next status request come at once.
	hurry chan struct{}
	// leavingSince is the boot time in nanoseconds since which the server is known to leave; 0 while it stays.
	leavingSince atomic.Int64
	// askedAt is the boot time in nanoseconds at which this VM last asked for the server's state.
	askedAt atomic.Int64

	mutex   sync.Mutex
	latency balance.Latency
	applied position.Position
	seenAt  time.Duration
	// busy is the number of statements that were seen to run or wait there.
	busy int
	// connections is the number of connections that all VMs were seen to have; the largest number until it is known.
	connections int
	failures    int
	// failingSince is the time of the first failure after the last answer.
	failingSince time.Duration
	// failedAt is the time of the last failure.
	failedAt time.Duration
	// part is this VM's part of the connections.
	part part
	// refused states that a connection could not be opened since the last answer.
	refused bool
}

// Info returns the server's registration.
func (server *Server) Info() catalog.Server { return *server.info.Load() }

// ID returns the server's identifier.
func (server *Server) ID() ids.BackendServerID { return server.Info().ID }

// register takes a newer registration of the same life of the server.
func (server *Server) register(info catalog.Server) {
	server.info.Store(&info)
	switch {
	case !info.Leaving:
		server.leavingSince.Store(0)
	case server.leavingSince.Load() == 0:
		server.leavingSince.Store(int64(clock.Now()))
	}
}

// leavingUse is the time for which a primary that leaves is still used, while it is replaced.
const leavingUse = 3 * time.Second

// Usable states whether the server, if it is the primary, takes new work.
func (server *Server) Usable() bool {
	since := time.Duration(server.leavingSince.Load())
	return server.Reachable() && (since == 0 || clock.Now()-since < leavingUse)
}

// Begin counts a statement that is sent; the result is the time to hand to Answered.
func (server *Server) Begin() time.Duration {
	server.inFlight.Add(1)
	return clock.Now()
}

// Answered notes the answer to a statement that was sent at the time. Work states that the statement took a slot, so that
// its latency tells how busy the server is.
func (server *Server) Answered(sentAt time.Duration, reply statement.Reply, work bool) {
	server.inFlight.Add(-1)
	now := clock.Now()
	server.mutex.Lock()
	server.failures, server.failingSince, server.refused = 0, 0, false
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

// Acknowledge states whether the success of a write at the position may go to its caller, see Group.Acknowledge.
func (server *Server) Acknowledge(deadline time.Time, at position.Position) bool {
	return server.group.Acknowledge(deadline, at)
}

// Failed notes that a statement got no answer.
func (server *Server) Failed(sentAt time.Duration) {
	server.inFlight.Add(-1)
	server.fail(1)
	now := clock.Now()
	server.mutex.Lock()
	server.latency.Observe(now, now-sentAt)
	server.mutex.Unlock()
}

// Refused notes that the server could not be connected to.
func (server *Server) Refused() {
	server.mutex.Lock()
	server.refused = true
	server.mutex.Unlock()
	server.fail(refusedFailures)
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
		server.group.monitor.suspect(server.group)
	}
	if was < failuresDown && now >= failuresDown {
		server.group.monitor.decisions.Event("dependency_lost", "dependency", "backend_server", "server", server.ID(),
			"group", server.group.id, "failures", now)
		server.group.notify()
	}
}

// Latency returns the time that the server is expected to take for a statement.
func (server *Server) Latency() time.Duration {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	return server.latency.Estimate(clock.Now())
}

// Expected returns the time that the server is expected to take for a statement behind those that were seen to wait there.
func (server *Server) Expected() time.Duration {
	slots := max(server.Info().Slots, 1)
	server.mutex.Lock()
	defer server.mutex.Unlock()
	return server.latency.Estimate(clock.Now()) + balance.Wait(max(server.busy-slots, 0), slots, server.latency.Estimate(clock.Now()))
}

// Reachable states whether the server is expected to answer.
func (server *Server) Reachable() bool {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	return !server.silent()
}

// silent states whether the failures since the last answer tell that the server is unreachable. The mutex is held.
func (server *Server) silent() bool {
	return server.failures >= failuresDown && (server.refused || clock.Now()-server.failingSince >= silentAfter)
}

// SilentFor returns the time since which every attempt to reach the server has failed; 0 while it answers.
func (server *Server) SilentFor() time.Duration {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	if !server.silent() {
		return 0
	}
	return clock.Now() - server.failingSince
}

// observe notes an answered status request.
func (server *Server) observe(observation leader.Observation) {
	server.mutex.Lock()
	was := server.failures
	server.failures, server.failingSince, server.refused = 0, 0, false
	server.mutex.Unlock()
	if was >= failuresDown {
		server.group.monitor.decisions.Event("dependency_regained", "dependency", "backend_server", "server", server.ID(),
			"group", server.group.id, "failures", was)
	}
	server.learn(observation)
}

// learn notes an observation of this or another VM.
func (server *Server) learn(observation leader.Observation) {
	server.mutex.Lock()
	if observation.SentAt > server.seenAt {
		server.applied, server.seenAt = observation.Applied, observation.SentAt
		server.connections, server.busy = observation.Connections, observation.Busy
	}
	server.mutex.Unlock()
	server.setLimit()
	server.group.observe(server.ID(), observation)
}

// situation returns what decides when this VM asks for the server's state.
func (server *Server) situation() observer.Situation {
	group, monitor, now := server.group, server.group.monitor, clock.Now()
	observed, known := group.Observed(server.ID())
	age := time.Duration(math.MaxInt64)
	if known {
		age = now - observed.SentAt
	}
	server.mutex.Lock()
	silent, failedAt := server.silent(), server.failedAt
	server.mutex.Unlock()
	return observer.Situation{
		VMs: monitor.plan.Load().VMs(), Observes: group.observes(), Used: group.inUse(), OnDuty: monitor.onDuty != nil && monitor.onDuty(),
		Silent: silent, Age: age, Regained: known && observed.SentAt > failedAt, SinceAsked: now - time.Duration(server.askedAt.Load()),
	}
}

// candidate describes the server to the choice of a server for a read.
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
		Leader: isLeader, Local: info.Zone == server.group.monitor.zone, Latency: server.latency.Estimate(now), Slots: info.Slots,
		InFlight: int(server.inFlight.Load()) + pool.Waiting, Busy: server.busy, Matching: pool.Matching, Free: pool.Free, Evictable: pool.Evictable,
		Applied: applied, Lag: lag,
	}
}

// Suspect notes that the server answered as a replica although it counted as the primary: its state is asked for at once.
func (server *Server) Suspect() {
	select {
	case server.hurry <- struct{}{}:
	default:
	}
}
