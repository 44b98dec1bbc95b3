package suite

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"dotterelgw/core/ids"
	"dotterelgw/io/load/experiment"
	"dotterelgw/io/load/result"
)

const (
	cutGroups = 7
	cuts      = 20
	stalls    = 20
	cutVMs    = 5
	// Stalls and cuts begin after the first promotion record of each group.
	stallsFrom  = 4 * time.Second
	stallPeriod = 3500 * time.Millisecond
	stallLeast  = 300 * time.Millisecond
	stallMost   = 900 * time.Millisecond
	// stallBound is the length from which a stall may cause a promotion.
	stallBound = time.Second
	// promotionDelay is the time after a stall in which a promotion counts as caused by it.
	promotionDelay = 2 * time.Second
	cutsFrom       = 15 * time.Second
	// cutStagger is the time between cuts of different groups, cutPeriod that between two cuts of one group.
	cutStagger  = 1200 * time.Millisecond
	cutPeriod   = 10 * time.Second
	cutLength   = 5 * time.Second
	afterCuts   = 5 * time.Second
	writeRate   = 50
	writeBudget = 500
)

// cutKinds are the ways in which primaries are cut, in the order in which each group meets them. The kill is the last,
// since a killed database process is not started again.
var cutKinds = []experiment.Failure{
	{Switches: map[string]any{"frozen": true}, Undo: map[string]any{"frozen": false}},
	{Switches: map[string]any{"partitioned": []any{"all"}}, Undo: map[string]any{"partitioned": []any{}}},
	{Action: "kill"},
}

// failoverExperiment describes a run with stalls and then cuts of the primaries of several groups.
func failoverExperiment() *experiment.Experiment {
	described := &experiment.Experiment{
		Name: "failover", Seed: 1, Protocol: "exec", Objective: seconds(time.Second), Timeout: seconds(10 * time.Second),
		Duration: seconds(cutsFrom + cutStagger*cutGroups + 2*cutPeriod + afterCuts), Warmup: seconds(time.Second),
		Fleet: &experiment.Fleet{
			VMs: cutVMs, Groups: cutGroups, Zones: []ids.AvailabilityZone{"a", "b", "c"}, Connections: 30, Slots: 4,
		},
	}
	random := rand.New(rand.NewPCG(described.Seed, cuts))
	for number := range cutGroups {
		group := fmt.Sprintf("g%d", number+1)
		described.Organisations = append(described.Organisations, experiment.Organisation{
			Name: "writer-" + group, Group: group, Route: "main", Rate: writeRate, Arrivals: "even", Sessions: 10, Move: "spread",
			ReadShare: 0.2, Contract: experiment.Contract{
				Rate: writeBudget, Burst: writeBudget, Weight: 1, Connections: 100, Transactions: 8, Queue: 200, QueueTimeoutMS: 5000, Access: "auto",
			},
		})
	}
	for index := range stalls {
		group, round := index%cutGroups, index/cutGroups
		at := stallsFrom + time.Duration(round)*stallPeriod + time.Duration(group)*stallPeriod/cutGroups
		length := stallLeast + time.Duration(random.Int64N(int64(stallMost-stallLeast)))
		described.Failures = append(described.Failures, experiment.Failure{
			At: seconds(at), Until: seconds(at + length), Target: primaryOf(group), Group: groupName(group), Action: "pause",
		})
	}
	for index := range cuts {
		group, round := index%cutGroups, index/cutGroups
		failure := cutKinds[round]
		at := cutsFrom + time.Duration(round)*cutPeriod + time.Duration(group)*cutStagger
		failure.At, failure.Target, failure.Group = seconds(at), primaryOf(group), groupName(group)
		if failure.Undo != nil {
			failure.Until = seconds(at + cutLength)
		}
		described.Failures = append(described.Failures, failure)
	}
	return described
}

func groupName(group int) string { return fmt.Sprintf("g%d", group+1) }

func primaryOf(group int) string { return "primary:" + groupName(group) }

