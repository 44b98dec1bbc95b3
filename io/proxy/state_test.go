package proxy

import (
	"strings"
	"testing"
	"time"

	"dotterelgw/core/catalog"
	"dotterelgw/core/statement"
	"dotterelgw/io/dbpool"
)

// A server answers a BEGIN, or a statement in a transaction, with success and the state outside of a transaction. Guards against later
// statements of the transaction that run outside of it and are kept although the caller rolls back.
func TestTransactionThatItsServerEnded(t *testing.T) {
	for name, ends := range map[string]statement.Kind{"at begin": statement.Begin, "at a statement": statement.Read} {
		t.Run(name, func(t *testing.T) {
			server, ledger := newLedgerServer(t, 2)
			session := newLedgerSession(server)
			ledger.fault = func(link *ledgerLink, call dbpool.Call) (*statement.Reply, bool, error) {
				if call.Kind != ends {
					return nil, true, nil
				}
				link.run(call)
				link.state = statement.Idle
				return nil, false, nil
			}
			for index, kind := range []statement.Kind{statement.Begin, statement.Read, statement.Write, statement.Rollback} {
				do(session, statement.RequestID(rune('a'+index)), statement.Statement{Kind: kind})
			}
			if len(ledger.committed) > 0 {
				t.Errorf("%v is committed outside of the transaction that was rolled back", ledger.committed)
			}
		})
	}
}

// A caller sends requests ahead, and the first one that is refused sets up the others. Guards against statements that run without what they
// rely on, so that a write is kept although the caller was told that nothing is.
func TestRequestsBehindARefusedOne(t *testing.T) {
	begin, write, commit := statement.Statement{Kind: statement.Begin}, statement.Statement{Kind: statement.Write}, statement.Statement{Kind: statement.Commit}
	tooLarge := statement.Statement{Kind: statement.Set, Name: "v", Value: strings.Repeat("x", 2<<20)}
	for name, test := range map[string]struct {
		limiter Limiter
		sent    []statement.Statement
		want    string
	}{
		"begin":                {refusingLimiter{}, []statement.Statement{begin, write, commit}, "busy E, malformed E, aborted I"},
		"set in a transaction": {unlimited{}, []statement.Statement{begin, write, tooLarge, write, commit}, "complete T, complete T, too_large E, malformed E, aborted I"},
		"no statement":         {unlimited{}, []statement.Statement{begin, write, {Kind: statement.Invalid}, write, commit}, "complete T, complete T, malformed E, malformed E, aborted I"},
		"second begin":         {unlimited{}, []statement.Statement{begin, write, begin, write, commit}, "complete T, complete T, malformed E, malformed E, aborted I"},
		"set":                  {unlimited{}, []statement.Statement{tooLarge, write}, "too_large I"},
		"last":                 {refusingLimiter{}, []statement.Statement{begin}, "busy I"},
	} {
		t.Run(name, func(t *testing.T) {
			server, ledger := newLedgerServer(t, 2)
			caller, session := &scriptedCaller{}, newLedgerSession(server)
			session.caller = caller
			for index, stmt := range test.sent {
				caller.requests = append(caller.requests, statement.Request{ID: statement.RequestID(rune('a' + index)), Statement: stmt})
			}
			server.Limiter = &firstFrom{first: test.limiter}
			for session.next() == nil {
				continue
			}
			var got []string
			for _, reply := range caller.replies {
				got = append(got, reply.Code.String()+" "+"ITE"[reply.State:reply.State+1])
			}
			if answers := strings.Join(got, ", "); answers != test.want || len(ledger.committed) > 0 {
				t.Errorf("answered %q, want %q; %q is committed", answers, test.want, ledger.committed)
			}
		})
	}
}

// A server refuses to set a session value. Guards against a write that ran beside the refusal and is repeated or said not to have run, and
// against all further statements that run with other values than those of their session.
func TestServerThatRefusesSessionValues(t *testing.T) {
	for name, newServer := range map[string]func(*testing.T, int) (*Server, *ledger){"direct": newLedgerServer, "home": newServerBehindHome} {
		t.Run(name, func(t *testing.T) {
			server, ledger := newServer(t, 2)
			ledger.fault = func(link *ledgerLink, call dbpool.Call) (*statement.Reply, bool, error) {
				if call.Kind == statement.Set {
					return &statement.Reply{Code: statement.Error, State: link.state}, false, nil
				}
				return nil, true, nil
			}
			session := newLedgerSession(server)
			do(session, "a", statement.Statement{Kind: statement.Set, Name: "v", Value: "1"})
			if reply := do(session, "b", statement.Statement{Kind: statement.Write}); reply.Code != statement.InDoubt || len(ledger.runs) > 1 {
				t.Errorf("the first write was answered with %s and ran %d times", reply.Code, len(ledger.runs))
			}
			for id, kind := range map[statement.RequestID]statement.Kind{"c": statement.Write, "d": statement.Read} {
				if reply := do(session, id, statement.Statement{Kind: kind}); reply.Code != statement.Busy {
					t.Errorf("%s was answered with %s", kind, reply.Code)
				}
			}
			if len(ledger.runs) > 1 {
				t.Errorf("statements ran with other values: %+v", ledger.runs[1:])
			}
		})
	}
}

// A commit meets a fault in the code. Guards against a transaction that stays open at its server, and its connection with it, after the
// session has ended.
func TestFaultInCommit(t *testing.T) {
	server, ledger := newLedgerServer(t, 2)
	session := newLedgerSession(server)
	ledger.fault = func(_ *ledgerLink, call dbpool.Call) (*statement.Reply, bool, error) {
		if call.Kind == statement.Commit {
			panic("fault")
		}
		return nil, true, nil
	}
	func() {
		defer session.end()
		defer func() { _ = recover() }()
		for index, kind := range []statement.Kind{statement.Begin, statement.Write, statement.Commit} {
			do(session, statement.RequestID(rune('a'+index)), statement.Statement{Kind: kind})
		}
	}()
	pool := server.Groups.Group(ledgerInfo.Group).Servers()[0].Pool
	for began := time.Now(); pool.InUse() > 0; time.Sleep(time.Millisecond) {
		if time.Since(began) > time.Second {
			t.Fatalf("%d connections are in use after the session", pool.InUse())
		}
	}
}

// firstFrom asks a limiter for the first operation and admits the others.
type firstFrom struct {
	unlimited
	first Limiter
}

// Admit implements Limiter.Admit.
func (limiter *firstFrom) Admit(organisation *catalog.Organisation) (bool, time.Duration) {
	first := limiter.first
	limiter.first = limiter.unlimited
	return first.Admit(organisation)
}
