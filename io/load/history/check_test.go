package history

import (
	"slices"
	"testing"
	"time"

	"dotterelgw/io/load/schedule"
)

// sound returns a history without a violation: a write, a read, a transaction, a refused and an unknown write.
func sound() *History {
	return &History{
		Requests: []Request{
			{Organisation: "a", Session: 1, Kind: schedule.Write, Outcome: OK, Sequence: 1, Rows: []int64{11}},
			{Organisation: "a", Session: 1, Kind: schedule.Read, Outcome: OK, Seen: 1},
			{Organisation: "a", Session: 2, Kind: schedule.Transaction, Outcome: OK, Sequence: 1, Rows: []int64{21, 22}},
			{Organisation: "a", Session: 1, Kind: schedule.Write, Outcome: Refused, Sequence: 2, Rows: []int64{12}},
			{Organisation: "a", Session: 1, Kind: schedule.Transaction, Outcome: Unknown, Sequence: 3, Rows: []int64{13, 14}},
			{Organisation: "a", Session: 1, Kind: schedule.Read, Outcome: OK, Seen: 3},
		},
		Contents: map[string]map[int64]int{"a": {11: 1, 21: 1, 22: 1, 13: 1, 14: 1}},
	}
}

// Guards against a checker that passes a broken history or reports a sound one.
func TestCheck(t *testing.T) {
	cases := map[string]struct {
		damage func(*History)
		want   []Fault
	}{
		"sound":           {func(*History) {}, nil},
		"stale read":      {func(history *History) { history.Requests[1].Seen = 0 }, []Fault{StaleRead}},
		"stale accepted":  {func(history *History) { history.Requests[1].Seen = 0; history.Stale = map[string]bool{"a": true} }, nil},
		"foreign read":    {func(history *History) { history.Requests[1].Seen = 2 }, []Fault{ForeignRead}},
		"failed read":     {func(history *History) { history.Requests[1].Seen, history.Requests[1].Outcome = 0, Failed }, nil},
		"lost write":      {func(history *History) { delete(history.Contents["a"], 11) }, []Fault{LostWrite}},
		"half lost":       {func(history *History) { delete(history.Contents["a"], 22) }, []Fault{LostWrite}},
		"repeated":        {func(history *History) { history.Contents["a"][11] = 2 }, []Fault{RepeatedWrite}},
		"unknown, twice":  {func(history *History) { history.Contents["a"][13] = 2 }, []Fault{RepeatedWrite}},
		"refused but run": {func(history *History) { history.Contents["a"][12] = 1 }, []Fault{FalseRefusal}},
		"torn":            {func(history *History) { delete(history.Contents["a"], 14) }, []Fault{TornTransaction}},
		"unknown absent":  {func(history *History) { delete(history.Contents["a"], 13); delete(history.Contents["a"], 14) }, nil},
		"unknown row":     {func(history *History) { history.Contents["a"][99] = 1 }, []Fault{UnknownRow}},
		"not verified":    {func(history *History) { history.Contents = nil }, []Fault{Unverified}},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			history := sound()
			test.damage(history)
			var got []Fault
			for _, violation := range Check(history) {
				got = append(got, violation.Fault)
			}
			if !slices.Equal(got, test.want) {
				t.Errorf("got %v, want %v", Check(history), test.want)
			}
		})
	}
}

// Guards against counting refusals beyond the rate as wrongful, or within it as justified.
func TestWithinRate(t *testing.T) {
	var requests []*Request
	for _, at := range []time.Duration{0, 0, 0, 500 * time.Millisecond, 10 * time.Second, 10 * time.Second} {
		requests = append(requests, &Request{Started: at, Statements: 1})
	}
	requests[4].Statements = 2
	got := WithinRate(requests, 2, 2)
	if want := []bool{true, true, false, true, true, false}; !slices.Equal(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
}
