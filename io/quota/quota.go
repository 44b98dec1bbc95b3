package quota

import (
	"context"
	"sync"
	"time"

	"dotterelgw/core/catalog"
	"dotterelgw/core/ids"
	"dotterelgw/core/limit"
	"dotterelgw/core/quota"
	"dotterelgw/io/clock"
	"dotterelgw/io/mesh"
	"dotterelgw/io/observe"
)

const (
	// borrowInterval is the time between two checks of whether to borrow ahead of demand.
	borrowInterval = 50 * time.Millisecond
	// borrowTimeout is how long an operation waits for a loan of other VMs; a round trip between zones takes 1 to 3 ms.
	borrowTimeout = 20 * time.Millisecond
)

// The kinds of messages.
const (
	kindRequest mesh.Kind = "loan_request"
	kindLoan    mesh.Kind = "loan"
)

// kinds holds the kinds of messages of one limiter.
type kinds struct {
	request, loan mesh.Kind
}

// Limiter limits the operations of each organisation to its rate over all VMs. It is safe for concurrent use.
type Limiter struct {
	mesh  *mesh.Mesh
	kinds kinds
	// eventLog is nil if nothing is logged.
	eventLog *observe.EventLog
	counters

	mutex sync.Mutex
	// accounts holds the budgets of all organisations on this VM.
	accounts *quota.Accounts
	// loanReceived is closed and replaced when a loan arrives.
	loanReceived chan struct{}
}

// New returns a limiter that admits nothing until it knows the configuration and the VMs. Before its start the process
// was not running for minDowntime or longer.
func New(self ids.VMID, network *mesh.Mesh, minDowntime time.Duration, options ...Option) *Limiter {
	return newLimiter(self, network, minDowntime, kinds{request: kindRequest, loan: kindLoan}, options...)
}

// newLimiter returns a limiter that borrows by messages of the kinds.
func newLimiter(self ids.VMID, network *mesh.Mesh, minDowntime time.Duration, kinds kinds, options ...Option) *Limiter {
	limiter := &Limiter{
		mesh: network, kinds: kinds, accounts: quota.NewAccounts(self, minDowntime), loanReceived: make(chan struct{}), counters: newCounters(),
	}
	for _, option := range options {
		option(limiter)
	}
	mesh.Handle(network, kinds.request, limiter.handleBorrow)
	mesh.Handle(network, kinds.loan, limiter.handleLoan)
	return limiter
}

// SetCatalog applies the rates and bursts of the configuration.
func (limiter *Limiter) SetCatalog(current *catalog.Catalog) {
	budgets := make(map[ids.OrganisationID]limit.Budget, len(current.Organisations))
	for id, organisation := range current.Organisations {
		budgets[id] = limit.Budget{Rate: organisation.Rate, Burst: organisation.Burst}
	}
	limiter.setBudgets(budgets)
}

func (limiter *Limiter) setBudgets(budgets map[ids.OrganisationID]limit.Budget) {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	limiter.accounts.SetBudgets(clock.Now(), budgets)
}

// SetVMs sets the VMs that share the rates.
func (limiter *Limiter) SetVMs(vms []ids.VMID) {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	limiter.accounts.SetVMs(clock.Now(), vms)
}

// SetNear sets the VMs of the own availability zone, which are asked for loans first.
func (limiter *Limiter) SetNear(vms []ids.VMID) {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	limiter.accounts.SetNear(vms)
}

// Admit implements proxy.Limiter.Admit. An operation over the budget of this VM waits up to borrowTimeout for a loan if one may
// come.
func (limiter *Limiter) Admit(organisation *catalog.Organisation) (bool, time.Duration) {
	if organisation.Rate <= 0 {
		return true, 0
	}
	now := clock.Now()
	limiter.mutex.Lock()
	admitted := limiter.accounts.Admit(now, organisation.ID)
	if admitted || !limiter.accounts.StartWait(now, organisation.ID) {
		defer limiter.mutex.Unlock()
		return admitted, limiter.retryAfter(now, organisation.ID, admitted)
	}
	limiter.borrow(now)
	limiter.mutex.Unlock()
	limiter.waits.Inc(1)
	return limiter.awaitLoan(organisation.ID, now+borrowTimeout)
}

