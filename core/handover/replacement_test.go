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
	return handover.Member{ID: id, Observed: true, Role: catalog.RolePrimary, Registered: catalog.RolePrimary, Term: 1, Received: at(log)}
}

func follows(id ids.BackendServerID, log ids.LogPosition) handover.Member {
	return handover.Member{ID: id, Observed: true, Role: catalog.RoleReplica, Term: 1, Received: at(log)}
}

func silent(member handover.Member, since time.Duration) handover.Member {
	member.SilentFor = since
	return member
}

func leaving(member handover.Member) handover.Member {
	member.Leaving = true
	return member
}

func newer(member handover.Member) handover.Member {
	member.Term, member.Received.Term = 2, 2
	return member
}

func unknown(member handover.Member) handover.Member {
	member.Observed = false
	return member
}

// Guards against keeping a primary that must be replaced, and against replacing one that need not be.
func TestJudge(t *testing.T) {
	for name, test := range map[string]struct {
		members []handover.Member
		want    handover.Reason
	}{
		"healthy":                 {[]handover.Member{leads("a", 5), follows("b", 5), follows("c", 4)}, ""},
		"silent beyond the limit": {[]handover.Member{silent(leads("a", 5), second), follows("b", 5)}, handover.Lost},
		"silent below the limit":  {[]handover.Member{silent(leads("a", 5), second/10), follows("b", 5)}, ""},
		"no candidate responds":   {[]handover.Member{silent(leads("a", 5), second), silent(follows("b", 5), second)}, ""},
		"registered as primary, never observed": {
			[]handover.Member{silent(unknown(leads("a", 0)), second), follows("b", 5)}, handover.Lost,
		},
		"leaving":                 {[]handover.Member{leaving(leads("a", 5)), follows("b", 5)}, handover.Leaving},
		"all servers leaving":     {[]handover.Member{leaving(leads("a", 5)), leaving(follows("b", 5))}, ""},
		"replaced primary silent": {[]handover.Member{silent(leads("a", 5), second), {ID: "b", Observed: true, Role: catalog.RolePrimary, Term: 2}}, ""},
	} {
		t.Run(name, func(t *testing.T) {
			var failureDetector handover.FailureDetector
			if got := failureDetector.ReplacementReason(10*second, test.members); got != test.want {
				t.Errorf("reason %q, want %q", got, test.want)
			}
		})
	}
}

// Guards against a promotion at startup, before the servers have reported their roles.
func TestAbsentPrimary(t *testing.T) {
	var failureDetector handover.FailureDetector
	members := []handover.Member{follows("b", 5), follows("c", 5)}
	if got := failureDetector.ReplacementReason(10*second, members); got != "" {
		t.Errorf("reason at once: %q, want none", got)
	}
	if got := failureDetector.ReplacementReason(12*second, members); got != handover.Absent {
		t.Errorf("reason after 2 s: %q, want absent", got)
	}
	failureDetector.ReplacementReason(13*second, append(members, leads("a", 5)))
	if got := failureDetector.ReplacementReason(14*second, members); got != "" {
		t.Errorf("reason after a primary was observed: %q, want none", got)
	}
}

// Guards against trust in a primary that was cut off while another one was promoted: VMs rely on no primary of an earlier term than a replica
// knows, so the group would stay without one.
func TestOutdatedPrimary(t *testing.T) {
	for name, test := range map[string]struct {
		replica handover.Member
		newest  ids.Term
		want    handover.Reason
	}{
		"a replica knows of a newer term": {newer(follows("b", 5)), 1, handover.Absent},
		"only the VM knows of one":        {follows("b", 5), 2, handover.Absent},
		"no newer term":                   {follows("b", 5), 1, ""},
	} {
		t.Run(name, func(t *testing.T) {
			var failureDetector handover.FailureDetector
			failureDetector.RequireTerm(test.newest)
			members := []handover.Member{leads("a", 5), test.replica}
			if got := failureDetector.ReplacementReason(10*second, members); got != "" {
				t.Errorf("reason at once: %q, want none", got)
			}
			if got := failureDetector.ReplacementReason(12*second, members); got != test.want {
				t.Errorf("reason after 2 s: %q, want %q", got, test.want)
			}
		})
	}
}

