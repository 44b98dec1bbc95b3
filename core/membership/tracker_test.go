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
}

func (state state) server(now time.Duration) membership.Server {
	id, restarted := strings.CutSuffix(state.id, "!")
	member := server(ids.BackendServerID(id), 1, "host-"+id)
	if restarted {
		member.StartedMS = 2
	}
	term := max(state.term, 1)
	return membership.Server{
		Member: member, Renewed: state.renewed, Observed: !state.unknown, Silent: state.silent, Primary: state.primary, Term: term,
		Received: position.Position{Term: term, Log: state.log}, ObservedAt: now,
	}
}

func primary(log ids.LogPosition) state            { return state{id: "a", primary: true, log: log} }
func replica(id string, log ids.LogPosition) state { return state{id: id, log: log} }

// newPrimary returns a primary of the term after that of the others.
func newPrimary(id string, log ids.LogPosition) state {
	return state{id: id, primary: true, term: 2, log: log}
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
		"nothing changes":               {[][]state{start, start}, "a b c"},
		"gone, another replica current": {[][]state{start, {primary(6), replica("b", 6)}, {primary(7), replica("b", 7)}}, "a b"},
		"gone, compared before the log moved on": {
			[][]state{start, {primary(5), replica("b", 5)}, {primary(8), replica("b", 7)}, {primary(9), replica("b", 8)}}, "a b",
		},
		"gone, the other replica receives nothing": {
			[][]state{start, {primary(9), replica("b", 5)}, {primary(9), replica("b", 5)}, {primary(9), replica("b", 5)}}, "a b c",
		},
		"gone as primary of a newer term, compared with the old one": {
			[][]state{start, {primary(5), replica("b", 5), newPrimary("c", 9)}, {primary(6), replica("b", 6)}, {primary(7), replica("b", 7)}}, "a b c",
		},
		"compared with a primary before its newer one was known": {
			[][]state{
				start,
				{primary(5), replica("b", 4)},
				{primary(5), replica("b", 4)},
				{primary(6), replica("b", 4), newPrimary("d", 9)},
				{primary(6), replica("b", 6)},
			}, "a b c d",
		},
		"gone as primary, replaced by one of a later term": {
			[][]state{
				start,
				{primary(5), replica("b", 5), newPrimary("c", 9)},
				{primary(6), {id: "b", primary: true, term: 3, log: 10}},
				{{id: "a", term: 3, log: 10}, {id: "b", primary: true, term: 3, log: 10}},
			}, "a b",
		},
		"gone together with the primary": {[][]state{start, {replica("b", 5)}, {replica("b", 5)}}, "a b c"},
		"silent, but still registered": {
			[][]state{start, {primary(6), replica("b", 6), mute(replica("c", 5))}, {primary(7), replica("b", 7), mute(replica("c", 5))}}, "a b c",
		},
		"silent and compared, gone after the primary": {
			[][]state{
				start,
				{primary(6), replica("b", 6), mute(replica("c", 5))},
				{primary(7), replica("b", 7), mute(replica("c", 5))},
				{mute(primary(7)), replica("b", 7), mute(replica("c", 5))},
				{mute(primary(7)), replica("b", 7)},
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
				{mute(primary(9)), replica("b", 7)},
			}, "a b c",
		},
		"silent, compared, then gone while the other receives nothing": {
			[][]state{
				start,
				{primary(6), replica("b", 6), mute(replica("c", 5))},
				{primary(7), replica("b", 7), mute(replica("c", 5))},
				{primary(9), replica("b", 7)},
				{primary(9), replica("b", 7)},
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
				{primary(6), replica("b", 6), replica("c", 6)},
				{primary(7), replica("b", 7), replica("c", 7)},
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
