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
	// barrierDeadline bounds the wait for a leadership barrier.
	barrierDeadline = 3 * time.Second
	// confirmDeadline bounds the wait for a write's durability; a promotion within it can still confirm the write.
	confirmDeadline = 5 * time.Second
	// unusedAfter is the time after which an unused group is no longer polled.
	unusedAfter = 30 * time.Second
	// leavingPrimaryGrace is the time in which a leaving primary still serves while a replica is promoted. Together
	// with the lag of the VM list it stays under the 3 s after which a leaving server gets no new work.
	leavingPrimaryGrace = time.Second
)

var processStart = time.Now()

// Groups serves all database groups of a process.
type Groups struct {
	login           Login
	dial            dialFunc
	busy            func(ids.BackendServerID) int
	now             func() time.Duration
	logger          log.Logger
	counters        counters
	barrierDeadline time.Duration
	confirmDeadline time.Duration
	unusedAfter     time.Duration

	known   atomic.Pointer[map[ids.GroupID]*group]
	mutex   sync.Mutex // guards changes of known, and the fields below
	terms   map[ids.GroupID]config.TermRecord
	leaving map[ids.BackendServerID]time.Duration
	closed  bool
	running sync.WaitGroup
}

// New returns the groups of a process; they are made known with Apply.
func New(options ...Option) *Groups {
	groups := &Groups{
		dial: func(ctx context.Context, address string) (net.Conn, error) {
			return new(net.Dialer).DialContext(ctx, "tcp", address)
		},
		busy:            func(ids.BackendServerID) int { return 0 },
		now:             func() time.Duration { return time.Since(processStart) },
		logger:          log.NewNopLogger(),
		counters:        newCounters(metrics.NewRegistry()),
		barrierDeadline: barrierDeadline,
		confirmDeadline: confirmDeadline,
		unusedAfter:     unusedAfter,
		terms:           map[ids.GroupID]config.TermRecord{},
		leaving:         map[ids.BackendServerID]time.Duration{},
	}
	groups.known.Store(&map[ids.GroupID]*group{})
	for _, option := range options {
		option(groups)
	}
	return groups
}

// Now returns the time on the clock of View's CurrentAt.
func (groups *Groups) Now() time.Duration { return groups.now() }

// View returns the newest view of the group, or nil for an unknown group. It starts the status polling.
func (groups *Groups) View(id ids.GroupID) *route.View {
	group := groups.find(id)
	if group == nil {
		return nil
	}
	group.use()
	return group.view.Load()
}

func (groups *Groups) find(id ids.GroupID) *group { return (*groups.known.Load())[id] }

// Apply makes a group or a change of its servers known.
func (groups *Groups) Apply(record config.GroupRecord) {
	groups.mutex.Lock()
	defer groups.mutex.Unlock()
	previous := groups.find(record.Group)
	if groups.closed || previous != nil && slices.Equal(previous.record.Servers, record.Servers) {
		return
	}
	next := newGroup(groups, record, groups.terms[record.Group], groups.leaving)
	known := make(map[ids.GroupID]*group, len(*groups.known.Load())+1)
	for id, group := range *groups.known.Load() {
		known[id] = group
	}
	known[record.Group] = next
	groups.known.Store(&known)
	if previous != nil {
		next.watch(previous.replace())
	}
}

// ApplyTerm makes a term record known; a record of a lower term, or an earlier step of the same term, is ignored.
func (groups *Groups) ApplyTerm(id ids.GroupID, record config.TermRecord) {
	groups.mutex.Lock()
	defer groups.mutex.Unlock()
	if known, ok := groups.terms[id]; ok && !failover.Follows(known, record) {
		return
	}
	groups.terms[id] = record
	if group := groups.find(id); group != nil {
		group.applyTerm(record)
	}
}

// SetLeaving states whether the server takes new work.
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
	for _, group := range *groups.known.Load() {
		group.setLeaving(server, leaving, groups.leaving[server])
	}
}

// Watch starts or stops the steady probing of a group, whether or not it is used.
func (groups *Groups) Watch(id ids.GroupID, watched bool) {
	if group := groups.find(id); group != nil {
		group.watch(watched)
	}
}

// Polling states whether status requests are being sent to the group's servers.
func (groups *Groups) Polling(id ids.GroupID) bool {
	group := groups.find(id)
	return group != nil && group.active.Load()
}

// Evidence returns what this VM last saw of the group's servers, in the order of the group record; nil for an
// unknown group.
func (groups *Groups) Evidence(id ids.GroupID) []failover.Evidence {
	if group := groups.find(id); group != nil {
		return group.evidence()
	}
	return nil
}

// Observe reports an error of a data connection to the server; the server counts as unreachable until it answers a
// status request, which is sent at once.
func (groups *Groups) Observe(id ids.GroupID, server ids.BackendServerID, err error) {
	if group := groups.find(id); group != nil && err != nil {
		group.observe(server)
	}
}

// Order runs a group function at the server's address over a connection of its own and returns the server's status.
func (groups *Groups) Order(ctx context.Context, address, query string) (failover.Status, error) {
	connection, err := groups.login.connect(ctx, groups.dial, address)
	if err != nil {
		return failover.Status{}, fmt.Errorf("order at %s: %w", address, err)
	}
	defer connection.close()
	status, err := connection.ask(ctx, query)
	if err != nil {
		var refused *ServerError
		if errors.As(err, &refused) {
			status = refused.Status
		}
		return status, fmt.Errorf("order at %s: %w", address, err)
	}
	return status, nil
}

// Close stops all polling and fails everything that waits.
func (groups *Groups) Close() {
	groups.mutex.Lock()
	groups.closed = true
	for _, group := range *groups.known.Load() {
		group.replace()
	}
	groups.known.Store(&map[ids.GroupID]*group{})
	groups.mutex.Unlock()
	groups.running.Wait()
}
