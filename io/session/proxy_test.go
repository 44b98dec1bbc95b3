package session_test

import (
	"context"
	"fmt"
	"net"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/rcrowley/go-metrics"
	"github.com/xdg-go/scram"

	"dotterelgw/core/contract"
	"dotterelgw/core/ids"
	"dotterelgw/core/position"
	"dotterelgw/core/refusal"
	"dotterelgw/core/route"
	"dotterelgw/io/backend"
	"dotterelgw/io/frontend"
	"dotterelgw/io/session"
)

// proxy is a frontend with sessions and pools, in front of fake servers. It fakes the other dependencies itself.
type proxy struct {
	t        testing.TB
	address  string
	primary  *database
	replica  *database
	sessions *session.Server
	pools    *backend.Pools
	metrics  metrics.Registry

	contract    atomic.Pointer[contract.Contract]
	revision    atomic.Int64
	view        atomic.Pointer[route.View]
	overRate    atomic.Bool
	unconfirmed atomic.Bool
	barriers    atomic.Int64
	// barrier is the log position that a barrier returns, 100 if it is 0.
	barrier         atomic.Uint64
	rateWaitBounded atomic.Bool // whether the last wait for the rate limiter had a deadline
	confirm         atomic.Pointer[func(position.Position) error]
	mutex           sync.Mutex
	refused         []*refusal.Refusal
}

const (
	key             = "correct horse"
	maxMessageBytes = 1 << 20
)

func verifier(key string) string {
	client, _ := scram.SHA256.NewClient("", key, "")
	stored, _ := client.GetStoredCredentialsWithError(scram.KeyFactors{Salt: "0123456789abcdef", Iters: 4096})
	return fmt.Sprintf("SCRAM-SHA-256$%d:%s$%s:%s", stored.Iters, b64([]byte(stored.Salt)), b64(stored.StoredKey), b64(stored.ServerKey))
}