// Guards against a group that acknowledges no writes while its primary is partitioned from its replicas only, and against
// mistaking outdated observations for such a partition.
func TestStuckPrimary(t *testing.T) {
	observed := func(member handover.Member, at time.Duration) handover.Member {
		member.ObservedAt = at
		return member
	}
	for name, test := range map[string]struct {
		replica handover.Member
		want    handover.Reason
	}{
		"replica still behind": {observed(follows("b", 5), 12*second), handover.Stuck},
		"replica caught up":    {observed(follows("b", 8), 12*second), ""},
		"outdated observation": {observed(follows("b", 5), 10*second), ""},
	} {
		t.Run(name, func(t *testing.T) {
			var failureDetector handover.FailureDetector
			failureDetector.ReplacementReason(10*second, []handover.Member{observed(leads("a", 8), 10*second), observed(follows("b", 5), 10*second)})
			got := failureDetector.ReplacementReason(12*second, []handover.Member{observed(leads("a", 9), 12*second), test.replica})
			if got != test.want {
				t.Errorf("reason %q, want %q", got, test.want)
			}
		})
	}
}

// Guards against choosing a successor whose log may lack an acknowledged write.
func TestSuccessor(t *testing.T) {
	for name, test := range map[string]struct {
		fenceResult handover.FenceResult
		want        ids.BackendServerID
	}{
		"longest log of all others":               {handover.FenceResult{Others: []handover.Member{follows("b", 5), follows("c", 6)}}, "c"},
		"staying preferred to leaving":            {handover.FenceResult{Others: []handover.Member{leaving(follows("b", 6)), follows("c", 6)}}, "c"},
		"longest log although leaving":            {handover.FenceResult{Others: []handover.Member{leaving(follows("b", 7)), follows("c", 6)}}, "b"},
		"only the old primary unheard":            {handover.FenceResult{Others: []handover.Member{follows("b", 5)}, Unheard: 1}, "b"},
		"unheard replica may have a longer log":   {handover.FenceResult{Others: []handover.Member{follows("b", 5)}, Unheard: 2}, ""},
		"unheard members are overdue":             {handover.FenceResult{Others: []handover.Member{follows("b", 5)}, Unheard: 2, Overdue: true}, "b"},
		"as long as the log of the old primary":   {handover.FenceResult{Others: []handover.Member{follows("b", 5)}, Unheard: 1, SteppedDown: true, Final: at(5)}, "b"},
		"shorter than the log of the old primary": {handover.FenceResult{Others: []handover.Member{follows("b", 5)}, Unheard: 1, SteppedDown: true, Final: at(6)}, ""},
		"no other servers":                        {handover.FenceResult{SteppedDown: true}, ""},
		"stepped down, two members unheard":       {handover.FenceResult{Others: []handover.Member{follows("b", 5)}, Unheard: 2, SteppedDown: true, Final: at(5)}, ""},
		"stepped down, replica of a newer term":   {handover.FenceResult{Others: []handover.Member{newer(follows("b", 5))}, Unheard: 2, SteppedDown: true, Final: at(6)}, ""},
		"stepped down, two members overdue":       {handover.FenceResult{Others: []handover.Member{follows("b", 5)}, Unheard: 2, Overdue: true, SteppedDown: true, Final: at(5)}, "b"},
		"overdue, shorter than the old primary's": {handover.FenceResult{Others: []handover.Member{follows("b", 5)}, Unheard: 2, Overdue: true, SteppedDown: true, Final: at(6)}, ""},
		"stepped down, all members heard":         {handover.FenceResult{Others: []handover.Member{follows("b", 5)}, SteppedDown: true, Final: at(6)}, "b"},
		"unlisted member as far":                  {handover.FenceResult{Others: []handover.Member{follows("b", 5)}, Unlisted: []handover.Member{follows("c", 5)}, Unheard: 1}, "b"},
		"unlisted member ahead":                   {handover.FenceResult{Others: []handover.Member{follows("b", 5)}, Unlisted: []handover.Member{follows("c", 6)}, Unheard: 1}, ""},
		"unlisted member ahead for long":          {handover.FenceResult{Others: []handover.Member{follows("b", 5)}, Unlisted: []handover.Member{follows("c", 6)}, Unheard: 1, Overdue: true}, "b"},
		"unlisted member as far as the old":       {handover.FenceResult{Others: []handover.Member{follows("b", 5)}, Unlisted: []handover.Member{follows("c", 6)}, SteppedDown: true, Final: at(6)}, "b"},
		"unlisted member ahead of the old":        {handover.FenceResult{Others: []handover.Member{follows("b", 5)}, Unlisted: []handover.Member{newer(follows("c", 5))}, SteppedDown: true, Final: at(6)}, ""},
	} {
		t.Run(name, func(t *testing.T) {
			successor, ok := test.fenceResult.Successor()
			if successor.ID != test.want || ok != (test.want != "") {
				t.Errorf("successor %q, %t, want %q", successor.ID, ok, test.want)
			}
		})
	}
}

