package suite

import (
	"context"
	"fmt"
	"time"

	"dotterelgw/io/load/experiment"
	"dotterelgw/io/load/history"
	"dotterelgw/io/load/result"
)

const (
	neighbourDuration = 12 * time.Second
	neighbourWarmup   = 2 * time.Second
	movingDuration    = 22 * time.Second
	movingWarmup      = 2 * time.Second
	moveEvery         = 5 * time.Second
	// movingRate is the rate and burst of the contracts. The load of the profile uses about four fifths of it.
	movingRate = 68
	// excessFactor is the factor by which one organisation exceeds the rate of its contract.
	excessFactor = 10
	// greedy is the name of the organisation that exceeds its rate.
	greedy = "hungry"
)

// neighbour measures the effect of one organisation that sends ten times its rate on the other seven. The baseline is a run
// in which it sends half its rate.
func (suite *Suite) neighbour(ctx context.Context, table table) error {
	baseline, _, err := suite.runWithGreedy(ctx, table, "all 8 within their rates", 0.5)
	if err != nil {
		return err
	}
	overloaded, servedShare, err := suite.runWithGreedy(ctx, table, "one of 8 at ten times its rate", excessFactor)
	if err != nil {
		return err
	}
	table.experiment = "one of 8 at ten times its rate"
	table.addAtLeast("load of the other seven that was served", minNeighbourServed, servedShare)
	ratio := overloaded.P99 / baseline.P99
	table.add("p99 of the other seven against the quiet run", fmt.Sprintf("≤ %.1f", maxNeighbourP99Ratio),
		fmt.Sprintf("%.2f (%s, quiet %s)", ratio, formatMilliseconds(overloaded.P99), formatMilliseconds(baseline.P99)), verdictOf(ratio <= maxNeighbourP99Ratio))
	return nil
}

// runWithGreedy runs the load with the greedy organisation at a multiple of its rate. It returns the latency and the
// acknowledged share of the requests of the other organisations.
func (suite *Suite) runWithGreedy(ctx context.Context, table table, name string, factor float64) (result.Latency, float64, error) {
	spec, err := loadProfile("frissito", neighbourDuration, neighbourWarmup)
	if err != nil {
		return result.Latency{}, 0, err
	}
	for index := range spec.Organisations {
		if organisation := &spec.Organisations[index]; organisation.Name == greedy {
			organisation.Phases, organisation.Rate = nil, factor*organisation.Contract.Rate
		}
	}
	measured, recorded, err := suite.runOnNewFleet(ctx, spec)
	if err != nil {
		return result.Latency{}, 0, err
	}
	table.experiment = name
	wrongful, total, served := 0, 0, 0
	for _, organisation := range measured.Organisations {
		if organisation.Name != greedy {
			wrongful += organisation.WronglyRefused
			total += organisation.Requests
			served += organisation.OK
		}
	}
	if total == 0 {
		return result.Latency{}, 0, fmt.Errorf("no requests besides those of %s", greedy)
	}
	table.addAtMost("refused for the rate although within it (other seven)", maxWrongfulShare, float64(wrongful)/float64(total))
	sameGroup, others := map[string]bool{}, map[string]bool{}
	for _, organisation := range spec.Organisations {
		if organisation.Name != greedy {
			others[organisation.Name] = true
			sameGroup[organisation.Name] = organisation.Group == groupOf(spec, greedy)
		}
	}
	warmup := time.Duration(spec.Warmup)
	table.addInfo("latency of those in the same group, p50 / p99", formatLatency(latencyOf(recorded, sameGroup, warmup)))
	table.addInfo("latency of the other seven, p50 / p99", formatLatency(latencyOf(recorded, others, warmup)))
	table.addViolations(brokenGuarantees(measured, recorded))
	return latencyOf(recorded, others, warmup), float64(served) / float64(total), nil
}

func groupOf(spec *experiment.Experiment, name string) string {
	for _, organisation := range spec.Organisations {
		if organisation.Name == name {
			return organisation.Group
		}
	}
	return ""
}

// latencyOf returns the latency of the acknowledged requests of the given organisations, without those of the warm-up.
func latencyOf(recorded *history.History, organisations map[string]bool, warmup time.Duration) result.Latency {
	recorder := result.NewRecorder()
	for index := range recorded.Requests {
		request := &recorded.Requests[index]
		if organisations[request.Organisation] && request.Outcome == history.OK && request.Intended >= warmup {
			recorder.Record(request.Latency())
		}
	}
	return recorder.Latency()
}

// movingLoad measures wrongful refusals while the whole load of each organisation moves to another VM every 5 s.
func (suite *Suite) movingLoad(ctx context.Context, table table) error {
	spec, err := loadProfile("seixal", movingDuration, movingWarmup)
	if err != nil {
		return err
	}
	for index := range spec.Organisations {
		organisation := &spec.Organisations[index]
		organisation.Move, organisation.MoveEvery = "together", asDuration(moveEvery)
		organisation.Contract.Rate, organisation.Contract.Burst = movingRate, movingRate
	}
	measured, recorded, err := suite.runOnNewFleet(ctx, spec)
	if err != nil {
		return err
	}
	table.addAtMost("refused for the rate although within it ("+rateUsage(spec)+")", maxWrongfulShareMoving, measured.Total.WrongfulShare())
	table.addInfo("refused for any reason although within the rate", fmt.Sprintf("%d of %d", measured.Total.RefusedWithinRate, measured.Total.Requests))
	table.addViolations(brokenGuarantees(measured, recorded))
	return nil
}

// rateUsage describes how much of its rate the first organisation uses.
func rateUsage(spec *experiment.Experiment) string {
	organisation := spec.Organisations[0]
	statements := 1 + (1-organisation.ReadShare)*organisation.TransactionShare*4 // a transaction consists of five statements
	return fmt.Sprintf("load is %.0f %% of the rate", 100*organisation.Rate*statements/organisation.Contract.Rate)
}
