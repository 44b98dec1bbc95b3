package result

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"text/tabwriter"
)

// Measure is one figure of a result, such as a latency percentile.
type Measure struct {
	Name  string
	Value float64
	Unit  string
	// HigherIsBetter decides which of two values Compare calls better.
	HigherIsBetter bool
}

// Measures returns the figures by which results are compared, always in the same order.
func (result *Result) Measures() []Measure {
	worst := 0.0
	for _, organisation := range result.Organisations {
		if organisation.Name == result.WorstServed {
			worst = organisation.ServiceLevel
		}
	}
	gap := 0.0
	for _, failure := range result.Failures {
		gap = math.Max(gap, failure.GapMS)
	}
	measures := []Measure{
		{"violations", float64(len(result.Violations)), "", false},
		{"reads served by replicas", percent(result.Replica.Share), "%", true},
		{"longest failover gap", gap, "ms", false},
		{"worst-served organisation", percent(worst), "%", true},
		{"refused within the rate", percent(share(result.Total.RefusedWithinRate, result.Total.Requests)), "%", false},
		{"refused for the rate within it", percent(result.Total.WrongfulShare()), "%", false},
		{"acknowledged", percent(share(result.Total.OK, result.Total.Requests)), "%", true},
		{"unknown outcome", percent(share(result.Total.Unknown, result.Total.Requests)), "%", false},
	}
	for _, part := range []struct {
		name    string
		latency Latency
	}{{"read", result.Total.Reads}, {"write", result.Total.Writes}} {
		measures = append(measures,
			Measure{part.name + " p50", part.latency.P50, "ms", false},
			Measure{part.name + " p99", part.latency.P99, "ms", false},
			Measure{part.name + " p99.9", part.latency.P999, "ms", false},
		)
	}
	return measures
}

func percent(share float64) float64 { return 100 * share }

// Compare writes a table with the measures of two results side by side, and a note if their experiments differ.
func Compare(writer io.Writer, leftName string, left *Result, rightName string, right *Result) error {
	table := tabwriter.NewWriter(writer, 0, 8, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(table, "measure\t%s\t%s\tchange\t\t\n", leftName, rightName)
	others := right.Measures()
	for index, measure := range left.Measures() {
		other := others[index]
		fmt.Fprintf(table, "%s\t%.3f %s\t%.3f %s\t%+.3f\t%s\t\n",
			measure.Name, measure.Value, measure.Unit, other.Value, other.Unit, other.Value-measure.Value, verdict(measure, other))
	}
	if err := table.Flush(); err != nil {
		return fmt.Errorf("writing the comparison: %w", err)
	}
	one, errOne := json.Marshal(left.Experiment)
	other, errOther := json.Marshal(right.Experiment)
	if errOne != nil || errOther != nil || !bytes.Equal(one, other) {
		fmt.Fprintln(writer, "The experiments differ.")
	}
	return nil
}

// verdict tells whether the right value is better than, worse than or equal to the left one.
func verdict(left, right Measure) string {
	switch {
	case left.Value == right.Value:
		return "equal"
	case left.Value < right.Value == left.HigherIsBetter:
		return "better"
	}
	return "worse"
}
