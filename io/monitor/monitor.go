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

	"github.com/rcrowley/go-metrics"

	"dotterelgw/core/catalog"
	"dotterelgw/core/evacuation"
	"dotterelgw/core/ids"
	"dotterelgw/core/leader"
	"dotterelgw/core/member"
	"dotterelgw/core/observer"
	"dotterelgw/core/position"
	"dotterelgw/core/statement"
	"dotterelgw/core/zonebalance"
	"dotterelgw/io/clock"
	"dotterelgw/io/dbpool"
	"dotterelgw/io/observe"
)

const (
	// useTTL is the time after a request during which the state of its group is kept up to date.
	useTTL = 5 * time.Second
	// pollTimeout bounds a status request, which queues behind statements on a busy server.
	pollTimeout = 500 * time.Millisecond
)

// Monitor keeps track of all database groups.
type Monitor struct {
	dialer   dbpool.Dialer
	zone     ids.AvailabilityZone
	eventLog *observe.EventLog

	mutex   sync.Mutex
	ctx     context.Context
	groups  map[ids.GroupID]*Group
	catalog *catalog.Catalog
	onDuty  func() bool
	// serviceAge returns the time since the key-value service last answered.
	serviceAge func() time.Duration
	// fences holds the stored fences of groups when this VM started. They were read at fencesReadAt, 0 if they could not be read.
	fences       map[ids.GroupID]StoredFence
	fencesReadAt time.Duration
	// earlyFences holds the terms of successors of which this VM was told before it knew the servers of the group.
	earlyFences map[ids.GroupID]ids.Term
	// vms holds the VMs that share the connections to each server.
	vms []member.Member

	// evacuated holds the availability zones that are evacuated or return; nil before the first ones.
	evacuated atomic.Pointer[evacuation.Zones]
	// closing serialises the closing and opening of servers, so that an older state never follows a newer one.
	closing sync.Mutex
	// limitsCold reports whether cold servers get a limited rate.
	limitsCold bool
	sharing    Sharing
	// homes hands statements over to other VMs; nil if this VM does not.
	homes Homes
	// schedules is told what the schedules of pools decide; nil if nobody is.
	schedules *dbpool.ScheduleObserver
	// answers is told of answers that can't belong to a call; nil if nobody is.
	answers *dbpool.AnswerObserver
	// zonePolicy weighs traffic between availability zones; nil chooses servers by their expected time alone.
	zonePolicy *zonebalance.Policy
	registry   metrics.Registry

	// plan assigns the observation of groups to VMs.
	plan atomic.Pointer[observer.Plan]
	sent queries
	// nextCollector selects the collector that is queried next. Only Run uses it.
	nextCollector int
	wakeup        chan struct{}
}

// New returns a monitor for a VM in the availability zone. It stops polling when the context ends.
func New(ctx context.Context, dialer dbpool.Dialer, zone ids.AvailabilityZone, eventLog *observe.EventLog) *Monitor {
	monitor := &Monitor{
		ctx: ctx, dialer: dialer, zone: zone, eventLog: eventLog, groups: make(map[ids.GroupID]*Group), earlyFences: make(map[ids.GroupID]ids.Term), wakeup: make(chan struct{}, 1),
		serviceAge: func() time.Duration { return 0 },
	}
	monitor.plan.Store(&observer.Plan{})
	return monitor
}

// Group returns the group, nil if none of its servers is registered.
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

// SetCatalog takes the connection limits of the groups from the configuration.
func (monitor *Monitor) SetCatalog(current *catalog.Catalog) {
	monitor.mutex.Lock()
	monitor.catalog = current
	monitor.mutex.Unlock()
	monitor.setLimits()
}

// SetVMs sets the VMs that share the connections to each server and the observation of the groups.
func (monitor *Monitor) SetVMs(vms []member.Member) {
	self := member.Member{ID: monitor.sharing.Self, Zone: monitor.zone}
	monitor.plan.Store(observer.NewPlan(self, vms))
	monitor.mutex.Lock()
	monitor.vms = vms
	monitor.mutex.Unlock()
	monitor.setLimits()
}

// SetDuty sets the function that reports whether this VM is responsible for replacing primaries. It must be called
// before the first SetServers.
func (monitor *Monitor) SetDuty(onDuty func() bool) { monitor.onDuty = onDuty }

// SetServiceAge sets the function that returns the time since the key-value service last answered, as far as this VM
// knows. It must be called before the first SetServers.
func (monitor *Monitor) SetServiceAge(age func() time.Duration) { monitor.serviceAge = age }

// StoredFence is what the store says of the primary of a group.
type StoredFence struct {
	// Term is the term of the successor while the primary is being replaced, otherwise 0.
	Term ids.Term
	// NewestTerm is the highest term that is known to have had a primary, 0 if none is.
	NewestTerm ids.Term
}

// SetFences fences groups by the fences that were stored at the time; 0 means that they are not known. It must be called before the
// first SetServers.
func (monitor *Monitor) SetFences(fences map[ids.GroupID]StoredFence, readAt time.Duration) {
	monitor.mutex.Lock()
	defer monitor.mutex.Unlock()
	monitor.fences, monitor.fencesReadAt = fences, readAt
}

// Fence fences primaries of terms before the given one, see Group.Fence. The servers of the group need not be known yet.
func (monitor *Monitor) Fence(id ids.GroupID, term ids.Term) position.Position {
	monitor.mutex.Lock()
	group := monitor.groups[id]
	if group == nil {
		monitor.earlyFences[id] = max(monitor.earlyFences[id], term)
	}
	monitor.mutex.Unlock()
	if group == nil {
		return position.Position{}
	}
	return group.Fence(term)
}

