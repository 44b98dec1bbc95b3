package leader_test

import (
	"testing"
	"time"

	"dotterelgw/core/catalog"
	"dotterelgw/core/ids"
	"dotterelgw/core/leader"
	"dotterelgw/core/position"
)

const second = time.Second

func servers(names ...ids.BackendServerID) []catalog.Server {
	var registered []catalog.Server
	for _, name := range names {
		registered = append(registered, catalog.Server{ID: name, Group: "g", Address: string(name) + ":1", StartedMS: 1})
	}
	return registered
}

func primary(term ids.Term, log ids.LogPosition, at time.Duration) leader.Observation {
	return leader.Observation{SentAt: at, Status: leader.Status{
		Role: catalog.RolePrimary, Term: term, Received: position.Position{Term: term, Log: log},
	}}
}

func replica(term, paused ids.Term, at time.Duration) leader.Observation {
	return leader.Observation{SentAt: at, Status: leader.Status{Role: catalog.RoleReplica, Term: term, PausedTerm: paused}}
}

// Guards against a replaced primary that keeps its lease, and against a healthy one that loses it.
func TestCertainty(t *testing.T) {
	for name, test := range map[string]struct {
		observe func(*leader.Tracker)
		want    time.Duration
	}{
		"primary alone": {
			func(tracker *leader.Tracker) { tracker.Observe("a", primary(1, 5, second)) }, 0,
		},
		"confirmed by a receiving replica": {
			func(tracker *leader.Tracker) {
				tracker.Observe("a", primary(1, 5, 2*second))
				tracker.Observe("b", replica(1, 0, second))
			},
			second + leader.LeaseDuration,
		},
		"paused replica": {
			func(tracker *leader.Tracker) {
				tracker.Observe("a", primary(1, 5, second))
				tracker.Observe("b", replica(1, 2, second))
			},
			0,
		},
		"replica of a later term": {
			func(tracker *leader.Tracker) {
				tracker.Observe("a", primary(1, 5, second))
				tracker.Observe("b", replica(1, 0, second))
				tracker.Observe("c", replica(2, 0, second))
			},
			0,
		},
		"primary of a later term confirmed by a replica": {
			func(tracker *leader.Tracker) {
				tracker.Observe("a", primary(1, 5, second))
				tracker.Observe("b", replica(1, 0, second))
				tracker.Observe("c", primary(2, 5, 2*second))
			},
			second + leader.LeaseDuration,
		},
		"older response ignored": {
			func(tracker *leader.Tracker) {
				tracker.Observe("a", primary(1, 5, 3*second))
				tracker.Observe("b", replica(1, 2, 3*second))
				tracker.Observe("b", replica(1, 0, 2*second))
			},
			0,
		},
		"replica observed before the fence": {
			func(tracker *leader.Tracker) {
				tracker.Observe("a", primary(1, 5, second))
				tracker.Observe("b", replica(1, 0, second))
				tracker.Revoke(2 * second)
				tracker.Observe("a", primary(1, 5, 3*second))
			},
			0,
		},
		"confirmed again after an abandoned fence": {
			func(tracker *leader.Tracker) {
				tracker.Revoke(2 * second)
				tracker.Observe("a", primary(1, 5, 3*second))
				tracker.Observe("c", replica(1, 0, 4*second))
			},
			3*second + leader.LeaseDuration,
		},
		"only server of its group": {
			func(tracker *leader.Tracker) {
				tracker.SetServers(0, servers("a"))
				tracker.Assure(second)
				tracker.Observe("a", primary(1, 5, second))
			},
			second + leader.LeaseDuration,
		},
		"primary restarted under the same identifier": {
			func(tracker *leader.Tracker) {
				tracker.Observe("a", primary(1, 5, second))
				tracker.Observe("b", replica(1, 0, second))
				restarted := servers("a", "b", "c")
				restarted[0].StartedMS = 2
				tracker.SetServers(0, restarted)
			},
			0,
		},
	} {
		t.Run(name, func(t *testing.T) {
			tracker := leader.NewTracker()
			tracker.SetServers(0, servers("a", "b", "c"))
			test.observe(tracker)
			if got := tracker.LeaseExpiry(); got != test.want {
				t.Errorf("lease until %v, want %v", got, test.want)
			}
		})
	}
}

// Guards against a lease of a primary that has been replaced, when no registered server knows of the newer term any more, and against a group that
// has no primary for good because all its databases have started anew.
func TestNewestTermIsKept(t *testing.T) {
	started := func(startedMS int64, names ...ids.BackendServerID) []catalog.Server {
		registered := servers(names...)
		for index := range registered {
			registered[index].StartedMS = startedMS
		}
		return registered
	}
	for name, test := range map[string]struct {
		registered []catalog.Server
		want       time.Duration
	}{
		"the old primary and a replica":             {servers("a", "b"), 0},
		"the old primary and a replica that is new": {append(started(5, "b"), servers("a")...), 0},
		"all have started anew":                     {started(5, "a", "b"), 3*second + leader.LeaseDuration},
	} {
		t.Run(name, func(t *testing.T) {
			tracker := leader.NewTracker()
			tracker.SetServers(0, servers("a", "b", "c"))
			tracker.Observe("c", primary(2, 5, second))
			tracker.SetServers(2*second, test.registered)
			tracker.Assure(2 * second)
			tracker.Observe("a", primary(1, 5, 3*second))
			tracker.Observe("b", replica(1, 0, 3*second))
			if got := tracker.LeaseExpiry(); got != test.want {
				t.Errorf("lease until %v, want %v", got, test.want)
			}
		})
	}
}

