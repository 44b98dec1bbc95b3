package suite

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/exec"
	"runtime/debug"
	"strings"
	"time"

	"dotterelgw/io/load/engine"
	"dotterelgw/io/load/experiment"
	"dotterelgw/io/load/history"
	"dotterelgw/io/load/result"
	"dotterelgw/standin/fleet"
)

// Starter starts processes. The returned functions stop them.
type Starter interface {
	// Start starts the fleet of the experiment, with a contract and a key for each organisation.
	Start(ctx context.Context, spec *experiment.Experiment) (*engine.Target, *fleet.Fleet, func(), error)
	// Fleet starts a fleet without contracts. It sets the directories of the programs and files in the options.
	Fleet(ctx context.Context, options fleet.Options) (*fleet.Fleet, func(), error)
}

// Suite runs the measurements sequentially, each on a new fleet.
type Suite struct {
	starter Starter
	log     io.Writer
	report  *Report
}

// New returns a suite that writes its progress to log.
func New(starter Starter, log io.Writer) *Suite { return &Suite{starter: starter, log: log} }

// step is one measurement of the suite.
type step struct {
	name string
	run  func(context.Context, table) error
}

func (suite *Suite) steps() []step {
	return []step{
		{"seixal", suite.profile("seixal")},
		{"frissito", suite.profile("frissito")},
		{"failover", suite.failover},
		{"key withdrawal", suite.withdrawals},
		{"replica share", suite.replicaShares},
		{"neighbour", suite.neighbour},
		{"moving load", suite.movingLoad},
		{"proxy overhead", suite.overhead},
	}
}

// Run executes the steps whose names contain only; the empty string selects all. Steps that fail, or that have not started
// when the context ends, are reported as not measured.
func (suite *Suite) Run(ctx context.Context, only string) *Report {
	report := &Report{Commit: Commit(), Began: time.Now(), LoadBefore: LoadAverage()}
	suite.report = report
	for _, step := range suite.steps() {
		if !strings.Contains(step.name, only) {
			continue
		}
		table := table{report, step.name}
		fmt.Fprintf(suite.log, "%s: %s\n", time.Since(report.Began).Round(time.Second), step.name)
		err := ctx.Err()
		if err == nil {
			err = step.run(ctx, table)
		}
		if err != nil {
			fmt.Fprintf(suite.log, "%s: %s\n", step.name, err)
			first, _, _ := strings.Cut(err.Error(), "\n") // joined errors of many callers are alike
			table.add("all or the rest", "", first, notMeasured)
		}
	}
	report.Took, report.LoadAfter = time.Since(report.Began), LoadAverage()
	return report
}

// runOnNewFleet starts a fleet, runs the experiment on it and stops the fleet.
func (suite *Suite) runOnNewFleet(ctx context.Context, spec *experiment.Experiment) (*result.Result, *history.History, error) {
	target, _, end, err := suite.starter.Start(ctx, spec)
	if err != nil {
		return nil, nil, err
	}
	defer end()
	return suite.runOn(ctx, spec, target)
}

func (suite *Suite) runOn(ctx context.Context, spec *experiment.Experiment, target *engine.Target) (*result.Result, *history.History, error) {
	measured, recorded, err := engine.Run(ctx, spec, target, io.Discard)
	if err != nil {
		return nil, nil, fmt.Errorf("running %s: %w", spec.Name, err)
	}
	if !measured.Complete {
		return nil, nil, fmt.Errorf("running %s: %w", spec.Name, ctx.Err())
	}
	for _, note := range measured.Notes {
		suite.report.Notes = append(suite.report.Notes, spec.Name+": "+note)
	}
	return measured, recorded, nil
}

// brokenGuarantees returns the violations of a run, including admissions beyond rate and burst.
func brokenGuarantees(measured *result.Result, recorded *history.History) []string {
	var list []string
	for _, violation := range measured.Violations {
		list = append(list, fmt.Sprintf("%s, %s, session %d: %s", violation.Anomaly, violation.Organisation, violation.Session, violation.Detail))
	}
	for _, organisation := range measured.Experiment.Organisations {
		if excess := excessAdmitted(recorded, organisation.Name, organisation.Contract.Rate, organisation.Contract.Burst); excess > 0 {
			list = append(list, fmt.Sprintf("%s: %.0f statements more than rate and burst were admitted", organisation.Name, excess))
		}
	}
	return list
}

// Commit returns the commit of the program from its build information, or else the commit of the working directory.
func Commit() string {
	commit, modified := "", ""
	if build, ok := debug.ReadBuildInfo(); ok {
		for _, setting := range build.Settings {
			switch {
			case setting.Key == "vcs.revision":
				commit = setting.Value
			case setting.Key == "vcs.modified" && setting.Value == "true":
				modified = " with uncommitted changes"
			}
		}
	}
	if commit == "" {
		output, err := exec.Command("git", "rev-parse", "HEAD").Output()
		if err != nil {
			return "unknown"
		}
		commit = strings.TrimSpace(string(output))
	}
	return commit[:min(len(commit), 12)] + modified
}

// LoadAverage returns the load averages of the last 1, 5 and 15 minutes.
func LoadAverage() string {
	text, err := os.ReadFile("/proc/loadavg")
	fields := strings.Fields(string(text))
	if err != nil || len(fields) < 3 {
		return "unknown"
	}
	return strings.Join(fields[:3], " ")
}
