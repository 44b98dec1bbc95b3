package session_test

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"

	"dotterelgw/core/position"
	"dotterelgw/io/backend"
	"dotterelgw/io/session"
)

// findMixed returns a description of the first statement that ran within a transaction of another caller, or "". The INSERT
// statements of the test name their caller, as in INSERT caller.
func findMixed(lines []string) string {
	owners := make(map[string]string)
	for _, line := range lines {
		conn, statement, _ := strings.Cut(line, " > Query ")
		_, owner, named := strings.Cut(strings.Trim(statement, `"`), "INSERT ")
		switch {
		case strings.Contains(statement, "COMMIT"):
			delete(owners, conn)
		case named && owners[conn] != "" && owners[conn] != owner:
			return fmt.Sprintf("%s: %s within a transaction of %s", conn, statement, owners[conn])
		case named:
			owners[conn] = owner
		}
	}
	return ""
}

// runTransactions runs transactions of several callers concurrently and returns the messages that the primary received.
func runTransactions(t *testing.T, proxy *proxy, callers, count int) []string {
	var running sync.WaitGroup
	for index := range callers {
		conn := proxy.connect("app", "")
		running.Add(1)
		go func() {
			defer running.Done()
			for range count {
				for _, text := range []string{"BEGIN", "INSERT " + string(rune('a'+index)), "INSERT " + string(rune('a'+index)), "COMMIT"} {
					if _, err := conn.PgConn().Exec(context.Background(), text).ReadAll(); err != nil {
						var refused *pgconn.PgError
						if !errors.As(err, &refused) {
							t.Error(err)
						}
						return
					}
				}
			}
		}()
	}
	running.Wait()
	var lines []string
	proxy.primary.withLock(func() { lines = proxy.primary.lines })
	return lines
}

// sharedPool is a faulty pool that returns the same connection to all sessions.
type sharedPool struct {
	session.Pools
	mutex sync.Mutex
	conn  *backend.Conn
}

func (sharedPool *sharedPool) Acquire(ctx context.Context, request backend.Request) (*backend.Conn, error) {
	sharedPool.mutex.Lock()
	defer sharedPool.mutex.Unlock()
	if sharedPool.conn == nil {
		conn, err := sharedPool.Pools.Acquire(ctx, request)
		if err != nil {
			return nil, err
		}
		sharedPool.conn = conn
	}
	return sharedPool.conn, nil
}

func (sharedPool *sharedPool) Release(*backend.Conn) {}

// TestTransactionsDoNotMix guards against interleaved statements of two transactions on one connection. A pool that shares
// one connection shows that findMixed detects them.
func TestTransactionsDoNotMix(t *testing.T) {
	lines := runTransactions(t, newProxy(t, 2), 6, 30)
	if len(lines) < 6*30*4 {
		t.Errorf("only %d statements ran", len(lines))
	}
	if found := findMixed(lines); found != "" {
		t.Error(found)
	}

	proxy := newProxy(t, 2, func(dependencies *session.Dependencies) { dependencies.Pools = &sharedPool{Pools: dependencies.Pools} })
	one, two := proxy.dial("app", ""), proxy.dial("app", "")
	one.query("BEGIN")
	one.send(&pgproto3.Query{String: "INSERT a"})
	one.readUntilReady(1)
	two.send(&pgproto3.Query{String: "INSERT b"})
	two.readUntilReady(1)
	if findMixed(append(one.lines, two.lines...)) == "" {
		t.Error("findMixed does not detect the mixed transactions on a shared connection")
	}
	// End the transactions: otherwise both sessions roll back concurrently on the shared connection, which is not safe for
	// concurrent use.
	one.query("COMMIT")
	two.query("COMMIT")
}

// acknowledged reports whether the caller received the CommandComplete of the INSERT.
func acknowledged(caller *caller) bool {
	return strings.Contains(string(caller.transcript()), "caller < CommandComplete INSERT")
}

// TestNoAcknowledgementWithoutConfirmation guards against a write that is acknowledged to the caller before it is durable. A
// Confirm that always succeeds shows that the test detects an acknowledgement.
func TestNoAcknowledgementWithoutConfirmation(t *testing.T) {
	for name, messages := range map[string][]pgproto3.FrontendMessage{
		"simple":   {&pgproto3.Query{String: "INSERT a"}},
		"extended": append(extendedMessages("", "INSERT a"), &pgproto3.Sync{}),
	} {
		t.Run(name, func(t *testing.T) {
			proxy := newProxy(t, 2)
			entered, leave := make(chan position.Position, 1), make(chan error)
			confirm := func(at position.Position) error {
				entered <- at
				return <-leave
			}
			proxy.confirm.Store(&confirm)
			caller := proxy.dial("app", "")
			caller.send(messages...)
			if at := <-entered; at != (position.Position{Term: 1, Log: 101}) {
				t.Errorf("confirmed %v", at)
			}
			if proxy.pools.Busy("primary") != 0 {
				t.Error("the backend connection is held during the wait for the confirmation")
			}
			_ = caller.conn.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
			if message, err := caller.frontend.Receive(); err == nil {
				t.Errorf("the caller got %s before the confirmation", describe(message))
			}
			leave <- outcomeUnknown(position.Position{})
			caller.readUntilReady(1)
			if acknowledged(caller) {
				t.Error("an unconfirmed write was acknowledged")
			}
			proxy.confirm.Store(nil)
			caller.send(messages...)
			caller.readUntilReady(1)
			if !acknowledged(caller) {
				t.Error("the test does not detect an acknowledgement")
			}
		})
	}
}

