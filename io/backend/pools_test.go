package backend_test

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/xdg-go/scram"

	"dotterelgw/core/contract"
	"dotterelgw/core/ids"
	"dotterelgw/core/refusal"
	"dotterelgw/io/backend"
	"dotterelgw/io/backend/wire"
)

// fake is a backend server that accepts logins and returns an empty result for every query.
type fake struct {
	listener net.Listener
	password string
	refuse   atomic.Int32 // the number of logins to refuse with 53300
	opened   atomic.Int32
	open     atomic.Int32
	mutex    sync.Mutex
	started  map[string]string
	conns    []net.Conn
}

func newFake(t *testing.T, password string) *fake {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	fake := &fake{listener: listener, password: password}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go fake.serve(conn)
		}
	}()
	t.Cleanup(func() { _ = listener.Close() })
	return fake
}

func (fake *fake) serve(conn net.Conn) {
	defer conn.Close()
	server := pgproto3.NewBackend(conn, conn)
	message, err := server.ReceiveStartupMessage()
	if err != nil {
		return
	}
	start, _ := message.(*pgproto3.StartupMessage)
	fake.mutex.Lock()
	fake.started = start.Parameters
	fake.conns = append(fake.conns, conn)
	fake.mutex.Unlock()
	if fake.refuse.Add(-1) >= 0 {
		server.Send(&pgproto3.ErrorResponse{Code: "53300", Message: "too many connections"})
		_ = server.Flush()
		return
	}
	if !fake.login(server) {
		return
	}
	fake.opened.Add(1)
	fake.open.Add(1)
	defer fake.open.Add(-1)
	server.Send(&pgproto3.AuthenticationOk{})
	server.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
	for server.Flush() == nil {
		message, err := server.Receive()
		if err != nil {
			return
		}
		if query, ok := message.(*pgproto3.Query); ok {
			status := byte('I')
			if query.String == "BEGIN" {
				status = 'T'
			}
			server.Send(&pgproto3.CommandComplete{CommandTag: []byte(query.String)})
			server.Send(&pgproto3.ReadyForQuery{TxStatus: status})
		}
	}
}

// login runs SCRAM-SHA-256 if the server has a password.
func (fake *fake) login(server *pgproto3.Backend) bool {
	if fake.password == "" {
		return true
	}
	client, _ := scram.SHA256.NewClient("", fake.password, "")
	stored, _ := client.GetStoredCredentialsWithError(scram.KeyFactors{Salt: "0123456789abcdef", Iters: 4096})
	checker, _ := scram.SHA256.NewServer(func(string) (scram.StoredCredentials, error) { return stored, nil })
	conversation := checker.NewConversation()
	server.Send(&pgproto3.AuthenticationSASL{AuthMechanisms: []string{"SCRAM-SHA-256"}})
	_ = server.SetAuthType(pgproto3.AuthTypeSASL)
	_ = server.Flush()
	message, err := server.Receive()
	if err != nil {
		return false
	}
	first, _ := conversation.Step(string(message.(*pgproto3.SASLInitialResponse).Data))
	server.Send(&pgproto3.AuthenticationSASLContinue{Data: []byte(first)})
	_ = server.SetAuthType(pgproto3.AuthTypeSASLContinue)
	_ = server.Flush()
	if message, err = server.Receive(); err != nil {
		return false
	}
	final, err := conversation.Step(string(message.(*pgproto3.SASLResponse).Data))
	if err != nil {
		server.Send(&pgproto3.ErrorResponse{Code: "28P01", Message: "password"})
		_ = server.Flush()
		return false
	}
	server.Send(&pgproto3.AuthenticationSASLFinal{Data: []byte(final)})
	return true
}

func (fake *fake) request(org ids.OrganisationID, database ids.DatabaseName) backend.Request {
	return backend.Request{
		Organisation: org, Weight: 1, Server: "s1", Address: fake.listener.Addr().String(), Database: database,
		Limits: contract.Limits{Transactions: 10, Queue: 100, QueueTimeoutMS: 5000},
	}
}

func acquire(t *testing.T, pools *backend.Pools, request backend.Request) *backend.Conn {
	t.Helper()
	conn, err := pools.Acquire(context.Background(), request)
	if err != nil {
		t.Fatal(err)
	}
	return conn
}

