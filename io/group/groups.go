package group

import (
	"context"
	"fmt"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/juju/errors"
	"github.com/rcrowley/go-metrics"

	"dotterelgw/core/config"
	"dotterelgw/core/failover"
	"dotterelgw/core/ids"
	"dotterelgw/core/route"
)

const (
	// barrierTimeout bounds the wait for a leadership barrier.
	barrierTimeout = 3 * time.Second
	// confirmTimeout bounds the wait for a write to become durable. It is long enough for a promotion, which can still
	// confirm the write.
	confirmTimeout = 5 * time.Second
	// idleTimeout is the time after which an unused group is no longer polled.
	idleTimeout = 30 * time.Second
	// leavingPrimaryGrace is the time for which a leaving primary still serves while a replica is promoted. Together
	// with the lag of the VM list it is less than the 3 s after which a leaving server gets no new work.
	leavingPrimaryGrace = time.Second
)

var processStart = time.Now()

// Groups holds the state of all database groups that a process uses. It is safe for concurrent use.
type Groups struct {
	login           Login
	dial            dialFunc
	busyConnections func(ids.BackendServerID) int
	now             func() time.Duration
	logger          log.Logger
	counters        counters
	barrierTimeout  time.Duration
	confirmTimeout  time.Duration
	idleTimeout     time.Duration

	byID    atomic.Pointer[map[ids.GroupID]*group]
	mutex   sync.Mutex // guards changes of byID, and the fields below
	terms   map[ids.GroupID]config.TermRecord
	leaving map[ids.BackendServerID]time.Duration
	closed  bool
	pollers sync.WaitGroup
}

// New returns Groups without any group; Apply adds them.
func New(options ...Option) *Groups {
	groups := &Groups{
		dial: func(ctx context.Context, address string) (net.Conn, error) {
			return new(net.Dialer).DialContext(ctx, "tcp", address)
		},
		busyConnections: func(ids.BackendServerID) int { return 0 },
		now:             func() time.Duration { return time.Since(processStart) },
		logger:          log.NewNopLogger(),
		counters:        newCounters(metrics.NewRegistry()),
		barrierTimeout:  barrierTimeout,
		confirmTimeout:  confirmTimeout,
		idleTimeout:     idleTimeout,
		terms:           map[ids.GroupID]config.TermRecord{},
		leaving:         map[ids.BackendServerID]time.Duration{},
	}
	groups.byID.Store(&map[ids.GroupID]*group{})
	for _, option := range options {
		option(groups)
	}
	return groups
}

// Now returns the current time on the clock that CurrentAt in a view refers to.
func (groups *Groups) Now() time.Duration { return groups.now() }

// View returns the latest routing view of the group, or nil for an unknown group. It starts the status polling.
func (groups *Groups) View(id ids.GroupID) *route.View {
	group := groups.find(id)
	if group == nil {
		return nil
	}
	group.recordUse()
	return group.view.Load()
}

func (groups *Groups) find(id ids.GroupID) *group { return (*groups.byID.Load())[id] }

// Apply adds a group, or replaces it if its servers have changed.
func (groups *Groups) Apply(record config.GroupRecord) {
	groups.mutex.Lock()
	defer groups.mutex.Unlock()
	previous := groups.find(record.Group)
	if groups.closed || previous != nil && slices.Equal(previous.record.Servers, record.Servers) {
		return
	}
	next := newGroup(groups, record, groups.terms[record.Group], groups.leaving)
	byID := make(map[ids.GroupID]*group, len(*groups.byID.Load())+1)
	for id, group := range *groups.byID.Load() {
		byID[id] = group
	}
	byID[record.Group] = next
	groups.byID.Store(&byID)
	if previous != nil {
		next.setWatched(previous.replace())
	}
}

// ApplyTerm updates the term record of a group. A record of a lower term, or of an earlier step of the same term, is
// ignored.
func (groups *Groups) ApplyTerm(id ids.GroupID, record config.TermRecord) {
	groups.mutex.Lock()
	defer groups.mutex.Unlock()
	if current, ok := groups.terms[id]; ok && !failover.Newer(current, record) {
		return
	}
	groups.terms[id] = record
	if group := groups.find(id); group != nil {
		group.applyTerm(record)
	}
}

// SetLeaving sets whether the VM list marks the server as leaving, so that it gets no new work.
func (groups *Groups) SetLeaving(server ids.BackendServerID, leaving bool) {
	groups.mutex.Lock()
	defer groups.mutex.Unlock()
	_, before := groups.leaving[server]
	if before == leaving {
		return
	}
	if leaving {
		groups.leaving[server] = groups.now()
	} else {
		delete(groups.leaving, server)
	}
	for _, group := range *groups.byID.Load() {
		group.setLeaving(server, leaving, groups.leaving[server])
	}
}

// SetWatched starts or stops continuous polling of a group, whether or not it is used.
func (groups *Groups) SetWatched(id ids.GroupID, watched bool) {
	if group := groups.find(id); group != nil {
		group.setWatched(watched)
	}
}

// Polling reports whether status requests are being sent to the group's servers.
func (groups *Groups) Polling(id ids.GroupID) bool {
	group := groups.find(id)
	return group != nil && group.polling.Load()
}

// Evidence returns this VM's latest observations of the group's servers, in the order of the group record, or nil for an
// unknown group.
func (groups *Groups) Evidence(id ids.GroupID) []failover.Evidence {
	if group := groups.find(id); group != nil {
		return group.evidence()
	}
	return nil
}

// ReportError reports an error on a data connection to the server. The server counts as unreachable until it answers a
// status request, which is sent at once.
func (groups *Groups) ReportError(id ids.GroupID, server ids.BackendServerID, err error) {
	if group := groups.find(id); group != nil && err != nil {
		group.markUnreachable(server)
	}
}

// Call runs a group function at the server's address over a separate connection and returns the server's status, which
// the server may also supply with an error.
func (groups *Groups) Call(ctx context.Context, address, query string) (failover.Status, error) {
	connection, err := groups.login.connect(ctx, groups.dial, address)
	if err != nil {
		return failover.Status{}, fmt.Errorf("group function at %s: %w", address, err)
	}
	defer connection.close()
	status, err := connection.call(ctx, query)
	if err != nil {
		var refused *ServerError
		if errors.As(err, &refused) {
			status = refused.Status
		}
		return status, fmt.Errorf("group function at %s: %w", address, err)
	}
	return status, nil
}

// Close stops all polling and ends all waits with an error.
func (groups *Groups) Close() {
	groups.mutex.Lock()
	groups.closed = true
	for _, group := range *groups.byID.Load() {
		group.replace()
	}
	groups.byID.Store(&map[ids.GroupID]*group{})
	groups.mutex.Unlock()
	groups.pollers.Wait()
}
