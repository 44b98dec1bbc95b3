package result

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"text/tabwriter"
)

// Measure is one figure of a result.
type Measure struct {
	Name  string
	Value float64
	Unit  string
	// Higher states that a higher value is better.
	Higher bool
}

// Measures returns the figures that results are compared by.
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

// Compare writes the measures of two results with these names side by side.
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

// verdict states which of two values is better.
func verdict(left, right Measure) string {
	switch {
	case left.Value == right.Value:
		return "equal"
	case left.Value < right.Value == left.Higher:
		return "better"
	}
	return "worse"
}