// Guards against a group that loses its primary because nobody may be promoted in its place, and against a primary that is never replaced
// because members are lost for good.
func TestMayStepDown(t *testing.T) {
	for name, test := range map[string]struct {
		silentMembers int
		overdue, want bool
	}{
		"all members respond": {0, false, true},
		"one does not":        {1, false, true},
		"two do not":          {2, false, false},
		"two are overdue":     {2, true, true},
	} {
		if got := handover.MayStepDown(test.silentMembers, test.overdue); got != test.want {
			t.Errorf("%s: %t, want %t", name, got, test.want)
		}
	}
}

// Guards against ending a pause that keeps a replaced primary, which still reaches the server, from acknowledging writes,
// and against servers that stay paused for a term without a primary.
func TestLeftPaused(t *testing.T) {
	paused := func(term ids.Term) handover.Member {
		member := follows("b", 5)
		member.PausedTerm = term
		return member
	}
	for name, test := range map[string]struct {
		members []handover.Member
		want    ids.Term
	}{
		"primary's own term":     {[]handover.Member{{ID: "a", Observed: true, Role: catalog.RolePrimary, Term: 2}, paused(2)}, 0},
		"term without a primary": {[]handover.Member{leads("a", 5), paused(2)}, 2},
		"no primary at all":      {[]handover.Member{follows("a", 5), paused(2)}, 0},
		"no server paused":       {[]handover.Member{leads("a", 5), follows("b", 5)}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			if term, found := handover.OrphanedPause(test.members); term != test.want || found != (test.want != 0) {
				t.Errorf("term %d, found %t, want %d", term, found, test.want)
			}
		})
	}
}

// Guards against estimates that make requests wait for a primary beyond their deadline, and against an estimate of 0 while
// the primary is being replaced.
func TestExpectedBack(t *testing.T) {
	const longAgo = time.Hour
	for name, test := range map[string]struct {
		primaryState handover.PrimaryState
		want         time.Duration
	}{
		"healthy":                       {handover.PrimaryState{SinceFence: longAgo}, 0},
		"silent just now":               {handover.PrimaryState{SilentFor: second / 10, SinceFence: longAgo}, 1500 * time.Millisecond},
		"slightly overdue":              {handover.PrimaryState{SilentFor: 1700 * time.Millisecond, SinceFence: longAgo}, 300 * time.Millisecond},
		"long overdue":                  {handover.PrimaryState{SilentFor: 5600 * time.Millisecond, SinceFence: longAgo}, 2 * second},
		"fenced just now":               {handover.PrimaryState{SilentFor: 5 * second}, 750 * time.Millisecond},
		"fenced long ago":               {handover.PrimaryState{SinceFence: second}, 0},
		"planned handover":              {handover.PrimaryState{SinceFence: second / 2}, 250 * time.Millisecond},
		"silent, service unreachable":   {handover.PrimaryState{SilentFor: second, SinceFence: longAgo, ServiceAge: 4 * second}, 3 * second},
		"responds, service unreachable": {handover.PrimaryState{SinceFence: longAgo, ServiceAge: 4 * second}, 0},
	} {
		if got := handover.RecoveryEstimate(test.primaryState); got != test.want {
			t.Errorf("%s: %v, want %v", name, got, test.want)
		}
	}
}