// Standing implements proxy.Limiter.Standing.
func (limiter *Limiter) Standing(organisation *catalog.Organisation) (quota.Standing, time.Duration) {
	if organisation.Rate <= 0 {
		return quota.Covered, 0
	}
	now := clock.Now()
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	standing := limiter.accounts.Standing(now, organisation.ID)
	return standing, limiter.accounts.RetryEstimate(now, organisation.ID)
}

// retryAfter returns when a refused operation may be tried again. The mutex is held.
func (limiter *Limiter) retryAfter(now time.Duration, organisation ids.OrganisationID, admitted bool) time.Duration {
	if admitted {
		return 0
	}
	return limiter.accounts.RetryAfter(now, organisation)
}

// awaitLoan admits an operation once a loan covers it. At the deadline, or once no loan is to be expected, it decides on what is there.
func (limiter *Limiter) awaitLoan(organisation ids.OrganisationID, deadline time.Duration) (bool, time.Duration) {
	timer := time.NewTimer(deadline - clock.Now())
	defer timer.Stop()
	for expired := false; ; {
		limiter.mutex.Lock()
		now := clock.Now()
		admitted := limiter.accounts.AdmitWaiting(now, organisation, expired)
		ended := admitted || expired
		if !ended && !limiter.mayWait(now, organisation) {
			ended, admitted = true, limiter.accounts.AdmitWaiting(now, organisation, true)
		}
		retryAfter := time.Duration(0)
		if ended {
			retryAfter = limiter.retryAfter(now, organisation, admitted)
		}
		loanReceived := limiter.loanReceived
		limiter.mutex.Unlock()
		if ended {
			return admitted, retryAfter
		}
		select {
		case <-loanReceived:
		case <-timer.C:
			expired = true
		}
	}
}

// mayWait reports whether a loan may still come. Requests are sent if there is none, as an operation that arrived later may have spent
// the loan. The mutex is held.
func (limiter *Limiter) mayWait(now time.Duration, organisation ids.OrganisationID) bool {
	if limiter.accounts.ExpectsLoan(now, organisation) {
		return true
	}
	limiter.borrow(now)
	return limiter.accounts.ExpectsLoan(now, organisation)
}

// Run borrows ahead of demand, and reports budgets that are used up, until the context ends.
func (limiter *Limiter) Run(ctx context.Context) {
	var known map[ids.OrganisationID]quota.Shortage
	go clock.Every(ctx, shortageInterval, func() { known = limiter.reportShortages(known) })
	clock.Every(ctx, borrowInterval, func() {
		limiter.mutex.Lock()
		defer limiter.mutex.Unlock()
		limiter.borrow(clock.Now())
	})
}

// borrow requests the operations that organisations lack from other VMs. The mutex is held.
func (limiter *Limiter) borrow(now time.Duration) {
	for _, request := range limiter.accounts.PlanRequests(now) {
		mesh.Send(limiter.mesh, request.To, limiter.kinds.request, request.LoanRequest)
	}
}

// handleBorrow answers the request of another VM with a loan, which may lend nothing.
func (limiter *Limiter) handleBorrow(sender ids.VMID, request quota.LoanRequest) {
	limiter.mutex.Lock()
	loan := limiter.accounts.Lend(clock.Now(), request)
	limiter.mutex.Unlock()
	if len(loan.Items) == 0 {
		return
	}
	countLoan(limiter.lent, loan)
	mesh.Send(limiter.mesh, sender, limiter.kinds.loan, loan)
}

// handleLoan credits a loan, borrows more if operations still wait, and wakes the waiting operations.
func (limiter *Limiter) handleLoan(sender ids.VMID, loan quota.Loan) {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	countLoan(limiter.borrowed, loan)
	if now := clock.Now(); limiter.accounts.Receive(now, sender, loan) {
		limiter.borrow(now)
	}
	close(limiter.loanReceived)
	limiter.loanReceived = make(chan struct{})
}
