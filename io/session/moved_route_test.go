package session_test

import (
	"strings"
	"testing"

	"dotterelgw/core/contract"
	"dotterelgw/core/ids"
	"dotterelgw/core/position"
)

// moveRoute has the route lead to the group, whose primary has the log up to the position. Its replica has replayed it up to another one.
func (proxy *proxy) moveRoute(name ids.RouteName, group ids.GroupID, log, replayed ids.LogPosition) {
	moved := *proxy.contract.Load()
	moved.Routes = append([]contract.Route(nil), moved.Routes...)
	for index := range moved.Routes {
		if moved.Routes[index].Name == name {
			moved.Routes[index].Group = group
		}
	}
	proxy.contract.Store(&moved)
	proxy.revision.Add(1)
	proxy.primary.withLock(func() { proxy.primary.log = int(log) })
	proxy.setReplayed(replayed)
}

// Guards against a session that misses its own write, as a position of another group took the place of its own one.
func TestOwnWriteAfterRouteReturns(t *testing.T) {
	proxy := newProxy(t, 4)
	caller := proxy.dial("aged", "")
	caller.query("INSERT a")
	written := proxy.primary.position()
	proxy.moveRoute("aged", "g2", 5, 5)
	caller.query("INSERT b")
	// The replica of the first group lacks the session's own write there.
	proxy.moveRoute("aged", "g1", written, written-1)
	proxy.barrier.Store(uint64(written))
	caller.lines = nil
	caller.query("SELECT 'x'")
	if lines := string(caller.transcript()); strings.Contains(lines, "replica #") {
		t.Errorf("the read ran on a replica without the session's own write:\n%s", lines)
	}
}

// Guards against a read that the group can't serve, as it requires a position, and a term, of another group with a longer log.
func TestReadAfterRouteLeadsToShorterLog(t *testing.T) {
	proxy := newProxy(t, 4)
	proxy.setView(2, 0)
	caller := proxy.dial("aged", "")
	caller.query("INSERT a")
	view := *proxy.view.Load()
	view.Term, view.Starts = 1, []position.Position{{Term: 1, Log: 0}}
	proxy.view.Store(&view)
	proxy.moveRoute("aged", "g2", 5, 5)
	caller.lines = nil
	caller.query("SELECT 'x'")
	if lines := string(caller.transcript()); !strings.Contains(lines, "replica #") {
		t.Errorf("the read didn't run on the replica:\n%s", lines)
	}
}
