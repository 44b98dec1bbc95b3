package home

import (
	"errors"
	"net"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"dotterelgw/core/catalog"
	"dotterelgw/core/ids"
	"dotterelgw/core/schedule"
	"dotterelgw/core/statement"
	"dotterelgw/io/dbpool"
)

// Guards against a statement that runs with the values or the prepared name of another session, or for another organisation, and against
// a connection for each statement.
func TestSessionFollowsItsStatements(t *testing.T) {
	home := startHome(t, "s")
	client := startClient(t, map[ids.VMID]string{"home": home.address})
	values, prepared := map[string]string{"zone": "red"}, statement.Prepared{Text: "shape"}
	for range 3 {
		first := open(t, client, "home", testServer)
		prefix := first.SyncSession(values, "r_shape", prepared)
		reply, err := first.Run(time.Now().Add(testTimeout), prefix, dbpool.Call{ID: "q1", Kind: statement.Execute, Name: "r_shape", Value: "a"})
		if err != nil || reply.Signature != "signed" {
			t.Fatalf("reply %+v, %v", reply, err)
		}
		first.Release(reply.State)
		other := open(t, client, "home", testServer)
		if _, err := runOn(other, statement.Read, "READ b"); err != nil {
			t.Fatal(err)
		}
		other.Release(statement.Idle)
	}
	for _, run := range home.backend.ran() {
		mine := run.call.Kind == statement.Execute
		if mine && (run.values["zone"] != "red" || run.shapes["r_shape"] != "shape") || run.call.Kind == statement.Read && len(run.values) > 0 {
			t.Errorf("%s ran with values %v, shapes %v", run.call.Kind, run.values, run.shapes)
		}
		if run.organisation != "org1" {
			t.Errorf("ran for %s", run.organisation)
		}
	}
	if dials, _ := home.backend.counts(); dials != 1 {
		t.Errorf("%d connections for statements that follow each other", dials)
	}
}

// Two VMs, of which one runs another build, give two shapes the same name. Guards against a prepared statement that runs the shape of
// another session.
func TestNameOfTwoShapes(t *testing.T) {
	home := startHome(t, "s")
	client := startClient(t, map[ids.VMID]string{"home": home.address})
	for _, shape := range []string{"READ one", "READ other", "READ one"} {
		conn := open(t, client, "home", testServer)
		prefix := conn.SyncSession(nil, "name", statement.Prepared{Text: shape})
		reply, err := conn.Run(time.Now().Add(testTimeout), prefix, dbpool.Call{ID: "q", Kind: statement.Execute, Name: "name"})
		if err != nil {
			t.Fatal(err)
		}
		conn.Release(reply.State)
		runs := home.backend.ran()
		if ran := runs[len(runs)-1].shapes["name"]; ran != shape {
			t.Errorf("ran %q, want %q", ran, shape)
		}
	}
}

// Guards against a transaction whose statements run on several connections, and a statement of another session inside it.
func TestTransactionKeepsItsConnection(t *testing.T) {
	home := startHome(t, "s")
	client := startClient(t, map[ids.VMID]string{"home": home.address})
	transaction := open(t, client, "home", testServer)
	for _, step := range []statement.Kind{statement.Begin, statement.Write, statement.Read, statement.Commit} {
		reply, err := runOn(transaction, step, step.String())
		if err != nil || (reply.State == statement.InTransaction) != (step != statement.Commit) {
			t.Fatalf("%s: %+v, %v", step, reply, err)
		}
		other := open(t, client, "home", testServer)
		if _, err := runOn(other, statement.Read, "other"); err != nil {
			t.Fatal(err)
		}
		other.Release(statement.Idle)
	}
	transaction.Release(statement.Idle)
	var pinned int
	for _, run := range home.backend.ran() {
		switch {
		case run.call.Kind == statement.Begin:
			pinned = run.conn
		case run.call.Text == "other" && run.inside, run.call.Text != "other" && run.conn != pinned:
			t.Errorf("%s ran on connection %d, inside a transaction: %t", run.call.Text, run.conn, run.inside)
		}
	}
}

