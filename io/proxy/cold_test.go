package proxy

import (
	"context"
	"io"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"dotterelgw/core/catalog"
	"dotterelgw/core/ids"
	"dotterelgw/core/leader"
	"dotterelgw/core/position"
	"dotterelgw/core/refusal"
	"dotterelgw/core/statement"
	"dotterelgw/io/clock"
	"dotterelgw/io/dbpool"
	"dotterelgw/io/monitor"
	"dotterelgw/io/observe"
)

const (
	// coldGroup is the group of the tests.
	coldGroup ids.GroupID = "group"
	// coldWait bounds each wait of a test.
	coldWait = 10 * time.Second
	// maxColdRefusals is the number of refusals after which the budget of a cold server has room again.
	maxColdRefusals = 1000
)

// statusDialer opens links that answer status requests only.
type statusDialer struct{}

// Dial implements dbpool.Dialer.Dial.
func (statusDialer) Dial(_ context.Context, server catalog.Server, _ ids.OrganisationID) (dbpool.Link, error) {
	return statusLink{role: server.Role}, nil
}

type statusLink struct{ role catalog.Role }

func (statusLink) Send(time.Time, ...dbpool.Call) error { return nil }

func (statusLink) Receive(time.Time) (statement.Reply, error) {
	return statement.Reply{Code: statement.Complete}, nil
}

func (link statusLink) Status(statement.Reply) (leader.Status, error) {
	at := position.Position{Term: 1, Log: 1}
	return leader.Status{Role: link.role, Term: 1, Received: at, Applied: at}, nil
}

func (statusLink) Usable() bool { return true }

func (statusLink) Close(bool) {}

// countedBudget admits all statements and counts them.
type countedBudget struct{ admitted atomic.Int32 }

// Admit implements ColdLimiter.Admit.
func (budget *countedBudget) Admit(ids.BackendServerID) bool {
	budget.admitted.Add(1)
	return true
}

// usedUpBudget refuses statements to cold servers, of which all are, a number of times.
type usedUpBudget struct{ refused int }

// Admit implements ColdLimiter.Admit.
func (budget *usedUpBudget) Admit(ids.BackendServerID) bool {
	if budget.refused == maxColdRefusals {
		return true
	}
	budget.refused++
	return false
}

// newColdSession returns a session and a read of a group of two cold servers, and the monitor of the servers.
func newColdSession(t *testing.T, budget ColdLimiter) (*session, *operation, *monitor.Monitor) {
	t.Helper()
	eventLog := observe.NewEventLog(io.Discard, "vm1")
	t.Cleanup(func() { eventLog.Close(time.Second) })
	groups := monitor.New(t.Context(), statusDialer{}, "z", eventLog)
	groups.SetServers(0, []catalog.Server{
		{ID: "a", Group: coldGroup, Role: catalog.RolePrimary, Slots: 4}, {ID: "b", Group: coldGroup, Role: catalog.RoleReplica, Slots: 4},
	})
	group := groups.Group(coldGroup)
	const staleness = time.Minute
	awaitPosition(t, group, staleness)
	server := New(Dependencies{Groups: groups, Cold: budget, EventLog: eventLog, Metrics: metrics.NewRegistry()})
	return newSession(server, &floodingCaller{}), &operation{
		route:        &catalog.Route{Group: coldGroup, Consistency: catalog.BoundedStaleness, MaxStaleness: staleness},
		organisation: &catalog.Organisation{ID: "org"}, arrived: clock.Now(), reads: true,
	}, groups
}

// awaitPosition waits until a position of the primary that is not older is known.
func awaitPosition(t *testing.T, group *monitor.Group, staleness time.Duration) {
	t.Helper()
	for began := time.Now(); ; time.Sleep(10 * time.Millisecond) {
		group.MarkUsed()
		if _, ok := group.MinReadPosition(clock.Now() - staleness + stalenessMargin); ok {
			return
		}
		if time.Since(began) > coldWait {
			t.Fatal("no position of the primary is known")
		}
	}
}

// Guards against a read that asks for the budgets of cold servers without a pause until one has room, beyond its deadline, instead of being
// refused.
func TestReadOfColdServersIsRefused(t *testing.T) {
	budget := &usedUpBudget{}
	session, operation, _ := newColdSession(t, budget)
	_, refused := session.acquire(operation, &attempts{deadline: time.Now().Add(coldWait)})
	if refused == nil || refused.Reason != refusal.ServerCold || budget.refused > 4 {
		t.Errorf("refused with %v after %d questions to the budgets of two servers", refused, budget.refused)
	}
}

// Guards against statements that were admitted one after the other and reach a cold server all at once, after they have waited for
// connections.
func TestAdmissionToColdServerIsRecent(t *testing.T) {
	budget := &countedBudget{}
	session, operation, groups := newColdSession(t, budget)
	var held []*dbpool.Conn
	for _, id := range []ids.BackendServerID{"a", "b"} {
		pool := groups.Server(id).Pool
		pool.SetLimit(1)
		conn, err := pool.Acquire(t.Context(), operation.poolRequest())
		if err != nil {
			t.Fatal(err)
		}
		held = append(held, conn)
	}
	acquired := make(chan *refused, 1)
	go func() {
		_, refused := session.acquire(operation, &attempts{deadline: time.Now().Add(coldWait)})
		acquired <- refused
	}()
	for budget.admitted.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(2 * coldAdmissionValidity)
	before := budget.admitted.Load()
	for _, conn := range held {
		conn.Release(statement.Idle)
	}
	if refused := <-acquired; refused != nil {
		t.Fatal(refused)
	}
	if budget.admitted.Load() == before {
		t.Error("the statement is sent on an admission from before its wait")
	}
}
