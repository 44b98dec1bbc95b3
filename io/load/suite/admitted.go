package suite

import (
	"cmp"
	"slices"

	"dotterelgw/io/load/history"
)

// allowedDrift is the clock drift between VMs that the limit assumes; the load tool's clock may differ by as much.
const allowedDrift = 500e-6

// maxStarts bounds the interval starts that are tried, since each takes a pass over all requests.
const maxStarts = 2000

// overAdmitted returns by how many statements an organisation got more than rate·t + burst over any interval, at most 0
// if it never did. A statement counts for an interval only if it was sent and answered within it, so that a statement
// admitted outside of the interval is never counted.
func overAdmitted(recorded *history.History, organisation string, rate, burst float64) float64 {
	var admitted []*history.Request
	for index := range recorded.Requests {
		request := &recorded.Requests[index]
		if request.Organisation == organisation && count(request) > 0 {
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
			sum += count(request)
			elapsed := (request.Finished - from).Seconds() * (1 + allowedDrift)
			worst = max(worst, sum-rate*elapsed-burst)
		}
	}
	if worst < 1 { // a bucket counts in fractions
		return 0
	}
	return worst
}

// count returns how many statements of a request were certainly admitted.
func count(request *history.Request) float64 {
	switch {
	case request.Outcome == history.OK:
		return float64(request.Statements)
	case request.RefusedForRate():
		return float64(max(0, request.Statements-1))
	}
	return 0
}
