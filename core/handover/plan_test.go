package handover_test

import (
	"testing"
	"time"

	"dotterelgw/core/catalog"
	"dotterelgw/core/handover"
	"dotterelgw/core/ids"
	"dotterelgw/core/position"
)

const second = time.Second

func at(log ids.LogPosition) position.Position { return position.Position{Term: 1, Log: log} }

func leads(id ids.BackendServerID, log ids.LogPosition) handover.Member {
	return handover.Member{ID: id, Observed: true, Role: catalog.Leader, Registered: catalog.Leader, Term: 1, Received: at(log)}
}

func follows(id ids.BackendServerID, log ids.LogPosition) handover.Member {
	return handover.Member{ID: id, Observed: true, Role: catalog.Replica, Term: 1, Received: at(log)}
}

func silent(member handover.Member, since time.Duration) handover.Member {
	member.SilentFor = since
	return member
}

func leaving(member handover.Member) handover.Member {
	member.Leaving = true
	return member
}

func unknown(member handover.Member) handover.Member {
	member.Observed = false
	return member
}

// Each case is a reason to replace a primary, or one that only looks like it.
func TestJudge(t *testing.T) {
	for name, test := range map[string]struct {
		members []handover.Member
		want    handover.Reason
	}{
		"all well":                     {[]handover.Member{leads("a", 5), follows("b", 5), follows("c", 4)}, ""},
		"silent for long":              {[]handover.Member{silent(leads("a", 5), second), follows("b", 5)}, handover.Lost},
		"silent for a moment":          {[]handover.Member{silent(leads("a", 5), second/10), follows("b", 5)}, ""},
		"silent with nobody to follow": {[]handover.Member{silent(leads("a", 5), second), silent(follows("b", 5), second)}, ""},
		"registered as primary, never seen": {
			[]handover.Member{silent(unknown(leads("a", 0)), second), follows("b", 5)}, handover.Lost,
		},
		"leaving":                    {[]handover.Member{leaving(leads("a", 5)), follows("b", 5)}, handover.Leaving},
		"leaving with all others":    {[]handover.Member{leaving(leads("a", 5)), leaving(follows("b", 5))}, ""},
		"the replaced one is silent": {[]handover.Member{silent(leads("a", 5), second), {ID: "b", Observed: true, Role: catalog.Leader, Term: 2}}, ""},
	} {
		t.Run(name, func(t *testing.T) {
			var watch handover.Watch
			if got := watch.Judge(10*second, test.members); got != test.want {
				t.Errorf("reason %q, want %q", got, test.want)
			}
		})
	}
}

// Guards against a promotion at the start, when servers have not told their roles yet.
func TestAbsentPrimary(t *testing.T) {
	var watch handover.Watch
	members := []handover.Member{follows("b", 5), follows("c", 5)}
	if got := watch.Judge(10*second, members); got != "" {
		t.Errorf("at once: %q", got)
	}
	if got := watch.Judge(12*second, members); got != handover.Absent {
		t.Errorf("after 2 s: %q", got)
	}
	watch.Judge(13*second, append(members, leads("a", 5)))
	if got := watch.Judge(14*second, members); got != "" {
		t.Errorf("after a primary was seen: %q", got)
	}
}

// Pattern: a primary is cut off from its replicas only. Guards against a group that acknowledges no write for as long as
// the cut lasts, and against taking old observations for a cut.
func TestStuckPrimary(t *testing.T) {
	observed := func(member handover.Member, at time.Duration) handover.Member {
		member.ObservedAt = at
		return member
	}
	for name, test := range map[string]struct {
		then handover.Member
		want handover.Reason
	}{
		"the replica stays behind":      {observed(follows("b", 5), 12*second), handover.Stuck},
		"the replica caught up":         {observed(follows("b", 8), 12*second), ""},
		"the observation is an old one": {observed(follows("b", 5), 10*second), ""},
	} {
		t.Run(name, func(t *testing.T) {
			var watch handover.Watch
			watch.Judge(10*second, []handover.Member{observed(leads("a", 8), 10*second), observed(follows("b", 5), 10*second)})
			got := watch.Judge(12*second, []handover.Member{observed(leads("a", 9), 12*second), test.then})
			if got != test.want {
				t.Errorf("reason %q, want %q", got, test.want)
			}
		})
	}
}

