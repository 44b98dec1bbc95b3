package result

import (
	"cmp"
	"slices"
	"time"

	"dotterelgw/io/load/experiment"
	"dotterelgw/io/load/history"
)

// startFormat is RFC 3339 in milliseconds, so that other observations can be matched with the run's times.
const startFormat = "2006-01-02T15:04:05.000Z07:00"

// Summarise computes everything that follows from the history alone.
func Summarise(described *experiment.Experiment, recorded *history.History, began time.Time) *Result {
	result := &Result{
		Experiment: described, Began: began.Format(startFormat), Complete: true,
		Reasons: map[string]int{}, ViolationCount: map[history.Fault]int{},
	}
	warmup := time.Duration(described.Warmup)
	byOrganisation := map[string][]*history.Request{}
	for index := range recorded.Requests {
		request := &recorded.Requests[index]
		byOrganisation[request.Organisation] = append(byOrganisation[request.Organisation], request)
		if request.Outcome != history.OK && request.Intended >= warmup {
			result.Reasons[label(request)]++
		}
	}
	all := newTally("all")
	worst := 2.0
	for _, organisation := range described.Organisations {
		requests := byOrganisation[organisation.Name]
		within := history.WithinRate(requests, organisation.Contract.Rate, organisation.Contract.Burst)
		one := newTally(organisation.Name)
		for index, request := range requests {
			if request.Intended >= warmup {
				one.add(request, within[index], time.Duration(described.Objective))
				all.add(request, within[index], time.Duration(described.Objective))
			}
		}
		summed := one.sum()
		if summed.Requests > 0 && summed.ServiceLevel < worst {
			worst, result.WorstServed = summed.ServiceLevel, organisation.Name
		}
		result.Organisations = append(result.Organisations, summed)
	}
	result.Total = all.sum()
	result.Violations = history.Check(recorded)
	for _, violation := range result.Violations {
		result.ViolationCount[violation.Fault]++
	}
	result.Seconds = course(recorded, time.Duration(described.Duration))
	return result
}

// label names why a request was not acknowledged.
func label(request *history.Request) string {
	return cmp.Or(request.SQLState, "no answer") + " " + cmp.Or(request.Reason, "other") + " (" + string(request.Outcome) + ")"
}

// tally counts the requests of one organisation.
type tally struct {
	Organisation
	all, reads, writes *Recorder
	good, rightly      int
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
			tally.good++
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
			tally.rightly++
		}
	}
}

func (tally *tally) sum() Organisation {
	tally.ServiceLevel = share(tally.good, tally.Requests-tally.rightly)
	tally.Latency, tally.Reads, tally.Writes = tally.all.Latency(), tally.reads.Latency(), tally.writes.Latency()
	return tally.Organisation
}

// course counts the requests by the second of their intended start.
func course(recorded *history.History, duration time.Duration) []Second {
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

// Gap returns the longest time without an acknowledged write of the organisations that ended after the fault began and
// before the limit, and whether a write was acknowledged after the fault began.
func Gap(recorded *history.History, organisations map[string]bool, began, limit time.Duration) (time.Duration, bool) {
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
