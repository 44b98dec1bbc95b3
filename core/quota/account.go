package quota

import (
	"time"

	"dotterelgw/core/limit"
)

// LoanValidity is how long borrowed operations may be spent. Unspent loans are limited to the demand of half this time. By that
// amount an organisation may exceed its rate in a window.
const LoanValidity = 600 * time.Millisecond

// minShareBurst is the minimum burst of one share in operations. A full share loses what it earns, and small shares are full more
// often. With fewer shares, on the other hand, the loss of one VM costs more of the rate.
const minShareBurst = 3

// Account limits the rate of one organisation on one VM. It combines the VM's own share of the budget, if it has one, with loans
// from other VMs. It is not safe for concurrent use.
type Account struct {
	// downtime is the time whose earnings a new share starts with.
	downtime  time.Duration
	budget    limit.Budget
	share     limit.Share
	ownsShare bool
	bucket    limit.Bucket
	borrower  *limit.Borrower
	// contention divides the share while it is not enough.
	contention contention
	// arrived and admitted count the operations that arrived and those that this VM admitted.
	arrived, admitted rateWindow
}

// NewAccount returns an account without a share. Downtime is the minimum time for which the process was down before it started.
func NewAccount(downtime time.Duration) *Account {
	return &Account{downtime: downtime, borrower: limit.NewBorrower(LoanValidity)}
}

// ShareCount returns the number of shares into which a budget is divided over the VMs.
func ShareCount(budget limit.Budget, vms int) int {
	return max(1, min(vms, int(budget.Burst/minShareBurst)))
}

// shareOf returns one of the equal shares of a budget.
func shareOf(budget limit.Budget, shares int) limit.Share {
	return limit.Share{Rate: budget.Rate / float64(shares), Burst: budget.Burst / float64(shares), Overdraft: overdraft}
}

// overdraft is the fraction of an operation that a share may spend before it is earned. It lets several shares that each hold a
// fraction of an operation admit the sum. The fraction is deducted from later earnings.
const overdraft = 0.75

// MinDowntime is the minimum time for which a share was unused before it is taken over: on any platform a process is down at least
// this long before it restarts, and a VM learns at least this late that it takes over a share. The share earns during this time.
const MinDowntime = 200 * time.Millisecond

// Resize sets the budget, the number of its shares and whether this VM owns one. A new share is nearly empty, so that a restarted
// process doesn't admit again what its predecessor admitted, but holds enough for a starting fleet to serve its first callers.
func (account *Account) Resize(now time.Duration, budget limit.Budget, shares int, ownsShare bool) {
	account.budget = budget
	account.share = shareOf(budget, shares)
	switch {
	case ownsShare && account.ownsShare:
		account.bucket.Resize(now, account.share)
	case ownsShare:
		account.bucket = limit.NewBucket(account.share, now-account.downtime)
	}
	account.ownsShare = ownsShare
	// Shares gained later are taken over from a live VM, not from this VM's previous process.
	account.downtime = MinDowntime
}

// Admit spends one operation if one is available. First reports whether the operation has yet to be counted as an arrival.
func (account *Account) Admit(now time.Duration, first bool) bool {
	if first {
		account.borrower.CountArrival(now)
		account.arrived.add(now, 1)
	}
	// Loans expire, so they are spent first.
	admitted := account.borrower.AdmitWaiting(now) || account.takeOwn(now)
	if admitted {
		account.admitted.add(now, 1)
	}
	return admitted
}

// takeOwn spends one operation of the VM's own share, unless it is reserved for other VMs.
func (account *Account) takeOwn(now time.Duration) bool {
	if !account.ownsShare {
		return false
	}
	account.contention.update(now, account.share, account.arrived.perSecond(now))
	return account.mayTakeOwn(now) && account.bucket.Take(now, 1) == 1
}

// mayTakeOwn reports whether the VM's own share has an operation that is not reserved for other VMs.
func (account *Account) mayTakeOwn(now time.Duration) bool {
	if !account.ownsShare {
		return false
	}
	tokens := account.bucket.Tokens(now)
	return tokens > 0 && (tokens > account.contention.reservedOperations() || account.nearlyFull(now))
}

// minForecast is the minimum demand, in half of LoanValidity, for which operations are borrowed ahead. At lower demand most
// loans expire unspent.
const minForecast = 2

// Shortfall returns the number of operations to borrow now: the expected demand of the next half of LoanValidity minus the
// operations that are available.
func (account *Account) Shortfall(now time.Duration) int64 {
	if account.borrower.Demand(now) < minForecast {
		return 0
	}
	available := account.borrower.Tokens(now)
	if account.ownsShare {
		available += account.bucket.Tokens(now)
	}
	return max(account.borrower.Demand(now)-available, 0)
}

// Lend takes up to the requested amount from the VM's own share for another VM and returns how many more it could lend. It retains
// the expected demand of this VM, but not the part that other VMs are due while requests can't be met.
func (account *Account) Lend(now time.Duration, item LoanRequestItem) (lent, remaining int64) {
	if !account.ownsShare || item.Amount <= 0 {
		return 0, 0
	}
	account.contention.update(now, account.share, account.arrived.perSecond(now))
	tokens := account.bucket.Tokens(now)
	spare := max(tokens-account.borrower.Demand(now), min(account.contention.reservedOperations(), tokens), 0)
	if account.nearlyFull(now) {
		spare = max(spare, 1)
	}
	lent = account.bucket.Take(now, min(item.Amount, spare))
	account.contention.lent(now, item, lent)
	return lent, spare - lent
}

// nearlyFull reports whether the share loses what it earns next, so that one operation may go to anybody.
func (account *Account) nearlyFull(now time.Duration) bool {
	return float64(account.bucket.Tokens(now)) > account.share.Burst-1
}

// Receive adds a loan from another VM. The validity of the loan starts at the time when its request was sent.
func (account *Account) Receive(now, sent time.Duration, amount int64) {
	account.borrower.Receive(now, sent, amount, LoanValidity)
}