// Each case that gives a successor must have every acknowledged write in its log.
func TestSuccessor(t *testing.T) {
	for name, test := range map[string]struct {
		fence handover.Fence
		want  ids.BackendServerID
	}{
		"the longest log of all others":            {handover.Fence{Others: []handover.Member{follows("b", 5), follows("c", 6)}}, "c"},
		"one that stays before one that leaves":    {handover.Fence{Others: []handover.Member{leaving(follows("b", 6)), follows("c", 6)}}, "c"},
		"the longest log even if it leaves":        {handover.Fence{Others: []handover.Member{leaving(follows("b", 7)), follows("c", 6)}}, "b"},
		"a silent replica may hold more":           {handover.Fence{Others: []handover.Member{follows("b", 5)}, Silent: 1}, ""},
		"a silent replica holds no more than this": {handover.Fence{Others: []handover.Member{follows("b", 5)}, Silent: 1, SteppedDown: true, Final: at(5)}, "b"},
		"a log shorter than the old primary's":     {handover.Fence{Others: []handover.Member{follows("b", 5)}, Silent: 1, SteppedDown: true, Final: at(6)}, ""},
		"nobody":                                   {handover.Fence{SteppedDown: true}, ""},
	} {
		t.Run(name, func(t *testing.T) {
			successor, ok := test.fence.Successor()
			if successor.ID != test.want || ok != (test.want != "") {
				t.Errorf("successor %q, %t, want %q", successor.ID, ok, test.want)
			}
		})
	}
}

// Guards against a pause being ended that keeps a replaced primary, which still reaches the server, from acknowledging
// writes, and against a group whose servers stay paused for a term that nobody leads.
func TestLeftPaused(t *testing.T) {
	paused := func(term ids.Term) handover.Member {
		member := follows("b", 5)
		member.Paused = term
		return member
	}
	for name, test := range map[string]struct {
		members []handover.Member
		want    ids.Term
	}{
		"for the primary's own term": {[]handover.Member{{ID: "a", Observed: true, Role: catalog.Leader, Term: 2}, paused(2)}, 0},
		"for a term without primary": {[]handover.Member{leads("a", 5), paused(2)}, 2},
		"without any primary":        {[]handover.Member{follows("a", 5), paused(2)}, 0},
		"none":                       {[]handover.Member{leads("a", 5), follows("b", 5)}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			if term, left := handover.LeftPaused(test.members); term != test.want || left != (test.want != 0) {
				t.Errorf("term %d, %t, want %d", term, left, test.want)
			}
		})
	}
}

// Guards against requests that wait for a primary beyond their time, and against a time to come back that is none.
func TestExpectedBack(t *testing.T) {
	const long = time.Hour
	for name, test := range map[string]struct {
		signs handover.Signs
		want  time.Duration
	}{
		"all well":                 {handover.Signs{SinceFence: long}, 0},
		"silent just now":          {handover.Signs{SilentFor: second / 10, SinceFence: long}, 1500 * time.Millisecond},
		"a little overdue":         {handover.Signs{SilentFor: 1700 * time.Millisecond, SinceFence: long}, 300 * time.Millisecond},
		"silent for long":          {handover.Signs{SilentFor: 5600 * time.Millisecond, SinceFence: long}, 2 * second},
		"fenced just now":          {handover.Signs{SilentFor: 5 * second}, 750 * time.Millisecond},
		"fenced long ago":          {handover.Signs{SinceFence: second}, 0},
		"planned handover":         {handover.Signs{SinceFence: second / 2}, 250 * time.Millisecond},
		"nobody can order one":     {handover.Signs{SilentFor: second, SinceFence: long, ServiceAge: 4 * second}, 3 * second},
		"the service is away only": {handover.Signs{SinceFence: long, ServiceAge: 4 * second}, 0},
	} {
		if got := handover.ExpectedBack(test.signs); got != test.want {
			t.Errorf("%s: %v, want %v", name, got, test.want)
		}
	}
}

