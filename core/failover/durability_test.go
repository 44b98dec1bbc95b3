package failover

import (
	"testing"
	"time"

	"dotterelgw/core/config"
	"dotterelgw/core/ids"
	"dotterelgw/core/position"
)

func replica(server ids.BackendServerID, term, promised, logTerm ids.Term, received ids.LogPosition) *Status {
	return &Status{Server: server, Term: term, Promised: promised, LogTerm: logTerm, Received: received}
}

func primary(server ids.BackendServerID, term, logTerm ids.Term, written ids.LogPosition) *Status {
	return &Status{Server: server, Primary: true, Term: term, Promised: term, LogTerm: logTerm, Written: written}
}

// TestDurability guards against acknowledging a write that is on some servers but can still be lost.
func TestDurability(t *testing.T) {
	want := position.Position{Term: 2, Log: 50}
	starts := func(next ...position.Position) []position.Position {
		return append([]position.Position{{Term: 1}, {Term: 2, Log: 40}}, next...)
	}
	cases := map[string]struct {
		statuses []*Status
		starts   []position.Position
		known    WriteState
	}{
		"no statuses":                      {[]*Status{nil, nil, nil}, starts(), Pending},
		"primary alone":                    {[]*Status{primary("a", 2, 2, 50), nil, nil}, starts(), Pending},
		"replica behind":                   {[]*Status{nil, replica("b", 2, 2, 2, 49), nil}, starts(), Pending},
		"replica has the write":            {[]*Status{nil, replica("b", 2, 2, 2, 50), nil}, starts(), Durable},
		"replica fenced after it received": {[]*Status{nil, replica("b", 2, 3, 2, 50), nil}, starts(), Durable},
		"longer log of an older term":      {[]*Status{nil, replica("b", 2, 2, 1, 90), nil}, starts(), Pending},
		"next term starts before it":       {[]*Status{nil, primary("b", 3, 3, 90), replica("c", 3, 3, 3, 90)}, starts(position.Position{Term: 3, Log: 49}), Lost},
		"in the next term, primary only":   {[]*Status{nil, primary("b", 3, 2, 50), nil}, starts(position.Position{Term: 3, Log: 50}), Pending},
		"in the next term, majority":       {[]*Status{nil, primary("b", 3, 2, 50), replica("c", 3, 3, 2, 50)}, starts(position.Position{Term: 3, Log: 50}), Durable},
		"figure 8: a term in between may win": {
			[]*Status{primary("a", 4, 2, 50), nil, replica("c", 4, 4, 2, 50)}, starts(position.Position{Term: 4, Log: 50}), Pending,
		},
		"figure 8: secured by a record of the later term": {
			[]*Status{primary("a", 4, 4, 51), nil, replica("c", 4, 4, 4, 51)}, starts(position.Position{Term: 4, Log: 50}), Durable,
		},
		"later term of an unknown history": {[]*Status{nil, primary("b", 3, 3, 90), replica("c", 3, 3, 3, 90)}, starts(), Pending},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			if known := Durability(want, "a", 3, test.statuses, test.starts); known != test.known {
				t.Errorf("state %d, want %d", known, test.known)
			}
		})
	}
	idle := position.Position{Term: 2, Log: 40}
	if Durability(idle, "a", 3, []*Status{nil, replica("b", 2, 2, 1, 40)}, starts()) != Durable {
		t.Error("start position of a new primary without writes is not durable")
	}
	if Durability(idle, "a", 3, []*Status{nil, replica("b", 2, 2, 1, 39)}, starts()) != Pending {
		t.Error("start position of a new primary is not pending although the replica is behind")
	}
	gap := []position.Position{{Term: 1}, {Term: 3, Log: 40}}
	idle.Term = 3
	if Durability(idle, "a", 3, []*Status{nil, replica("b", 3, 3, 1, 40)}, gap) != Pending {
		t.Error("start position is not pending after a term that may have had a primary of its own")
	}
	if Durability(want, "a", 1, []*Status{nil}, nil) != Durable || Durability(want, "a", 5, []*Status{replica("b", 2, 2, 2, 50)}, nil) != Pending {
		t.Error("wrong state in a group of one or five servers")
	}
}

