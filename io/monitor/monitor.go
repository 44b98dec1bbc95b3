package monitor

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"dotterelgw/core/catalog"
	"dotterelgw/core/ids"
	"dotterelgw/core/leader"
	"dotterelgw/core/member"
	"dotterelgw/core/observer"
	"dotterelgw/core/statement"
	"dotterelgw/io/clock"
	"dotterelgw/io/dbpool"
	"dotterelgw/io/observe"
)

const (
	// useMemory is the time after a request in which the state of its group is kept up to date.
	useMemory = 5 * time.Second
	// pollTimeout bounds a status request, which waits behind statements on a busy server.
	pollTimeout = 500 * time.Millisecond
)

// Monitor follows all database groups.
type Monitor struct {
	dialer    dbpool.Dialer
	zone      ids.AvailabilityZone
	decisions *observe.Decisions

	mutex   sync.Mutex
	ctx     context.Context
	groups  map[ids.GroupID]*Group
	catalog *catalog.Catalog
	onDuty  func() bool
	// serviceAge returns the time since the key-value service last answered.
	serviceAge func() time.Duration
	// vms holds the VMs that share the connections.
	vms []member.Member

	sharing Sharing
	// plan divides the observing among the VMs.
	plan  atomic.Pointer[observer.Plan]
	asked questions
	// turn chooses the collector that is asked next. Only Run uses it.
	turn  int
	hurry chan struct{}
}

// New returns a monitor for a VM in the zone that stops asking when the context ends.
func New(ctx context.Context, dialer dbpool.Dialer, zone ids.AvailabilityZone, decisions *observe.Decisions) *Monitor {
	monitor := &Monitor{
		ctx: ctx, dialer: dialer, zone: zone, decisions: decisions, groups: make(map[ids.GroupID]*Group), hurry: make(chan struct{}, 1),
		serviceAge: func() time.Duration { return 0 },
	}
	monitor.plan.Store(&observer.Plan{})
	return monitor
}

// Group returns the group, nil if no server of it is registered.
func (monitor *Monitor) Group(id ids.GroupID) *Group {
	monitor.mutex.Lock()
	defer monitor.mutex.Unlock()
	return monitor.groups[id]
}

// Groups returns all groups.
func (monitor *Monitor) Groups() []*Group {
	monitor.mutex.Lock()
	defer monitor.mutex.Unlock()
	groups := make([]*Group, 0, len(monitor.groups))
	for _, group := range monitor.groups {
		groups = append(groups, group)
	}
	return groups
}

// SetCatalog takes the bounds of the groups from the configuration.
func (monitor *Monitor) SetCatalog(current *catalog.Catalog) {
	monitor.mutex.Lock()
	monitor.catalog = current
	monitor.mutex.Unlock()
	monitor.setLimits()
}

// SetVMs sets the VMs that share the connections to each server and the observing of the groups.
func (monitor *Monitor) SetVMs(vms []member.Member) {
	self := member.Member{ID: monitor.sharing.Self, Zone: monitor.zone}
	monitor.plan.Store(observer.NewPlan(self, vms))
	monitor.mutex.Lock()
	monitor.vms = vms
	monitor.mutex.Unlock()
	monitor.setLimits()
}

// SetDuty sets the function that tells whether this VM replaces primaries. It is called before the first servers are known.
func (monitor *Monitor) SetDuty(onDuty func() bool) { monitor.onDuty = onDuty }

// SetServiceAge sets the function that tells how long ago the key-value service last answered, as far as this VM knows. It is
// called before the first servers are known.
func (monitor *Monitor) SetServiceAge(age func() time.Duration) { monitor.serviceAge = age }

// SetServers takes the registered servers.
func (monitor *Monitor) SetServers(registered []catalog.Server) {
	byGroup := make(map[ids.GroupID][]catalog.Server)
	for _, server := range registered {
		byGroup[server.Group] = append(byGroup[server.Group], server)
	}
	monitor.mutex.Lock()
	for id := range byGroup {
		if monitor.groups[id] == nil {
			monitor.groups[id] = newGroup(id, monitor)
		}
	}
	groups := slices.Collect(maps.Values(monitor.groups))
	monitor.mutex.Unlock()
	for _, group := range groups {
		added, removed := group.setServers(byGroup[group.id])
		for _, server := range added {
			server.setPart()
			go monitor.watch(server)
		}
		for _, server := range removed {
			close(server.stop)
			server.Pool.Close()
		}
	}
}