// Pattern: a server has joined that the VMs do not know yet, and it alone received the last write. Guards against promoting
// one that lacks an acknowledged write. Found by a hunt (store_in_trouble, leiloes-retalhos, seed 127829578230).
func TestUnsafe(t *testing.T) {
	for name, test := range map[string]struct {
		findings handover.Findings
		want     string
	}{
		"holds the last write":         {handover.Findings{Acknowledged: at(5), Listed: true}, ""},
		"nothing acknowledged":         {handover.Findings{Listed: true}, ""},
		"lacks the last write":         {handover.Findings{Acknowledged: at(6), Listed: true}, "acknowledged_write_missing"},
		"a server joined":              {handover.Findings{Acknowledged: at(5), Listed: true, Joined: true}, "server_joined"},
		"who joined cannot be read":    {handover.Findings{Acknowledged: at(5)}, "registrations_unknown"},
		"a pause ended with a restart": {handover.Findings{Acknowledged: at(5), Listed: true, Unfenced: true}, "server_receives_again"},
	} {
		if got := (handover.Fence{}).Unsafe(follows("b", 5), test.findings); got != test.want {
			t.Errorf("%s: %q, want %q", name, got, test.want)
		}
	}
}

// Pattern: some of 295 VMs are slow, so that their last acknowledged writes are not known when a primary that steps down is replaced, and
// the replica that received its last write has left. Guards against a successor that lacks an acknowledged write, and against a group
// that stays without primary although the old one has everything.
func TestConfirm(t *testing.T) {
	stepped := handover.Fence{Old: leads("a", 4), SteppedDown: true, Final: at(6)}
	for name, test := range map[string]struct {
		fence    handover.Fence
		findings handover.Findings
		want     ids.BackendServerID
		cause    string
	}{
		"all VMs answered":                    {stepped, handover.Findings{Listed: true, Acknowledged: at(5)}, "b", ""},
		"a VM acknowledged more":              {stepped, handover.Findings{Listed: true, Acknowledged: at(6)}, "a", ""},
		"a VM did not answer":                 {stepped, handover.Findings{Listed: true, Acknowledged: at(5), Unanswered: 1}, "a", ""},
		"nothing is left to lack":             {handover.Fence{Old: leads("a", 4), SteppedDown: true, Final: at(5)}, handover.Findings{Listed: true, Unanswered: 9}, "b", ""},
		"the old primary is dark":             {handover.Fence{Old: leads("a", 4)}, handover.Findings{Listed: true, Unanswered: 9}, "b", ""},
		"the old primary is dark, write gone": {handover.Fence{Old: leads("a", 4)}, handover.Findings{Listed: true, Acknowledged: at(6)}, "b", "acknowledged_write_missing"},
		"a server joined":                     {stepped, handover.Findings{Listed: true, Joined: true, Unanswered: 1}, "b", "server_joined"},
	} {
		t.Run(name, func(t *testing.T) {
			successor, cause := test.fence.Confirm(follows("b", 5), test.findings)
			if successor.ID != test.want || cause != test.cause {
				t.Errorf("successor %q, cause %q; want %q, %q", successor.ID, cause, test.want, test.cause)
			}
			if test.want == "a" && successor.Received != test.fence.Final {
				t.Errorf("begins at %v, want %v", successor.Received, test.fence.Final)
			}
		})
	}
}

// Pattern: a primary crashes and comes back at its address under another identifier, in the term that it had. Guards against
// replacing it for the silence of the identifier that it had before.
func TestPrimaryUnderAnotherIdentifier(t *testing.T) {
	before, after := silent(leads("a", 5), second), leads("b", 5)
	before.ObservedAt, after.ObservedAt = 2*second, 9*second
	for _, members := range [][]handover.Member{{before, after, follows("c", 5)}, {after, before, follows("c", 5)}} {
		var watch handover.Watch
		if got := watch.Judge(10*second, members); got != "" {
			t.Errorf("reason %q, want none", got)
		}
	}
}
