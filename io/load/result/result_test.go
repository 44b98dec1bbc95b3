package result

import (
	"path/filepath"
	"strings"
	"testing"
	"time"

	"dotterelgw/io/load/experiment"
	"dotterelgw/io/load/history"
	"dotterelgw/io/load/schedule"
)

const second = time.Second

// testRun returns an experiment and its history. The organisation "slow" has late responses, "greedy" exceeds its rate,
// and a primary is lost between 2 s and 5 s.
func testRun() (*experiment.Experiment, *history.History) {
	spec := &experiment.Experiment{
		Name: "test", Duration: experiment.Duration(10 * second), Warmup: experiment.Duration(second),
		Objective: experiment.Duration(100 * time.Millisecond),
		Organisations: []experiment.Organisation{
			{Name: "slow", Group: "g1", Contract: experiment.Contract{Rate: 100, Burst: 100}},
			{Name: "greedy", Group: "g2", Contract: experiment.Contract{Rate: 1, Burst: 1}},
		},
	}
	recorded := &history.History{RowCounts: map[string]map[int64]int{"slow": {1: 1, 2: 1, 3: 1}}}
	add := func(organisation string, kind schedule.Kind, at, latency time.Duration, outcome history.Outcome, reason string, rows ...int64) {
		recorded.Requests = append(recorded.Requests, history.Request{
			Organisation: organisation, Kind: kind, Intended: at, Started: at, Finished: at + latency, Outcome: outcome, Reason: reason,
			Statements: 1, Sequence: int64(len(rows)), Rows: rows,
		})
	}
	add("slow", schedule.Write, 0, second/20, history.OK, "", 1) // warm-up
	add("slow", schedule.Write, 2*second, second/20, history.OK, "", 2)
	add("slow", schedule.Write, 3*second, 2*second, history.OK, "", 3)
	add("greedy", schedule.Read, 2*second, second/20, history.OK, "")
	add("greedy", schedule.Read, 2*second, 0, history.Refused, "rate_exceeded") // beyond the rate
	add("greedy", schedule.Read, 6*second, 0, history.Refused, "rate_exceeded") // within the rate
	return spec, recorded
}

// Guards against measures that include the warm-up, omit the time for which requests waited, or count rightful refusals as
// wrongful.
func TestSummarise(t *testing.T) {
	spec, recorded := testRun()
	result := Summarise(spec, recorded, time.Unix(0, 0))
	slow, greedy := result.Organisations[0], result.Organisations[1]
	if slow.Requests != 2 || slow.ServiceLevel != 0.5 || slow.Writes.Max < 1990 || result.Total.Requests != 5 {
		t.Errorf("slow: %+v", slow)
	}
	if greedy.RefusedForRate != 2 || greedy.WronglyRefused != 1 || greedy.RefusedWithinRate != 1 || greedy.ServiceLevel != 0.5 {
		t.Errorf("greedy: %+v", greedy)
	}
	if len(result.Violations) != 0 || result.Reasons["no answer rate_exceeded (refused)"] != 2 {
		t.Errorf("violations %v, reasons %v", result.Violations, result.Reasons)
	}
	if result.Seconds[3].P99MS != 2000 || result.Seconds[2].Refused != 1 {
		t.Errorf("seconds %+v", result.Seconds)
	}
}

// Guards against failover gaps that ended before the failure, belong to another group or count as recovered without a
// write.
func TestGap(t *testing.T) {
	_, recorded := testRun()
	gap, recovered := LongestWriteGap(recorded, map[string]bool{"slow": true}, 2500*time.Millisecond, 10*second)
	if gap != 2950*time.Millisecond || !recovered {
		t.Errorf("gap %s, %v", gap, recovered)
	}
	if gap, recovered = LongestWriteGap(recorded, map[string]bool{"slow": true}, 6*second, 10*second); gap != 5*second || recovered {
		t.Errorf("without recovery: gap %s, %v", gap, recovered)
	}
	if _, recovered = LongestWriteGap(recorded, map[string]bool{"greedy": true}, 0, 10*second); recovered {
		t.Error("reads count as writes")
	}
}

// Guards against results that lose figures when they are stored, and against inverted verdicts.
func TestSaveAndCompare(t *testing.T) {
	spec, recorded := testRun()
	left := Summarise(spec, recorded, time.Unix(0, 0))
	left.Replica = NewReplicaShare(80, 20, 100)
	file := filepath.Join(t.TempDir(), "result.json")
	if err := left.Save(file); err != nil {
		t.Fatal(err)
	}
	right, err := Read(file)
	if err != nil {
		t.Fatal(err)
	}
	right.Replica.Share, right.Total.Writes.P99 = 0.9, 9999
	var text strings.Builder
	if err := Compare(&text, "a.json", left, "b.json", right); err != nil {
		t.Fatal(err)
	}
	for name, want := range map[string]string{"served by replicas": "better", "write p99 ": "worse", "read p50": "equal"} {
		for line := range strings.Lines(text.String()) {
			if strings.Contains(line, name) && !strings.Contains(line, want) {
				t.Errorf("%q lacks %q", line, want)
			}
		}
	}
}