// A stream ends, a home is told to stop the link, or a caller's VM of a later build sends what the home does not run, while a transaction is
// open. Guards against transactions that keep their connection and their locks.
func TestTransactionEndsWithItsStream(t *testing.T) {
	for name, end := range map[string]func(client *Client, conn *dbpool.Conn){
		"stream ends": func(client *Client, _ *dbpool.Conn) { client.streams["home"].close(errors.New("reset")) },
		"link closes": func(_ *Client, conn *dbpool.Conn) { conn.Release(statement.InTransaction) },
		"statement of an unknown kind": func(client *Client, _ *dbpool.Conn) {
			stream := client.streams["home"]
			_ = stream.send(kindRun, stream.lastID, run{Kind: statement.Status, AnswerMS: 1000})
		},
	} {
		t.Run(name, func(t *testing.T) {
			home := startHome(t, "s")
			client := startClient(t, map[ids.VMID]string{"home": home.address})
			conn := open(t, client, "home", testServer)
			if _, err := runOn(conn, statement.Begin, "BEGIN"); err != nil {
				t.Fatal(err)
			}
			end(client, conn)
			eventually(t, "the connection closes", func() bool { _, closed := home.backend.counts(); return closed == 1 })
			for _, run := range home.backend.ran() {
				if run.call.Kind == statement.Commit {
					t.Error("the transaction was committed")
				}
			}
		})
	}
}

// A home can't reach the server, knows another process of it, has no free connection, or stops. Guards against statements that run in
// spite of the refusal, and against a refusal that is taken for a failure of the server.
func TestRefusedStatementsDoNotRun(t *testing.T) {
	restarted := testServer
	restarted.StartedMS++
	for name, test := range map[string]struct {
		prepare func(home *testHome)
		server  catalog.Server
		want    error
		next    ids.VMID
	}{
		"cut off from the server": {func(home *testHome) { home.backend.dialErr = errors.New("refused") }, testServer, dbpool.ErrHomeUnavailable, "second"},
		"other server process":    {func(*testHome) {}, restarted, dbpool.ErrHomeUnavailable, "second"},
		"stops":                   {func(home *testHome) { home.leaving.Store(true) }, testServer, dbpool.ErrHomeUnavailable, "second"},
		"removed server":          {func(home *testHome) { home.servers.Server(testServer.ID).Pool.Close() }, testServer, dbpool.ErrHomeUnavailable, "second"},
	} {
		t.Run(name, func(t *testing.T) {
			home, second := startHome(t, "s"), startHome(t, "s")
			client := startClient(t, map[ids.VMID]string{"home": home.address, "second": second.address})
			conn := open(t, client, "home", test.server)
			test.prepare(home)
			_, err := runOn(conn, statement.Write, "WRITE a 1")
			var notRun *dbpool.NotRunError
			if !errors.As(err, &notRun) || !errors.Is(err, test.want) || len(home.backend.ran()) > 0 {
				t.Errorf("error %v, ran %v", err, home.backend.ran())
			}
			if next, _ := client.Choose([]ids.VMID{"home", "second"}, testServer.ID); next != test.next {
				t.Errorf("afterwards %q is used", next)
			}
		})
	}
}

// Load: the server accepts no more connections for a moment, as after a loss of power. Guards against giving a statement up that could
// still wait, and against a refusal that sends all VMs to the server directly.
func TestHomeWaitsForConnectionsOfTheServer(t *testing.T) {
	home := startHome(t, "s")
	client := startClient(t, map[ids.VMID]string{"home": home.address})
	home.backend.dialErr = &dbpool.RefusedError{Code: statement.TooManyConnections}
	conn := open(t, client, "home", testServer)
	time.AfterFunc(4*refusedConnectionPause, func() {
		home.backend.mutex.Lock()
		defer home.backend.mutex.Unlock()
		home.backend.dialErr = nil
	})
	if _, err := runOn(conn, statement.Write, "WRITE a 1"); err != nil {
		t.Error(err)
	}
}

