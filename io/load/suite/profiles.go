package suite

import (
	"context"
	"fmt"
	"time"

	"dotterelgw/io/load/experiment"
	"dotterelgw/io/load/result"
)

// The targets of design section 1.3.
const (
	gapTarget          = 3 * time.Second
	withdrawalTarget   = 5 * time.Second
	wrongfulEven       = 0.001
	wrongfulMoving     = 0.01
	neighbourService   = 0.995
	neighbourP99       = 1.5
	overheadMedian     = 100 * time.Microsecond
	overheadP99        = time.Millisecond
	statementsTarget   = 25000
	shareAtProfileLag  = 0.9
	profileLag         = 50 // milliseconds
	profileDuration    = 25 * time.Second
	profileWarmup      = 3 * time.Second
	profileFailureAt   = 12 * time.Second
	profileFailureEnds = 20 * time.Second
	// The organisation that exceeds its rate does so before the primary fails.
	excessFrom  = 5 * time.Second
	excessUntil = 10 * time.Second
)

func seconds(duration time.Duration) experiment.Duration { return experiment.Duration(duration) }

// load returns a profile with another length and without failures.
func load(name string, duration, warmup time.Duration) (*experiment.Experiment, error) {
	described, err := experiment.Load(name)
	if err != nil {
		return nil, err
	}
	described.Duration, described.Warmup, described.Failures = seconds(duration), seconds(warmup), nil
	return described, nil
}

// profile measures a user's profile with a failure of a primary.
func (suite *Suite) profile(name string) func(context.Context, table) error {
	return func(ctx context.Context, table table) error {
		described, err := experiment.Load(name)
		if err != nil {
			return err
		}
		described.Duration, described.Warmup = seconds(profileDuration), seconds(profileWarmup)
		described.Failures = described.Failures[:1]
		described.Failures[0].At, described.Failures[0].Until = seconds(profileFailureAt), seconds(profileFailureEnds)
		for index := range described.Organisations {
			if phases := described.Organisations[index].Phases; len(phases) == 2 {
				phases[0].At, phases[1].At = seconds(excessFrom), seconds(excessUntil)
			}
		}
		measured, recorded, err := suite.play(ctx, described)
		if err != nil {
			return err
		}
		suite.measures(table, measured)
		table.violate(broken(measured, recorded))
		return nil
	}
}

// measures adds the users' measures of a run.
func (suite *Suite) measures(table table, measured *result.Result) {
	addShare(table, fmt.Sprintf("reads served by replicas (lag %d ms, with the failure)", profileLag), shareAtProfileLag, measured)
	for _, failure := range measured.Failures {
		switch {
		case !failure.Happened:
			table.add("failover gap", "≤ "+gapTarget.String(), failure.Error, notMeasured)
		case !failure.Recovered:
			table.add("failover gap", "≤ "+gapTarget.String(), "not recovered", notMet)
		default:
			table.within("failover gap ("+failure.What+")", gapTarget, time.Duration(failure.GapMS*float64(time.Millisecond)))
		}
	}
	for _, organisation := range measured.Organisations {
		if organisation.Name == measured.WorstServed {
			table.note("service level of the worst-served organisation ("+organisation.Name+")", percent(organisation.ServiceLevel))
		}
	}
	table.most("refused for the rate although within it", wrongfulEven, measured.Total.WrongfulShare())
	table.note("refused for any reason although within the rate", fmt.Sprintf("%d of %d", measured.Total.RefusedWithinRate, measured.Total.Requests))
	table.note("read latency p50 / p99", latency(measured.Total.Reads))
	table.note("write latency p50 / p99", latency(measured.Total.Writes))
}

func latency(measured result.Latency) string {
	return milliseconds(measured.P50) + " / " + milliseconds(measured.P99)
}

func addShare(table table, measure string, target float64, measured *result.Result) {
	if !measured.Replica.Measured {
		table.add(measure, "≥ "+percent(target), "no counters", notMeasured)
		return
	}
	table.least(measure, target, measured.Replica.Share)
}
