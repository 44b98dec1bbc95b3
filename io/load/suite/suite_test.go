package suite

import (
	"strings"
	"testing"
	"time"

	"dotterelgw/io/load/experiment"
	"dotterelgw/io/load/history"
	"dotterelgw/io/load/result"
)

// Guards against an excess over rate and burst that is missed, and against one that is reported although the statements may
// have been admitted outside the interval.
func TestOverAdmitted(t *testing.T) {
	requests := func(count int, sent, answered time.Duration) []history.Request {
		list := make([]history.Request, count)
		for index := range list {
			list[index] = history.Request{Organisation: "a", Started: sent, Finished: answered, Outcome: history.OK, Statements: 1}
		}
		return list
	}
	cases := map[string]struct {
		requests []history.Request
		want     float64
	}{
		"burst":           {requests(10, 0, 0), 0},
		"beyond burst":    {requests(13, 0, 0), 3},
		"rate and burst":  {append(requests(10, 0, 0), requests(5, time.Second, time.Second)...), 0},
		"later excess":    {append(requests(1, 0, 0), requests(17, 9*time.Second, 10*time.Second)...), 2},
		"long in flight":  {requests(15, 0, time.Second), 0},
		"refused counted": {append(requests(10, 0, 0), history.Request{Organisation: "a", Reason: "rate_exceeded", Statements: 4}), 3},
		"others":          {append(requests(10, 0, 0), history.Request{Organisation: "b", Outcome: history.OK, Statements: 9}), 0},
	}
	for name, test := range cases {
		got := excessAdmitted(&history.History{Requests: test.requests}, "a", 5, 10)
		if got < test.want-0.01 || got > test.want {
			t.Errorf("%s: got %.2f, want %.0f", name, got, test.want)
		}
	}
}

// Guards against failures of one group that overlap, and against failures missing in the schedule.
func TestFailoverExperiment(t *testing.T) {
	spec := failoverExperiment()
	last := map[string]time.Duration{}
	count := map[string]int{}
	for _, failure := range spec.Failures {
		at, until := time.Duration(failure.At), max(time.Duration(failure.At), time.Duration(failure.Until))
		if at < last[failure.Group]+promotionThreshold {
			t.Errorf("%s at %s follows what ended at %s", failure.Group, at, last[failure.Group])
		}
		if failure.Action == "pause" && (until-at < minStall || until-at >= maxStall) {
			t.Errorf("a stall of %s", until-at)
		}
		last[failure.Group] = until
		count[failure.Action]++
		if until+timeAfterCuts > time.Duration(spec.Duration) {
			t.Errorf("the failure at %s ends too late", at)
		}
	}
	if count["pause"] != stalls || count["kill"]+count[""] != cuts {
		t.Errorf("failures: %v", count)
	}
}

// Guards against counting a stall that a busy machine prolonged or a promotion outside a stall, and against reporting a
// missed target as met.
func TestRowsOfFailures(t *testing.T) {
	report := &Report{}
	suite := &Suite{report: report}
	began := time.Unix(1000, 0)
	failures := []result.Failure{
		{What: "pause", Group: "g1", Happened: true, At: 1, Until: 1.5},
		{What: "pause", Group: "g2", Happened: true, At: 1, Until: 2.5},
		{What: "kill", Group: "g1", Happened: true, Recovered: true, At: 9, GapMS: 3100},
	}
	promotions := []promotion{{"g1", 2, began.Add(2 * time.Second)}, {"g2", 2, began.Add(2 * time.Second)}, {"g1", 3, began.Add(10 * time.Second)}}
	table := table{report, "failover"}
	suite.addGapRows(table, failures)
	suite.addStallRows(table, failures, began, promotions)
	table.addViolations([]string{"stale_read"})
	text := report.Markdown()
	for _, want := range []string{
		"maximum | ≤ 3s | 3.1s | **not met** |", "caused by 1 stalls of 300ms to 900ms | 0 | 1 | **not met** |",
		"| violations | 0 | 1 | **not met** |", "- failover: stale_read", "does not count",
	} {
		if !strings.Contains(text, want) {
			t.Errorf("the report lacks %q:\n%s", want, text)
		}
	}
}

// Guards against a moving load that stays far below the rate, which would hide wrongful refusals.
func TestMovingLoadUsesTheRate(t *testing.T) {
	spec, err := experiment.Load("seixal")
	if err != nil {
		t.Fatal(err)
	}
	spec.Organisations[0].Contract.Rate = movingRate
	if got := rateUsage(spec); got != "load is 79 % of the rate" {
		t.Error(got)
	}
}
