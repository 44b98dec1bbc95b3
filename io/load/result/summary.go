package result

import (
	"cmp"
	"slices"
	"time"

	"dotterelgw/io/load/experiment"
	"dotterelgw/io/load/history"
)

// startFormat is RFC 3339 with milliseconds, so that the run can be correlated with other logs.
const startFormat = "2006-01-02T15:04:05.000Z07:00"

// Summarise computes the part of the result that depends on the experiment and the history only.
func Summarise(spec *experiment.Experiment, recorded *history.History, began time.Time) *Result {
	result := &Result{
		Experiment: spec, Began: began.Format(startFormat), Complete: true,
		Reasons: map[string]int{}, ViolationCount: map[history.Anomaly]int{},
	}
	warmup := time.Duration(spec.Warmup)
	byOrganisation := map[string][]*history.Request{}
	for index := range recorded.Requests {
		request := &recorded.Requests[index]
		byOrganisation[request.Organisation] = append(byOrganisation[request.Organisation], request)
		if request.Outcome != history.OK && request.Intended >= warmup {
			result.Reasons[reasonLabel(request)]++
		}
	}
	total := newTotals("all")
	worst := 2.0
	for _, organisation := range spec.Organisations {
		requests := byOrganisation[organisation.Name]
		within := history.WithinRate(requests, organisation.Contract.Rate, organisation.Contract.Burst)
		counts := newTotals(organisation.Name)
		for index, request := range requests {
			if request.Intended >= warmup {
				counts.add(request, within[index], time.Duration(spec.Objective))
				total.add(request, within[index], time.Duration(spec.Objective))
			}
		}
		summarised := counts.summary()
		if summarised.Requests > 0 && summarised.ServiceLevel < worst {
			worst, result.WorstServed = summarised.ServiceLevel, organisation.Name
		}
		result.Organisations = append(result.Organisations, summarised)
	}
	result.Total = total.summary()
	result.Violations = history.Check(recorded)
	for _, violation := range result.Violations {
		result.ViolationCount[violation.Anomaly]++
	}
	result.Seconds = perSecond(recorded, time.Duration(spec.Duration))
	return result
}

// reasonLabel returns the key of an unacknowledged request in Result.Reasons.
func reasonLabel(request *history.Request) string {
	return cmp.Or(request.SQLState, "no answer") + " " + cmp.Or(request.Reason, "other") + " (" + string(request.Outcome) + ")"
}

// totals accumulates the figures of one organisation.
type totals struct {
	Organisation
	all, reads, writes              *Recorder
	withinObjective, rightlyRefused int
}

func newTotals(name string) *totals {
	return &totals{Organisation: Organisation{Name: name}, all: NewRecorder(), reads: NewRecorder(), writes: NewRecorder()}
}

func (totals *totals) add(request *history.Request, within bool, objective time.Duration) {
	totals.Requests++
	switch request.Outcome {
	case history.OK:
		totals.OK++
		latency := request.Latency()
		totals.all.Record(latency)
		if request.Writes() {
			totals.writes.Record(latency)
		} else {
			totals.reads.Record(latency)
		}
		if latency <= objective {
			totals.withinObjective++
		}
	case history.Refused:
		totals.Refused++
		if within {
			totals.RefusedWithinRate++
		}
	case history.Failed:
		totals.Failed++
	case history.Unknown:
		totals.Unknown++
	}
	if request.RefusedForRate() {
		totals.RefusedForRate++
		if within {
			totals.WronglyRefused++
		} else {
			totals.rightlyRefused++
		}
	}
}

func (totals *totals) summary() Organisation {
	totals.ServiceLevel = share(totals.withinObjective, totals.Requests-totals.rightlyRefused)
	totals.Latency, totals.Reads, totals.Writes = totals.all.Latency(), totals.reads.Latency(), totals.writes.Latency()
	return totals.Organisation
}

// perSecond returns the figures of each second. Requests belong to the second of their scheduled start.
func perSecond(recorded *history.History, duration time.Duration) []Second {
	seconds := make([]Second, int((duration+time.Second-1)/time.Second))
	latencies := make([][]time.Duration, len(seconds))
	for index := range recorded.Requests {
		request := &recorded.Requests[index]
		at := min(len(seconds)-1, int(request.Intended/time.Second))
		second := &seconds[at]
		switch request.Outcome {
		case history.OK:
			second.OK++
			latencies[at] = append(latencies[at], request.Latency())
		case history.Refused:
			second.Refused++
		case history.Failed:
			second.Failed++
		case history.Unknown:
			second.Unknown++
		}
	}
	for at, list := range latencies {
		if len(list) > 0 {
			slices.Sort(list)
			seconds[at].P50MS = milliseconds(list[len(list)/2])
			seconds[at].P99MS = milliseconds(list[len(list)*99/100])
		}
	}
	return seconds
}

func milliseconds(duration time.Duration) float64 { return float64(duration.Microseconds()) / 1000 }

// LongestWriteGap returns the longest time without an acknowledged write of the organisations that ended after the failure
// began. Writes after the limit are ignored, except for the first one, which ends the gap. The second result reports
// whether a write was acknowledged after the failure began; if not, the gap lasts until the limit.
func LongestWriteGap(recorded *history.History, organisations map[string]bool, began, limit time.Duration) (time.Duration, bool) {
	var finished []time.Duration
	for index := range recorded.Requests {
		request := &recorded.Requests[index]
		if request.Writes() && request.Outcome == history.OK && organisations[request.Organisation] {
			finished = append(finished, request.Finished)
		}
	}
	slices.Sort(finished)
	gap, previous, recovered := time.Duration(0), time.Duration(0), false
	for _, at := range finished {
		if previous > limit {
			break
		}
		if at >= began {
			gap, recovered = max(gap, at-previous), true
		}
		previous = at
	}
	if !recovered {
		gap = limit - previous
	}
	return gap, recovered
}
