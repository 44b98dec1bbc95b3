package session_test

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/sebdah/goldie/v2"

	"dotterelgw/core/contract"
	"dotterelgw/core/position"
	"dotterelgw/core/refusal"
)

// extendedMessages returns the extended-protocol messages, without Sync, that run one statement.
func extendedMessages(name, query string) []pgproto3.FrontendMessage {
	return []pgproto3.FrontendMessage{
		&pgproto3.Parse{Name: name, Query: query}, &pgproto3.Bind{PreparedStatement: name},
		&pgproto3.Describe{ObjectType: 'P'}, &pgproto3.Execute{},
	}
}

func outcomeUnknown(position.Position) error {
	return refusal.New(refusal.OutcomeUnknown, "no other server has the position")
}

// goldenSessions holds scripted sessions. Their golden files record the messages that the servers and the caller received.
var goldenSessions = map[string]struct {
	route, options string
	run            func(t *testing.T, proxy *proxy, caller *caller)
}{
	"simple_query": {"app", "", func(_ *testing.T, _ *proxy, caller *caller) {
		caller.query("SELECT 'x'")
		caller.query("INSERT a")
		caller.query("WRONG")
	}},
	"extended_pipelining": {"app", "", func(_ *testing.T, _ *proxy, caller *caller) {
		first := append(extendedMessages("s1", "SELECT 'x'"), &pgproto3.Sync{})
		second := append(extendedMessages("", "INSERT a"), &pgproto3.Bind{PreparedStatement: "s1"}, &pgproto3.Execute{}, &pgproto3.Sync{})
		caller.send(append(first, second...)...)
		caller.readUntilReady(2)
		// The statement is prepared on the connection, so it is not sent again, but its name is taken in the session.
		caller.send(append(extendedMessages("s1", "SELECT 'y'"), &pgproto3.Sync{})...)
		caller.readUntilReady(1)
		caller.send(&pgproto3.Close{ObjectType: 'S', Name: "s1"}, &pgproto3.Bind{PreparedStatement: "s1"}, &pgproto3.Sync{})
		caller.readUntilReady(1)
	}},
	"flush": {"app", "", func(_ *testing.T, _ *proxy, caller *caller) {
		caller.send(append(extendedMessages("", "INSERT a"), &pgproto3.Flush{})...)
		for range 4 {
			_, _ = caller.frontend.Receive()
		}
		caller.send(&pgproto3.Sync{})
		caller.readUntilReady(1)
	}},
	"transaction": {"app", "", func(_ *testing.T, _ *proxy, caller *caller) {
		caller.query("BEGIN")
		caller.query("INSERT a")
		caller.query("COMMIT")
	}},
	"error_in_transaction": {"app", "", func(_ *testing.T, _ *proxy, caller *caller) {
		caller.query("BEGIN")
		caller.query("WRONG")
		caller.query("INSERT a")
		caller.query("COMMIT")
	}},
	"refused_before_run": {"app", "", func(_ *testing.T, proxy *proxy, caller *caller) {
		caller.query("COPY t FROM STDIN")
		caller.query("SELECT 1; /* */ listen x")
		proxy.overRate.Store(true)
		caller.query("INSERT a")
		caller.send(append(extendedMessages("s1", "INSERT a"), &pgproto3.Sync{})...)
		caller.readUntilReady(1)
		proxy.overRate.Store(false)
		// The refused Parse had no effect, so its name is not taken.
		caller.send(append(extendedMessages("s1", "INSERT a"), &pgproto3.Sync{})...)
		caller.readUntilReady(1)
		proxy.unconfirmed.Store(true)
		caller.query("INSERT a")
	}},
	"refused_in_transaction": {"app", "", func(_ *testing.T, proxy *proxy, caller *caller) {
		caller.query("BEGIN")
		caller.query("INSERT a")
		proxy.overRate.Store(true)
		caller.query("INSERT b")
		proxy.overRate.Store(false)
		caller.query("INSERT c")
		caller.send(append(extendedMessages("", "COMMIT"), &pgproto3.Sync{})...)
		caller.readUntilReady(1)
	}},
	"unknown_outcome": {"app", "", func(_ *testing.T, proxy *proxy, caller *caller) {
		caller.query("SELECT 'x'")
		proxy.primary.withLock(func() { proxy.primary.fault["INSERT a"] = "drop after" })
		caller.query("INSERT a")
		refuse := outcomeUnknown
		proxy.confirm.Store(&refuse)
		caller.query("INSERT b")
	}},
	"lost_in_transaction": {"app", "", func(_ *testing.T, proxy *proxy, caller *caller) {
		caller.query("BEGIN")
		proxy.primary.withLock(func() { proxy.primary.fault["INSERT a"] = "drop" })
		caller.query("INSERT a")
		caller.query("ROLLBACK")
		caller.query("BEGIN")
		proxy.primary.withLock(func() { proxy.primary.fault["COMMIT"] = "drop" })
		caller.query("COMMIT")
	}},
	"idempotent_repeat": {"app", "-c dotterel.idempotent=on", func(_ *testing.T, proxy *proxy, caller *caller) {
		proxy.primary.withLock(func() { proxy.primary.fault["INSERT a"] = "drop" })
		caller.query("INSERT a")
	}},
	"replica_read_fallback": {"auto", "", func(_ *testing.T, _ *proxy, caller *caller) {
		caller.query("SELECT 'x'")
		caller.query("INSERT a")
		caller.send(append(extendedMessages("", "SELECT 'y'"), &pgproto3.Sync{})...)
		caller.readUntilReady(1)
		caller.query("BEGIN READ ONLY")
		caller.query("INSERT a")
		caller.query("ROLLBACK")
	}},
	"replica_refuses": {"auto", "", func(_ *testing.T, proxy *proxy, caller *caller) {
		proxy.replica.withLock(func() { proxy.replica.fault["SELECT 'x'"] = "write" })
		caller.query("SELECT 'x'")
	}},
	"reading_keeps_position": {"auto", "", func(_ *testing.T, proxy *proxy, caller *caller) {
		caller.query("INSERT a")
		written := proxy.primary.position()
		proxy.primary.withLock(func() { proxy.primary.log++ }) // another session writes
		proxy.setReplayed(written - 1)
		caller.query("SELECT 'x'") // runs on the primary, because the replica lags
		proxy.setReplayed(written)
		caller.query("SELECT 'y'") // runs on the replica, which has replayed the session's own write
	}},
	"writing_select_moves_position": {"auto", "", func(_ *testing.T, proxy *proxy, caller *caller) {
		caller.query("INSERT a")
		written := proxy.primary.position()
		proxy.setReplayed(written - 1)
		caller.query("SELECT writes()")
		proxy.setReplayed(written)
		caller.query("SELECT 'y'") // runs on the primary, because the replica lacks the write of the function
	}},
	"aged_read_without_barrier": {"aged", "", func(t *testing.T, proxy *proxy, caller *caller) {
		proxy.setReplayed(1)
		caller.query("SELECT 'x'")
		if count := proxy.barriers.Load(); count != 0 {
			t.Errorf("%d barriers for a read that accepts old data", count)
		}
	}},
	"read_only_on_primary": {"read", "", func(_ *testing.T, proxy *proxy, caller *caller) {
		view := *proxy.view.Load()
		view.Servers = view.Servers[:1]
		proxy.view.Store(&view)
		caller.query("SELECT 'x'")
		caller.query("INSERT a")
		caller.query("BEGIN READ WRITE")
	}},
	"replica_promoted_unnoticed": {"read", "", func(_ *testing.T, proxy *proxy, caller *caller) {
		proxy.replica.withLock(func() { proxy.replica.replica = false })
		caller.query("INSERT a")
	}},
	"settings_pin": {"app", "", func(_ *testing.T, _ *proxy, caller *caller) {
		caller.query("SET search_path = a")
		caller.query("SELECT 'x'")
		caller.query("DISCARD ALL")
		caller.query("SELECT 'x'")
	}},
	"settings_lost": {"app", "", func(_ *testing.T, proxy *proxy, caller *caller) {
		caller.query("SET search_path = a")
		proxy.setView(2, 1)
		caller.query("SELECT 'x'")
		caller.readUntilReady(1)
	}},
	"key_withdrawn_in_transaction": {"app", "", func(_ *testing.T, proxy *proxy, caller *caller) {
		caller.query("BEGIN")
		caller.query("INSERT a")
		proxy.withdrawKey()
		caller.readUntilReady(1)
	}},
	"late_answer_after_cancel": {"app", "", func(_ *testing.T, proxy *proxy, caller *caller) {
		proxy.primary.withLock(func() { proxy.primary.fault["SELECT 'x'"] = "late" })
		caller.send(&pgproto3.Query{String: "SELECT 'x'"})
		proxy.primary.awaitLine(proxy.t, "SELECT 'x'")
		proxy.sessions.Cancel(caller.pid, []byte{0, 0, 0, 0})
		proxy.sessions.Cancel(caller.pid, caller.secret)
		close(proxy.primary.release)
		caller.readUntilReady(1)
		// A cancel request may still reach the connection, so it is not reused: the next statement runs on connection 2.
		caller.query("SELECT 'y'")
	}},
	"crossed_answer": {"app", "", func(_ *testing.T, proxy *proxy, caller *caller) {
		proxy.primary.withLock(func() { proxy.primary.fault["SELECT 'x'"] = "crossed" })
		caller.send(append(extendedMessages("", "SELECT 'x'"), &pgproto3.Sync{})...)
		caller.readUntilReady(1)
		caller.query("SELECT 'y'")
	}},
	"duplicated_answer": {"app", "", func(_ *testing.T, proxy *proxy, caller *caller) {
		proxy.primary.withLock(func() { proxy.primary.fault["INSERT a"] = "twice" })
		caller.query("INSERT a")
		caller.query("SELECT 'y'")
	}},
	"primary_replaced": {"app", "", func(_ *testing.T, proxy *proxy, caller *caller) {
		caller.query("SELECT 'x'")
		proxy.primary.withLock(func() { proxy.primary.replica = true })
		proxy.replica.withLock(func() { proxy.replica.replica, proxy.replica.term = false, 2 })
		time.AfterFunc(20*time.Millisecond, func() { proxy.setView(2, 1) })
		caller.query("INSERT a")
	}},
	"primary_unreachable": {"app", "", func(_ *testing.T, proxy *proxy, caller *caller) {
		_ = proxy.primary.listener.Close()
		proxy.replica.withLock(func() { proxy.replica.replica, proxy.replica.term = false, 2 })
		time.AfterFunc(50*time.Millisecond, func() { proxy.setView(2, 1) })
		caller.query("INSERT a")
	}},
	"primary_silent": {"app", "", func(_ *testing.T, proxy *proxy, caller *caller) {
		proxy.primary.withLock(func() { proxy.primary.fault["INSERT a"] = "late" })
		caller.send(&pgproto3.Query{String: "INSERT a"})
		proxy.primary.awaitLine(proxy.t, "INSERT a")
		proxy.replica.withLock(func() { proxy.replica.replica, proxy.replica.term = false, 2 })
		proxy.setView(2, 1)
		caller.readUntilReady(1)
		caller.query("INSERT b")
	}},
	"replica_silent": {"read", "", func(_ *testing.T, proxy *proxy, caller *caller) {
		proxy.replica.withLock(func() { proxy.replica.fault["SELECT 'x'"] = "late" })
		caller.send(&pgproto3.Query{String: "SELECT 'x'"})
		proxy.replica.awaitLine(proxy.t, "SELECT 'x'")
		view := *proxy.view.Load()
		view.Servers = append(view.Servers[:0:0], view.Servers...)
		view.Servers[1].Reachable = false
		proxy.view.Store(&view)
		caller.readUntilReady(1)
	}},
	"drain": {"app", "", func(t *testing.T, proxy *proxy, caller *caller) {
		caller.query("BEGIN")
		drained := make(chan error, 1)
		go func() { drained <- proxy.sessions.Drain(context.Background()) }()
		caller.query("INSERT a")
		caller.send(&pgproto3.Query{String: "COMMIT"})
		caller.readUntilReady(2)
		if err := <-drained; err != nil {
			t.Error(err)
		}
	}},
}

// awaitLine waits until the server has received a message that contains the text.
func (database *database) awaitLine(t testing.TB, text string) {
	await(t, func() (found bool) {
		database.withLock(func() {
			for _, line := range database.lines {
				found = found || strings.Contains(line, text)
			}
		})
		return found
	})
}

func (proxy *proxy) withdrawKey() {
	changed := *proxy.contract.Load()
	changed.Keys = []contract.Key{changed.Keys[0]}
	changed.Keys[0].WithdrawnAt = time.Unix(1, 0)
	proxy.contract.Store(&changed)
	proxy.revision.Add(1)
	proxy.sessions.RecheckContracts("frissito")
}

// TestSessions guards against changes in the messages that callers and servers receive in whole sessions.
func TestSessions(t *testing.T) {
	for name, session := range goldenSessions {
		t.Run(name, func(t *testing.T) {
			proxy := newProxy(t, 4)
			caller := proxy.dial(session.route, session.options)
			session.run(t, proxy, caller)
			goldie.New(t).Assert(t, name, caller.transcript())
		})
	}
}
