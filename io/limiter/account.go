package limiter

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"dotterelgw/core/limit"
)

// account holds an organisation's budget and tokens on this VM, and the queue of requests that wait for one.
type account struct {
	mutex    sync.Mutex
	budget   limit.Budget
	borrower *limit.Borrower
	// waiters holds the queued requests in order of arrival. A channel is closed when its request is admitted.
	waiters []chan struct{}
	// replies counts the replies of holders, including those without tokens.
	replies atomic.Int64
}

func newAccount(validity time.Duration, budget limit.Budget) *account {
	return &account{budget: budget, borrower: limit.NewBorrower(validity)}
}

func (account *account) setBudget(validity time.Duration, budget limit.Budget) {
	account.mutex.Lock()
	defer account.mutex.Unlock()
	account.budget = budget
	account.borrower.SetValidity(validity)
}

// admit spends a token if there is one and no earlier request waits for it. Either way it counts the request.
func (account *account) admit(now time.Duration) bool {
	account.mutex.Lock()
	defer account.mutex.Unlock()
	if len(account.waiters) > 0 {
		account.borrower.CountArrival(now)
		return false
	}
	return account.borrower.Admit(now)
}

// enqueue queues a request that admit refused. The returned channel is closed when the request is admitted.
func (account *account) enqueue() chan struct{} {
	waiter := make(chan struct{})
	account.mutex.Lock()
	defer account.mutex.Unlock()
	account.waiters = append(account.waiters, waiter)
	account.borrower.SetWaiting(int64(len(account.waiters)))
	return waiter
}

// cancelWait removes the request from the queue. It returns true if the request has been admitted in the meantime.
func (account *account) cancelWait(waiter chan struct{}) bool {
	account.mutex.Lock()
	defer account.mutex.Unlock()
	position := slices.Index(account.waiters, waiter)
	if position < 0 {
		return true
	}
	account.waiters = slices.Delete(account.waiters, position, position+1)
	account.borrower.SetWaiting(int64(len(account.waiters)))
	return false
}

// plannedAmount returns how many tokens to request in total.
func (account *account) plannedAmount(now time.Duration) int64 {
	account.mutex.Lock()
	defer account.mutex.Unlock()
	return account.borrower.TokensToRequest(now)
}

// planPerHolder returns how many tokens to request from each of the holders.
func (account *account) planPerHolder(now time.Duration, holders int) [limit.MaxParts]int64 {
	account.mutex.Lock()
	defer account.mutex.Unlock()
	return account.borrower.Split(account.borrower.TokensToRequest(now), holders)
}

// addInFlight adds to the number of tokens that are requested and not yet granted. The amount may be negative.
func (account *account) addInFlight(amount int64) {
	account.mutex.Lock()
	defer account.mutex.Unlock()
	account.borrower.AddPending(amount)
}

// receiveGrant adds the tokens of a holder's reply and admits waiting requests. sent is the time of the request to the
// holder.
func (account *account) receiveGrant(now, sent time.Duration, granted int64, validity time.Duration) {
	account.replies.Add(1)
	account.mutex.Lock()
	defer account.mutex.Unlock()
	account.borrower.Receive(now, sent, granted, validity)
	for len(account.waiters) > 0 && account.borrower.AdmitWaiting(now) {
		close(account.waiters[0])
		account.waiters = account.waiters[1:]
	}
	account.borrower.SetWaiting(int64(len(account.waiters)))
}

// usage returns the budget, the requests in the last window and the tokens left.
func (account *account) usage(now time.Duration) (limit.Budget, int64, int64) {
	account.mutex.Lock()
	defer account.mutex.Unlock()
	return account.budget, account.borrower.Demand(now), account.borrower.Tokens(now)
}