func reason(err error) refusal.Reason {
	var refused *refusal.Refusal
	if errors.As(err, &refused) {
		return refused.Reason
	}
	return ""
}

// TestLogin guards against a login with anything other than the proxy's own credentials.
func TestLogin(t *testing.T) {
	for name, password := range map[string]string{"trust": "", "scram": "own"} {
		t.Run(name, func(t *testing.T) {
			fake := newFake(t, password)
			pools := backend.New(backend.Login{User: "dotterel", Password: "own", VM: "vm1"})
			defer pools.Close()
			conn := acquire(t, pools, fake.request("a", "app"))
			if fake.started["user"] != "dotterel" || fake.started["application_name"] != "vm1" || fake.started["database"] != "app" {
				t.Errorf("startup parameters %v", fake.started)
			}
			if conn.State() != "busy" {
				t.Errorf("state %v", conn.State())
			}
			pools.Release(conn)
		})
	}
	fake := newFake(t, "other")
	_, err := backend.New(backend.Login{User: "dotterel", Password: "own"}).Acquire(context.Background(), fake.request("a", "app"))
	if reason(err) != refusal.BackendLost {
		t.Errorf("wrong password: %v", err)
	}
}

// TestReuse guards against reuse of a connection that is in a transaction, has an unread response, was closed by the server,
// or belongs to another database, and against opening a connection although one could be reused.
func TestReuse(t *testing.T) {
	cases := map[string]struct {
		use    func(fake *fake, conn *backend.Conn)
		reused bool
	}{
		"clean":          {func(*fake, *backend.Conn) {}, true},
		"dirty":          {func(_ *fake, conn *backend.Conn) { conn.SetDirty() }, true},
		"broken":         {func(_ *fake, conn *backend.Conn) { conn.SetBroken() }, false},
		"canceled":       {func(_ *fake, conn *backend.Conn) { conn.SetCanceled() }, false},
		"in transaction": {func(_ *fake, conn *backend.Conn) { exchange(conn, "BEGIN") }, false},
		"answered":       {func(_ *fake, conn *backend.Conn) { exchange(conn, "INSERT") }, true},
		"deadline passed": {func(_ *fake, conn *backend.Conn) {
			exchange(conn, "INSERT")
			_, _ = conn.Next(time.Nanosecond)
		}, true},
		"unread":     {func(_ *fake, conn *backend.Conn) { _, _ = conn.Send(wire.AppendQuery(nil, "INSERT"), 1) }, false},
		"undeclared": {func(_ *fake, conn *backend.Conn) { _, _ = conn.Send(wire.AppendQuery(nil, "INSERT"), 0) }, false},
		"closed":     {func(fake *fake, _ *backend.Conn) { fake.conns[0].Close() }, false},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			fake := newFake(t, "")
			pools := backend.New(backend.Login{User: "dotterel"})
			defer pools.Close()
			first := acquire(t, pools, fake.request("a", "app"))
			test.use(fake, first)
			if name == "undeclared" {
				// The check on reuse sees the response only if it has arrived.
				_, _ = first.Next(time.Second)
			}
			pools.Release(first)
			second := acquire(t, pools, fake.request("b", "app"))
			if (first == second) != test.reused {
				t.Errorf("reused: %v, want %v", first == second, test.reused)
			}
			other := acquire(t, pools, fake.request("b", "another"))
			if other == second || other == first {
				t.Error("a connection to another database was reused")
			}
		})
	}
}

func exchange(conn *backend.Conn, text string) {
	_, _ = conn.Send(wire.AppendQuery(nil, text), 1)
	for conn.PendingReady() > 0 {
		if _, err := conn.Next(time.Second); err != nil {
			return
		}
	}
}

