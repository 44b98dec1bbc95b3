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

// Starter starts processes. The functions that it returns end them.
type Starter interface {
	// Start starts what the experiment describes, with contracts and keys.
	Start(ctx context.Context, described *experiment.Experiment) (*engine.Target, *fleet.Fleet, func(), error)
	// Fleet starts a fleet without contracts; the programs and the directory of the options are filled in.
	Fleet(ctx context.Context, options fleet.Options) (*fleet.Fleet, func(), error)
}

// Suite runs the measurements one after the other, each on a fleet of its own.
type Suite struct {
	starter Starter
	log     io.Writer
	report  *Report
}

// New returns a suite that writes its progress to the log.
func New(starter Starter, log io.Writer) *Suite { return &Suite{starter: starter, log: log} }

// step is one run of the suite.
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

// Run measures everything, or the steps whose names contain the text, until the context ends; what it did not reach is
// reported as not measured.
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

// play runs an experiment on a fleet of its own.
func (suite *Suite) play(ctx context.Context, described *experiment.Experiment) (*result.Result, *history.History, error) {
	target, _, end, err := suite.starter.Start(ctx, described)
	if err != nil {
		return nil, nil, err
	}
	defer end()
	return suite.playOn(ctx, described, target)
}

func (suite *Suite) playOn(ctx context.Context, described *experiment.Experiment, target *engine.Target) (*result.Result, *history.History, error) {
	measured, recorded, err := engine.Run(ctx, described, target, io.Discard)
	if err != nil {
		return nil, nil, fmt.Errorf("running %s: %w", described.Name, err)
	}
	if !measured.Complete {
		return nil, nil, fmt.Errorf("running %s: %w", described.Name, ctx.Err())
	}
	for _, note := range measured.Notes {
		suite.report.Notes = append(suite.report.Notes, described.Name+": "+note)
	}
	return measured, recorded, nil
}

// broken lists the guarantees that a run broke.
func broken(measured *result.Result, recorded *history.History) []string {
	var list []string
	for _, violation := range measured.Violations {
		list = append(list, fmt.Sprintf("%s, %s, session %d: %s", violation.Fault, violation.Organisation, violation.Session, violation.Detail))
	}
	for _, organisation := range measured.Experiment.Organisations {
		if excess := overAdmitted(recorded, organisation.Name, organisation.Contract.Rate, organisation.Contract.Burst); excess > 0 {
			list = append(list, fmt.Sprintf("%s: %.0f statements more than rate and burst were admitted", organisation.Name, excess))
		}
	}
	return list
}

// Commit returns the commit of the program, or else of the working directory.
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
