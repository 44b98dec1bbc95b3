package proxy

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"dotterelgw/core/budget"
	"dotterelgw/core/catalog"
	"dotterelgw/core/ids"
	"dotterelgw/core/leader"
	"dotterelgw/core/member"
	"dotterelgw/core/position"
	"dotterelgw/core/quota"
	"dotterelgw/core/statement"
	"dotterelgw/io/dbpool"
	"dotterelgw/io/fleet"
	"dotterelgw/io/home"
	"dotterelgw/io/monitor"
	"dotterelgw/io/observe"
)

// ledgerRun is a statement that a ledger ran, with the state of its connection.
type ledgerRun struct {
	conn   int
	id     statement.RequestID
	values map[string]string
	shape  string
	inside bool
}

// fault changes the answer to a call that is about to run; ran reports whether the call runs nevertheless.
type fault func(link *ledgerLink, call dbpool.Call) (reply *statement.Reply, ran bool, err error)

// ledger is a primary that records what runs on its connections and what is committed.
type ledger struct {
	mutex sync.Mutex
	fault fault
	// conns and signed count the connections and the signatures, resetInside the resets inside of transactions.
	conns, signed, resetInside int
	// cut cuts the streams to the home of the ledger; nil if there is none.
	cut       func()
	runs      []ledgerRun
	committed []statement.RequestID
}

// Dial implements dbpool.Dialer.Dial.
func (ledger *ledger) Dial(context.Context, catalog.Server, ids.OrganisationID) (dbpool.Link, error) {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	ledger.conns++
	return &ledgerLink{ledger: ledger, conn: ledger.conns}, nil
}

// ledgerLink is a connection to a ledger.
type ledgerLink struct {
	ledger *ledger
	conn   int
	values map[string]string
	shapes map[string]string
	state  statement.TransactionState
	writes []statement.RequestID
	due    []ledgerAnswer
	// delay is how long the answer to the next call takes.
	delay time.Duration
}

type ledgerAnswer struct {
	reply statement.Reply
	err   error
	// delay is how long the answer takes.
	delay time.Duration
}

// Send implements dbpool.Link.Send. The calls run at once.
func (link *ledgerLink) Send(_ time.Time, calls ...dbpool.Call) error {
	link.ledger.mutex.Lock()
	defer link.ledger.mutex.Unlock()
	for _, call := range calls {
		reply, ran, err := (*statement.Reply)(nil), true, error(nil)
		if link.ledger.fault != nil && call.Kind != statement.Status {
			reply, ran, err = link.ledger.fault(link, call)
		}
		answer := statement.Reply{Position: position.Position{Term: 1, Log: ids.LogPosition(len(link.ledger.committed) + 1)}}
		if link.state == statement.FailedTransaction && call.Kind != statement.Rollback && call.Kind != statement.Commit {
			answer.Code, ran = statement.Malformed, false
		}
		if ran {
			answer.Code = link.run(call)
		}
		answer.Signature = link.ledger.sign(call.Kind, answer.Code)
		if call.Kind == statement.Status {
			answer.Rows = []string{"state"}
		}
		if reply != nil {
			reply.Position = answer.Position
			answer = *reply
		} else {
			answer.State = link.state
		}
		link.due = append(link.due, ledgerAnswer{reply: answer, err: err, delay: link.delay})
		link.delay = 0
	}
	return nil
}

// sign returns the signature of the answer to a call, which no other answer has.
func (ledger *ledger) sign(kind statement.Kind, code statement.Code) string {
	switch kind {
	case statement.Read, statement.Write, statement.Execute, statement.Commit:
	default:
		return "-"
	}
	if code != statement.Complete {
		return ""
	}
	ledger.signed++
	return fmt.Sprint("signature", ledger.signed)
}

// run runs a call as the page of the protocol says.
func (link *ledgerLink) run(call dbpool.Call) statement.Code {
	switch call.Kind {
	case statement.Reset:
		if link.state != statement.Idle {
			link.ledger.resetInside++
		}
		link.values, link.shapes = nil, nil
	case statement.Set:
		link.values = with(maps.Clone(link.values), call.Name, call.Value)
	case statement.Prepare:
		link.shapes = with(link.shapes, call.Name, call.Value)
	case statement.Begin, statement.BeginReadOnly:
		link.state = statement.InTransaction
	case statement.Rollback:
		link.state, link.writes = statement.Idle, nil
	case statement.Commit:
		if link.state == statement.InTransaction {
			link.record(call, "")
			link.ledger.committed = append(link.ledger.committed, link.writes...)
		}
		link.state, link.writes = statement.Idle, nil
	case statement.Execute:
		shape, known := link.shapes[call.Name]
		if !known {
			return statement.UnknownStatement
		}
		link.record(call, shape)
		link.write(call)
	case statement.Read:
		link.record(call, "")
	case statement.Write:
		link.record(call, "")
		link.write(call)
	}
	return statement.Complete
}

