package report

import (
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"dotterelgw/io/load/result"
)

// maxViolations bounds the number of violations in a report. The JSON result contains all of them.
const maxViolations = 20

// Write writes the report to the file, and the plot to a file of the same name with the extension .svg.
func Write(file string, measured *result.Result) error {
	plot := strings.TrimSuffix(file, filepath.Ext(file)) + ".svg"
	if err := os.WriteFile(plot, []byte(Plot(measured)), 0o600); err != nil {
		return fmt.Errorf("writing the plot: %w", err)
	}
	if err := os.WriteFile(file, []byte(Markdown(measured, filepath.Base(plot))), 0o600); err != nil {
		return fmt.Errorf("writing the report: %w", err)
	}
	return nil
}

// Markdown returns the report, which refers to the plot by its file name.
func Markdown(measured *result.Result, plot string) string {
	var text strings.Builder
	spec := measured.Experiment
	fmt.Fprintf(&text, "# Load run %s\n\n", spec.Name)
	fmt.Fprintf(&text, "Began %s, seed %d, %s of load, the first %s not measured; objective %s, protocol %s.\n",
		measured.Began, spec.Seed, time.Duration(spec.Duration), time.Duration(spec.Warmup),
		time.Duration(spec.Objective), spec.Protocol)
	if measured.Commit != "" {
		fmt.Fprintf(&text, "Commit %s, load average of the machine at the start: %s.\n", measured.Commit, measured.LoadAverage)
	}
	if fleet := spec.Fleet; fleet != nil {
		fmt.Fprintf(&text, "Fleet: %d proxies, %d groups of 3 servers with %d slots and %d connections each, %d zones, lag %d ms.\n",
			fleet.VMs, fleet.Groups, fleet.Slots, fleet.Connections, len(fleet.Zones), fleet.LagMS)
	}
	if !measured.Complete {
		text.WriteString("\n**The run was interrupted; the figures are those of a part of it.**\n")
	}
	fmt.Fprintf(&text, "\n![course of the run](%s)\n\n## Measures\n\n| measure | value |\n|---|---:|\n", plot)
	for _, measure := range measured.Measures() {
		if measure.Name == "reads served by replicas" && !measured.Replica.Measured {
			fmt.Fprintf(&text, "| %s | not measured |\n", measure.Name)
			continue
		}
		value := strings.TrimSpace(fmt.Sprintf("%.3f %s", measure.Value, measure.Unit))
		if measure.Unit == "" {
			value = fmt.Sprintf("%.0f", measure.Value)
		}
		if measure.Name == "worst-served organisation" && measured.WorstServed != "" {
			value += " (" + measured.WorstServed + ")"
		}
		fmt.Fprintf(&text, "| %s | %s |\n", measure.Name, value)
	}
	writeOrganisations(&text, measured)
	writeFailures(&text, measured)
	if len(measured.Reasons) > 0 {
		text.WriteString("\n## Requests that were not acknowledged\n\n| reason | count |\n|---|---:|\n")
		for _, reason := range slices.Sorted(maps.Keys(measured.Reasons)) {
			fmt.Fprintf(&text, "| %s | %d |\n", reason, measured.Reasons[reason])
		}
	}
	writeViolations(&text, measured)
	if len(measured.Notes) > 0 {
		text.WriteString("\n## Notes\n\n")
		for _, note := range measured.Notes {
			fmt.Fprintf(&text, "- %s\n", note)
		}
	}
	return text.String()
}

func writeOrganisations(text *strings.Builder, measured *result.Result) {
	text.WriteString("\n## Organisations\n\nLatencies in ms from the intended start of each request.\n\n")
	text.WriteString("| organisation | requests | ok | refused | failed | unknown | refused within rate | service level | read p50 | read p99 | write p50 | write p99 |\n")
	text.WriteString("|---|---:|---:|---:|---:|---:|---:|---:|---:|---:|---:|---:|\n")
	for _, organisation := range append([]result.Organisation{measured.Total}, measured.Organisations...) {
		fmt.Fprintf(text, "| %s | %d | %d | %d | %d | %d | %d | %.2f %% | %.1f | %.1f | %.1f | %.1f |\n",
			organisation.Name, organisation.Requests, organisation.OK, organisation.Refused, organisation.Failed, organisation.Unknown, organisation.RefusedWithinRate, 100*organisation.ServiceLevel,
			organisation.Reads.P50, organisation.Reads.P99, organisation.Writes.P50, organisation.Writes.P99)
	}
}

func writeFailures(text *strings.Builder, measured *result.Result) {
	if len(measured.Failures) == 0 {
		return
	}
	text.WriteString("\n## Failures\n\n| at | until | target | what | gap without acknowledged write |\n|---:|---:|---|---|---:|\n")
	for _, failure := range measured.Failures {
		target := failure.Target
		if failure.Server != "" && failure.Server != target {
			target += " (" + failure.Server + ")"
		}
		gap := ""
		if failure.Group != "" && failure.Happened {
			gap = fmt.Sprintf("%.0f ms", failure.GapMS)
			if !failure.Recovered {
				gap += ", not recovered"
			}
		}
		what := failure.What
		if failure.Error != "" {
			what += ": " + failure.Error
		}
		until := ""
		if failure.Until > 0 {
			until = fmt.Sprintf("%.1f s", failure.Until)
		}
		fmt.Fprintf(text, "| %.1f s | %s | %s | %s | %s |\n", failure.At, until, target, what, gap)
	}
}

func writeViolations(text *strings.Builder, measured *result.Result) {
	fmt.Fprintf(text, "\n## Violations\n\n")
	if len(measured.Violations) == 0 {
		text.WriteString("None: each session read its own acknowledged writes, and each acknowledged write is present exactly once.\n")
		return
	}
	for _, anomaly := range slices.Sorted(maps.Keys(measured.ViolationCount)) {
		fmt.Fprintf(text, "- %s: %d\n", anomaly, measured.ViolationCount[anomaly])
	}
	text.WriteString("\n")
	for index, violation := range measured.Violations {
		if index == maxViolations {
			fmt.Fprintf(text, "- and %d more\n", len(measured.Violations)-index)
			break
		}
		fmt.Fprintf(text, "- %s, %s, session %d: %s\n", violation.Anomaly, violation.Organisation, violation.Session, violation.Detail)
	}
}
