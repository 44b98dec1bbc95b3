package membership_test

import (
	"strings"
	"testing"
	"time"

	"dotterelgw/core/ids"
	"dotterelgw/core/membership"
	"dotterelgw/core/position"
)

// state is the state of a server in a step of a test.
type state struct {
	// id is the identifier; "a!" is its second process.
	id      string
	primary bool
	log     ids.LogPosition
	// term is the term of its log and the highest that it knows; 0 stands for 1.
	term ids.Term
	// silent and unknown state that it does not answer, and that it never has.
	silent, unknown bool
	// renewed states that it renews its registration.
	renewed bool
	// unlisted states that it is not registered, ended that nothing of its process is left at its address.
	unlisted, ended bool
}

func (state state) server(now time.Duration) membership.Server {
	id, restarted := strings.CutSuffix(state.id, "!")
	member := server(ids.BackendServerID(id), 1, "host-"+id)
	if restarted {
		member.StartedMS = 2
	}
	term := max(state.term, 1)
	return membership.Server{
		Member: member, Unlisted: state.unlisted || state.ended, Ended: state.ended, EndedAt: now, Renewed: state.renewed, Observed: !state.unknown, Silent: state.silent, Primary: state.primary, Term: term,
		Received: position.Position{Term: term, Log: state.log}, ObservedAt: now,
	}
}

func primary(log ids.LogPosition) state            { return state{id: "a", primary: true, log: log} }
func replica(id string, log ids.LogPosition) state { return state{id: id, log: log} }

// newPrimary returns a primary of the term after that of the others.
func newPrimary(id string, log ids.LogPosition) state {
	return state{id: id, primary: true, term: 2, log: log}
}

// gone returns the member of the identifier as one that is not registered and whose process has ended.
func gone(id string) state { return state{id: id, silent: true, ended: true} }

func unlisted(server state) state {
	server.unlisted = true
	return server
}

func mute(server state) state {
	server.silent = true
	return server
}