// Load: more statements than connections, and callers that give up while they wait. Guards against running a statement that was given
// up before it had a connection.
func TestGivenUpStatementDoesNotRun(t *testing.T) {
	home := startHome(t, "s")
	client := startClient(t, map[ids.VMID]string{"home": home.address})
	var held []*dbpool.Conn
	for range testLimit {
		conn := open(t, client, "home", testServer)
		if _, err := runOn(conn, statement.Begin, "BEGIN"); err != nil {
			t.Fatal(err)
		}
		held = append(held, conn)
	}
	waiting := open(t, client, "home", testServer)
	if err := waiting.Send(time.Now().Add(testTimeout), dbpool.Call{ID: "q", Kind: statement.Write, Text: "given up"}); err != nil {
		t.Fatal(err)
	}
	eventually(t, "the statement waits", func() bool { return home.open() == testLimit+1 })
	waiting.Break()
	waiting.Release(statement.FailedTransaction)
	eventually(t, "the statement is given up", func() bool { return home.open() == testLimit })
	for _, conn := range held {
		if _, err := runOn(conn, statement.Commit, "COMMIT"); err != nil {
			t.Fatal(err)
		}
	}
	for _, run := range home.backend.ran() {
		if run.call.Text == "given up" {
			t.Error("it was run")
		}
	}
}

// Load: the slots of the server are taken, and the caller of an open transaction gives a statement up while it waits for one. Guards
// against running the statement afterwards, and against a transaction that stays open.
func TestGivenUpStatementOfTransactionDoesNotRun(t *testing.T) {
	home := startHome(t, "s")
	pool := home.servers.Server(testServer.ID).Pool
	pool.SetSchedule(schedule.Policy{Running: 1})
	client := startClient(t, map[ids.VMID]string{"home": home.address})
	transaction := open(t, client, "home", testServer)
	if _, err := runOn(transaction, statement.Begin, "BEGIN"); err != nil {
		t.Fatal(err)
	}
	busy, err := pool.Acquire(t.Context(), dbpool.Request{Organisation: "org1"})
	if err != nil {
		t.Fatal(err)
	}
	if err := transaction.Send(time.Now().Add(2*testTimeout), dbpool.Call{ID: "q", Kind: statement.Commit, Text: "given up"}); err != nil {
		t.Fatal(err)
	}
	eventually(t, "the statement waits", func() bool { return pool.State("org1").Waiting == 1 })
	transaction.Break()
	transaction.Release(statement.FailedTransaction)
	eventually(t, "the transaction ends", func() bool { return home.open() == 0 })
	busy.Release(statement.Idle)
	for _, run := range home.backend.ran() {
		if run.call.Text == "given up" {
			t.Error("it was run")
		}
	}
}

// A home stops by plan. Guards against transactions that are cut, and against statements that still go to it.
func TestPlannedStopOfHome(t *testing.T) {
	home, second := startHome(t, "s"), startHome(t, "s")
	client := startClient(t, map[ids.VMID]string{"home": home.address, "second": second.address})
	conn := open(t, client, "home", testServer)
	if _, err := runOn(conn, statement.Begin, "BEGIN"); err != nil {
		t.Fatal(err)
	}
	drained := make(chan struct{})
	go func() {
		home.Drain(t.Context())
		close(drained)
	}()
	eventually(t, "the second home is used", func() bool {
		next, ok := client.Choose([]ids.VMID{"home", "second"}, testServer.ID)
		return ok && next == "second"
	})
	if _, err := runOn(conn, statement.Commit, "COMMIT"); err != nil {
		t.Errorf("commit: %v", err)
	}
	conn.Release(statement.Idle)
	select {
	case <-drained:
	case <-time.After(testTimeout):
		t.Error("the home waits although nothing is open")
	}
}

