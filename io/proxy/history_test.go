package proxy

import (
	"errors"
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"dotterelgw/core/statement"
	"dotterelgw/io/clock"
	"dotterelgw/io/dbpool"
)

var (
	historySeed  = flag.Uint64("history.seed", 1, "first seed of the random histories")
	historySeeds = flag.Uint64("history.seeds", 3, "number of seeds of the random histories")
)

// sent is what a caller of a history sent, with what it had been told by then.
type sent struct {
	caller int
	kind   statement.Kind
	values map[string]string
	shape  string
	// transaction is the identifier of the transaction's begin; empty outside of one.
	transaction statement.RequestID
	code        statement.Code
}

// history is a random sequence of statements of several sessions.
type history struct {
	t *testing.T
	// random draws the faults of the server.
	random *rand.Rand
	ledger *ledger
	// mutex guards what follows.
	mutex sync.Mutex
	sent  map[statement.RequestID]*sent
	// asked holds the transactions whose commit was sent, refused those that were promised to have left nothing.
	asked, refused map[statement.RequestID]bool
	// refusesSetUp reports whether the server refuses SET, PREPARE and RESET now and then.
	refusesSetUp bool
}

// historyCaller is the caller of a session and what it has set up.
type historyCaller struct {
	index       int
	random      *rand.Rand
	session     *session
	values      map[string]string
	shapes      map[string]string
	transaction statement.RequestID
	failed      bool
}

// maxDelay exceeds the time that the routes of a ledger give a statement.
const maxDelay = 200 * time.Millisecond

// faultOf draws a fault that the page of the protocol allows.
func (history *history) faultOf(link *ledgerLink, call dbpool.Call) (*statement.Reply, bool, error) {
	switch call.Kind {
	case statement.Set, statement.Prepare, statement.Reset:
		if !history.refusesSetUp {
			return nil, true, nil
		}
	case statement.Rollback:
		return nil, true, nil
	}
	if history.random.IntN(4) == 0 {
		link.delay = time.Duration(history.random.Int64N(int64(maxDelay)))
	}
	failed := link.state
	if link.state == statement.InTransaction && history.random.IntN(2) == 0 {
		failed = statement.FailedTransaction
	}
	refuse := func(code statement.Code) (*statement.Reply, bool, error) {
		link.state = failed
		return &statement.Reply{Code: code, State: failed}, false, nil
	}
	switch history.random.IntN(40) {
	case 0, 1:
		return refuse(statement.Busy)
	case 2:
		return refuse(statement.ReadOnly)
	case 3:
		return refuse(statement.Lagging)
	case 4:
		if call.Kind == statement.Execute {
			link.shapes = nil
			return refuse(statement.UnknownStatement)
		}
	case 5:
		if link.state == statement.Idle && call.Kind != statement.Begin {
			return &statement.Reply{Code: statement.Error}, true, nil
		}
		return refuse(statement.Error)
	case 6:
		return nil, false, errors.New("cut before the statement ran")
	case 7:
		return nil, true, errors.New("cut after the statement ran")
	case 8:
		if link.ledger.cut != nil {
			link.ledger.cut()
		}
	}
	return nil, true, nil
}

// promises holds the codes that tell a caller that nothing is kept.
var promises = []statement.Code{statement.Busy, statement.Aborted, statement.Lagging, statement.ReadOnly, statement.Misrouted, statement.TooManyConnections}

// do serves one statement of the session.
func do(session *session, id statement.RequestID, stmt statement.Statement) statement.Reply {
	if stmt.Text == "" {
		stmt.Text = stmt.Kind.String()
	}
	return session.serve(statement.Request{ID: id, Statement: stmt}, clock.Now())
}

var (
	// historyNames holds names of values and prepared statements, of which one is the beginning of another.
	historyNames = []string{"a", "aé", "a\n"}
	// historyTexts holds values and shapes that differ in what a decoder could lose.
	historyTexts = []string{"", " ", "x", "x ", " x", "x_20", "x\n", "x\r\nQUERY 1 WRITE a b", strings.Repeat("x", maxEncodedShape)}
)

