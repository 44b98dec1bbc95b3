package limiter

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"dotterelgw/core/limit"
)

// account is one organisation's budget on this VM.
type account struct {
	mutex    sync.Mutex
	budget   limit.Budget
	borrower *limit.Borrower
	waiters  []chan struct{}
	// answers counts the holders' answers, those without tokens included.
	answers atomic.Int64
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

// admit spends a token unless earlier requests wait for one.
func (account *account) admit(now time.Duration) bool {
	account.mutex.Lock()
	defer account.mutex.Unlock()
	if len(account.waiters) > 0 {
		account.borrower.Arrive(now)
		return false
	}
	return account.borrower.Admit(now)
}

// join queues a request that was counted by admit; the channel is closed when it may run.
func (account *account) join() chan struct{} {
	waiter := make(chan struct{})
	account.mutex.Lock()
	defer account.mutex.Unlock()
	account.waiters = append(account.waiters, waiter)
	account.borrower.SetWaiting(int64(len(account.waiters)))
	return waiter
}

// leave takes the request out of the queue and returns whether it was admitted in the meantime.
func (account *account) leave(waiter chan struct{}) bool {
	account.mutex.Lock()
	defer account.mutex.Unlock()
	at := slices.Index(account.waiters, waiter)
	if at < 0 {
		return true
	}
	account.waiters = slices.Delete(account.waiters, at, at+1)
	account.borrower.SetWaiting(int64(len(account.waiters)))
	return false
}

// wanted returns how many tokens to ask for in all.
func (account *account) wanted(now time.Duration) int64 {
	account.mutex.Lock()
	defer account.mutex.Unlock()
	return account.borrower.Plan(now)
}

// plan returns how many tokens to ask of each of the holders.
func (account *account) plan(now time.Duration, holders int) [limit.MaxParts]int64 {
	account.mutex.Lock()
	defer account.mutex.Unlock()
	return account.borrower.Split(account.borrower.Plan(now), holders)
}

func (account *account) pend(amount int64) {
	account.mutex.Lock()
	defer account.mutex.Unlock()
	account.borrower.Pend(amount)
}

// receive takes a holder's answer to what was asked at the time sent, and admits waiting requests.
func (account *account) receive(now, sent time.Duration, granted int64, validity time.Duration) {
	account.answers.Add(1)
	account.mutex.Lock()
	defer account.mutex.Unlock()
	account.borrower.Receive(now, sent, granted, validity)
	for len(account.waiters) > 0 && account.borrower.AdmitWaiting(now) {
		close(account.waiters[0])
		account.waiters = account.waiters[1:]
	}
	account.borrower.SetWaiting(int64(len(account.waiters)))
}

func (account *account) usage(now time.Duration) (limit.Budget, int64, int64) {
	account.mutex.Lock()
	defer account.mutex.Unlock()
	return account.budget, account.borrower.Demand(now), account.borrower.Tokens(now)
}
