package history

import (
	"cmp"
	"slices"
	"time"
)

// rateReason is the refusal reason for exceeding the rate; see core/refusal.
const rateReason = "rate_exceeded"

// WithinRate returns, for each request of one organisation, whether it was within the contract's rate and burst: all
// requests but those refused for the rate are, since they were admitted. A request refused for the rate was within it
// if a token bucket, full at the start, still had a token at that time after everything admitted before was taken out;
// it then takes the token, so that no more refusals count as wrongful than the rate had room for. The bucket may go
// into debt, because requests are admitted a moment after the time at which they were sent.
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
		// The statements of a transaction before the refused one were admitted.
		tokens -= float64(max(0, request.Statements-1))
		if tokens >= 1 {
			tokens--
			within[index] = true
		}
	}
	return within
}

// RefusedForRate states whether the request was refused because the rate was used up.
func (request *Request) RefusedForRate() bool { return request.Reason == rateReason }