// Guards against using a position of a replaced or unconfirmed primary as one that covers all acknowledged writes.
func TestFloor(t *testing.T) {
	tracker := leader.NewTracker()
	tracker.SetServers(0, servers("a", "b", "c"))
	tracker.Observe("a", primary(1, 5, second))
	if _, ok := tracker.MinReadPosition(0); ok {
		t.Error("minimum position known although the primary is unconfirmed")
	}
	tracker.Observe("b", replica(1, 0, second))
	if minimum, ok := tracker.MinReadPosition(second / 2); !ok || minimum.Log != 5 {
		t.Errorf("minimum position %v, known %t, want 5", minimum, ok)
	}
	if _, ok := tracker.MinReadPosition(2 * second); ok {
		t.Error("minimum position known for a time after the last sample")
	}
	tracker.Sample("a", 2*second, position.Position{Term: 1, Log: 9})
	tracker.Sample("b", 2*second, position.Position{Term: 1, Log: 7})
	tracker.Sample("a", 9*second, position.Position{Term: 1, Log: 99})
	if minimum, ok := tracker.MinReadPosition(2 * second); !ok || minimum.Log != 9 {
		t.Errorf("minimum position %v, known %t, want 9", minimum, ok)
	}
	if _, ok := tracker.MinReadPosition(3 * second); ok {
		t.Error("minimum position known from a sample beyond the lease")
	}
	tracker.Observe("c", primary(2, 6, 3*second))
	if _, ok := tracker.MinReadPosition(second / 2); ok {
		t.Error("minimum position of a replaced primary still known")
	}
}

// Guards against routing reads to a replica that lacks the writes they need. It happens when a replica applies its log
// two orders of magnitude later than usual.
func TestLag(t *testing.T) {
	tracker := leader.NewTracker()
	tracker.SetServers(0, servers("a", "b"))
	tracker.Observe("b", replica(1, 0, second))
	for step := range 10 {
		at := second + time.Duration(step)*100*time.Millisecond
		tracker.Observe("a", primary(1, ids.LogPosition(step), at))
		tracker.Observe("b", replica(1, 0, at))
	}
	now := 2 * second
	if lag := tracker.Lag(position.Position{Term: 1, Log: 9}, now); lag != 0 {
		t.Errorf("lag of a replica that has caught up: %v, want 0", lag)
	}
	if lag := tracker.Lag(position.Position{Term: 1, Log: 4}, now); lag != 500*time.Millisecond {
		t.Errorf("lag of a replica at position 4: %v, want 500 ms", lag)
	}
}

// Guards against an old primary that regains its lease before its successor takes over. It happens when a replica that had
// crashed comes back, unpaused, during the replacement and confirms the old primary. Found by a randomised run
// (leiloes-retalhos, mix --seed 1016332041897: LOST).
func TestBind(t *testing.T) {
	const until = 6 * second
	confirm := func(tracker *leader.Tracker, term ids.Term, at time.Duration) {
		tracker.Observe("a", primary(term, 5, at))
		tracker.Observe("b", replica(term, 0, at))
	}
	for name, test := range map[string]struct {
		act  func(tracker *leader.Tracker)
		want time.Duration
	}{
		"old primary confirmed again": {func(tracker *leader.Tracker) { confirm(tracker, 1, 3*second) }, 0},
		"no server was promoted": {func(tracker *leader.Tracker) {
			tracker.RequireTerm(0, 0)
			confirm(tracker, 1, 3*second)
		}, 3*second + leader.LeaseDuration},
		"successor":               {func(tracker *leader.Tracker) { confirm(tracker, 2, 3*second) }, 3*second + leader.LeaseDuration},
		"replacement never ended": {func(tracker *leader.Tracker) { confirm(tracker, 1, until) }, until + leader.LeaseDuration},
	} {
		t.Run(name, func(t *testing.T) {
			tracker := leader.NewTracker()
			tracker.SetServers(0, servers("a", "b", "c"))
			confirm(tracker, 1, second)
			tracker.RequireTerm(2, until)
			test.act(tracker)
			if got := tracker.LeaseExpiry(); got != test.want {
				t.Errorf("lease until %v, want %v", got, test.want)
			}
			if _, known := tracker.MinReadPosition(3 * second); known != (test.want > 0) {
				t.Errorf("minimum position known: %t, want %t", known, test.want > 0)
			}
		})
	}
}

// Guards against selecting a server that no longer exists as primary. It happens now and then when a primary crashes and
// restarts under another identifier in the same term, until the old registration expires.
func TestPrimaryUnderAnotherIdentifier(t *testing.T) {
	for range 20 {
		tracker := leader.NewTracker()
		tracker.SetServers(0, servers("a", "b", "c"))
		tracker.Observe("a", primary(1, 5, second))
		tracker.Observe("b", primary(1, 5, 4*second))
		tracker.Observe("c", replica(1, 0, 4*second))
		if server, _, ok := tracker.Primary(); !ok || server.ID != "b" {
			t.Fatalf("primary %q, want b", server.ID)
		}
	}
}
