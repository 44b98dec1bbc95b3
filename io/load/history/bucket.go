package history

import (
	"cmp"
	"slices"
	"time"
)

// rateReason is the refusal reason of the proxy for an exceeded rate; see core/refusal.
const rateReason = "rate_exceeded"

// WithinRate returns, for each request of one organisation, whether it was within the rate and burst of the contract.
// Requests that were not refused for the rate always are, because they were admitted. The others are compared with a
// token bucket that is full at the start and from which all admitted statements are taken. A refused request was within
// the rate if a token was left. It then takes that token, so that the wrongful refusals never exceed what the rate would
// have allowed. The balance may become negative, because requests are admitted slightly later than they were sent.
func WithinRate(requests []*Request, rate, burst float64) []bool {
	order := make([]int, len(requests))
	for index := range order {
		order[index] = index
	}
	slices.SortStableFunc(order, func(left, right int) int { return cmp.Compare(requests[left].Started, requests[right].Started) })
	within := make([]bool, len(requests))
	tokens, last := burst, time.Duration(0)
	for _, index := range order {
		request := requests[index]
		tokens = min(burst, tokens+rate*(request.Started-last).Seconds())
		last = request.Started
		if !request.RefusedForRate() {
			tokens -= float64(request.Statements)
			within[index] = true
			continue
		}
		// In a transaction, the statements before the refused one were admitted.
		tokens -= float64(max(0, request.Statements-1))
		if tokens >= 1 {
			tokens--
			within[index] = true
		}
	}
	return within
}

// RefusedForRate reports whether the request was refused because the rate was exceeded.
func (request *Request) RefusedForRate() bool { return request.Reason == rateReason }
