package suite

import (
	"fmt"
	"strings"
	"time"
)

// The verdicts of a row.
const (
	met         = "met"
	notMet      = "**not met**"
	noTarget    = "no target"
	notMeasured = "not measured"
)

// Row is one measured figure and its target.
type Row struct {
	// Experiment names the run, Measure the figure.
	Experiment, Measure string
	// Target and Measured are texts with units.
	Target, Measured string
	// Verdict is "met", "not met", "no target" or "not measured".
	Verdict string
}

// Report is the outcome of a suite.
type Report struct {
	// Commit is the commit of the programs. Began is the start of the suite, Took its duration.
	Commit string
	Began  time.Time
	Took   time.Duration
	// LoadBefore and LoadAfter are the load averages of the machine at the start and at the end.
	LoadBefore, LoadAfter string
	// Rows holds the figures in the order of measurement.
	Rows []Row
	// Violations lists the broken guarantees.
	Violations []string
	// Notes lists what was excluded from figures and why.
	Notes []string
}

// maxListed bounds the number of violations in a report.
const maxListed = 20

// Markdown returns the report as Markdown.
func (report *Report) Markdown() string {
	var text strings.Builder
	text.WriteString("# Measured comparison\n\n")
	fmt.Fprintf(&text, "Commit %s, began %s, took %s. Load average of the machine %s at the beginning, %s at the end;\n",
		report.Commit, report.Began.Format(time.RFC3339), report.Took.Round(time.Second), report.LoadBefore, report.LoadAfter)
	text.WriteString("other work on the machine raises latencies and gaps. Targets are those of design section 1.3.\n\n")
	text.WriteString("| run | measure | target | measured | verdict |\n|---|---|---:|---:|---|\n")
	for _, row := range report.Rows {
		fmt.Fprintf(&text, "| %s | %s | %s | %s | %s |\n", row.Experiment, row.Measure, row.Target, row.Measured, row.Verdict)
	}
	fmt.Fprintf(&text, "\n## Violations\n\n")
	if len(report.Violations) == 0 {
		text.WriteString("None: no stale read, no lost or doubled acknowledged write, never more than rate and burst, no withdrawn key\n" +
			"accepted after the bound, in the runs that were measured.\n")
	}
	for index, violation := range report.Violations {
		if index == maxListed {
			fmt.Fprintf(&text, "- and %d more\n", len(report.Violations)-index)
			break
		}
		fmt.Fprintf(&text, "- %s\n", violation)
	}
	if len(report.Notes) > 0 {
		text.WriteString("\n## Notes\n\n")
		for _, note := range report.Notes {
			fmt.Fprintf(&text, "- %s\n", note)
		}
	}
	return text.String()
}

// verdictOf returns met if the target is reached, else notMet.
func verdictOf(holds bool) string {
	if holds {
		return met
	}
	return notMet
}

func formatPercent(share float64) string { return fmt.Sprintf("%.2f %%", 100*share) }

func formatMilliseconds(value float64) string { return fmt.Sprintf("%.1f ms", value) }

// table adds the rows of one run to the report.
type table struct {
	*Report
	experiment string
}

func (table table) add(measure, target, measured, verdict string) {
	table.Rows = append(table.Rows, Row{table.experiment, measure, target, measured, verdict})
}

// addAtLeast adds a row with a share that must not be below the target.
func (table table) addAtLeast(measure string, target, measured float64) {
	table.add(measure, "≥ "+formatPercent(target), formatPercent(measured), verdictOf(measured >= target))
}

// addAtMost adds a row with a share that must not exceed the target.
func (table table) addAtMost(measure string, target, measured float64) {
	table.add(measure, "≤ "+formatPercent(target), formatPercent(measured), verdictOf(measured <= target))
}

// addMaxDuration adds a row with a duration that must not exceed the target.
func (table table) addMaxDuration(measure string, target, measured time.Duration) {
	table.add(measure, "≤ "+target.String(), measured.Round(time.Millisecond).String(), verdictOf(measured <= target))
}

// addInfo adds a row without a target.
func (table table) addInfo(measure, measured string) { table.add(measure, "", measured, noTarget) }

// addViolations adds violations to the report, and a row with their number.
func (table table) addViolations(violations []string) {
	for _, violation := range violations {
		table.Violations = append(table.Violations, table.experiment+": "+violation)
	}
	table.add("violations", "0", fmt.Sprint(len(violations)), verdictOf(len(violations) == 0))
}
