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
)

const (
	// planInterval is the time between two looks at the demand.
	planInterval = 50 * time.Millisecond
	// grantWait is how long an operation waits for other VMs to lend; a round trip between zones takes 1 to 3 ms.
	grantWait = 20 * time.Millisecond
)

// The kinds of datagrams.
const (
	kindAsk  mesh.Kind = "borrow"
	kindLend mesh.Kind = "lend"
)

// Limiter admits operations.
type Limiter struct {
	mesh *mesh.Mesh

	mutex sync.Mutex
	book  *quota.Book
	// lent is closed and replaced when a loan arrives.
	lent chan struct{}
}

// New returns a limiter that admits nothing until it knows the configuration and the VMs. Away is the time for which the process was
// away at least before it started.
func New(self ids.VMID, network *mesh.Mesh, away time.Duration) *Limiter {
	limiter := &Limiter{mesh: network, book: quota.NewBook(self, away), lent: make(chan struct{})}
	mesh.Handle(network, kindAsk, limiter.lend)
	mesh.Handle(network, kindLend, limiter.receive)
	return limiter
}

// SetCatalog takes the rates from the configuration.
func (limiter *Limiter) SetCatalog(current *catalog.Catalog) {
	budgets := make(map[ids.OrganisationID]limit.Budget, len(current.Organisations))
	for id, organisation := range current.Organisations {
		budgets[id] = limit.Budget{Rate: organisation.Rate, Burst: organisation.Burst}
	}
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	limiter.book.SetBudgets(clock.Now(), budgets)
}

// SetVMs sets the VMs that share the rates.
func (limiter *Limiter) SetVMs(vms []ids.VMID) {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	limiter.book.SetVMs(clock.Now(), vms)
}

// Admit implements proxy.Limiter.Admit.
func (limiter *Limiter) Admit(organisation *catalog.Organisation) (bool, time.Duration) {
	if organisation.Rate <= 0 {
		return true, 0
	}
	now := clock.Now()
	limiter.mutex.Lock()
	admitted := limiter.book.Admit(now, organisation.ID)
	if admitted || !limiter.book.Wait(now, organisation.ID) {
		after := limiter.book.RetryAfter(organisation.ID)
		limiter.mutex.Unlock()
		return admitted, after
	}
	limiter.borrow(now)
	limiter.mutex.Unlock()
	return limiter.await(organisation.ID, now+grantWait)
}

// await waits for a loan.
func (limiter *Limiter) await(organisation ids.OrganisationID, end time.Duration) (bool, time.Duration) {
	timer := time.NewTimer(end - clock.Now())
	defer timer.Stop()
	for expired := false; ; {
		limiter.mutex.Lock()
		admitted := limiter.book.AdmitWaiting(clock.Now(), organisation, expired)
		after := limiter.book.RetryAfter(organisation)
		lent := limiter.lent
		limiter.mutex.Unlock()
		if admitted || expired {
			return admitted, after
		}
		select {
		case <-lent:
		case <-timer.C:
			expired = true
		}
	}
}

// Run borrows ahead of demand until the context ends.
func (limiter *Limiter) Run(ctx context.Context) {
	clock.Every(ctx, planInterval, func() {
		limiter.mutex.Lock()
		defer limiter.mutex.Unlock()
		limiter.borrow(clock.Now())
	})
}

// borrow asks other VMs for what the organisations lack. The mutex is held.
func (limiter *Limiter) borrow(now time.Duration) {
	for _, ask := range limiter.book.Plan(now) {
		mesh.Send(limiter.mesh, ask.To, kindAsk, ask.Ask)
	}
}

// lend answers another VM.
func (limiter *Limiter) lend(sender ids.VMID, ask quota.Ask) {
	limiter.mutex.Lock()
	loan := limiter.book.Lend(clock.Now(), ask)
	limiter.mutex.Unlock()
	mesh.Send(limiter.mesh, sender, kindLend, loan)
}

// receive takes a loan.
func (limiter *Limiter) receive(sender ids.VMID, loan quota.Loan) {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	if now := clock.Now(); limiter.book.Receive(now, sender, loan) {
		limiter.borrow(now)
	}
	close(limiter.lent)
	limiter.lent = make(chan struct{})
}
