package dbpool_test

import (
	"context"
	"errors"
	"maps"
	"sync"
	"testing"
	"time"

	"dotterelgw/core/catalog"
	"dotterelgw/core/ids"
	"dotterelgw/core/leader"
	"dotterelgw/core/statement"
	"dotterelgw/io/dbpool"
)

// server is a fake backend server that bounds its connections.
type server struct {
	mutex     sync.Mutex
	limit     int
	open      int
	most      int
	dials     int
	orderly   int
	dropped   bool
	lastCalls []dbpool.Call
}

// Dial implements dbpool.Dialer.Dial.
func (server *server) Dial(_ context.Context, _ catalog.Server, organisation ids.OrganisationID) (dbpool.Link, error) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.dials++
	if server.open >= server.limit {
		return nil, &dbpool.RefusedError{Code: statement.TooManyConnections}
	}
	server.open++
	server.most = max(server.most, server.open)
	return &link{server: server, organisation: organisation}, nil
}

// link is a connection whose calls succeed.
type link struct {
	server       *server
	organisation ids.OrganisationID
	due          int
}

func (link *link) Send(_ time.Time, calls ...dbpool.Call) error {
	link.server.mutex.Lock()
	defer link.server.mutex.Unlock()
	link.due += len(calls)
	link.server.lastCalls = calls
	return nil
}

func (link *link) Receive(time.Time) (statement.Reply, error) {
	if link.due == 0 {
		return statement.Reply{}, errors.New("nothing is due")
	}
	link.due--
	return statement.Reply{}, nil
}

func (link *link) Status(statement.Reply) (leader.Status, error) { return leader.Status{}, nil }

func (link *link) Quiet() bool {
	link.server.mutex.Lock()
	defer link.server.mutex.Unlock()
	return !link.server.dropped
}

func (link *link) Close(orderly bool) {
	link.server.mutex.Lock()
	defer link.server.mutex.Unlock()
	link.server.open--
	if orderly {
		link.server.orderly++
	}
}

const patience = 100 * time.Millisecond

func acquire(t *testing.T, pool *dbpool.Pool, organisation ids.OrganisationID) (*dbpool.Conn, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	return pool.Acquire(ctx, dbpool.Request{Organisation: organisation})
}

func must(t *testing.T, pool *dbpool.Pool, organisation ids.OrganisationID) *dbpool.Conn {
	t.Helper()
	conn, err := acquire(t, pool, organisation)
	if err != nil {
		t.Fatal(err)
	}
	return conn
}

// Guards against a connection of one organisation carrying the statements of another, and against opening more than allowed.
func TestConnectionsBelongToOneOrganisation(t *testing.T) {
	backend := &server{limit: 10}
	pool := dbpool.New(catalog.Server{ID: "s"}, backend, 2)
	one, other := must(t, pool, "one"), must(t, pool, "other")
	if _, err := acquire(t, pool, "one"); !errors.Is(err, dbpool.ErrNoConnection) {
		t.Errorf("a third connection: %v", err)
	}
	one.Release(statement.Idle)
	other.Release(statement.Idle)
	if again := must(t, pool, "one"); again != one {
		t.Error("the organisation's idle connection was not used")
	}
	if third := must(t, pool, "third"); third == other {
		t.Error("a connection of another organisation was handed out")
	}
	if backend.most > 2 || backend.dials != 3 || backend.orderly != 1 {
		t.Errorf("%d open at most, %d dials, %d orderly ends", backend.most, backend.dials, backend.orderly)
	}
}

// Guards against reuse of a connection that owes an answer, is inside a transaction or was closed by the server.
func TestUnusableConnections(t *testing.T) {
	for name, spoil := range map[string]func(*testing.T, *server, *dbpool.Conn){
		"owes an answer": func(t *testing.T, _ *server, conn *dbpool.Conn) {
			if err := conn.Send(time.Now().Add(patience), dbpool.Call{Kind: statement.Read}); err != nil {
				t.Fatal(err)
			}
			conn.Release(statement.Idle)
		},
		"inside a transaction": func(_ *testing.T, _ *server, conn *dbpool.Conn) { conn.Release(statement.Open) },
		"broken": func(_ *testing.T, _ *server, conn *dbpool.Conn) {
			conn.Break()
			conn.Release(statement.Idle)
		},
		"closed by the server": func(_ *testing.T, backend *server, conn *dbpool.Conn) {
			conn.Release(statement.Idle)
			time.Sleep(patience)
			backend.mutex.Lock()
			defer backend.mutex.Unlock()
			backend.dropped = true
		},
	} {
		t.Run(name, func(t *testing.T) {
			backend := &server{limit: 10}
			pool := dbpool.New(catalog.Server{ID: "s"}, backend, 2)
			conn := must(t, pool, "one")
			spoil(t, backend, conn)
			if again := must(t, pool, "one"); again == conn {
				t.Error("the connection was used again")
			}
		})
	}
}