// Guards against a member that leaves the record while it may be the only replica with an acknowledged write, and against one that stays
// for ever.
func TestMembersLeave(t *testing.T) {
	start := []state{primary(5), replica("b", 5), replica("c", 5)}
	for name, test := range map[string]struct {
		steps [][]state
		want  string
	}{
		"nothing changes": {[][]state{start, start}, "a b c"},
		"gone, another replica current": {
			[][]state{start, {primary(6), replica("b", 6), gone("c")}, {primary(7), replica("b", 7), gone("c")}}, "a b",
		},
		"gone, compared before the log moved on": {
			[][]state{
				start,
				{primary(5), replica("b", 5), gone("c")},
				{primary(8), replica("b", 7), gone("c")},
				{primary(9), replica("b", 8), gone("c")},
			}, "a b",
		},
		"gone, the other replica receives nothing": {
			[][]state{
				start,
				{primary(9), replica("b", 5), gone("c")},
				{primary(9), replica("b", 5), gone("c")},
				{primary(9), replica("b", 5), gone("c")},
			}, "a b c",
		},
		"gone as primary of a newer term, compared with the old one": {
			[][]state{
				start,
				{primary(5), replica("b", 5), newPrimary("c", 9)},
				{primary(6), replica("b", 6), gone("c")},
				{primary(7), replica("b", 7), gone("c")},
			}, "a b c",
		},
		"compared with a primary before its newer one was known": {
			[][]state{
				start,
				{primary(5), replica("b", 4), gone("c")},
				{primary(5), replica("b", 4), gone("c")},
				{primary(6), replica("b", 4), gone("c"), newPrimary("d", 9)},
				{primary(6), replica("b", 6), gone("c"), gone("d")},
			}, "a b c d",
		},
		"gone as primary, replaced by one of a later term": {
			[][]state{
				start,
				{primary(5), replica("b", 5), newPrimary("c", 9)},
				{primary(6), {id: "b", primary: true, term: 3, log: 10}, gone("c")},
				{{id: "a", term: 3, log: 10}, {id: "b", primary: true, term: 3, log: 10}, gone("c")},
			}, "a b",
		},
		"gone together with the primary": {
			[][]state{start, {gone("a"), replica("b", 5), gone("c")}, {gone("a"), replica("b", 5), gone("c")}}, "a b c",
		},
		"silent, but still registered": {
			[][]state{start, {primary(6), replica("b", 6), mute(replica("c", 5))}, {primary(7), replica("b", 7), mute(replica("c", 5))}}, "a b c",
		},
		"not registered, but answers": {
			[][]state{
				start,
				{primary(6), replica("b", 6), unlisted(replica("c", 6))},
				{primary(7), replica("b", 7), unlisted(replica("c", 7))},
				{primary(8), replica("b", 8), unlisted(replica("c", 8))},
			}, "a b c",
		},
		"not registered and silent": {
			[][]state{
				start,
				{primary(6), replica("b", 6), unlisted(mute(replica("c", 5)))},
				{primary(7), replica("b", 7), unlisted(mute(replica("c", 5)))},
				{primary(8), replica("b", 8), unlisted(mute(replica("c", 5)))},
			}, "a b c",
		},
		"not registered, its process not yet asked": {
			[][]state{start, {primary(6), replica("b", 6)}, {primary(7), replica("b", 7)}, {primary(8), replica("b", 8)}}, "a b c",
		},
		"not registered, answered until it was gone": {
			[][]state{
				start,
				{primary(6), replica("b", 6), unlisted(replica("c", 6))},
				{primary(7), replica("b", 7), gone("c")},
				{primary(8), replica("b", 8), gone("c")},
			}, "a b",
		},
		"not registered, helped to acknowledge until it was gone": {
			[][]state{
				start,
				{primary(6), replica("b", 6), unlisted(replica("c", 6))},
				{primary(9), replica("b", 6), unlisted(replica("c", 9))},
				{primary(9), replica("b", 6), gone("c")},
				{primary(9), replica("b", 8), gone("c")},
			}, "a b c",
		},
		"silent and compared, gone after the primary": {
			[][]state{
				start,
				{primary(6), replica("b", 6), mute(replica("c", 5))},
				{primary(7), replica("b", 7), mute(replica("c", 5))},
				{mute(primary(7)), replica("b", 7), mute(replica("c", 5))},
				{mute(primary(7)), replica("b", 7), gone("c")},
			}, "a b",
		},
		// c is silent to this VM only and helps the primary to acknowledge up to 9, b receives nothing more; then c and the primary go.
		"silent and compared, the log moved on, gone after the primary": {
			[][]state{
				start,
				{primary(6), replica("b", 6), mute(replica("c", 5))},
				{primary(7), replica("b", 7), mute(replica("c", 5))},
				{primary(9), replica("b", 7), mute(replica("c", 5))},
				{mute(primary(9)), replica("b", 7), mute(replica("c", 5))},
				{mute(primary(9)), replica("b", 7), gone("c")},
			}, "a b c",
		},
		"silent, compared, then gone while the other receives nothing": {
			[][]state{
				start,
				{primary(6), replica("b", 6), mute(replica("c", 5))},
				{primary(7), replica("b", 7), mute(replica("c", 5))},
				{primary(9), replica("b", 7), gone("c")},
				{primary(9), replica("b", 7), gone("c")},
			}, "a b c",
		},
		"restarted under its id": {
			[][]state{start, {primary(6), replica("b", 6), replica("c!", 0)}, {primary(7), replica("b", 7), replica("c!", 0)}}, "a b c!",
		},
		"new server": {[][]state{start, append([]state{replica("d", 0)}, start...)}, "a b c d"},
		"never answered, but renews its registration": {
			[][]state{start, append([]state{{id: "d", unknown: true, silent: true, renewed: true}}, start...)}, "a b c d",
		},
		"never answered, renewed and then gone": {
			[][]state{
				append([]state{{id: "d", unknown: true, silent: true, renewed: true}}, start...),
				{primary(6), replica("b", 6), replica("c", 6), gone("d")},
				{primary(7), replica("b", 7), replica("c", 7), gone("d")},
			}, "a b c",
		},
		"entry that never answered": {[][]state{start, append([]state{{id: "d", unknown: true, silent: true}}, start...)}, "a b c"},
	} {
		t.Run(name, func(t *testing.T) {
			tracker := membership.NewTracker(membership.Record{})
			for number, step := range test.steps {
				now := time.Duration(number+1) * time.Second
				var servers []membership.Server
				for _, state := range step {
					servers = append(servers, state.server(now))
				}
				tracker.Update(now, servers)
			}
			var names []string
			for _, member := range tracker.Record().Members {
				name := string(member.ID)
				if member.StartedMS == 2 {
					name += "!"
				}
				names = append(names, name)
			}
			if got := strings.Join(names, " "); got != test.want {
				t.Errorf("members %s, want %s", got, test.want)
			}
		})
	}
}

// Guards against a record that counts as complete although members that are not known may be the only ones with an acknowledged write,
// and against one that stays incomplete for ever.
func TestIncompleteRecord(t *testing.T) {
	both := []state{primary(5), replica("b", 5)}
	for name, test := range map[string]struct {
		steps [][]state
		// stored states that a record is read before the steps.
		stored bool
		want   bool
	}{
		"nothing known":               {nil, false, false},
		"record read later":           {nil, true, true},
		"primary and replica":         {[][]state{both}, false, true},
		"replica lags":                {[][]state{{primary(5), replica("b", 4)}, {primary(7), replica("b", 5)}}, false, true},
		"replica receives nothing":    {[][]state{{primary(5), replica("b", 4)}, {primary(7), replica("b", 4)}}, false, false},
		"replica silent":              {[][]state{{primary(5), mute(replica("b", 5))}}, false, false},
		"primary alone":               {[][]state{{primary(5)}, {primary(6)}}, false, false},
		"primary silent":              {[][]state{{mute(primary(5)), replica("b", 5), replica("c", 5)}}, false, false},
		"replicas only":               {[][]state{{replica("b", 5), replica("c", 5)}}, false, false},
		"primary lost after complete": {[][]state{both, {mute(primary(5)), replica("b", 5)}}, false, true},
	} {
		t.Run(name, func(t *testing.T) {
			tracker := membership.NewTracker(membership.Record{})
			tracker.MarkIncomplete(0)
			if test.stored {
				tracker.Add(membership.Record{Members: []membership.Member{server("a", 1, "host-a")}})
			}
			for number, step := range test.steps {
				now := time.Duration(number+1) * time.Second
				var servers []membership.Server
				for _, state := range step {
					servers = append(servers, state.server(now))
				}
				tracker.Update(now, servers)
			}
			if got := !tracker.Record().Incomplete; got != test.want {
				t.Errorf("complete: %t, want %t", got, test.want)
			}
		})
	}
}