func (monitor *Monitor) newServer(group *Group, info catalog.Server) *Server {
	server := &Server{
		group: group, connections: math.MaxInt32, stop: make(chan struct{}), hurry: make(chan struct{}, 1),
		Pool: dbpool.New(info, monitor.dialer, defaultConnections),
	}
	server.askedAt.Store(int64(clock.Now()))
	server.register(info)
	return server
}

// watch asks the server for its state until it is gone.
func (monitor *Monitor) watch(server *Server) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		hurried := false
		select {
		case <-monitor.ctx.Done():
			return
		case <-server.stop:
			return
		case <-server.hurry:
			hurried = true
		case <-timer.C:
		}
		timer.Reset(monitor.next(server, hurried))
	}
}

// next asks the server for its state if that is due, and returns the time until the next look.
func (monitor *Monitor) next(server *Server, hurried bool) time.Duration {
	wait, ask := server.situation().Due()
	if !hurried && (!ask || wait > 0) {
		return wait
	}
	server.askedAt.Store(int64(clock.Now()))
	// Ask logs and counts a failure.
	_, _ = monitor.Ask(server, dbpool.Call{Kind: statement.Status})
	wait, _ = server.situation().Due()
	return max(wait, leastPause)
}

// leastPause is the least time between two looks at a server.
const leastPause = 20 * time.Millisecond

// errBusy states that the server is alive and had no room for a status request.
var errBusy = errors.New("the server is busy")

// Ask sends a control statement to the server and notes the state that it answers with.
func (monitor *Monitor) Ask(server *Server, call dbpool.Call) (leader.Status, error) {
	ctx, cancel := context.WithTimeout(monitor.ctx, pollTimeout)
	defer cancel()
	conn, err := server.Pool.Acquire(ctx, dbpool.Request{Organisation: monitor.anyOrganisation(), Priority: -1, Any: true})
	if err != nil {
		monitor.NoConnection(server, err)
		return leader.Status{}, fmt.Errorf("asking %s: %w", server.ID(), err)
	}
	sentAt := server.Begin()
	status, code, err := conn.Status(time.Now().Add(pollTimeout), call)
	if err != nil {
		conn.Break()
		conn.Release(statement.Failed)
		server.Failed(sentAt)
		monitor.decisions.Request("status_unanswered", "server", server.ID(), "group", server.group.id,
			"waited_ms", (clock.Now() - sentAt).Milliseconds(), "err", err)
		return leader.Status{}, fmt.Errorf("asking %s: %w", server.ID(), err)
	}
	conn.Release(statement.Idle)
	server.Answered(sentAt, statement.Reply{}, false)
	if code != statement.Complete {
		return leader.Status{}, errBusy
	}
	server.observe(leader.Observation{Status: status, SentAt: sentAt})
	return status, nil
}

// NoConnection notes what a failed Acquire tells of the server: one that only lacked a free connection may be well.
func (monitor *Monitor) NoConnection(server *Server, err error) {
	var refused *dbpool.RefusedError
	monitor.decisions.Request("connection_unavailable", "server", server.ID(), "group", server.group.id, "err", err)
	switch {
	case errors.Is(err, dbpool.ErrNoConnection), errors.Is(err, dbpool.ErrCrowded), errors.Is(err, dbpool.ErrClosed), monitor.ctx.Err() != nil:
	case errors.As(err, &refused) && refused.Code == statement.TooManyConnections:
	default:
		server.Refused()
	}
}

// anyOrganisation returns the organisation under which a connection for control statements is opened if none is idle.
func (monitor *Monitor) anyOrganisation() ids.OrganisationID {
	monitor.mutex.Lock()
	defer monitor.mutex.Unlock()
	var largest *catalog.Organisation
	if monitor.catalog != nil {
		for _, organisation := range monitor.catalog.Organisations {
			if largest == nil || organisation.Rate > largest.Rate || organisation.Rate == largest.Rate && organisation.ID < largest.ID {
				largest = organisation
			}
		}
	}
	if largest == nil {
		return "none"
	}
	return largest.ID
}