// TestLeader guards the barrier against relying on a primary that was replaced during a partition.
func TestLeader(t *testing.T) {
	cases := map[string]struct {
		statuses []*Status
		index    int
		ok       bool
	}{
		"confirmed by a majority": {[]*Status{primary("a", 2, 2, 50), replica("b", 2, 2, 2, 50), nil}, 0, true},
		"primary alone":           {[]*Status{primary("a", 2, 2, 50), nil, nil}, 0, false},
		"both replicas fenced":    {[]*Status{primary("a", 2, 2, 50), replica("b", 2, 3, 2, 50), replica("c", 3, 3, 2, 50)}, 0, false},
		"one replica fenced":      {[]*Status{primary("a", 2, 2, 50), replica("b", 2, 3, 2, 50), replica("c", 2, 2, 2, 50)}, 0, true},
		"old and new primary":     {[]*Status{primary("a", 2, 2, 50), primary("b", 3, 3, 60), nil}, 1, true},
		"no primary":              {[]*Status{replica("a", 2, 2, 2, 50), replica("b", 2, 2, 2, 50), nil}, -1, false},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			if index, ok := ConfirmedPrimary(3, test.statuses); index != test.index || ok != test.ok {
				t.Errorf("leader %d, %v", index, ok)
			}
		})
	}
}

// TestFollowStart guards against a replica that keeps records which its new primary does not have after their logs diverged.
func TestFollowStart(t *testing.T) {
	record := config.TermRecord{Term: 5, Starts: []position.Position{{Term: 1}, {Term: 2, Log: 40}, {Term: 5, Log: 90}}}
	cases := map[string]struct {
		logTerm ids.Term
		start   ids.LogPosition
	}{
		"empty log":                     {0, 0},
		"missed two terms":              {1, 40},
		"log of the previous term":      {2, 90},
		"log of an abandoned promotion": {3, 0},
		"log of the current term":       {5, 90},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			if start := followStart(record, Status{LogTerm: test.logTerm}); start != test.start {
				t.Errorf("start %d, want %d", start, test.start)
			}
		})
	}
}

// TestEvidence guards against overstated silence: when the watcher itself was paused, and when a server refuses probes at
// once so that many fail in a short time.
func TestEvidence(t *testing.T) {
	probeMonitor := NewProbeMonitor(0)
	probeMonitor.Answered(time.Second, Status{Server: "a"})
	probeMonitor.Failed()
	if silent := probeMonitor.Evidence(time.Hour).Silent; silent != ProbeTimeout {
		t.Errorf("silence after one failed probe: %v, want one ProbeTimeout", silent)
	}
	for range 20 {
		probeMonitor.Failed()
	}
	if silent := probeMonitor.Evidence(1900 * time.Millisecond).Silent; silent != 900*time.Millisecond {
		t.Errorf("silence after refused probes: %v, want 900 ms", silent)
	}
}

// TestFirstRecord guards against claiming a term at startup, before the first status of the primary has arrived.
func TestFirstRecord(t *testing.T) {
	group := config.GroupRecord{Group: "g", Servers: []config.ServerRecord{{ID: "a"}, {ID: "b"}, {ID: "c"}}}
	began := time.Hour
	coordinator, err := NewCoordinator("vm1", group, began)
	if err != nil {
		t.Fatal(err)
	}
	own := []Evidence{
		{Server: "a"},
		{Server: "b", Status: *replica("b", 1, 1, 1, 9)},
		{Server: "c", Status: *replica("c", 1, 1, 1, 9)},
	}
	if commands := coordinator.Tick(began+time.Second, TickInput{Own: own, Watchers: 3}); len(commands) != 0 {
		t.Errorf("commands before the primary responded: %+v", commands)
	}
	own[0].Status = *primary("a", 1, 1, 9)
	commands := coordinator.Tick(began+time.Second, TickInput{Own: own, Watchers: 3})
	if len(commands) != 1 || commands[0].Record.Step != Steady || commands[0].Record.Primary != "a" || commands[0].Record.Term != 1 {
		t.Errorf("commands %+v", commands)
	}
}