// TestCancel guards against cancel requests that reach another caller's statement or work without the secret.
func TestCancel(t *testing.T) {
	proxy := newProxy(t, 4)
	one, two := proxy.dial("app", ""), proxy.dial("app", "")
	for _, caller := range []*caller{one, two} {
		caller.send(&pgproto3.Query{String: "SELECT wait()"})
	}
	waiting := func(want int) {
		await(t, func() bool { return proxy.pools.Busy("primary") == want })
	}
	waiting(2)
	proxy.sessions.Cancel(two.pid, one.secret)
	proxy.sessions.Cancel(one.pid, one.secret)
	one.readUntilReady(1)
	if !strings.Contains(string(one.transcript()), "57014") {
		t.Errorf("not canceled:\n%s", one.transcript())
	}
	waiting(1)
	proxy.sessions.Cancel(two.pid, two.secret)
	two.readUntilReady(1)

	// A cancel request also ends the wait for a connection and affects only the request that waits.
	waiting(0)
	proxy.pools.SetAllotment("primary", 1)
	one.send(&pgproto3.Query{String: "SELECT wait()"})
	waiting(1)
	two.send(&pgproto3.Query{String: "INSERT a"})
	await(t, func() bool { return proxy.pools.Waiting("primary") == 1 })
	proxy.sessions.Cancel(two.pid, two.secret)
	two.readUntilReady(1)
	proxy.sessions.Cancel(one.pid, one.secret)
	one.readUntilReady(1)
	if count := strings.Count(string(two.transcript()), "57014"); count != 2 || acknowledged(two) {
		t.Errorf("the waiting request was not canceled:\n%s", two.transcript())
	}
	two.query("INSERT a")
	if !acknowledged(two) {
		t.Errorf("the cancel request had an effect on a later statement:\n%s", two.transcript())
	}
}

// TestWaitingTurnsToSuccessor guards against requests that go on waiting for a connection to a primary that was replaced.
func TestWaitingTurnsToSuccessor(t *testing.T) {
	proxy := newProxy(t, 1)
	one, two := proxy.dial("app", ""), proxy.dial("app", "")
	one.query("BEGIN")
	two.send(&pgproto3.Query{String: "INSERT a"})
	await(t, func() bool { return proxy.pools.Waiting("primary") == 1 })
	proxy.replica.withLock(func() { proxy.replica.replica, proxy.replica.term = false, 2 })
	proxy.setView(2, 1)
	start := time.Now()
	two.readUntilReady(1)
	if passed := time.Since(start); !acknowledged(two) || passed > time.Second {
		t.Errorf("after %v:\n%s", passed, two.transcript())
	}
}

// TestWithdrawal guards against sessions that continue after their key was withdrawn: idle sessions, sessions with a running
// statement, and sessions that were not notified of the change.
func TestWithdrawal(t *testing.T) {
	proxy := newProxy(t, 4)
	idle, busy := proxy.dial("app", ""), proxy.dial("app", "")
	busy.query("BEGIN")
	busy.send(&pgproto3.Query{String: "SELECT wait()"})
	start := time.Now()
	proxy.withdrawKey()
	for _, caller := range []*caller{idle, busy} {
		caller.readUntilReady(2)
		if lines := string(caller.transcript()); !strings.Contains(lines, "FATAL 28000") || !strings.HasSuffix(lines, "end of the connection\n") {
			t.Errorf("the session continues:\n%s", lines)
		}
	}
	if passed := time.Since(start); passed > 3*time.Second {
		t.Errorf("took %v", passed)
	}

	proxy = newProxy(t, 4)
	caller := proxy.dial("app", "")
	changed := *proxy.contract.Load()
	changed.Keys = nil
	proxy.contract.Store(&changed)
	caller.query("INSERT a")
	if lines := string(caller.transcript()); !strings.Contains(lines, "FATAL 28000") || strings.Contains(lines, "primary") {
		t.Errorf("a request ran without a key:\n%s", lines)
	}
}

// parseMessages returns Parse messages of 30 kB each with distinct names; 140 of them exceed the limit of 4 MiB.
func parseMessages(count int) string {
	var messages []byte
	for index := range count {
		messages, _ = (&pgproto3.Parse{Name: fmt.Sprint(index), Query: strings.Repeat("x", 30_000)}).Encode(messages)
	}
	return string(messages)
}

