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

// A cut makes a primary unreachable, a stall pauses its process for less than a second.
const (
	cutGroups = 7
	cuts      = 20
	stalls    = 20
	cutVMs    = 5
	// Stalls and cuts start after the first promotion record of each group has been written.
	stallsStart = 4 * time.Second
	stallPeriod = 3500 * time.Millisecond
	minStall    = 300 * time.Millisecond
	maxStall    = 900 * time.Millisecond
	// promotionThreshold is the duration from which on a stall may cause a promotion.
	promotionThreshold = time.Second
	// promotionWindow is the time after a stall during which a promotion counts as caused by the stall.
	promotionWindow = 2 * time.Second
	cutsStart       = 15 * time.Second
	// cutStagger is the time between cuts of different groups, cutPeriod the time between two cuts of the same group.
	cutStagger    = 1200 * time.Millisecond
	cutPeriod     = 10 * time.Second
	cutLength     = 5 * time.Second
	timeAfterCuts = 5 * time.Second
	writeRate     = 50
	contractRate  = 500
)

// cutKinds lists the kinds of cuts in the order in which each group undergoes them. The kill comes last, because a killed
// database process is not started again.
var cutKinds = []experiment.Failure{
	{Switches: map[string]any{"frozen": true}, Undo: map[string]any{"frozen": false}},
	{Switches: map[string]any{"partitioned": []any{"all"}}, Undo: map[string]any{"partitioned": []any{}}},
	{Action: "kill"},
}

// failoverExperiment returns an experiment with stalls, followed by cuts, of the primaries of several groups.
func failoverExperiment() *experiment.Experiment {
	spec := &experiment.Experiment{
		Name: "failover", Seed: 1, Protocol: "exec", Objective: asDuration(time.Second), Timeout: asDuration(10 * time.Second),
		Duration: asDuration(cutsStart + cutStagger*cutGroups + 2*cutPeriod + timeAfterCuts), Warmup: asDuration(time.Second),
		Fleet: &experiment.Fleet{
			VMs: cutVMs, Groups: cutGroups, Zones: []ids.AvailabilityZone{"a", "b", "c"}, Connections: 30, Slots: 4,
		},
	}
	random := rand.New(rand.NewPCG(spec.Seed, cuts))
	for number := range cutGroups {
		group := fmt.Sprintf("g%d", number+1)
		spec.Organisations = append(spec.Organisations, experiment.Organisation{
			Name: "writer-" + group, Group: group, Route: "main", Rate: writeRate, Arrivals: "even", Sessions: 10, Move: "spread",
			ReadShare: 0.2, Contract: experiment.Contract{
				Rate: contractRate, Burst: contractRate, Weight: 1, Connections: 100, Transactions: 8, Queue: 200, QueueTimeoutMS: 5000, Access: "auto",
			},
		})
	}
	for index := range stalls {
		group, round := index%cutGroups, index/cutGroups
		at := stallsStart + time.Duration(round)*stallPeriod + time.Duration(group)*stallPeriod/cutGroups
		length := minStall + time.Duration(random.Int64N(int64(maxStall-minStall)))
		spec.Failures = append(spec.Failures, experiment.Failure{
			At: asDuration(at), Until: asDuration(at + length), Target: primaryOf(group), Group: groupName(group), Action: "pause",
		})
	}
	for index := range cuts {
		group, round := index%cutGroups, index/cutGroups
		failure := cutKinds[round]
		at := cutsStart + time.Duration(round)*cutPeriod + time.Duration(group)*cutStagger
		failure.At, failure.Target, failure.Group = asDuration(at), primaryOf(group), groupName(group)
		if failure.Undo != nil {
			failure.Until = asDuration(at + cutLength)
		}
		spec.Failures = append(spec.Failures, failure)
	}
	return spec
}

func groupName(group int) string { return fmt.Sprintf("g%d", group+1) }

func primaryOf(group int) string { return "primary:" + groupName(group) }

