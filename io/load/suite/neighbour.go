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
	// movingRate is the contract's rate and burst, of which the profile's load uses about four fifths.
	movingRate = 68
	// excessive is the factor by which one organisation exceeds its contract's rate.
	excessive = 10
	// greedy names the organisation that exceeds its rate.
	greedy = "hungry"
)

// neighbour compares the service of seven organisations while the eighth asks for ten times its rate with a quiet run.
func (suite *Suite) neighbour(ctx context.Context, table table) error {
	quiet, _, err := suite.besides(ctx, table, "all 8 within their rates", 0.5)
	if err != nil {
		return err
	}
	loud, service, err := suite.besides(ctx, table, "one of 8 at ten times its rate", excessive)
	if err != nil {
		return err
	}
	table.experiment = "one of 8 at ten times its rate"
	table.least("load of the other seven that was served", neighbourService, service)
	ratio := loud.P99 / quiet.P99
	table.add("p99 of the other seven against the quiet run", fmt.Sprintf("≤ %.1f", neighbourP99),
		fmt.Sprintf("%.2f (%s, quiet %s)", ratio, milliseconds(loud.P99), milliseconds(quiet.P99)), judge(ratio <= neighbourP99))
	return nil
}

// besides runs the load with the greedy organisation at a multiple of its rate, and returns the latency and the
// acknowledged share of the others.
func (suite *Suite) besides(ctx context.Context, table table, name string, factor float64) (result.Latency, float64, error) {
	described, err := load("frissito", neighbourDuration, neighbourWarmup)
	if err != nil {
		return result.Latency{}, 0, err
	}
	for index := range described.Organisations {
		if organisation := &described.Organisations[index]; organisation.Name == greedy {
			organisation.Phases, organisation.Rate = nil, factor*organisation.Contract.Rate
		}
	}
	measured, recorded, err := suite.play(ctx, described)
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
	table.most("refused for the rate although within it (other seven)", wrongfulEven, float64(wrongful)/float64(total))
	shares, others := map[string]bool{}, map[string]bool{}
	for _, organisation := range described.Organisations {
		if organisation.Name != greedy {
			others[organisation.Name] = true
			shares[organisation.Name] = organisation.Group == groupOf(described, greedy)
		}
	}
	warmup := time.Duration(described.Warmup)
	table.note("latency of those in the same group, p50 / p99", latency(latencyOf(recorded, shares, warmup)))
	table.note("latency of the other seven, p50 / p99", latency(latencyOf(recorded, others, warmup)))
	table.violate(broken(measured, recorded))
	return latencyOf(recorded, others, warmup), float64(served) / float64(total), nil
}

func groupOf(described *experiment.Experiment, name string) string {
	for _, organisation := range described.Organisations {
		if organisation.Name == name {
			return organisation.Group
		}
	}
	return ""
}

// latencyOf sums the latencies of acknowledged requests of the organisations up.
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

// movingLoad measures wrongful refusals of organisations whose whole load moves to another VM every 5 s.
func (suite *Suite) movingLoad(ctx context.Context, table table) error {
	described, err := load("seixal", movingDuration, movingWarmup)
	if err != nil {
		return err
	}
	for index := range described.Organisations {
		organisation := &described.Organisations[index]
		organisation.Move, organisation.MoveEvery = "together", seconds(moveEvery)
		organisation.Contract.Rate, organisation.Contract.Burst = movingRate, movingRate
	}
	measured, recorded, err := suite.play(ctx, described)
	if err != nil {
		return err
	}
	table.most("refused for the rate although within it ("+usage(described)+")", wrongfulMoving, measured.Total.WrongfulShare())
	table.note("refused for any reason although within the rate", fmt.Sprintf("%d of %d", measured.Total.RefusedWithinRate, measured.Total.Requests))
	table.violate(broken(measured, recorded))
	return nil
}

// usage states how much of the rate the load of the first organisation uses.
func usage(described *experiment.Experiment) string {
	organisation := described.Organisations[0]
	statements := 1 + (1-organisation.ReadShare)*organisation.TransactionShare*4 // a transaction has five statements
	return fmt.Sprintf("load is %.0f %% of the rate", 100*organisation.Rate*statements/organisation.Contract.Rate)
}
