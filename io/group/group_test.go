package group_test

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/juju/errors"
	"github.com/rcrowley/go-metrics"

	"dotterelgw/core/config"
	"dotterelgw/core/ids"
	"dotterelgw/core/position"
	"dotterelgw/core/refusal"
	"dotterelgw/core/route"
	"dotterelgw/io/group"
	"dotterelgw/standin/database"
)

const groupID = ids.GroupID("g1")

// fixture holds a group of three stand-in servers, of which a is the primary, and the Groups of one VM.
type fixture struct {
	servers []*database.Server
	record  config.GroupRecord
	groups  *group.Groups
	conn    *pgconn.PgConn
}

func start(t testing.TB, options ...group.Option) *fixture {
	t.Helper()
	fixture := &fixture{record: config.GroupRecord{Group: groupID}}
	primary := ""
	for index, id := range []ids.BackendServerID{"a", "b", "c"} {
		settings := database.Settings{ID: id, ConnectTime: -1, Role: database.Replica, Primary: primary}
		if index == 0 {
			settings.Role = database.Primary
		}
		server, err := database.New(settings)
		if err != nil {
			t.Fatal(err)
		}
		if index == 0 {
			primary = server.Address()
		}
		done := make(chan error, 1)
		go func() { done <- server.Run(context.Background()) }()
		t.Cleanup(func() {
			server.Close()
			<-done
		})
		fixture.servers = append(fixture.servers, server)
		fixture.record.Servers = append(fixture.record.Servers, config.ServerRecord{
			ID: id, Address: server.Address(), AvailabilityZone: ids.AvailabilityZone(fmt.Sprintf("z%d", index)),
		})
	}
	fixture.groups = group.New(append([]group.Option{group.WithLogin(group.Login{VM: "vm1"})}, options...)...)
	t.Cleanup(fixture.groups.Close)
	fixture.groups.Apply(fixture.record)
	fixture.groups.ApplyTerm(groupID, config.TermRecord{
		Term: 1, Primary: "a", Step: "steady", Starts: []position.Position{{Term: 1}},
	})
	fixture.connect(t)
	fixture.exec(t, "CREATE TABLE IF NOT EXISTS bids (id INTEGER PRIMARY KEY, amount INTEGER)")
	return fixture
}

// connect opens a connection to the primary.
func (fixture *fixture) connect(t testing.TB) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	conn, err := pgconn.Connect(ctx, "postgres://app@"+fixture.servers[0].Address()+"/shop?sslmode=disable")
	if err != nil {
		t.Error(err)
		return
	}
	t.Cleanup(func() { _ = conn.Close(context.Background()) })
	fixture.conn = conn
}

func (fixture *fixture) exec(t testing.TB, text string) [][]byte {
	t.Helper()
	results, err := fixture.conn.Exec(context.Background(), text).ReadAll()
	if err != nil {
		t.Fatalf("%s: %v", text, err)
	}
	if rows := results[len(results)-1].Rows; len(rows) > 0 {
		return rows[0]
	}
	return nil
}

// write commits one row on the primary and returns its position.
func (fixture *fixture) write(t testing.TB) position.Position {
	t.Helper()
	// The position is read in a separate query, because the statements of one query commit together at its end.
	fixture.exec(t, "INSERT INTO bids (amount) VALUES (1)")
	row := fixture.exec(t, "SELECT * FROM group_position()")
	term, _ := strconv.ParseUint(string(row[0]), 10, 64)
	log, _ := strconv.ParseUint(string(row[1]), 10, 64)
	return position.Position{Term: ids.Term(term), Log: ids.LogPosition(log)}
}

// within fails the test unless the condition holds within the limit.
func within(t testing.TB, limit time.Duration, what string, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(limit); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("not within %v: %s", limit, what)
		}
	}
}

func reason(err error) refusal.Reason {
	var refused *refusal.Refusal
	if errors.As(err, &refused) {
		return refused.Reason
	}
	return ""
}

