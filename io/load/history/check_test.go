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

// Guards against counting refusals beyond the rate as wrongful, or more of them than the rate had room for.
func TestWithinRate(t *testing.T) {
	requests := []*Request{
		{Started: 0, Statements: 2},
		{Started: 0, Statements: 1, Reason: rateReason},                  // the burst of 2 is used up
		{Started: time.Second, Statements: 1, Reason: rateReason},        // 2 tokens came back
		{Started: time.Second, Statements: 2, Reason: rateReason},        // the other goes to the admitted statement
		{Started: 10 * time.Second, Statements: 5},                       // admitted although the burst is 2
		{Started: 11 * time.Second, Statements: 1, Reason: rateReason},   // still in debt
		{Started: 20 * time.Second, Statements: 3, Reason: "no_primary"}, // admitted
		{Started: 10 * time.Minute, Statements: 1, Reason: rateReason},   // full again
	}
	got := WithinRate(requests, 2, 2)
	if want := []bool{true, false, true, false, true, false, true, true}; !slices.Equal(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
}