// failover measures the gap of cuts of primaries, and the promotions that short stalls cause.
func (suite *Suite) failover(ctx context.Context, table table) error {
	described := failoverExperiment()
	target, running, end, err := suite.starter.Start(ctx, described)
	if err != nil {
		return err
	}
	defer end()
	stopWatching, err := watchTerms(ctx, running.Platform.Addresses["key_value"])
	if err != nil {
		return err
	}
	measured, recorded, err := suite.playOn(ctx, described, target)
	promotions := stopWatching()
	if err != nil {
		return err
	}
	began, err := time.Parse(time.RFC3339, measured.Began)
	if err != nil {
		return fmt.Errorf("reading the start of the run: %w", err)
	}
	suite.sumGaps(table, measured.Failures)
	suite.sumStalls(table, measured.Failures, began, promotions)
	lost := 0
	for fault, count := range measured.ViolationCount {
		if strings.Contains(string(fault), "write") {
			lost += count
		}
	}
	table.add("lost or doubled acknowledged writes", "0", fmt.Sprintf("%d of %d", lost, measured.Total.Writes.Count), judge(lost == 0))
	table.violate(broken(measured, recorded))
	return nil
}

// sumGaps adds the rows on cuts.
func (suite *Suite) sumGaps(table table, failures []result.Failure) {
	gaps, open := map[string][]time.Duration{}, 0
	var all []time.Duration
	for _, failure := range failures {
		if failure.What == "pause" {
			continue
		}
		if failure.Error != "" {
			suite.report.Notes = append(suite.report.Notes, fmt.Sprintf("cut of %s at %.1f s: %s", failure.Target, failure.At, failure.Error))
		}
		if !failure.Happened {
			continue
		}
		if !failure.Recovered {
			open++
		}
		gap := time.Duration(failure.GapMS * float64(time.Millisecond))
		all = append(all, gap)
		kind, _, _ := strings.Cut(failure.What, "=")
		gaps[kind] = append(gaps[kind], gap)
	}
	if len(all) == 0 {
		table.add("failover gap", "≤ "+gapTarget.String(), "no cut happened", notMeasured)
		return
	}
	for _, kind := range []string{"frozen", "partitioned", "kill"} {
		if list := gaps[kind]; len(list) > 0 {
			table.note(fmt.Sprintf("failover gap, %s, %d cuts, median / maximum", kind, len(list)), median(list).Round(time.Millisecond).String()+" / "+slices.Max(list).Round(time.Millisecond).String())
		}
	}
	table.note(fmt.Sprintf("failover gap over %d cuts, median", len(all)), median(all).Round(time.Millisecond).String())
	table.within(fmt.Sprintf("failover gap over %d cuts, maximum", len(all)), gapTarget, slices.Max(all))
	table.add("cuts after which no write was acknowledged", "0", fmt.Sprint(open), judge(open == 0))
}

// sumStalls adds the rows on stalls. A stall that a busy machine stretched to 1 s or more does not count.
func (suite *Suite) sumStalls(table table, failures []result.Failure, began time.Time, promotions []promotion) {
	counted, caused, total := 0, 0, 0
	for _, failure := range failures {
		if failure.What != "pause" || !failure.Happened {
			continue
		}
		from, until := began.Add(fromSeconds(failure.At)), began.Add(fromSeconds(failure.Until))
		if until.Sub(from) >= stallBound {
			suite.report.Notes = append(suite.report.Notes, fmt.Sprintf("a stall of %s took %s and does not count", failure.Target, until.Sub(from)))
			continue
		}
		counted++
		for _, promotion := range promotions {
			if promotion.group == failure.Group && promotion.at.After(from) && promotion.at.Before(until.Add(promotionDelay)) {
				caused++
				suite.report.Notes = append(suite.report.Notes, fmt.Sprintf("a stall of %s of %s caused term %d",
					failure.Server, until.Sub(from).Round(time.Millisecond), promotion.term))
			}
		}
	}
	for _, promotion := range promotions {
		if promotion.at.After(began.Add(cutsFrom)) {
			total++
		}
	}
	table.note("terms recorded while primaries were cut", fmt.Sprint(total))
	table.add(fmt.Sprintf("promotions caused by %d stalls of %s to %s", counted, stallLeast, stallMost), "0", fmt.Sprint(caused), judge(caused == 0))
}

func fromSeconds(value float64) time.Duration { return time.Duration(value * float64(time.Second)) }

func median(list []time.Duration) time.Duration {
	sorted := slices.Sorted(slices.Values(list))
	return sorted[len(sorted)/2]
}