// TestBarrier guards against a barrier whose position does not include an acknowledged write.
func TestBarrier(t *testing.T) {
	fixture := start(t)
	wrote := fixture.write(t)
	var waiting sync.WaitGroup
	for range 50 {
		waiting.Go(func() {
			got, err := fixture.groups.Barrier(context.Background(), groupID)
			if err != nil || !position.Reached(got, wrote, nil) {
				t.Errorf("barrier %v, %v; wrote %v", got, err, wrote)
			}
		})
	}
	waiting.Wait()
	if _, err := fixture.groups.Barrier(context.Background(), "unknown"); reason(err) != refusal.NoPrimary {
		t.Errorf("unknown group: %v", err)
	}
}

// TestBarrierNeedsMajority guards against a barrier confirmed by a replaced primary that is cut off by a partition.
func TestBarrierNeedsMajority(t *testing.T) {
	fixture := start(t, group.WithTimeouts(600*time.Millisecond, time.Second))
	if _, err := fixture.groups.Barrier(context.Background(), groupID); err != nil {
		t.Fatal(err)
	}
	cut := func(state *database.Switches) { state.Partitioned = []string{"all"} }
	fixture.servers[1].Change(cut)
	if _, err := fixture.groups.Barrier(context.Background(), groupID); err != nil {
		t.Errorf("one replica partitioned: %v", err)
	}
	fixture.servers[2].Change(cut)
	if _, err := fixture.groups.Barrier(context.Background(), groupID); reason(err) != refusal.StaleRoute {
		t.Errorf("both replicas partitioned: %v", err)
	}
	fixture.servers[0].Change(cut)
	if _, err := fixture.groups.Barrier(context.Background(), groupID); reason(err) != refusal.NoPrimary {
		t.Errorf("all servers partitioned: %v", err)
	}
}

