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
	total := newTally("all")
	worst := 2.0
	for _, organisation := range spec.Organisations {
		requests := byOrganisation[organisation.Name]
		within := history.WithinRate(requests, organisation.Contract.Rate, organisation.Contract.Burst)
		counts := newTally(organisation.Name)
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

// tally accumulates the figures of one organisation.
type tally struct {
	Organisation
	all, reads, writes              *Recorder
	withinObjective, rightlyRefused int
}

func newTally(name string) *tally {
	return &tally{Organisation: Organisation{Name: name}, all: NewRecorder(), reads: NewRecorder(), writes: NewRecorder()}
}

func (tally *tally) add(request *history.Request, within bool, objective time.Duration) {
	tally.Requests++
	switch request.Outcome {
	case history.OK:
		tally.OK++
		latency := request.Latency()
		tally.all.Record(latency)
		if request.Writes() {
			tally.writes.Record(latency)
		} else {
			tally.reads.Record(latency)
		}
		if latency <= objective {
			tally.withinObjective++
		}
	case history.Refused:
		tally.Refused++
		if within {
			tally.RefusedWithinRate++
		}
	case history.Failed:
		tally.Failed++
	case history.Unknown:
		tally.Unknown++
	}
	if request.RefusedForRate() {
		tally.RefusedForRate++
		if within {
			tally.WronglyRefused++
		} else {
			tally.rightlyRefused++
		}
	}
}

func (tally *tally) summary() Organisation {
	tally.ServiceLevel = share(tally.withinObjective, tally.Requests-tally.rightlyRefused)
	tally.Latency, tally.Reads, tally.Writes = tally.all.Latency(), tally.reads.Latency(), tally.writes.Latency()
	return tally.Organisation
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