// TestLimits guards against exceeding the allotment or the contract's limits, and against refusals below the limit.
func TestLimits(t *testing.T) {
	fake := newFake(t, "")
	pools := backend.New(backend.Login{User: "dotterel"}, backend.WithAllotment(2))
	defer pools.Close()
	request := fake.request("a", "app")
	first, second := acquire(t, pools, request), acquire(t, pools, request)
	short := request
	short.Limits.QueueTimeoutMS = 1
	if _, err := pools.Acquire(context.Background(), short); reason(err) != refusal.QueueTimeout {
		t.Errorf("queue timeout: %v", err)
	}
	short.Limits.Transactions = 2
	if _, err := pools.Acquire(context.Background(), short); reason(err) != refusal.TransactionLimit {
		t.Errorf("transaction limit: %v", err)
	}
	results := make(chan *backend.Conn)
	full := request
	full.Limits.Queue = 1
	for range 2 {
		go func() {
			conn, err := pools.Acquire(context.Background(), full)
			if err != nil && reason(err) != refusal.QueueFull {
				t.Errorf("queue full: %v", err)
			}
			results <- conn
		}()
	}
	if conn := <-results; conn != nil {
		t.Error("a request was served beyond the allotment")
	}
	pools.SetAllotment("s1", 3)
	if conn := <-results; conn == nil || fake.opened.Load() != 3 {
		t.Errorf("a higher allotment did not serve the waiting request: %d connections", fake.opened.Load())
	}
	pools.SetAllotment("s1", 1)
	pools.Release(first)
	pools.Release(second)
	if fake.opened.Load() != 3 || first.State() != "closed" || second.State() != "closed" {
		t.Error("connections over the allotment were kept")
	}
}

// TestTooManyConnections guards against a refusal when the server temporarily has no free connections.
func TestTooManyConnections(t *testing.T) {
	fake := newFake(t, "")
	fake.refuse.Store(2)
	pools := backend.New(backend.Login{User: "dotterel"})
	defer pools.Close()
	pools.Release(acquire(t, pools, fake.request("a", "app")))
	if fake.opened.Load() != 1 {
		t.Errorf("%d connections", fake.opened.Load())
	}
}

// TestFairness guards against an organisation with many waiting requests delaying another one.
func TestFairness(t *testing.T) {
	fake := newFake(t, "")
	pools := backend.New(backend.Login{User: "dotterel"}, backend.WithAllotment(1))
	defer pools.Close()
	held := acquire(t, pools, fake.request("busy", "app"))
	var mutex sync.Mutex
	var order []ids.OrganisationID
	var running sync.WaitGroup
	wait := func(org ids.OrganisationID) {
		running.Add(1)
		go func() {
			defer running.Done()
			conn, err := pools.Acquire(context.Background(), fake.request(org, "app"))
			if err != nil {
				t.Error(err)
				return
			}
			mutex.Lock()
			order = append(order, org)
			mutex.Unlock()
			pools.Release(conn)
		}()
	}
	for range 20 {
		wait("busy")
	}
	waitFor(t, pools, 20)
	wait("quiet")
	waitFor(t, pools, 21)
	pools.Release(held)
	running.Wait()
	for index, org := range order {
		if org == "quiet" && index > 2 {
			t.Errorf("the quiet organisation was served at position %d", index)
		}
	}
}

// TestDatabasesShare guards against a busy database occupying all connections because they never become idle, and against
// connections being replaced continuously.
func TestDatabasesShare(t *testing.T) {
	for name, allotment := range map[string]int{"several": 4, "one": 1} {
		t.Run(name, func(t *testing.T) {
			fake := newFake(t, "")
			pools := backend.New(backend.Login{User: "dotterel"}, backend.WithAllotment(allotment))
			defer pools.Close()
			var stop atomic.Bool
			var running sync.WaitGroup
			for range 2*allotment + 2 {
				running.Add(1)
				go func() {
					defer running.Done()
					for !stop.Load() {
						conn := acquire(t, pools, fake.request("busy", "a"))
						exchange(conn, "INSERT")
						pools.Release(conn)
					}
				}()
			}
			waitFor(t, pools, allotment+2)
			const requests = 20
			for range requests {
				conn := acquire(t, pools, fake.request("quiet", "b"))
				exchange(conn, "INSERT")
				pools.Release(conn)
			}
			stop.Store(true)
			running.Wait()
			if opened := int(fake.opened.Load()); allotment > 1 && opened > allotment+2 || opened > 3*requests {
				t.Errorf("%d connections were opened", opened)
			}
		})
	}
}

func waitFor(t *testing.T, pools *backend.Pools, waiting int) {
	t.Helper()
	for deadline := time.Now().Add(5 * time.Second); pools.Waiting("s1") < waiting; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%d requests wait, want %d", pools.Waiting("s1"), waiting)
		}
	}
}