// failover measures the failover gaps that cuts of primaries cause, and counts promotions caused by short stalls.
func (suite *Suite) failover(ctx context.Context, table table) error {
	spec := failoverExperiment()
	target, running, end, err := suite.starter.Start(ctx, spec)
	if err != nil {
		return err
	}
	defer end()
	stopWatching, err := watchTerms(ctx, running.Platform.Addresses["key_value"])
	if err != nil {
		return err
	}
	measured, recorded, err := suite.runOn(ctx, spec, target)
	promotions := stopWatching()
	if err != nil {
		return err
	}
	began, err := time.Parse(time.RFC3339, measured.Began)
	if err != nil {
		return fmt.Errorf("reading the start of the run: %w", err)
	}
	suite.addGapRows(table, measured.Failures)
	suite.addStallRows(table, measured.Failures, began, promotions)
	lost := 0
	for anomaly, count := range measured.ViolationCount {
		if strings.Contains(string(anomaly), "write") {
			lost += count
		}
	}
	table.add("lost or doubled acknowledged writes", "0", fmt.Sprintf("%d of %d", lost, measured.Total.Writes.Count), verdictOf(lost == 0))
	table.addViolations(brokenGuarantees(measured, recorded))
	return nil
}

// addGapRows adds the rows about the failover gaps after cuts.
func (suite *Suite) addGapRows(table table, failures []result.Failure) {
	gaps, unrecovered := map[string][]time.Duration{}, 0
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
			unrecovered++
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
			table.addInfo(fmt.Sprintf("failover gap, %s, %d cuts, median / maximum", kind, len(list)), median(list).Round(time.Millisecond).String()+" / "+slices.Max(list).Round(time.Millisecond).String())
		}
	}
	table.addInfo(fmt.Sprintf("failover gap over %d cuts, median", len(all)), median(all).Round(time.Millisecond).String())
	table.addMaxDuration(fmt.Sprintf("failover gap over %d cuts, maximum", len(all)), gapTarget, slices.Max(all))
	table.add("cuts after which no write was acknowledged", "0", fmt.Sprint(unrecovered), verdictOf(unrecovered == 0))
}

// addStallRows adds the rows about promotions caused by stalls. Stalls that took 1 s or more on a busy machine are not
// counted.
func (suite *Suite) addStallRows(table table, failures []result.Failure, began time.Time, promotions []promotion) {
	counted, causedByStalls, total := 0, 0, 0
	for _, failure := range failures {
		if failure.What != "pause" || !failure.Happened {
			continue
		}
		from, until := began.Add(fromSeconds(failure.At)), began.Add(fromSeconds(failure.Until))
		if until.Sub(from) >= promotionThreshold {
			suite.report.Notes = append(suite.report.Notes, fmt.Sprintf("a stall of %s took %s and does not count", failure.Target, until.Sub(from)))
			continue
		}
		counted++
		for _, promotion := range promotions {
			if promotion.group == failure.Group && promotion.at.After(from) && promotion.at.Before(until.Add(promotionWindow)) {
				causedByStalls++
				suite.report.Notes = append(suite.report.Notes, fmt.Sprintf("a stall of %s of %s caused term %d",
					failure.Server, until.Sub(from).Round(time.Millisecond), promotion.term))
			}
		}
	}
	for _, promotion := range promotions {
		if promotion.at.After(began.Add(cutsStart)) {
			total++
		}
	}
	table.addInfo("terms recorded while primaries were cut", fmt.Sprint(total))
	table.add(fmt.Sprintf("promotions caused by %d stalls of %s to %s", counted, minStall, maxStall), "0", fmt.Sprint(causedByStalls), verdictOf(causedByStalls == 0))
}

func fromSeconds(value float64) time.Duration { return time.Duration(value * float64(time.Second)) }

func median(list []time.Duration) time.Duration {
	sorted := slices.Sorted(slices.Values(list))
	return sorted[len(sorted)/2]
}