// step sends one statement of the caller.
func (history *history) step(caller *historyCaller, id statement.RequestID) {
	random := caller.random
	name := historyNames[random.IntN(len(historyNames))]
	stmt := statement.Statement{Name: name}
	draw := random.IntN(20)
	switch {
	case caller.transaction != "" && (caller.failed || draw < 4):
		stmt.Kind = statement.Rollback
		if draw%4 != 0 {
			stmt.Kind = statement.Commit
		}
	case caller.failed, draw < 3:
		stmt.Kind, stmt.Value = statement.Set, historyTexts[random.IntN(len(historyTexts))]
	case draw < 6:
		shape := "WRITE " + historyTexts[random.IntN(len(historyTexts))]
		stmt.Kind, stmt.Prepared = statement.Prepare, statement.Prepared{Text: shape, Writes: true}
	case draw < 7:
		stmt.Kind = statement.Deallocate
	case draw < 10 && caller.transaction == "":
		stmt.Kind = statement.Begin
	case draw < 14:
		stmt.Kind = statement.Write
	case draw < 16:
		stmt.Kind = statement.Read
	default:
		stmt.Kind = statement.Execute
	}
	record := &sent{
		caller: caller.index, kind: stmt.Kind, values: maps.Clone(caller.values), shape: caller.shapes[name], transaction: caller.transaction,
	}
	if stmt.Kind == statement.Begin {
		record.transaction = id
	}
	history.mutex.Lock()
	history.sent[id] = record
	if stmt.Kind == statement.Commit {
		history.asked[caller.transaction] = true
	}
	history.mutex.Unlock()
	reply := do(caller.session, id, stmt)
	history.mutex.Lock()
	defer history.mutex.Unlock()
	record.code = reply.Code
	caller.told(history, id, stmt, reply)
}

// told records what the answer tells the caller.
func (caller *historyCaller) told(history *history, id statement.RequestID, stmt statement.Statement, reply statement.Reply) {
	if record := history.sent[id]; record.transaction != "" && stmt.Kind == statement.Commit && slices.Contains(promises, reply.Code) {
		history.refused[record.transaction] = true
	}
	if reply.Code == statement.Complete {
		switch stmt.Kind {
		case statement.Set:
			caller.values = with(caller.values, stmt.Name, stmt.Value)
		case statement.Prepare:
			caller.shapes = with(caller.shapes, stmt.Name, stmt.Prepared.Text)
		case statement.Deallocate:
			delete(caller.shapes, stmt.Name)
		case statement.Begin:
			caller.transaction = id
		}
	}
	caller.failed = reply.State == statement.FailedTransaction
	if reply.State == statement.Idle {
		caller.transaction = ""
	}
	if (caller.transaction != "") != (reply.State != statement.Idle) {
		history.t.Errorf("%s %s was answered with %s in state %d, its transaction is %q", id, stmt.Kind, reply.Code, reply.State, caller.transaction)
	}
}

// check compares what the server ran and kept with what callers sent and were told.
func (history *history) check() {
	// Statements that were given up may still run.
	time.Sleep(maxDelay)
	history.ledger.mutex.Lock()
	defer history.ledger.mutex.Unlock()
	t := history.t
	if count := history.ledger.resetInside; count > 0 {
		t.Errorf("%d resets inside of transactions, of which the page does not say what they do", count)
	}
	// answered holds the connection on which a statement ran last, pinned that of a transaction.
	answered, pinned := make(map[statement.RequestID]int), make(map[statement.RequestID]int)
	for _, run := range history.ledger.runs {
		sent := history.sent[run.id]
		switch {
		case sent == nil:
			t.Errorf("%q ran and was not sent", run.id)
		case !maps.Equal(run.values, sent.values) || sent.kind == statement.Execute && run.shape != sent.shape:
			t.Errorf("%s ran with %v %q, want %v %q", run.id, run.values, run.shape, sent.values, sent.shape)
		case run.inside != (sent.transaction != ""):
			t.Errorf("%s ran inside of a transaction: %t, want %q", run.id, run.inside, sent.transaction)
		case sent.transaction != "" && sent.code == statement.Complete:
			answered[run.id] = run.conn
		}
	}
	for id, conn := range answered {
		transaction := history.sent[id].transaction
		if other, known := pinned[transaction]; known && other != conn {
			t.Errorf("%s of %s ran on connection %d, others on %d", id, transaction, conn, other)
		}
		pinned[transaction] = conn
	}
	kept := make(map[statement.RequestID]bool)
	for _, id := range history.ledger.committed {
		sent := history.sent[id]
		if kept[id] {
			t.Errorf("%s took effect twice", id)
		}
		kept[id] = true
		if slices.Contains(promises, sent.code) || history.refused[sent.transaction] {
			t.Errorf("%s was kept in spite of the promise %s", id, sent.code)
		}
		if sent.transaction != "" && !history.asked[sent.transaction] {
			t.Errorf("%s was kept, the commit of its transaction not sent", id)
		}
	}
	for id, sent := range history.sent {
		writes := sent.kind == statement.Write || sent.kind == statement.Execute
		if writes && sent.transaction == "" && sent.code == statement.Complete && !kept[id] {
			t.Errorf("%s was acknowledged and not kept", id)
		}
	}
}