// write writes an item, which is kept at once outside of a transaction.
func (link *ledgerLink) write(call dbpool.Call) {
	link.writes = append(link.writes, call.ID)
	if link.state == statement.Idle {
		link.ledger.committed, link.writes = append(link.ledger.committed, link.writes...), nil
	}
}

func (link *ledgerLink) record(call dbpool.Call, shape string) {
	link.ledger.runs = append(link.ledger.runs, ledgerRun{
		conn: link.conn, id: call.ID, values: link.values, shape: shape, inside: link.state == statement.InTransaction,
	})
}

// Receive implements dbpool.Link.Receive.
func (link *ledgerLink) Receive(deadline time.Time) (statement.Reply, error) {
	if len(link.due) == 0 {
		return statement.Reply{}, errors.New("nothing is due")
	}
	answer := link.due[0]
	link.due = link.due[1:]
	if left := time.Until(deadline); answer.delay > left {
		time.Sleep(left)
		return statement.Reply{}, os.ErrDeadlineExceeded
	}
	time.Sleep(answer.delay)
	return answer.reply, answer.err
}

// Status implements dbpool.Link.Status.
func (link *ledgerLink) Status(reply statement.Reply) (leader.Status, error) {
	return leader.Status{Role: catalog.RolePrimary, Term: 1, Received: reply.Position, Applied: reply.Position}, nil
}

// Usable implements dbpool.Link.Usable.
func (*ledgerLink) Usable() bool { return true }

// Surplus tells the pool that answers are matched by their order, as on a connection; nothing lies unread.
func (*ledgerLink) Surplus() string { return "" }

// Close implements dbpool.Link.Close.
func (*ledgerLink) Close(bool) {}

// unlimited admits all operations.
type unlimited struct{}

func (unlimited) Admit(*catalog.Organisation) (bool, time.Duration) { return true, 0 }

func (unlimited) Standing(*catalog.Organisation) (quota.Standing, time.Duration) {
	return quota.UsedUp, 0
}

// scriptedCaller sends its requests ahead of the answers, and has memory for all names.
type scriptedCaller struct {
	Caller
	requests []statement.Request
	replies  []statement.Reply
}

func (*scriptedCaller) Keep(budget.Bytes) error { return nil }

func (caller *scriptedCaller) Pending() bool { return len(caller.requests) > 0 }

func (caller *scriptedCaller) Next(time.Time) (statement.Request, error) {
	if len(caller.requests) == 0 {
		return statement.Request{}, io.EOF
	}
	request := caller.requests[0]
	caller.requests = caller.requests[1:]
	return request, nil
}

func (caller *scriptedCaller) Reply(reply statement.Reply) error {
	caller.replies = append(caller.replies, reply)
	return nil
}

func (*scriptedCaller) Close() {}

func (*scriptedCaller) ReplyTo(error) (statement.Reply, bool) { return statement.Reply{}, false }

// ledgerInfo describes a ledger.
var ledgerInfo = catalog.Server{ID: "a", Group: "group", Role: catalog.RolePrimary, Slots: 4, StartedMS: 7}

// newLedgerServer returns a server before a ledger that is a primary which holds this number of connections.
func newLedgerServer(t *testing.T, connections int) (*Server, *ledger) {
	t.Helper()
	ledger := &ledger{}
	return newServerBefore(t, newLedgerMonitor(t, ledger, connections)), ledger
}

// newLedgerMonitor returns a monitor of the ledger.
func newLedgerMonitor(t *testing.T, ledger *ledger, connections int) *monitor.Monitor {
	t.Helper()
	groups := monitor.New(t.Context(), ledger, "z", newEventLog(t))
	groups.SetServers(0, []catalog.Server{ledgerInfo})
	groups.Server(ledgerInfo.ID).Pool.SetLimit(connections)
	return groups
}

func newEventLog(t *testing.T) *observe.EventLog {
	t.Helper()
	eventLog := observe.NewEventLog(io.Discard, "vm1")
	t.Cleanup(func() { eventLog.Close(time.Second) })
	return eventLog
}

