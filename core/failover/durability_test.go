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

// TestDurability guards the acknowledgement rule against each way in which a write on some servers can still be lost.
func TestDurability(t *testing.T) {
	want := position.Position{Term: 2, Log: 50}
	starts := func(next ...position.Position) []position.Position {
		return append([]position.Position{{Term: 1}, {Term: 2, Log: 40}}, next...)
	}
	cases := map[string]struct {
		statuses []*Status
		starts   []position.Position
		known    Knowledge
	}{
		"nothing known":                    {[]*Status{nil, nil, nil}, starts(), Pending},
		"primary alone":                    {[]*Status{primary("a", 2, 2, 50), nil, nil}, starts(), Pending},
		"replica behind":                   {[]*Status{nil, replica("b", 2, 2, 2, 49), nil}, starts(), Pending},
		"replica has it":                   {[]*Status{nil, replica("b", 2, 2, 2, 50), nil}, starts(), Durable},
		"replica fenced after it received": {[]*Status{nil, replica("b", 2, 3, 2, 50), nil}, starts(), Durable},
		"larger number of an older term":   {[]*Status{nil, replica("b", 2, 2, 1, 90), nil}, starts(), Pending},
		"next term begins before it":       {[]*Status{nil, primary("b", 3, 3, 90), replica("c", 3, 3, 3, 90)}, starts(position.Position{Term: 3, Log: 49}), Lost},
		"next term kept it, primary only":  {[]*Status{nil, primary("b", 3, 2, 50), nil}, starts(position.Position{Term: 3, Log: 50}), Pending},
		"next term kept it, majority":      {[]*Status{nil, primary("b", 3, 2, 50), replica("c", 3, 3, 2, 50)}, starts(position.Position{Term: 3, Log: 50}), Durable},
		"figure 8: a term in between may win": {
			[]*Status{primary("a", 4, 2, 50), nil, replica("c", 4, 4, 2, 50)}, starts(position.Position{Term: 4, Log: 50}), Pending,
		},
		"figure 8: sealed by a record of the later term": {
			[]*Status{primary("a", 4, 4, 51), nil, replica("c", 4, 4, 4, 51)}, starts(position.Position{Term: 4, Log: 50}), Durable,
		},
		"later term of an unknown history": {[]*Status{nil, primary("b", 3, 3, 90), replica("c", 3, 3, 3, 90)}, starts(), Pending},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			if known := Durability(want, "a", 3, test.statuses, test.starts); known != test.known {
				t.Errorf("knowledge %d, want %d", known, test.known)
			}
		})
	}
	idle := position.Position{Term: 2, Log: 40}
	if Durability(idle, "a", 3, []*Status{nil, replica("b", 2, 2, 1, 40)}, starts()) != Durable {
		t.Error("the position of a new primary that has written nothing yet")
	}
	if Durability(idle, "a", 3, []*Status{nil, replica("b", 2, 2, 1, 39)}, starts()) != Pending {
		t.Error("the same with a replica that is behind")
	}
	gap := []position.Position{{Term: 1}, {Term: 3, Log: 40}}
	idle.Term = 3
	if Durability(idle, "a", 3, []*Status{nil, replica("b", 3, 3, 1, 40)}, gap) != Pending {
		t.Error("the same after a term that may have had a primary of its own")
	}
	if Durability(want, "a", 1, []*Status{nil}, nil) != Durable || Durability(want, "a", 5, []*Status{replica("b", 2, 2, 2, 50)}, nil) != Pending {
		t.Error("groups of one and of five servers")
	}
}

// TestLeader guards the barrier against a primary that has been replaced behind a partition.
func TestLeader(t *testing.T) {
	cases := map[string]struct {
		statuses []*Status
		index    int
		ok       bool
	}{
		"majority loyal":             {[]*Status{primary("a", 2, 2, 50), replica("b", 2, 2, 2, 50), nil}, 0, true},
		"primary alone":              {[]*Status{primary("a", 2, 2, 50), nil, nil}, 0, false},
		"both replicas fenced":       {[]*Status{primary("a", 2, 2, 50), replica("b", 2, 3, 2, 50), replica("c", 3, 3, 2, 50)}, 0, false},
		"one replica fenced":         {[]*Status{primary("a", 2, 2, 50), replica("b", 2, 3, 2, 50), replica("c", 2, 2, 2, 50)}, 0, true},
		"replaced primary and later": {[]*Status{primary("a", 2, 2, 50), primary("b", 3, 3, 60), nil}, 1, true},
		"no primary":                 {[]*Status{replica("a", 2, 2, 2, 50), replica("b", 2, 2, 2, 50), nil}, -1, false},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			if index, ok := Leader(3, test.statuses); index != test.index || ok != test.ok {
				t.Errorf("leader %d, %v", index, ok)
			}
		})
	}
}

// TestFollowStart guards against a follower that keeps records of a branch that its new primary does not have.
func TestFollowStart(t *testing.T) {
	record := config.TermRecord{Term: 5, Starts: []position.Position{{Term: 1}, {Term: 2, Log: 40}, {Term: 5, Log: 90}}}
	cases := map[string]struct {
		logTerm ids.Term
		start   ids.LogPosition
	}{
		"empty log":                     {0, 0},
		"missed two terms":              {1, 40},
		"log of the term before":        {2, 90},
		"log of an abandoned promotion": {3, 0},
		"log of the term itself":        {5, 90},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			if start := followStart(record, Status{LogTerm: test.logTerm}); start != test.start {
				t.Errorf("start %d, want %d", start, test.start)
			}
		})
	}
}

// TestEvidence guards the bound on silence against pauses of the watcher and against servers that refuse at once.
func TestEvidence(t *testing.T) {
	watch := NewWatch(0)
	watch.Answered(time.Second, Status{Server: "a"})
	watch.Failed()
	if silent := watch.Evidence(time.Hour).Silent; silent != ProbeTimeout {
		t.Errorf("one failed probe vouches for %v", silent)
	}
	for range 20 {
		watch.Failed()
	}
	if silent := watch.Evidence(1900 * time.Millisecond).Silent; silent != 900*time.Millisecond {
		t.Errorf("refused probes vouch for %v", silent)
	}
}

// TestFirstRecord guards a starting VM against claiming a term before the primary's first status has come in.
func TestFirstRecord(t *testing.T) {
	group := config.GroupRecord{Group: "g", Servers: []config.ServerRecord{{ID: "a"}, {ID: "b"}, {ID: "c"}}}
	began := time.Hour
	plan, err := NewPlan("vm1", group, began)
	if err != nil {
		t.Fatal(err)
	}
	own := []Evidence{
		{Server: "a"},
		{Server: "b", Status: *replica("b", 1, 1, 1, 9)},
		{Server: "c", Status: *replica("c", 1, 1, 1, 9)},
	}
	if commands := plan.Tick(began+time.Second, Situation{Own: own, Watchers: 3}); len(commands) != 0 {
		t.Errorf("commands before the primary answered: %+v", commands)
	}
	own[0].Status = *primary("a", 1, 1, 9)
	commands := plan.Tick(began+time.Second, Situation{Own: own, Watchers: 3})
	if len(commands) != 1 || commands[0].Record.Step != Steady || commands[0].Record.Primary != "a" || commands[0].Record.Term != 1 {
		t.Errorf("commands %+v", commands)
	}
}