// TestViolations guards against protocol violations that end other connections or get no error.
func TestViolations(t *testing.T) {
	proxy := newProxy(t, 4)
	other := proxy.dial("app", "")
	cases := map[string]struct{ data, want string }{
		"too large":           {"Q\x00\xff\xff\xff", "54000"},
		"negative length":     {"Q\xff\xff\xff\xff", "08P01"},
		"unknown type":        {"!\x00\x00\x00\x04", "08P01"},
		"malformed bind":      {"B\x00\x00\x00\x06\x00x", "08P01"},
		"too many statements": {parseMessages(140), "54000"},
		"unterminated query":  {"Q\x00\x00\x00\x05x", "08P01"},
		"password message":    {"p\x00\x00\x00\x05\x00", "08P01"},
	}
	for name, tested := range cases {
		t.Run(name, func(t *testing.T) {
			caller := proxy.dial("app", "")
			if _, err := caller.conn.Write([]byte(tested.data)); err != nil {
				t.Fatal(err)
			}
			caller.readUntilReady(1)
			if lines := string(caller.transcript()); !strings.Contains(lines, "FATAL "+tested.want) || !strings.HasSuffix(lines, "end of the connection\n") {
				t.Errorf("got:\n%s", lines)
			}
		})
	}
	other.query("INSERT a")
	if !acknowledged(other) {
		t.Error("another connection was ended")
	}
}

// TestGracePeriod guards against a drain that never ends or does not report the outcome of an open transaction.
func TestGracePeriod(t *testing.T) {
	proxy := newProxy(t, 4)
	open, running := proxy.dial("app", ""), proxy.dial("app", "")
	open.query("BEGIN")
	open.query("INSERT a")
	running.send(&pgproto3.Query{String: "SELECT wait()"})
	await(t, func() bool { return proxy.pools.Busy("primary") == 2 })
	ctx, stop := context.WithCancel(context.Background())
	stop()
	if err := proxy.sessions.Drain(ctx); !errors.Is(err, context.Canceled) {
		t.Errorf("drain: %v", err)
	}
	open.readUntilReady(1)
	running.readUntilReady(1)
	if lines := string(open.transcript()); !strings.Contains(lines, "57P01") || !strings.Contains(lines, "outcome: rolled back") {
		t.Errorf("open transaction:\n%s", lines)
	}
	if lines := string(running.transcript()); !strings.Contains(lines, "57P01") || !strings.Contains(lines, "outcome: unknown") {
		t.Errorf("running statement:\n%s", lines)
	}
}

// TestToken guards against a session on another proxy that reads data older than its token's position.
func TestToken(t *testing.T) {
	tokenSigner, err := position.NewTokenSigner([]byte("0123456789abcdef"))
	if err != nil {
		t.Fatal(err)
	}
	proxy := newProxy(t, 4, func(dependencies *session.Dependencies) { dependencies.TokenSigner = tokenSigner })
	conn := proxy.connect("auto", "-c dotterel.token=")
	if _, err := conn.Exec(context.Background(), "INSERT a"); err != nil {
		t.Fatal(err)
	}
	token := conn.PgConn().ParameterStatus("dotterel.token")
	groupPosition, err := tokenSigner.Verify("frissito", token)
	if err != nil || len(groupPosition) != 1 || groupPosition[0] != position.In("g1", position.Position{Term: 1, Log: 101}) {
		t.Fatalf("token %q holds %v: %v", token, groupPosition, err)
	}
	// No replica has replayed the position, so the read must run on the primary.
	view := *proxy.view.Load()
	view.Servers = append(view.Servers[:0:0], view.Servers...)
	view.Servers[1].Replayed = position.Position{Term: 1, Log: 100}
	proxy.view.Store(&view)
	for _, options := range []string{"-c dotterel.token=" + token, ""} {
		caller := proxy.dial("auto", options)
		caller.query("SELECT 'x'")
		replica := strings.Contains(string(caller.transcript()), "replica #")
		if want := options == ""; replica != want {
			t.Errorf("options %q: read on a replica: %v, want %v", options, replica, want)
		}
	}
}

// TestCounters guards against wrong counts of routes and retries.
func TestCounters(t *testing.T) {
	proxy := newProxy(t, 4)
	proxy.replica.withLock(func() { proxy.replica.fault["SELECT 'x'"] = "write" })
	proxy.dial("auto", "").query("SELECT 'x'")
	for name, want := range map[string]int64{"route_replica": 1, "route_primary": 1, "retry_replica_read_only": 1, "retry_read_lost": 0} {
		if counter, ok := proxy.metrics.Get(name).(interface{ Count() int64 }); !ok || counter.Count() != want {
			t.Errorf("%s: %v, want %d", name, counter, want)
		}
	}
}
