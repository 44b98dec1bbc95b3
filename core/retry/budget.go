package retry

import "sync/atomic"

const (
	// requestsPerRetry is the number of requests that earn one retry, which limits retries to 10 % of requests.
	requestsPerRetry = 10
	// burstRetries is the number of retries allowed in addition to those earned by requests.
	burstRetries = 10
)

// Budget limits the retries of one group to a tenth of its requests plus ten over any interval. It is safe for concurrent use.
type Budget struct {
	// credit is in tenths of a retry, so that one request adds 1.
	credit atomic.Int64
}

// NewBudget returns a budget that initially allows ten retries.
func NewBudget() *Budget {
	budget := &Budget{}
	budget.credit.Store(burstRetries * requestsPerRetry)
	return budget
}

// Request adds the credit of one request. Credit is capped at ten retries, so that a quiet period can't lead to a retry storm.
func (budget *Budget) Request() {
	for {
		credit := budget.credit.Load()
		if credit >= burstRetries*requestsPerRetry || budget.credit.CompareAndSwap(credit, credit+1) {
			return
		}
	}
}

// Take spends one retry. It returns false if the budget is exhausted.
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
