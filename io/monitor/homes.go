package monitor

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"dotterelgw/core/catalog"
	"dotterelgw/core/home"
	"dotterelgw/core/ids"
	"dotterelgw/core/schedule"
	"dotterelgw/io/dbpool"
)

// Homes hands statements over to VMs that hold connections for others.
type Homes interface {
	// Choose returns the home to use for the server of those that are ranked, this VM included; false if none can be used at present.
	Choose(ranked []ids.VMID, server ids.BackendServerID) (ids.VMID, bool)
	// Open returns a link over which the home runs the statements of one operation. The context bounds the wait for a connection,
	// answerBy the wait for an answer. After an error nothing has been handed over.
	Open(ctx context.Context, home ids.VMID, server catalog.Server, request dbpool.Request, answerBy time.Time) (dbpool.Link, error)
}

// SetHomes sets the interface to VMs that hold connections for others, and who is told what the schedules of this VM decide while it is a
// home. It must be called before the first SetServers.
func (monitor *Monitor) SetHomes(homes Homes, schedules *dbpool.ScheduleObserver) {
	monitor.homes, monitor.schedules = homes, schedules
}

// SetAnswerObserver sets who is told of answers of backend servers that can't belong to a call. It must be called before the first
// SetServers.
func (monitor *Monitor) SetAnswerObserver(observer *dbpool.AnswerObserver) {
	monitor.answers = observer
}

// Server returns the server with the identifier, nil if it is not registered.
func (monitor *Monitor) Server(id ids.BackendServerID) *Server {
	for _, group := range monitor.Groups() {
		if server := group.server(id); server != nil {
			return server
		}
	}
	return nil
}

// chooseHomes computes the homes of the server. A home may hold most of the connections that all VMs together may use, and the
// preferred one keeps them while they are idle.
func (server *Server) chooseHomes(allotment *allotment) {
	monitor := server.group.monitor
	monitor.mutex.Lock()
	vms := monitor.vms
	monitor.mutex.Unlock()
	var homes []ids.VMID
	if monitor.homes != nil && home.Needed(allotment.usable, len(vms)) {
		homes = home.Choose(server.Info(), vms)
	}
	rank := slices.Index(homes, monitor.sharing.Self)
	switch {
	case rank == 0:
		allotment.idleTimeout = 0
	case rank > 0:
		allotment.idleTimeout = home.TakeoverIdleTimeout
	}
	if rank >= 0 {
		allotment.own = max(allotment.own, home.Limit(allotment.usable))
	}
	server.Pool.SetSchedule(server.schedule(rank))
	previous := server.homes.Swap(&homes)
	if previous == nil || !slices.Equal(*previous, homes) {
		monitor.eventLog.LimitedEvent("homes_chosen", "server", server.ID(), "group", server.group.id, "homes", fmt.Sprint(homes), "vms", len(vms),
			"usable", allotment.usable, "rank", rank, "limit", allotment.own)
	}
}

// schedule returns the policy of this VM's pool given its rank among the homes: a home decides who is served next, other VMs don't.
func (server *Server) schedule(rank int) schedule.Policy {
	if rank < 0 {
		return schedule.Policy{}
	}
	return schedule.DefaultPolicy(server.Info().Slots)
}

// handsOver reports whether statements for the server run on connections that another VM keeps.
func (server *Server) handsOver() bool {
	ranked := server.rankedHomes()
	return len(ranked) > 0 && ranked[0] != server.group.monitor.sharing.Self
}

// controlIdleTimeout is how long the connection for control statements is kept. It exceeds the time between two status requests.
const controlIdleTimeout = 1200 * time.Millisecond

// newControlPool returns a pool for control statements, whose connections are used by one statement at a time.
func newControlPool(info catalog.Server, dialer dbpool.Dialer) *dbpool.Pool {
	pool := dbpool.New(info, dialer, 1)
	pool.SetIdleTimeout(controlIdleTimeout)
	return pool
}

// controlPool returns the pool for control statements. The connections of callers at a VM that is not home are closed between two
// status requests, each of which would then open one.
func (server *Server) controlPool() *dbpool.Pool {
	if server.handsOver() {
		return server.control
	}
	return server.Pool
}

// Acquire returns a connection for the request: through the first home of the server that can be reached, or of this VM if it is that
// home or can reach none. The context bounds the wait for a connection, answerBy the wait for an answer.
func (server *Server) Acquire(ctx context.Context, request dbpool.Request, answerBy time.Time) (*dbpool.Conn, error) {
	monitor := server.group.monitor
	for ranked := server.rankedHomes(); ctx.Err() == nil; {
		home, ok := monitor.chooseHome(ranked, server.ID())
		if !ok || home == monitor.sharing.Self {
			break
		}
		link, err := monitor.homes.Open(ctx, home, server.Info(), request, answerBy)
		if err == nil {
			return dbpool.NewConn(server.Info(), request.Organisation, link), nil
		}
		monitor.eventLog.LimitedEvent("home_unreachable", "home", home, "server", server.ID(), "err", err)
		ranked = slices.DeleteFunc(slices.Clone(ranked), func(vm ids.VMID) bool { return vm == home })
	}
	return server.Pool.Acquire(ctx, request)
}

// rankedHomes returns the homes of the server, the preferred one first.
func (server *Server) rankedHomes() []ids.VMID {
	if homes := server.homes.Load(); homes != nil {
		return *homes
	}
	return nil
}

// chooseHome returns the home to use, false if there is none.
func (monitor *Monitor) chooseHome(ranked []ids.VMID, server ids.BackendServerID) (ids.VMID, bool) {
	if len(ranked) == 0 {
		return "", false
	}
	return monitor.homes.Choose(ranked, server)
}

// Abandoned records that a statement got no answer for a reason that says nothing about the server.
func (server *Server) Abandoned() { server.inFlight.Add(-1) }

// unanswered records that a control statement got no answer of its own.
func (server *Server) unanswered(sentAt time.Duration, err error) {
	switch {
	case errors.Is(err, dbpool.ErrUnmatched):
		server.Abandoned()
	case errors.Is(err, dbpool.ErrUnusable):
		server.ConnectionUnusable()
	default:
		server.Failed(sentAt)
	}
}