// newServerBefore returns a server whose statements go to the servers of the monitor.
func newServerBefore(t *testing.T, groups *monitor.Monitor) *Server {
	t.Helper()
	awaitPosition(t, groups.Group(ledgerInfo.Group), time.Minute)
	return New(Dependencies{
		Directory: fixedDirectory{current: &catalog.Catalog{
			Version: 7,
			Routes: map[ids.RouteName]*catalog.Route{"route": {
				Group: ledgerInfo.Group, Consistency: catalog.BoundedStaleness, MaxStaleness: time.Minute, Timeout: 150 * time.Millisecond,
			}},
			Groups: map[ids.GroupID]*catalog.Group{ledgerInfo.Group: {SyncReplicas: 1}},
			Keys:   map[catalog.Key]*catalog.Organisation{"key": {ID: "org"}},
		}},
		Groups: groups, Limiter: unlimited{}, EventLog: newEventLog(t), Metrics: metrics.NewRegistry(), MaxCatalogAge: time.Minute,
		MaxSessionBytes: 1 << 20,
	})
}

// oneHome hands all statements over to one home.
type oneHome struct{ *home.Client }

// Choose implements monitor.Homes.Choose.
func (oneHome) Choose([]ids.VMID, ids.BackendServerID) (ids.VMID, bool) { return "home", true }

// sharedSecret is known to both ends of a stream.
type sharedSecret struct{}

// Authenticator implements home.Secret.Authenticator.
func (sharedSecret) Authenticator(data []byte) ([]byte, bool) { return data, true }

// IsAuthentic implements home.Secret.IsAuthentic.
func (sharedSecret) IsAuthentic(data, authenticator []byte) bool {
	return bytes.Equal(data, authenticator)
}

// relay passes connections on until they are cut.
type relay struct {
	listener net.Listener
	mutex    sync.Mutex
	conns    []net.Conn
}

func newRelay(t *testing.T, address string) *relay {
	t.Helper()
	listener, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	relay := &relay{listener: listener}
	t.Cleanup(func() {
		_ = listener.Close()
		relay.cut()
	})
	go func() {
		for {
			near, err := listener.Accept()
			if err != nil {
				return
			}
			far, err := net.Dial("tcp", address)
			if err != nil {
				_ = near.Close()
				continue
			}
			relay.mutex.Lock()
			relay.conns = append(relay.conns, near, far)
			relay.mutex.Unlock()
			go pass(near, far)
			go pass(far, near)
		}
	}()
	return relay
}

// pass copies one direction of a connection and ends both with it.
func pass(to, from net.Conn) {
	_, _ = io.Copy(to, from)
	_ = to.Close()
	_ = from.Close()
}

// cut ends all connections.
func (relay *relay) cut() {
	relay.mutex.Lock()
	defer relay.mutex.Unlock()
	for _, conn := range relay.conns {
		_ = conn.Close()
	}
	relay.conns = nil
}

// newServerBehindHome returns a server whose statements run on the connections of another VM to a ledger.
func newServerBehindHome(t *testing.T, connections int) (*Server, *ledger) {
	t.Helper()
	ledger := &ledger{}
	return newServerBehind(t, newLedgerMonitor(t, ledger, connections), ledger), ledger
}

// newServerBehind returns a server whose statements run on the connections of a VM with the monitor to a ledger.
func newServerBehind(t *testing.T, atHome *monitor.Monitor, ledger *ledger) *Server {
	t.Helper()
	listener, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	service := home.NewService(listener, sharedSecret{}, atHome, newEventLog(t), metrics.NewRegistry())
	go service.Run(t.Context())
	client := home.NewClient("vm1", sharedSecret{}, newEventLog(t), metrics.NewRegistry())
	relay := newRelay(t, listener.Addr().String())
	ledger.cut = relay.cut
	client.SetVMs([]fleet.VM{{ID: "home", Peer: relay.listener.Addr().String()}})
	groups := monitor.New(t.Context(), ledger, "z", newEventLog(t))
	groups.SetHomes(oneHome{client}, nil)
	groups.SetCatalog(&catalog.Catalog{Groups: map[ids.GroupID]*catalog.Group{ledgerInfo.Group: {ID: ledgerInfo.Group, Connections: 2}}})
	groups.SetVMs([]member.Member{{ID: "home", Zone: "z", ServesAsHome: true}, {ID: "vm2", Zone: "z", ServesAsHome: true}, {ID: "vm3", Zone: "z", ServesAsHome: true}})
	groups.SetServers(0, []catalog.Server{ledgerInfo})
	return newServerBefore(t, groups)
}

// newLedgerSession returns a session of the server.
func newLedgerSession(server *Server) *session {
	session := newSession(server, &scriptedCaller{})
	session.route, session.key = "route", "key"
	return session
}
