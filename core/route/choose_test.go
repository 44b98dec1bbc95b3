package route_test

import (
	"testing"
	"time"

	"dotterelgw/core/ids"
	"dotterelgw/core/position"
	"dotterelgw/core/route"
)

func at(term ids.Term, log ids.LogPosition) position.Position {
	return position.Position{Term: term, Log: log}
}

func view(change func(*route.View)) *route.View {
	view := &route.View{
		Group: "g1", Term: 2, Primary: 0,
		Starts: []position.Position{at(1, 0), at(2, 50)},
		Servers: []route.Server{
			{ID: "a", Zone: "z1", Reachable: true, Replayed: at(2, 100), CurrentAt: 10 * time.Second},
			{ID: "b", Zone: "z2", Reachable: true, Replayed: at(2, 100), CurrentAt: 10 * time.Second},
			{ID: "c", Zone: "z3", Reachable: true, Replayed: at(2, 90), CurrentAt: 9 * time.Second},
		},
	}
	if change != nil {
		change(view)
	}
	return view
}

// TestChoose guards against stale reads, requests to servers that are draining or unreachable, and needless reads on the primary.
func TestChoose(t *testing.T) {
	now := 10 * time.Second
	want := func(log ids.LogPosition) position.Position { return at(2, log) }
	cases := map[string]struct {
		change  func(*route.View)
		request route.Request
		server  int
	}{
		"write":                           {nil, route.Request{Position: want(100)}, 0},
		"local zone":                      {nil, route.Request{ReadOnly: true, Position: want(90), Zone: "z3"}, 2},
		"local zone behind":               {nil, route.Request{ReadOnly: true, Position: want(91), Zone: "z3"}, 1},
		"no replica at the position":      {nil, route.Request{ReadOnly: true, Position: want(101), Zone: "z3"}, 0},
		"least lag":                       {nil, route.Request{ReadOnly: true, Position: want(80), Zone: "z1"}, 1},
		"fewest busy before lag":          {func(view *route.View) { view.Servers[1].Busy = 1 }, route.Request{ReadOnly: true, Position: want(80), Zone: "z1"}, 2},
		"no position":                     {nil, route.Request{ReadOnly: true, Zone: "z2"}, 0},
		"replica leaving":                 {func(view *route.View) { view.Servers[1].Leaving = true }, route.Request{ReadOnly: true, Position: want(100)}, 0},
		"replica unreachable":             {func(view *route.View) { view.Servers[1].Reachable = false }, route.Request{ReadOnly: true, Position: want(100)}, 0},
		"lost position of an older term":  {nil, route.Request{ReadOnly: true, Position: at(1, 60)}, 0},
		"kept position of an older term":  {nil, route.Request{ReadOnly: true, Position: at(1, 50)}, 1},
		"position of a later term, read":  {nil, route.Request{ReadOnly: true, Position: at(3, 60)}, -1},
		"position of a later term, write": {nil, route.Request{Position: at(3, 60)}, -1},
		"within the maximum age":          {nil, route.Request{ReadOnly: true, MaxStaleness: time.Second, Now: now, Zone: "z3"}, 2},
		"beyond the maximum age":          {nil, route.Request{ReadOnly: true, MaxStaleness: time.Second - 1, Now: now, Zone: "z3"}, 1},
		"maximum age and own write":       {nil, route.Request{ReadOnly: true, MaxStaleness: time.Minute, Now: now, Zone: "z3", Position: want(95)}, 1},
		"age unknown":                     {func(view *route.View) { view.Servers[1].CurrentAt, view.Servers[2].CurrentAt = 0, 0 }, route.Request{ReadOnly: true, MaxStaleness: time.Hour, Now: now}, 0},
		"no primary, read":                {func(view *route.View) { view.Primary = -1 }, route.Request{ReadOnly: true, Position: want(100), Zone: "z2"}, 1},
		"no primary, write":               {func(view *route.View) { view.Primary = -1 }, route.Request{}, -1},
		"primary leaving":                 {func(view *route.View) { view.Servers[0].Leaving = true }, route.Request{}, -1},
		"primary unreachable":             {func(view *route.View) { view.Servers[0].Reachable = false }, route.Request{}, -1},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			server, ok := route.Choose(view(test.change), test.request)
			if server != test.server || ok != (test.server >= 0) {
				t.Errorf("server %d, ok %v", server, ok)
			}
		})
	}
	if _, ok := route.Choose(nil, route.Request{}); ok {
		t.Error("a server was chosen without a view")
	}
}

// TestChooseAllocates guards against allocations, which the target for one decision rules out.
func TestChooseAllocates(t *testing.T) {
	view := view(nil)
	request := route.Request{ReadOnly: true, Position: at(1, 40), Zone: "z3"}
	if allocations := testing.AllocsPerRun(100, func() { route.Choose(view, request) }); allocations != 0 {
		t.Errorf("%v allocations per decision, want 0", allocations)
	}
}

func BenchmarkChoose(b *testing.B) {
	view := view(nil)
	request := route.Request{ReadOnly: true, Position: at(1, 40), Zone: "z3"}
	b.ReportAllocs()
	for b.Loop() {
		route.Choose(view, request)
	}
}

// BenchmarkChooseLongHistory measures the worst case: a group with a full term history and a position in its first term.
func BenchmarkChooseLongHistory(b *testing.B) {
	view := view(nil)
	view.Starts = nil
	for term := range position.MaxHistoryTerms {
		view.Starts = append(view.Starts, at(ids.Term(term+1), 1000))
	}
	for index := range view.Servers {
		view.Servers[index].Replayed = at(position.MaxHistoryTerms, 2000)
	}
	request := route.Request{ReadOnly: true, Position: at(1, 40), Zone: "z3"}
	b.ReportAllocs()
	for b.Loop() {
		route.Choose(view, request)
	}
}