// Guards against answers from before the record was found to be missing: the primary may have acknowledged writes since.
func TestIncompleteRecordNeedsLaterAnswers(t *testing.T) {
	tracker := membership.NewTracker(membership.Record{})
	tracker.MarkIncomplete(2 * time.Second)
	servers := []membership.Server{primary(5).server(time.Second), replica("b", 5).server(time.Second)}
	if record := tracker.Update(3*time.Second, servers); !record.Incomplete {
		t.Error("complete by earlier answers")
	}
}

// Guards against a member that is dropped although it may still help to acknowledge, and against one that stays for ever: without a
// registration and without an answer it counts as lost after a time, with one it never does.
func TestSilentMemberIsLostAfterAWhile(t *testing.T) {
	for name, test := range map[string]struct {
		server func(state) state
		want   int
	}{
		"not registered": {unlisted, 2},
		"registered":     {func(state state) state { return state }, 3},
	} {
		t.Run(name, func(t *testing.T) {
			tracker := membership.NewTracker(membership.Record{})
			tracker.Update(0, []membership.Server{primary(5).server(0), replica("b", 5).server(0), replica("c", 5).server(0)})
			for now := time.Second; now < membership.SilenceTimeout+5*time.Second; now += time.Second {
				log := ids.LogPosition(5 + now/time.Second)
				silent := test.server(mute(replica("c", 5))).server(now)
				members := tracker.Update(now, []membership.Server{primary(log).server(now), replica("b", log).server(now), silent}).Members
				if now <= membership.SilenceTimeout && len(members) != 3 {
					t.Fatalf("%d members after %v", len(members), now)
				}
			}
			if members := tracker.Record().Members; len(members) != test.want {
				t.Errorf("%d members in the end, want %d", len(members), test.want)
			}
		})
	}
}

// Guards against a member that is dropped at once as silent for long, by a holder of the duty that counts the time since an earlier turn.
func TestAbsenceCountsAnewInEachTurn(t *testing.T) {
	tracker := membership.NewTracker(membership.Record{})
	tracker.Update(0, []membership.Server{primary(5).server(0), replica("b", 5).server(0), replica("c", 5).server(0)})
	silent := func(now time.Duration, log ids.LogPosition) []membership.Member {
		servers := []membership.Server{primary(log).server(now), replica("b", log).server(now), unlisted(mute(replica("c", 5))).server(now)}
		return tracker.Update(now, servers).Members
	}
	silent(time.Second, 6)
	silent(2*time.Second, 7)
	stored := tracker.Record()
	// Another VM holds the duty in between.
	const taken = time.Minute
	tracker.MarkIncomplete(taken)
	tracker.Add(stored)
	if members := silent(taken+time.Second, 8); len(members) != 3 {
		t.Errorf("%d members in the new turn, want 3", len(members))
	}
	silent(taken+2*time.Second, 9)
	if members := silent(taken+3*time.Second, 10); len(members) != 3 {
		t.Errorf("%d members a moment later, want 3", len(members))
	}
}

// Guards against a member that is never dropped, as its end is found at the very moment at which the primary is lost: what it may have
// acknowledged was compared with an answer of the primary that came after its end. Also guards against an earlier answer that counts.
func TestEndFoundAsThePrimaryIsLost(t *testing.T) {
	for name, test := range map[string]struct {
		endedAt time.Duration
		want    int
	}{
		"ended before the last answer": {1500 * time.Millisecond, 2},
		"ended after it":               {2500 * time.Millisecond, 3},
	} {
		t.Run(name, func(t *testing.T) {
			tracker := membership.NewTracker(membership.Record{})
			tracker.Update(0, []membership.Server{primary(5).server(0), replica("b", 5).server(0), replica("c", 5).server(0)})
			const answered = 2 * time.Second
			servers := []membership.Server{primary(6).server(answered), replica("b", 6).server(answered), unlisted(mute(replica("c", 5))).server(answered)}
			tracker.Update(answered, servers)
			// The primary has crashed, but is not known to be silent.
			servers[2] = gone("c").server(answered)
			servers[2].EndedAt = test.endedAt
			tracker.Update(3*time.Second, servers)
			servers[0].Silent = true
			if members := tracker.Update(4*time.Second, servers).Members; len(members) != test.want {
				t.Errorf("%d members, want %d", len(members), test.want)
			}
		})
	}
}