// TestBarrierFenced guards against a barrier confirmed by a primary after a majority has been fenced for its successor.
func TestBarrierFenced(t *testing.T) {
	fixture := start(t, group.WithTimeouts(500*time.Millisecond, time.Second))
	for _, server := range fixture.servers[1:] {
		if _, err := fixture.groups.Call(context.Background(), server.Address(), "SELECT * FROM group_fence('2')"); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := fixture.groups.Barrier(context.Background(), groupID); reason(err) != refusal.StaleRoute {
		t.Errorf("barrier: %v", err)
	}
}

// TestConfirm guards against confirming a write that only the primary has.
func TestConfirm(t *testing.T) {
	fixture := start(t, group.WithTimeouts(time.Second, 300*time.Millisecond))
	for range 20 {
		if err := fixture.groups.Confirm(context.Background(), groupID, "a", fixture.write(t)); err != nil {
			t.Fatal(err)
		}
	}
	for _, server := range fixture.servers[1:] {
		server.Change(func(state *database.Switches) { state.Partitioned = []string{"replication"} })
	}
	// One record may already have passed before the partition took effect.
	fixture.write(t)
	err := fixture.groups.Confirm(context.Background(), groupID, "a", fixture.write(t))
	if reason(err) != refusal.OutcomeUnknown {
		t.Errorf("replicas partitioned from the primary: %v", err)
	}
}

// TestView guards against routing views with a wrong replayed position or staleness of a replica, and against views in
// which leaving or unreachable servers are not marked.
func TestView(t *testing.T) {
	fixture := start(t)
	wrote := fixture.write(t)
	within(t, 2*time.Second, "all servers at the written position", func() bool {
		view := fixture.groups.View(groupID)
		if view.Primary != 0 || view.Term != 1 {
			return false
		}
		for _, server := range view.Servers {
			if !server.Reachable || !position.Reached(server.Replayed, wrote, view.Starts) || server.CurrentAt == 0 {
				return false
			}
		}
		return true
	})
	fixture.servers[1].Change(func(state *database.Switches) { state.FrozenReplay = true })
	fixture.write(t)
	within(t, 2*time.Second, "a frozen replica becomes stale", func() bool {
		now, view := fixture.groups.Now(), fixture.groups.View(groupID)
		return now-view.Servers[1].CurrentAt > 500*time.Millisecond && now-view.Servers[2].CurrentAt < 400*time.Millisecond
	})
	fixture.groups.SetLeaving("c", true)
	fixture.groups.ReportError(groupID, "b", errors.New("connection reset"))
	view := fixture.groups.View(groupID)
	if !view.Servers[2].Leaving || view.Servers[1].Reachable {
		t.Errorf("view %+v", view.Servers)
	}
	within(t, time.Second, "a server reported as failed is polled again at once", func() bool {
		return fixture.groups.View(groupID).Servers[1].Reachable
	})
	leaving := func(state *database.Switches) { state.Leaving = !state.Leaving }
	for _, want := range []bool{true, false} {
		fixture.servers[1].Change(leaving)
		within(t, time.Second, "the view follows the leaving state that the server reports", func() bool {
			return fixture.groups.View(groupID).Servers[1].Leaving == want
		})
	}
	if server, ok := route.Choose(fixture.groups.View(groupID), route.Request{}); server != 0 || !ok {
		t.Errorf("primary %d, %v", server, ok)
	}
}

// TestUnusedGroupIsNotPolled guards against status requests for a group that this VM does not use.
func TestUnusedGroupIsNotPolled(t *testing.T) {
	fixture := start(t, group.WithIdleTimeout(150*time.Millisecond))
	if _, err := fixture.groups.Barrier(context.Background(), groupID); err != nil {
		t.Fatal(err)
	}
	within(t, 3*time.Second, "polling stops", func() bool {
		return !fixture.groups.Polling(groupID)
	})
	fixture.groups.View(groupID)
	if !fixture.groups.Polling(groupID) {
		t.Error("use does not start the polling")
	}
}

// TestIdlePollingSlows guards against frequent status requests for groups that a VM uses only occasionally. The interval
// grows with the time since the last use, and a use triggers a request at once.
func TestIdlePollingSlows(t *testing.T) {
	registry := metrics.NewRegistry()
	fixture := start(t, group.WithMetrics(registry))
	requests := registry.Get("group.status_requests").(metrics.Counter)
	if _, err := fixture.groups.Barrier(context.Background(), groupID); err != nil {
		t.Fatal(err)
	}
	used, before := time.Now(), requests.Count()
	within(t, 3*time.Second, "1.5 s pass", func() bool { return time.Since(used) > 1500*time.Millisecond })
	// Intervals of 0.1, 0.1, 0.2, 0.4 and 0.8 s, and one more request in flight, compared with 15 requests at full rate.
	if count := requests.Count() - before; count > 3*7 {
		t.Errorf("%d status requests to three servers in 1.5 s without use", count)
	}
	before = requests.Count()
	fixture.groups.View(groupID)
	within(t, 500*time.Millisecond, "a use polls all servers again", func() bool { return requests.Count() >= before+3 })
}

// BenchmarkAcknowledge measures the latency of a write with and without its confirmation: mean, median and 99th percentile.
func BenchmarkAcknowledge(b *testing.B) {
	for _, callers := range []int{1, 64} {
		for _, confirmed := range []bool{false, true} {
			name := fmt.Sprintf("callers=%d/%s", callers, map[bool]string{false: "primary_answer", true: "confirmed"}[confirmed])
			b.Run(name, func(b *testing.B) { acknowledge(b, callers, confirmed) })
		}
	}
}

func acknowledge(b *testing.B, callers int, confirmed bool) {
	first := start(b)
	if _, err := first.groups.Barrier(context.Background(), groupID); err != nil {
		b.Fatal(err)
	}
	took := make([][]time.Duration, callers)
	var left atomic.Int64
	left.Store(int64(b.N))
	var running sync.WaitGroup
	b.ResetTimer()
	for caller := range callers {
		fixture := *first
		fixture.connect(b)
		running.Go(func() {
			for left.Add(-1) >= 0 {
				began := time.Now()
				wrote := fixture.write(b)
				if confirmed {
					if err := fixture.groups.Confirm(context.Background(), groupID, "a", wrote); err != nil {
						b.Error(err)
					}
				}
				took[caller] = append(took[caller], time.Since(began))
			}
		})
	}
	running.Wait()
	all := slices.Concat(took...)
	slices.Sort(all)
	b.ReportMetric(float64(all[len(all)/2].Microseconds()), "p50-us")
	b.ReportMetric(float64(all[len(all)*99/100].Microseconds()), "p99-us")
}
