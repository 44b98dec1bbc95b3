package suite

import (
	"cmp"
	"slices"

	"dotterelgw/io/load/history"
)

// maxClockDrift is the clock drift between VMs that the rate limit assumes. The clock of the load tool may drift by as much.
const maxClockDrift = 500e-6

// maxStarts bounds the number of interval starts that are checked, because each takes a pass over all requests.
const maxStarts = 2000

// excessAdmitted returns the largest number of statements by which an organisation exceeded rate·t + burst in any interval,
// or 0 if it never did. Only statements that were both sent and answered within the interval are counted, so that
// statements that may have been admitted outside it are left out.
func excessAdmitted(recorded *history.History, organisation string, rate, burst float64) float64 {
	var admitted []*history.Request
	for index := range recorded.Requests {
		request := &recorded.Requests[index]
		if request.Organisation == organisation && admittedStatements(request) > 0 {
			admitted = append(admitted, request)
		}
	}
	slices.SortFunc(admitted, func(left, right *history.Request) int { return cmp.Compare(left.Finished, right.Finished) })
	worst := 0.0
	step := max(1, len(admitted)/maxStarts)
	for index := 0; index < len(admitted); index += step {
		from, sum := admitted[index].Started, 0.0
		for _, request := range admitted {
			if request.Started < from {
				continue
			}
			sum += admittedStatements(request)
			elapsed := (request.Finished - from).Seconds() * (1 + maxClockDrift)
			worst = max(worst, sum-rate*elapsed-burst)
		}
	}
	if worst < 1 { // token buckets count fractions of statements
		return 0
	}
	return worst
}

// admittedStatements returns the number of statements of a request that are known to have been admitted.
func admittedStatements(request *history.Request) float64 {
	switch {
	case request.Outcome == history.OK:
		return float64(request.Statements)
	case request.RefusedForRate():
		return float64(max(0, request.Statements-1))
	}
	return 0
}
