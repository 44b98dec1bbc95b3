package history

import (
	"slices"
	"testing"
	"time"

	"dotterelgw/io/load/schedule"
)

// validHistory returns a history without violations. It contains a write, a read, a transaction, a refused write and a
// write with an unknown outcome.
func validHistory() *History {
	return &History{
		Requests: []Request{
			{Organisation: "a", Session: 1, Kind: schedule.Write, Outcome: OK, Sequence: 1, Rows: []int64{11}},
			{Organisation: "a", Session: 1, Kind: schedule.Read, Outcome: OK, Seen: 1},
			{Organisation: "a", Session: 2, Kind: schedule.Transaction, Outcome: OK, Sequence: 1, Rows: []int64{21, 22}},
			{Organisation: "a", Session: 1, Kind: schedule.Write, Outcome: Refused, Sequence: 2, Rows: []int64{12}},
			{Organisation: "a", Session: 1, Kind: schedule.Transaction, Outcome: Unknown, Sequence: 3, Rows: []int64{13, 14}},
			{Organisation: "a", Session: 1, Kind: schedule.Read, Outcome: OK, Seen: 3},
		},
		RowCounts: map[string]map[int64]int{"a": {11: 1, 21: 1, 22: 1, 13: 1, 14: 1}},
	}
}

// Guards against violations that the checker misses, and against violations reported for a valid history.
func TestCheck(t *testing.T) {
	cases := map[string]struct {
		modify func(*History)
		want   []Anomaly
	}{
		"sound":           {func(*History) {}, nil},
		"stale read":      {func(history *History) { history.Requests[1].Seen = 0 }, []Anomaly{StaleRead}},
		"stale accepted":  {func(history *History) { history.Requests[1].Seen = 0; history.AllowStale = map[string]bool{"a": true} }, nil},
		"foreign read":    {func(history *History) { history.Requests[1].Seen = 2 }, []Anomaly{ForeignRead}},
		"failed read":     {func(history *History) { history.Requests[1].Seen, history.Requests[1].Outcome = 0, Failed }, nil},
		"lost write":      {func(history *History) { delete(history.RowCounts["a"], 11) }, []Anomaly{LostWrite}},
		"half lost":       {func(history *History) { delete(history.RowCounts["a"], 22) }, []Anomaly{LostWrite}},
		"repeated":        {func(history *History) { history.RowCounts["a"][11] = 2 }, []Anomaly{RepeatedWrite}},
		"unknown, twice":  {func(history *History) { history.RowCounts["a"][13] = 2 }, []Anomaly{RepeatedWrite}},
		"refused but run": {func(history *History) { history.RowCounts["a"][12] = 1 }, []Anomaly{FalseRefusal}},
		"torn":            {func(history *History) { delete(history.RowCounts["a"], 14) }, []Anomaly{TornTransaction}},
		"unknown absent":  {func(history *History) { delete(history.RowCounts["a"], 13); delete(history.RowCounts["a"], 14) }, nil},
		"unknown row":     {func(history *History) { history.RowCounts["a"][99] = 1 }, []Anomaly{UnknownRow}},
		"not verified":    {func(history *History) { history.RowCounts = nil }, []Anomaly{Unverified}},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			history := validHistory()
			test.modify(history)
			var got []Anomaly
			for _, violation := range Check(history) {
				got = append(got, violation.Anomaly)
			}
			if !slices.Equal(got, test.want) {
				t.Errorf("got %v, want %v", Check(history), test.want)
			}
		})
	}
}

// Guards against counting refusals beyond the rate as wrongful, and against counting more wrongful refusals than requests
// that the rate would have allowed.
func TestWithinRate(t *testing.T) {
	requests := []*Request{
		{Started: 0, Statements: 2},
		{Started: 0, Statements: 1, Reason: rateReason},                  // the burst of 2 is exhausted
		{Started: time.Second, Statements: 1, Reason: rateReason},        // 2 tokens were added
		{Started: time.Second, Statements: 2, Reason: rateReason},        // the admitted statement takes the second token
		{Started: 10 * time.Second, Statements: 5},                       // all 5 were admitted although the burst is 2
		{Started: 11 * time.Second, Statements: 1, Reason: rateReason},   // the balance is still negative
		{Started: 20 * time.Second, Statements: 3, Reason: "no_primary"}, // admitted
		{Started: 10 * time.Minute, Statements: 1, Reason: rateReason},   // the bucket is full again
	}
	got := WithinRate(requests, 2, 2)
	if want := []bool{true, false, true, false, true, false, true, true}; !slices.Equal(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
}
