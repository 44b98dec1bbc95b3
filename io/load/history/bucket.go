package history

import (
	"slices"
	"time"
)

// rateReason is the refusal reason for exceeding the rate; see core/refusal.
const rateReason = "rate_exceeded"

// WithinRate returns, for each request of one organisation, whether an ideal token bucket of the contract's rate and
// burst, full at the start, would have admitted all its statements. It takes statements for what it admits only.
func WithinRate(requests []*Request, rate, burst float64) []bool {
	order := make([]int, len(requests))
	for index := range order {
		order[index] = index
	}
	slices.SortStableFunc(order, func(left, right int) int { return int(requests[left].Started - requests[right].Started) })
	within := make([]bool, len(requests))
	tokens, last := burst, time.Duration(0)
	for _, index := range order {
		request := requests[index]
		tokens = min(burst, tokens+rate*(request.Started-last).Seconds())
		last = request.Started
		cost := float64(max(1, request.Statements))
		if tokens >= cost {
			tokens -= cost
			within[index] = true
		}
	}
	return within
}

// RefusedForRate states whether the request was refused because the rate was used up.
func (request *Request) RefusedForRate() bool { return request.Reason == rateReason }
