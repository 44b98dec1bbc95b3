package retry

import "sync/atomic"

const (
	// requestsPerRetry is the number of requests that earn one retry, which bounds retries to 10 % of requests.
	requestsPerRetry = 10
	// freeRetries is the number of retries allowed beyond the share of requests.
	freeRetries = 10
)

// Budget bounds the retries of one group: over any interval at most a tenth of its requests plus ten.
type Budget struct {
	// credit is counted in tenths of a retry, so that one request adds 1.
	credit atomic.Int64
}

// NewBudget returns a budget that allows ten retries.
func NewBudget() *Budget {
	budget := &Budget{}
	budget.credit.Store(freeRetries * requestsPerRetry)
	return budget
}

// Request counts one request. Credit beyond ten retries is not kept, so that a quiet hour does not allow a retry storm.
func (budget *Budget) Request() {
	for {
		credit := budget.credit.Load()
		if credit >= freeRetries*requestsPerRetry || budget.credit.CompareAndSwap(credit, credit+1) {
			return
		}
	}
}

// Take uses one retry; it returns false when the budget is used up.
func (budget *Budget) Take() bool {
	for {
		credit := budget.credit.Load()
		if credit < requestsPerRetry {
			return false
		}
		if budget.credit.CompareAndSwap(credit, credit-requestsPerRetry) {
			return true
		}
	}
}