// Guards against promoting a server that lacks an acknowledged write. It happens when only a server that has just joined,
// and that the VMs do not know yet, received the last write. Found by a randomised run (store_in_trouble,
// leiloes-retalhos, seed 127829578230).
func TestUnsafe(t *testing.T) {
	for name, test := range map[string]struct {
		safetyChecks handover.SafetyChecks
		want         string
	}{
		"has the last write":       {handover.SafetyChecks{Acknowledged: at(5), Listed: true}, ""},
		"nothing acknowledged":     {handover.SafetyChecks{Listed: true}, ""},
		"lacks the last write":     {handover.SafetyChecks{Acknowledged: at(6), Listed: true}, "acknowledged_write_missing"},
		"server joined":            {handover.SafetyChecks{Acknowledged: at(5), Listed: true, Joined: true}, "server_joined"},
		"registrations not read":   {handover.SafetyChecks{Acknowledged: at(5)}, "registrations_unknown"},
		"pause ended by a restart": {handover.SafetyChecks{Acknowledged: at(5), Listed: true, Unfenced: true}, "server_receives_again"},
	} {
		if got := (handover.FenceResult{}).UnsafeReason(follows("b", 5), test.safetyChecks); got != test.want {
			t.Errorf("%s: %q, want %q", name, got, test.want)
		}
	}
}

// Guards against a successor that lacks an acknowledged write, and against a group that stays without a primary although the
// old one has all writes. It happens when the primary steps down, the replica with its last write has left, and some of
// 295 VMs are so slow that their last acknowledged writes are unknown.
func TestConfirm(t *testing.T) {
	stepped := handover.FenceResult{Old: leads("a", 4), SteppedDown: true, Final: at(6)}
	for name, test := range map[string]struct {
		fenceResult  handover.FenceResult
		safetyChecks handover.SafetyChecks
		want         ids.BackendServerID
		cause        string
	}{
		"all VMs responded":                   {stepped, handover.SafetyChecks{Listed: true, Acknowledged: at(5)}, "b", ""},
		"successor lacks a write":             {stepped, handover.SafetyChecks{Listed: true, Acknowledged: at(6)}, "a", ""},
		"one VM did not respond":              {stepped, handover.SafetyChecks{Listed: true, Acknowledged: at(5), Unanswered: 1}, "a", ""},
		"successor has the whole log":         {handover.FenceResult{Old: leads("a", 4), SteppedDown: true, Final: at(5)}, handover.SafetyChecks{Listed: true, Unanswered: 9}, "b", ""},
		"old primary unreachable":             {handover.FenceResult{Old: leads("a", 4)}, handover.SafetyChecks{Listed: true, Unanswered: 9}, "b", ""},
		"old primary unreachable, write lost": {handover.FenceResult{Old: leads("a", 4)}, handover.SafetyChecks{Listed: true, Acknowledged: at(6)}, "b", "acknowledged_write_missing"},
		"old primary lacks the write as well": {stepped, handover.SafetyChecks{Listed: true, Acknowledged: position.Position{Term: 2, Log: 6}}, "b", "acknowledged_write_missing"},
		"server joined":                       {stepped, handover.SafetyChecks{Listed: true, Joined: true, Unanswered: 1}, "b", "server_joined"},
		"overdue, serves other VMs":           {handover.FenceResult{Old: leads("a", 4), Overdue: true}, handover.SafetyChecks{Listed: true, Served: true}, "b", "primary_serves_others"},
		"overdue, serves nobody":              {handover.FenceResult{Old: leads("a", 4), Overdue: true}, handover.SafetyChecks{Listed: true}, "b", ""},
		"not overdue, served until now":       {handover.FenceResult{Old: leads("a", 4)}, handover.SafetyChecks{Listed: true, Served: true}, "b", ""},
	} {
		t.Run(name, func(t *testing.T) {
			successor, cause := test.fenceResult.Confirm(follows("b", 5), test.safetyChecks)
			if successor.ID != test.want || cause != test.cause {
				t.Errorf("successor %q, cause %q; want %q, %q", successor.ID, cause, test.want, test.cause)
			}
			if test.want == "a" && successor.Received != test.fenceResult.Final {
				t.Errorf("successor's log ends at %v, want %v", successor.Received, test.fenceResult.Final)
			}
		})
	}
}

// Guards against replacing a primary because its previous identifier is silent. It happens when a primary crashes and
// restarts at its address under another identifier in the same term.
func TestPrimaryUnderAnotherIdentifier(t *testing.T) {
	before, after := silent(leads("a", 5), second), leads("b", 5)
	before.ObservedAt, after.ObservedAt = 2*second, 9*second
	for _, members := range [][]handover.Member{{before, after, follows("c", 5)}, {after, before, follows("c", 5)}} {
		var failureDetector handover.FailureDetector
		if got := failureDetector.ReplacementReason(10*second, members); got != "" {
			t.Errorf("reason %q, want none", got)
		}
	}
}
