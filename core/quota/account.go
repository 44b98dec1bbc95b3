package quota

import (
	"time"

	"dotterelgw/core/limit"
)

// LoanValidity is the time for which what is lent may be spent. What is lent and unspent is bounded by the demand of half
// this time, by which the use of an organisation may exceed its rate in a window.
const LoanValidity = 600 * time.Millisecond

// leastPart is the smallest burst of one part in operations. What a full part earns is lost, which happens the more often the
// smaller the parts are; with fewer parts the loss of their VMs costs more of the rate.
const leastPart = 3

// Account is one organisation's rate on one VM: the VM's own part and what other VMs lent. It is not safe for concurrent use.
type Account struct {
	// away is the time whose earnings the part begins with.
	away     time.Duration
	budget   limit.Budget
	share    limit.Share
	owns     bool
	bucket   limit.Bucket
	borrowed *limit.Borrower
}

// NewAccount returns an account without a part. Away is the time for which the process was away at least before it started.
func NewAccount(away time.Duration) *Account {
	return &Account{away: away, borrowed: limit.NewBorrower(LoanValidity)}
}

// Parts returns into how many parts a budget is divided over the VMs.
func Parts(budget limit.Budget, vms int) int {
	return max(1, min(vms, int(budget.Burst/leastPart)))
}

// divide returns one of the parts of a budget.
func divide(budget limit.Budget, parts int) limit.Share {
	return limit.Share{Rate: budget.Rate / float64(parts), Burst: budget.Burst / float64(parts), Overdraft: overdraft}
}

// overdraft is the part of an operation that a part may spend before it is earned, so that several parts which each hold a
// fraction can spend their sum. What is spent early is missing later.
const overdraft = 0.75

// LeastAway is the time for which a process that starts was away at least on any platform, or a VM that takes over a part learns of
// it late; the part earned meanwhile and nothing was spent.
const LeastAway = 200 * time.Millisecond

// Resize sets the budget, the number of its parts and whether this VM owns one. A part begins nearly empty: a VM that
// started anew does not admit again what its previous process admitted, but a fleet that starts serves its first callers.
func (account *Account) Resize(now time.Duration, budget limit.Budget, parts int, owns bool) {
	account.budget = budget
	account.share = divide(budget, parts)
	switch {
	case owns && account.owns:
		account.bucket.Resize(now, account.share)
	case owns:
		account.bucket = limit.NewBucket(account.share, now-account.away)
	}
	account.owns = owns
	// A part that is gained from now on comes from a VM that lives.
	account.away = LeastAway
}

// Admit spends one operation; first states that the operation was not counted as an arrival yet.
func (account *Account) Admit(now time.Duration, first bool) bool {
	if first {
		account.borrowed.Arrive(now)
	}
	// What is lent expires, so it is spent first.
	if account.borrowed.AdmitWaiting(now) {
		return true
	}
	return account.owns && account.bucket.Take(now, 1) == 1
}

// leastForecast is the demand in half of a validity from which on operations are borrowed ahead; what is borrowed for fewer
// mostly expires unspent.
const leastForecast = 2

// Wanted returns how many operations to borrow now: what the next half of a validity needs beyond what is there.
func (account *Account) Wanted(now time.Duration) int64 {
	if account.borrowed.Demand(now) < leastForecast {
		return 0
	}
	have := account.borrowed.Tokens(now)
	if account.owns {
		have += account.bucket.Tokens(now)
	}
	return max(account.borrowed.Demand(now)-have, 0)
}

// Lend takes up to amount operations out of the VM's own part for another VM, and returns what is left to lend. What this
// VM is about to need stays.
func (account *Account) Lend(now time.Duration, amount int64) (lent, left int64) {
	if !account.owns {
		return 0, 0
	}
	spare := max(account.bucket.Tokens(now)-account.borrowed.Demand(now), 0)
	lent = account.bucket.Take(now, min(amount, spare))
	return lent, spare - lent
}

// Receive adds what another VM lent for a request that was sent at the time.
func (account *Account) Receive(now, sent time.Duration, amount int64) {
	account.borrowed.Receive(now, sent, amount, LoanValidity)
}

// RetryAfter returns the time in which the whole fleet earns one more operation.
func (account *Account) RetryAfter() time.Duration {
	if account.budget.Rate <= 0 {
		return 0
	}
	return time.Duration(float64(time.Second) / account.budget.Rate)
}