func newProxy(t testing.TB, connections int, changes ...func(*session.Dependencies)) *proxy {
	proxy := &proxy{t: t, primary: newDatabase(t, "primary", false), replica: newDatabase(t, "replica", true), metrics: metrics.NewRegistry()}
	proxy.contract.Store(&contract.Contract{
		Organisation: "frissito", Rate: 1000, Burst: 100, Weight: 1,
		Limits: contract.Limits{Connections: 7000, Transactions: 50, Queue: 1000, QueueTimeoutMS: 2000},
		Routes: []contract.Route{
			{Name: "app", Group: "g1", Database: "app", Access: contract.ReadWrite},
			{Name: "auto", Group: "g1", Database: "app", Access: contract.Auto},
			{Name: "read", Group: "g1", Database: "app", Access: contract.Read},
			{Name: "aged", Group: "g1", Database: "app", Access: contract.Auto, MaxStalenessMS: 3600_000},
		},
		Keys: []contract.Key{{ID: "bot", Verifier: verifier(key)}},
	})
	proxy.revision.Store(1)
	proxy.setView(1, 0)
	proxy.pools = backend.New(backend.Login{User: "dotterel", Password: "own", VM: "vm1"}, backend.WithAllotment(connections))
	dependencies := session.Dependencies{
		Control: proxy, Groups: proxy, Pools: proxy.pools, Limiter: proxy, Recorder: proxy, VM: "vm1", Zone: "a", Metrics: proxy.metrics, MaxMessageBytes: maxMessageBytes,
	}
	for _, change := range changes {
		change(&dependencies)
	}
	proxy.sessions = session.New(dependencies)
	front, err := frontend.New(frontend.Dependencies{Control: proxy, Sessions: proxy.sessions, Recorder: proxy, Plaintext: true, MaxMessageBytes: maxMessageBytes})
	if err != nil {
		t.Fatal(err)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	proxy.address = listener.Addr().String()
	go func() { _ = front.Serve(listener) }()
	t.Cleanup(func() {
		_ = listener.Close()
		ctx, stop := context.WithCancel(context.Background())
		stop()
		_ = proxy.sessions.Drain(ctx)
		front.Wait()
		proxy.pools.Close()
	})
	return proxy
}

// setView publishes a view with the primary at the index. The other server is a replica that has replayed the whole log.
func (proxy *proxy) setView(term ids.Term, primary int) {
	ahead := position.Position{Term: term, Log: 1 << 40}
	proxy.view.Store(&route.View{
		Group: "g1", Term: term, Primary: primary,
		Starts: []position.Position{{Term: 1, Log: 0}, {Term: 2, Log: 1 << 39}},
		Servers: []route.Server{
			{ID: "primary", Address: proxy.primary.listener.Addr().String(), Zone: "a", Reachable: true, Replayed: ahead},
			{ID: "replica", Address: proxy.replica.listener.Addr().String(), Zone: "a", Reachable: true, Replayed: ahead},
		},
	})
}

// setReplayed publishes a view whose replica has replayed the log up to the position.
func (proxy *proxy) setReplayed(log ids.LogPosition) {
	view := *proxy.view.Load()
	view.Servers = slices.Clone(view.Servers)
	view.Servers[1].Replayed.Log, view.Servers[1].CurrentAt = log, time.Millisecond
	proxy.view.Store(&view)
}

func (proxy *proxy) Contract(org ids.OrganisationID) (*contract.Contract, ids.Revision, bool) {
	current := proxy.contract.Load()
	return current, ids.Revision(proxy.revision.Load()), current.Organisation == org
}

func (proxy *proxy) Admitting() bool { return !proxy.unconfirmed.Load() }

func (proxy *proxy) View(ids.GroupID) *route.View { return proxy.view.Load() }

func (proxy *proxy) Barrier(context.Context, ids.GroupID) (position.Position, error) {
	proxy.barriers.Add(1)
	at := ids.LogPosition(100)
	if set := proxy.barrier.Load(); set > 0 {
		at = ids.LogPosition(set)
	}
	return position.Position{Term: proxy.view.Load().Term, Log: at}, nil
}

func (proxy *proxy) Confirm(_ context.Context, _ ids.GroupID, _ ids.BackendServerID, at position.Position) error {
	if confirm := proxy.confirm.Load(); confirm != nil {
		return (*confirm)(at)
	}
	return nil
}

func (proxy *proxy) ReportError(ids.GroupID, ids.BackendServerID, error) {}

func (proxy *proxy) Admit(ids.OrganisationID) bool { return !proxy.overRate.Load() }

func (proxy *proxy) Wait(ctx context.Context, _ ids.OrganisationID) bool {
	_, rateWaitBounded := ctx.Deadline()
	proxy.rateWaitBounded.Store(rateWaitBounded)
	return false
}

func (proxy *proxy) Record(refused *refusal.Refusal, _ session.Caller) *refusal.Refusal {
	proxy.mutex.Lock()
	defer proxy.mutex.Unlock()
	recorded := *refused
	recorded.ID = ids.NewRequestID("vm1", uint64(len(proxy.refused)+1))
	proxy.refused = append(proxy.refused, &recorded)
	return &recorded
}

func (proxy *proxy) connect(database, options string) *pgx.Conn {
	proxy.t.Helper()
	config, err := pgx.ParseConfig(fmt.Sprintf("postgres://frissito.bot:%s@%s/%s?sslmode=disable", strings.ReplaceAll(key, " ", "%20"), proxy.address, database))
	if err != nil {
		proxy.t.Fatal(err)
	}
	if options != "" {
		config.RuntimeParams["options"] = options
	}
	conn, err := pgx.ConnectConfig(context.Background(), config)
	if err != nil {
		proxy.t.Fatal(err)
	}
	proxy.t.Cleanup(func() { _ = conn.Close(context.Background()) })
	return conn
}

// caller is a raw caller connection that records its messages.
type caller struct {
	proxy    *proxy
	conn     net.Conn
	frontend *pgproto3.Frontend
	lines    []string
	pid      uint32
	secret   []byte
}

// dial takes over the connection of a pgx client after its start-up.
func (proxy *proxy) dial(database, options string) *caller {
	hijacked, err := proxy.connect(database, options).PgConn().Hijack()
	if err != nil {
		proxy.t.Fatal(err)
	}
	proxy.t.Cleanup(func() { _ = hijacked.Conn.Close() })
	return &caller{proxy: proxy, conn: hijacked.Conn, frontend: pgproto3.NewFrontend(hijacked.Conn, hijacked.Conn), pid: hijacked.PID, secret: hijacked.SecretKey}
}

// send sends the messages in one write.
func (caller *caller) send(messages ...pgproto3.FrontendMessage) {
	caller.proxy.t.Helper()
	for _, message := range messages {
		caller.lines = append(caller.lines, "caller > "+describe(message))
		caller.frontend.Send(message)
	}
	if err := caller.frontend.Flush(); err != nil {
		caller.proxy.t.Fatal(err)
	}
}

// readUntilReady reads messages up to the given number of ReadyForQuery messages or the end of the connection.
func (caller *caller) readUntilReady(ready int) {
	caller.proxy.t.Helper()
	var answers []string
	_ = caller.conn.SetReadDeadline(time.Now().Add(10 * time.Second))
	for ready > 0 {
		message, err := caller.frontend.Receive()
		if err != nil {
			answers = append(answers, "caller < end of the connection")
			break
		}
		answers = append(answers, "caller < "+describe(message))
		if _, ok := message.(*pgproto3.ReadyForQuery); ok {
			ready--
		}
	}
	caller.collectLog()
	caller.lines = append(caller.lines, answers...)
}

// collectLog moves the messages that the servers logged to the transcript.
func (caller *caller) collectLog() {
	for _, database := range []*database{caller.proxy.primary, caller.proxy.replica} {
		database.withLock(func() {
			caller.lines = append(caller.lines, database.lines...)
			database.lines = nil
		})
	}
}

func (caller *caller) query(text string) {
	caller.proxy.t.Helper()
	caller.send(&pgproto3.Query{String: text})
	caller.readUntilReady(1)
}

func (caller *caller) transcript() []byte { return []byte(strings.Join(caller.lines, "\n") + "\n") }

// await waits until the condition holds; it fails the test after 5 s.
func await(t testing.TB, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(5 * time.Second); !condition(); {
		if time.Now().After(deadline) {
			t.Fatal("condition not met within 5 s")
		}
		time.Sleep(time.Millisecond)
	}
}