// Guards against a waiting request of low priority being served before one of high priority.
func TestPriority(t *testing.T) {
	pool := dbpool.New(catalog.Server{ID: "s"}, &server{limit: 10}, 1)
	held := must(t, pool, "one")
	served := make(chan int, 2)
	for _, priority := range []int{2, 1} {
		go func() {
			conn, err := pool.Acquire(context.Background(), dbpool.Request{Organisation: "one", Priority: priority})
			if err == nil {
				served <- priority
				conn.Release(statement.Idle)
			}
		}()
		for pool.State("one").Waiting != 3-priority {
			time.Sleep(time.Millisecond)
		}
	}
	held.Release(statement.Idle)
	if first := <-served; first != 1 {
		t.Errorf("priority %d was served first", first)
	}
}

// Pattern: other VMs hold all connections of a server. Guards against trying again and again, which occupies the server.
func TestTooManyConnections(t *testing.T) {
	backend := &server{limit: 1}
	pool := dbpool.New(catalog.Server{ID: "s"}, backend, 4)
	must(t, pool, "one")
	var refused *dbpool.RefusedError
	if _, err := acquire(t, pool, "one"); !errors.As(err, &refused) {
		t.Errorf("error %v", err)
	}
	dials := backend.dials
	for range 20 {
		if _, err := pool.Acquire(expired(), dbpool.Request{Organisation: "one"}); err == nil {
			t.Error("a connection beyond the server's bound")
		}
	}
	if backend.dials > dials {
		t.Errorf("%d more dials right after the server had too many connections", backend.dials-dials)
	}
}

func expired() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx
}

// Guards against session values of one session being left on the connection of the next.
func TestAlign(t *testing.T) {
	pool := dbpool.New(catalog.Server{ID: "s"}, &server{limit: 10}, 1)
	conn := must(t, pool, "one")
	shape := statement.Shape{Text: "READ q"}
	for _, step := range []struct {
		name     string
		values   map[string]string
		prepared string
		want     map[statement.Kind]int
	}{
		{"first values", map[string]string{"a": "1", "b": "2"}, "", map[statement.Kind]int{statement.Set: 2}},
		{"same values", map[string]string{"a": "1", "b": "2"}, "p", map[statement.Kind]int{statement.Prepare: 1}},
		{"one changes", map[string]string{"a": "3", "b": "2"}, "p", map[statement.Kind]int{statement.Set: 1}},
		{"one is gone", map[string]string{"a": "3"}, "p", map[statement.Kind]int{statement.Reset: 1, statement.Set: 1, statement.Prepare: 1}},
		{"none", nil, "", map[statement.Kind]int{statement.Reset: 1}},
	} {
		got := make(map[statement.Kind]int)
		for _, call := range conn.Align(step.values, step.prepared, shape) {
			got[call.Kind]++
		}
		if !maps.Equal(got, step.want) {
			t.Errorf("%s: calls %v, want %v", step.name, got, step.want)
		}
	}
}

// Pattern: load above what the connections can carry. Guards against requests that wait for their whole time and are refused
// late.
func TestCrowdedPool(t *testing.T) {
	pool := dbpool.New(catalog.Server{ID: "s"}, &server{limit: 10}, 1)
	const hold = 20 * time.Millisecond
	for range 30 {
		conn := must(t, pool, "one")
		time.Sleep(hold)
		conn.Release(statement.Idle)
	}
	held := must(t, pool, "one")
	defer held.Release(statement.Idle)
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	const waiting = 20
	answers := make(chan error, waiting)
	for range waiting {
		go func() {
			_, err := pool.Acquire(ctx, dbpool.Request{Organisation: "one"})
			answers <- err
		}()
	}
	began := time.Now()
	crowded := 0
	for range waiting / 2 {
		if err := <-answers; errors.Is(err, dbpool.ErrCrowded) {
			crowded++
		}
	}
	if took := time.Since(began); crowded != waiting/2 || took > patience/2 {
		t.Errorf("%d of the first %d answers say crowded, after %v", crowded, waiting/2, took)
	}
}

// Pattern: more VMs than a server has connections. Guards against an idle connection that keeps other VMs out, and against
// closing one that is in use.
func TestIdleConnectionsAreClosed(t *testing.T) {
	const keep = 30 * time.Millisecond
	backend := &server{limit: 5}
	pool := dbpool.New(catalog.Server{ID: "a"}, backend, 5)
	defer pool.Close()
	pool.SetKeep(keep)
	var held []*dbpool.Conn
	for range 2 {
		conn, err := pool.Acquire(t.Context(), dbpool.Request{Organisation: "o"})
		if err != nil {
			t.Fatal(err)
		}
		held = append(held, conn)
	}
	held[0].Release(statement.Idle)
	for end := time.Now().Add(5 * time.Second); backend.count() != 1; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d connections open, want the one in use", backend.count())
		}
	}
	time.Sleep(2 * keep)
	if open := backend.count(); open != 1 {
		t.Errorf("%d connections open, want the one in use", open)
	}
	held[1].Release(statement.Idle)
}

func (server *server) count() int {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	return server.open
}