// learnRefusal lets the pool of the server learn that it refuses to set up sessions, after which it relies on no set-up without an answer.
func learnRefusal(session *session, ledger *ledger) {
	ledger.fault = func(link *ledgerLink, _ dbpool.Call) (*statement.Reply, bool, error) {
		return &statement.Reply{Code: statement.Error, State: link.state}, false, nil
	}
	do(session, "", statement.Statement{Kind: statement.Set, Name: "v"})
	do(session, "", statement.Statement{Kind: statement.Write})
}

// Sessions take turns on the connections of a server that refuses, loses and forgets as the page of the protocol allows. Guards against
// statements with the values, shape or transaction of another session, against writes that are kept twice, unasked for or in spite of a
// promise, and against acknowledged writes that are not kept.
func TestHistories(t *testing.T) {
	const steps, callers = 300, 3
	for name, newServer := range historyServers {
		for seed := *historySeed; seed < *historySeed+*historySeeds; seed++ {
			t.Run(fmt.Sprintf("%s, seed %d", name, seed), func(t *testing.T) {
				t.Parallel()
				history, server := newHistory(t, newServer, callers, seed)
				if name == refusedSetUp {
					history.refusesSetUp = true
					learnRefusal(newLedgerSession(server), history.ledger)
				}
				history.ledger.fault = history.faultOf
				all, random := make([]*historyCaller, callers), rand.New(rand.NewPCG(seed, 1))
				for index := range all {
					all[index] = &historyCaller{index: index, random: random, session: newLedgerSession(server)}
				}
				for step := range steps {
					history.step(all[random.IntN(callers)], statement.RequestID(fmt.Sprint("q", step)))
				}
				history.check()
			})
		}
	}
}

// Load: more sessions than connections, and answers that come after their deadlines. Guards against the same, and against statements that
// are given up and meet a connection that has passed on.
func TestConcurrentHistories(t *testing.T) {
	const steps, callers, connections = 60, 6, 3
	for name, newServer := range historyServers {
		for seed := *historySeed; seed < *historySeed+*historySeeds; seed++ {
			t.Run(fmt.Sprintf("%s, seed %d", name, seed), func(t *testing.T) {
				t.Parallel()
				history, server := newHistory(t, newServer, connections, seed)
				if name == refusedSetUp {
					history.refusesSetUp = true
					learnRefusal(newLedgerSession(server), history.ledger)
				}
				history.ledger.fault = history.faultOf
				var ended sync.WaitGroup
				for index := range callers {
					caller := &historyCaller{index: index, random: rand.New(rand.NewPCG(seed, uint64(index+1))), session: newLedgerSession(server)}
					ended.Go(func() {
						for step := range steps {
							history.step(caller, statement.RequestID(fmt.Sprintf("q%d-%d", index, step)))
						}
						caller.session.closeConnection()
					})
				}
				ended.Wait()
				history.check()
			})
		}
	}
}

// refusedSetUp names the histories before a server that refuses to set sessions up.
const refusedSetUp = "home, refused set-up"

// historyServers holds how the statements of a history reach their server.
var historyServers = map[string]func(*testing.T, int) (*Server, *ledger){
	"direct": newLedgerServer, "home": newServerBehindHome, refusedSetUp: newServerBehindHome,
}

// newHistory returns a history before a server that holds this number of connections.
func newHistory(t *testing.T, newServer func(*testing.T, int) (*Server, *ledger), connections int, seed uint64) (*history, *Server) {
	t.Helper()
	server, ledger := newServer(t, connections)
	return &history{
		t: t, random: rand.New(rand.NewPCG(seed, 0)), ledger: ledger, sent: make(map[statement.RequestID]*sent),
		asked: make(map[statement.RequestID]bool), refused: make(map[statement.RequestID]bool),
	}, server
}