// SetServers replaces the registered servers, which were read at the time or before.
func (monitor *Monitor) SetServers(readAt time.Duration, registered []catalog.Server) {
	byGroup := make(map[ids.GroupID][]catalog.Server)
	for _, server := range registered {
		byGroup[server.Group] = append(byGroup[server.Group], server)
	}
	monitor.mutex.Lock()
	for id := range byGroup {
		if monitor.groups[id] == nil {
			monitor.groups[id] = newGroup(id, monitor)
			fence := monitor.fences[id]
			fence.Term = max(fence.Term, monitor.earlyFences[id])
			delete(monitor.earlyFences, id)
			monitor.groups[id].fenceAtStart(fence, monitor.fencesReadAt)
		}
	}
	// Groups that appear later were not being replaced when this VM started. Whether they are now is not known.
	monitor.fences, monitor.fencesReadAt = nil, 0
	groups := slices.Collect(maps.Values(monitor.groups))
	monitor.mutex.Unlock()
	for _, group := range groups {
		added, removed := group.setServers(readAt, byGroup[group.id])
		for _, server := range added {
			server.updateAllotment()
			server.applyEvacuation()
			go monitor.watch(server)
		}
		for _, server := range removed {
			close(server.stop)
			server.Pool.Close()
			server.control.Close()
		}
	}
}

func (monitor *Monitor) newServer(group *Group, info catalog.Server) *Server {
	server := &Server{
		group: group, addedAt: clock.Now(), connections: math.MaxInt32, stop: make(chan struct{}), wakeup: make(chan struct{}, 1),
		Pool: dbpool.New(info, monitor.dialer, defaultConnections), control: newControlPool(info, monitor.dialer),
	}
	server.Pool.SetScheduleObserver(monitor.schedules)
	server.Pool.SetAnswerObserver(monitor.answers)
	server.control.SetAnswerObserver(monitor.answers)
	server.askedAt.Store(int64(clock.Now()))
	server.register(info)
	return server
}

// watch polls the server's state until it is removed.
func (monitor *Monitor) watch(server *Server) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		immediate := false
		select {
		case <-monitor.ctx.Done():
			return
		case <-server.stop:
			return
		case <-server.wakeup:
			immediate = true
		case <-timer.C:
		}
		timer.Reset(monitor.next(server, immediate))
	}
}

// next polls the server's state if that is due, and returns the time until the next check.
func (monitor *Monitor) next(server *Server, immediate bool) time.Duration {
	wait, ask := server.situation().UntilNextRequest()
	if !immediate && (!ask || wait > 0) {
		return wait
	}
	server.askedAt.Store(int64(clock.Now()))
	// SendControl logs and counts a failure.
	_, _ = monitor.SendControl(server, dbpool.Call{Kind: statement.Status})
	wait, _ = server.situation().UntilNextRequest()
	return max(wait, minCheckInterval)
}

// minCheckInterval is the shortest time between two checks of a server.
const minCheckInterval = 20 * time.Millisecond

// ErrBusy reports that the server is alive but had no free slot for a status request.
var ErrBusy = errors.New("the server is busy")

// SendControl sends a control statement to the server and records the state in its answer.
func (monitor *Monitor) SendControl(server *Server, call dbpool.Call) (leader.Status, error) {
	ctx, cancel := context.WithTimeout(monitor.ctx, pollTimeout)
	defer cancel()
	conn, err := server.controlPool().Acquire(ctx, dbpool.Request{Organisation: monitor.anyOrganisation(), Priority: -1, Any: true})
	if err != nil {
		monitor.AcquireFailed(server, err)
		return leader.Status{}, fmt.Errorf("control statement to %s: %w", server.ID(), err)
	}
	sentAt := server.Begin()
	status, code, err := conn.Status(time.Now().Add(pollTimeout), call)
	if err != nil {
		conn.Break()
		conn.Release(statement.FailedTransaction)
		server.unanswered(sentAt, err)
		monitor.eventLog.LimitedEvent("status_unanswered", "server", server.ID(), "group", server.group.id,
			"waited_ms", (clock.Now() - sentAt).Milliseconds(), "err", err)
		return leader.Status{}, fmt.Errorf("control statement to %s: %w", server.ID(), err)
	}
	conn.Release(statement.Idle)
	server.Answered(sentAt, statement.Reply{}, false)
	if code != statement.Complete {
		return leader.Status{}, ErrBusy
	}
	server.observe(leader.Observation{Status: status, SentAt: sentAt})
	return status, nil
}

// AcquireFailed evaluates the error of a failed Acquire. A lack of free connections says nothing about the server's health; any
// other error counts as a failed dial.
func (monitor *Monitor) AcquireFailed(server *Server, err error) {
	var refused *dbpool.RefusedError
	monitor.eventLog.LimitedEvent("connection_unavailable", "server", server.ID(), "group", server.group.id, "err", err)
	switch {
	case errors.Is(err, dbpool.ErrAcquireTimeout), errors.Is(err, dbpool.ErrQueueFull), errors.Is(err, dbpool.ErrClosed),
		errors.Is(err, dbpool.ErrSuspended), monitor.ctx.Err() != nil:
	case errors.As(err, &refused) && refused.Code == statement.TooManyConnections:
	default:
		server.DialFailed()
	}
}

// anyOrganisation returns the organisation used to open a connection for control statements if none is idle: the one
// with the highest rate.
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