// Guards against a home that runs the statements of a stranger, and a VM that hands statements to one.
func TestStrangersAreRefused(t *testing.T) {
	home := startHome(t, "other")
	client := startClient(t, map[ids.VMID]string{"home": home.address})
	if _, err := client.Open(t.Context(), "home", testServer, dbpool.Request{}, time.Now().Add(testTimeout)); !errors.Is(err, errNotAuthentic) {
		t.Errorf("error %v", err)
	}
	conn, err := net.Dial("tcp", startHome(t, "s").address)
	if err != nil {
		t.Fatal(err)
	}
	stranger := newStream(conn)
	if err := stranger.send(kindRun, 1, run{Server: testServer.ID, Kind: statement.Read}); err != nil {
		t.Fatal(err)
	}
	if _, _, _, err := stranger.receive(); err == nil {
		t.Error("a statement without authentication was answered")
	}
}

// The answer to a write has arrived, but the VM got no processor time until the deadline had passed. Guards against telling the caller
// that the outcome is unknown.
func TestAnswerAtTheDeadline(t *testing.T) {
	client := startClient(t, nil)
	local, remote := net.Pipe()
	t.Cleanup(func() { _ = remote.Close() })
	stream := newOutgoing("home")
	stream.stream = newStream(local)
	for range 50 {
		link := &link{client: client, stream: stream, answer: make(chan result, 1), giveUp: time.Now().Add(-time.Second)}
		link.deliver(result{reply: statement.Reply{Signature: "signed"}})
		if _, err := link.Receive(link.giveUp); err != nil {
			t.Fatal(err)
		}
	}
}

// A home stops by plan while the VM of a caller reads slowly. Guards against a process that ends before its last answers are written.
func TestPlannedStopWritesAnswers(t *testing.T) {
	home := startHome(t, "s")
	local, remote := net.Pipe()
	caller, incoming := newStream(remote), newIncoming(newStream(local), home.Service)
	caller.maxReceived = maxFrame
	home.mutex.Lock()
	home.streams[incoming] = struct{}{}
	home.mutex.Unlock()
	body, err := cbor.Marshal(run{Server: testServer.ID, StartedMS: testServer.StartedMS, WaitMS: 1000, TotalMS: 1000, AnswerMS: 1000, Kind: statement.Write})
	if err != nil {
		t.Fatal(err)
	}
	if err := incoming.start(1, body); err != nil {
		t.Fatal(err)
	}
	eventually(t, "the answer is being written", func() bool {
		incoming.mutex.Lock()
		defer incoming.mutex.Unlock()
		return len(home.backend.ran()) == 1 && len(incoming.links) == 0
	})
	drained := make(chan struct{})
	go func() {
		home.Drain(t.Context())
		close(drained)
	}()
	select {
	case <-drained:
		t.Error("the home stopped before its answer was written")
	case <-time.After(10 * drainCheckInterval):
	}
	if kind, _, _, err := caller.receive(); kind != kindReply || err != nil {
		t.Errorf("frame of kind %d, %v", kind, err)
	}
	if kind, _, _, err := caller.receive(); kind != kindLeaving || err != nil {
		t.Errorf("frame of kind %d, %v", kind, err)
	}
	<-drained
}

