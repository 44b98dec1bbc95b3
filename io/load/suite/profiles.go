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
	gapTarget              = 3 * time.Second
	withdrawalTarget       = 5 * time.Second
	maxWrongfulShare       = 0.001
	maxWrongfulShareMoving = 0.01
	minNeighbourServed     = 0.995
	maxNeighbourP99Ratio   = 1.5
	maxAddedMedian         = 100 * time.Microsecond
	maxAddedP99            = time.Millisecond
	statementsTarget       = 25000
	shareAtProfileLag      = 0.9
	profileLag             = 50 // milliseconds
	profileDuration        = 25 * time.Second
	profileWarmup          = 3 * time.Second
	profileFailureAt       = 12 * time.Second
	profileFailureEnds     = 20 * time.Second
	// An organisation exceeds its rate during this period, which ends before the primary fails.
	excessStart = 5 * time.Second
	excessEnd   = 10 * time.Second
)

func asDuration(duration time.Duration) experiment.Duration { return experiment.Duration(duration) }

// loadProfile returns a profile with the given duration and warm-up and without failures.
func loadProfile(name string, duration, warmup time.Duration) (*experiment.Experiment, error) {
	spec, err := experiment.Load(name)
	if err != nil {
		return nil, err
	}
	spec.Duration, spec.Warmup, spec.Failures = asDuration(duration), asDuration(warmup), nil
	return spec, nil
}

// profile returns a step that measures the profile of a user with one failure of a primary.
func (suite *Suite) profile(name string) func(context.Context, table) error {
	return func(ctx context.Context, table table) error {
		spec, err := experiment.Load(name)
		if err != nil {
			return err
		}
		spec.Duration, spec.Warmup = asDuration(profileDuration), asDuration(profileWarmup)
		spec.Failures = spec.Failures[:1]
		spec.Failures[0].At, spec.Failures[0].Until = asDuration(profileFailureAt), asDuration(profileFailureEnds)
		for index := range spec.Organisations {
			if phases := spec.Organisations[index].Phases; len(phases) == 2 {
				phases[0].At, phases[1].At = asDuration(excessStart), asDuration(excessEnd)
			}
		}
		measured, recorded, err := suite.runOnNewFleet(ctx, spec)
		if err != nil {
			return err
		}
		suite.addMeasures(table, measured)
		table.addViolations(brokenGuarantees(measured, recorded))
		return nil
	}
}

// addMeasures adds a row for each of the users' measures.
func (suite *Suite) addMeasures(table table, measured *result.Result) {
	addReplicaShare(table, fmt.Sprintf("reads served by replicas (lag %d ms, with the failure)", profileLag), shareAtProfileLag, measured)
	for _, failure := range measured.Failures {
		switch {
		case !failure.Happened:
			table.add("failover gap", "≤ "+gapTarget.String(), failure.Error, notMeasured)
		case !failure.Recovered:
			table.add("failover gap", "≤ "+gapTarget.String(), "not recovered", notMet)
		default:
			table.addMaxDuration("failover gap ("+failure.What+")", gapTarget, time.Duration(failure.GapMS*float64(time.Millisecond)))
		}
	}
	for _, organisation := range measured.Organisations {
		if organisation.Name == measured.WorstServed {
			table.addInfo("service level of the worst-served organisation ("+organisation.Name+")", formatPercent(organisation.ServiceLevel))
		}
	}
	table.addAtMost("refused for the rate although within it", maxWrongfulShare, measured.Total.WrongfulShare())
	table.addInfo("refused for any reason although within the rate", fmt.Sprintf("%d of %d", measured.Total.RefusedWithinRate, measured.Total.Requests))
	table.addInfo("read latency p50 / p99", formatLatency(measured.Total.Reads))
	table.addInfo("write latency p50 / p99", formatLatency(measured.Total.Writes))
}

func formatLatency(measured result.Latency) string {
	return formatMilliseconds(measured.P50) + " / " + formatMilliseconds(measured.P99)
}

func addReplicaShare(table table, measure string, target float64, measured *result.Result) {
	if !measured.Replica.Measured {
		table.add(measure, "≥ "+formatPercent(target), "no counters", notMeasured)
		return
	}
	table.addAtLeast(measure, target, measured.Replica.Share)
}
