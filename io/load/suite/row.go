package suite

import (
	"fmt"
	"strings"
	"time"
)

// The verdicts on a row.
const (
	met         = "met"
	notMet      = "**not met**"
	noTarget    = "no target"
	notMeasured = "not measured"
)

// Row is one measured figure and its target.
type Row struct {
	// Experiment and Measure name what was measured in which run.
	Experiment, Measure string
	// Target and Measured are texts with units.
	Target, Measured string
	// Verdict is "met", "not met", "no target" or "not measured".
	Verdict string
}

// Report is the outcome of a suite.
type Report struct {
	// Commit is the commit of the programs; Began and Took are the time of the run.
	Commit string
	Began  time.Time
	Took   time.Duration
	// LoadBefore and LoadAfter are the load averages of the machine.
	LoadBefore, LoadAfter string
	// Rows holds the figures in the order of measurement.
	Rows []Row
	// Violations lists broken guarantees.
	Violations []string
	// Notes states what was left out of a figure.
	Notes []string
}

// maxListed bounds the violations that a report lists.
const maxListed = 20

// Markdown returns the report.
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

// judge returns the verdict for a condition.
func judge(holds bool) string {
	if holds {
		return met
	}
	return notMet
}

func percent(share float64) string { return fmt.Sprintf("%.2f %%", 100*share) }

func milliseconds(value float64) string { return fmt.Sprintf("%.1f ms", value) }

// table collects the rows of one run.
type table struct {
	*Report
	experiment string
}

func (table table) add(measure, target, measured, verdict string) {
	table.Rows = append(table.Rows, Row{table.experiment, measure, target, measured, verdict})
}

// least adds a row with a share that must reach the target.
func (table table) least(measure string, target, measured float64) {
	table.add(measure, "≥ "+percent(target), percent(measured), judge(measured >= target))
}

// most adds a row with a share that must not exceed the target.
func (table table) most(measure string, target, measured float64) {
	table.add(measure, "≤ "+percent(target), percent(measured), judge(measured <= target))
}

// within adds a row with a duration that must not exceed the target.
func (table table) within(measure string, target, measured time.Duration) {
	table.add(measure, "≤ "+target.String(), measured.Round(time.Millisecond).String(), judge(measured <= target))
}

// note adds a row without a target.
func (table table) note(measure, measured string) { table.add(measure, "", measured, noTarget) }

// violate adds violations and the row that counts them.
func (table table) violate(violations []string) {
	for _, violation := range violations {
		table.Violations = append(table.Violations, table.experiment+": "+violation)
	}
	table.add("violations", "0", fmt.Sprint(len(violations)), judge(len(violations) == 0))
}