// The answer to a statement exceeds what a frame can hold. Guards against the end of the stream, with which the answers to all other
// statements on it are lost, against a write that is said not to have run, and against a transaction that stays open.
func TestTooLargeAnswer(t *testing.T) {
	for name, test := range map[string]struct {
		kind  statement.Kind
		begin bool
		code  statement.Code
		err   error
	}{
		"read":                {statement.Read, false, statement.TooLarge, nil},
		"write":               {statement.Write, false, 0, errServerLost},
		"write, transaction":  {statement.Write, true, statement.TooLarge, nil},
		"commit, transaction": {statement.Commit, true, 0, errServerLost},
	} {
		t.Run(name, func(t *testing.T) {
			home := startHome(t, "s")
			client := startClient(t, map[ids.VMID]string{"home": home.address})
			other, conn := open(t, client, "home", testServer), open(t, client, "home", testServer)
			if _, err := runOn(other, statement.Begin, "BEGIN"); err != nil {
				t.Fatal(err)
			}
			if test.begin {
				if _, err := runOn(conn, statement.Begin, "BEGIN"); err != nil {
					t.Fatal(err)
				}
			}
			reply, err := conn.Run(time.Now().Add(testTimeout), nil, dbpool.Call{Kind: test.kind, Text: tooLarge, Name: "r", Value: "v"})
			if reply.Code != test.code || !errors.Is(err, test.err) || isNotRun(err) {
				t.Errorf("code %v, error %v", reply.Code, err)
			}
			conn.Release(statement.FailedTransaction)
			eventually(t, "the transaction ends", func() bool { return home.open() == 1 })
			if _, err := runOn(other, statement.Commit, "COMMIT"); err != nil {
				t.Errorf("the other transaction: %v", err)
			}
		})
	}
}

// A statement meets a fault in the code of the home. Guards against a fault that ends the home with all statements of the fleet that run
// there, and against a transaction and a slot that are never released.
func TestFaultInHome(t *testing.T) {
	home := startHome(t, "s")
	home.servers.Server(testServer.ID).Pool.SetSchedule(schedule.Policy{Running: 1})
	client := startClient(t, map[ids.VMID]string{"home": home.address})
	conn := open(t, client, "home", testServer)
	if _, err := runOn(conn, statement.Begin, "BEGIN"); err != nil {
		t.Fatal(err)
	}
	if _, err := runOn(conn, statement.Write, faulty); !errors.Is(err, errServerLost) || isNotRun(err) {
		t.Errorf("error %v", err)
	}
	conn.Release(statement.FailedTransaction)
	if _, err := runOn(open(t, client, "home", testServer), statement.Read, "READ a"); err != nil {
		t.Error(err)
	}
	if _, closed := home.backend.counts(); closed != 1 {
		t.Errorf("%d connections closed", closed)
	}
}

func isNotRun(err error) bool {
	var notRun *dbpool.NotRunError
	return errors.As(err, &notRun)
}

// Load: all slots of the server are taken when a statement of an open transaction arrives, and its caller gives it up. Guards against
// running it, and against a transaction that stays open while it waits.
func TestGivenUpWriteOfTransactionDoesNotRun(t *testing.T) {
	home := startHome(t, "s")
	home.servers.Server(testServer.ID).Pool.SetSchedule(schedule.Policy{Running: 1})
	client := startClient(t, map[ids.VMID]string{"home": home.address})
	transaction, other := open(t, client, "home", testServer), open(t, client, "home", testServer)
	if _, err := runOn(transaction, statement.Begin, "BEGIN"); err != nil {
		t.Fatal(err)
	}
	gate := make(chan struct{})
	home.backend.mutex.Lock()
	home.backend.gate = gate
	home.backend.mutex.Unlock()
	deadline := time.Now().Add(testTimeout)
	if err := other.Send(deadline, dbpool.Call{ID: "q", Kind: statement.Read, Text: "slow"}); err != nil {
		t.Fatal(err)
	}
	eventually(t, "the slot is taken", func() bool { return len(home.backend.ran()) == 2 })
	if err := transaction.Send(deadline, dbpool.Call{ID: "q", Kind: statement.Write, Text: "given up"}); err != nil {
		t.Fatal(err)
	}
	transaction.Break()
	transaction.Release(statement.FailedTransaction)
	eventually(t, "the transaction is rolled back", func() bool { return home.open() == 1 })
	close(gate)
	if _, err := other.Receive(deadline); err != nil {
		t.Error(err)
	}
	other.Release(statement.Idle)
	for _, run := range home.backend.ran() {
		if run.call.Text == "given up" {
			t.Error("it was run")
		}
	}
}
