package quota

import (
	"context"
	"slices"
	"sync"
	"time"

	"dotterelgw/core/catalog"
	"dotterelgw/core/ids"
	"dotterelgw/core/limit"
	"dotterelgw/core/member"
	"dotterelgw/core/quota"
	"dotterelgw/io/clock"
	"dotterelgw/io/mesh"
)

const (
	// planInterval is the time between two looks at the demand.
	planInterval = 50 * time.Millisecond
	// grantWait is how long an operation waits for other VMs to lend; a round trip between zones takes 1 to 3 ms.
	grantWait = 20 * time.Millisecond
	// dryInterval is the time for which an organisation is not asked for again after no VM had anything to lend.
	dryInterval = 40 * time.Millisecond
)

// The kinds of datagrams.
const (
	kindAsk  mesh.Kind = "borrow"
	kindLend mesh.Kind = "lend"
)

// ask asks a VM to lend operations.
type ask struct {
	// Number tells the answers to several requests apart.
	Number uint64      `cbor:"number"`
	Items  []askedItem `cbor:"items"`
}

type askedItem struct {
	Organisation ids.OrganisationID `cbor:"organisation"`
	Amount       int64              `cbor:"amount"`
}

// loan answers an ask.
type loan struct {
	Number uint64     `cbor:"number"`
	Items  []lentItem `cbor:"items"`
}

type lentItem struct {
	Organisation ids.OrganisationID `cbor:"organisation"`
	Amount       int64              `cbor:"amount"`
	// Left is what the VM could lend besides.
	Left int64 `cbor:"left"`
}

// Limiter admits operations.
type Limiter struct {
	self ids.VMID
	mesh *mesh.Mesh

	mutex    sync.Mutex
	accounts map[ids.OrganisationID]*account
	catalog  *catalog.Catalog
	vms      []member.Member
	// asked holds the time at which each ask was sent that may still be answered.
	asked  map[uint64]askedAt
	number uint64
}

// askedAt is an ask under way to one VM.
type askedAt struct {
	peer ids.VMID
	sent time.Duration
}

// account is an organisation's account with those who wait for a loan.
type account struct {
	*quota.Account
	lenders quota.Lenders
	// lent is closed and replaced when a loan arrives.
	lent chan struct{}
	// dryUntil is the time up to which it is no use to wait.
	dryUntil time.Duration
	// waiting is the number of operations that wait.
	waiting int64
}

// New returns a limiter that admits nothing until it knows the configuration and the VMs.
func New(self ids.VMID, network *mesh.Mesh) *Limiter {
	limiter := &Limiter{self: self, mesh: network, accounts: make(map[ids.OrganisationID]*account), asked: make(map[uint64]askedAt)}
	mesh.Handle(network, kindAsk, limiter.lend)
	mesh.Handle(network, kindLend, limiter.receive)
	return limiter
}

// SetCatalog takes the rates from the configuration.
func (limiter *Limiter) SetCatalog(current *catalog.Catalog) {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	limiter.catalog = current
	limiter.resize()
}

// SetVMs sets the VMs that share the rates.
func (limiter *Limiter) SetVMs(vms []ids.VMID) {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	limiter.vms = limiter.vms[:0]
	for _, vm := range vms {
		limiter.vms = append(limiter.vms, member.Member{ID: vm})
	}
	limiter.resize()
}

// resize divides the rates anew. The mutex is held.
func (limiter *Limiter) resize() {
	if limiter.catalog == nil || len(limiter.vms) == 0 {
		return
	}
	now := clock.Now()
	for id := range limiter.accounts {
		if _, ok := limiter.catalog.Organisations[id]; !ok {
			delete(limiter.accounts, id)
		}
	}
	for id, organisation := range limiter.catalog.Organisations {
		held, ok := limiter.accounts[id]
		if !ok {
			held = &account{Account: quota.NewAccount(), lent: make(chan struct{})}
			limiter.accounts[id] = held
		}
		budget := limit.Budget{Rate: organisation.Rate, Burst: organisation.Burst}
		parts := quota.Parts(budget, len(limiter.vms))
		owners := member.Top("quota/"+string(id), parts, limiter.vms)
		owns := slices.ContainsFunc(owners, func(owner member.Member) bool { return owner.ID == limiter.self })
		held.Resize(now, budget, parts, owns)
	}
}

// Admit implements proxy.Limiter.Admit.
func (limiter *Limiter) Admit(organisation *catalog.Organisation) (bool, time.Duration) {
	if organisation.Rate <= 0 {
		return true, 0
	}
	limiter.mutex.Lock()
	held, ok := limiter.accounts[organisation.ID]
	if !ok {
		limiter.mutex.Unlock()
		return false, planInterval
	}
	now := clock.Now()
	if held.Admit(now, true) {
		limiter.mutex.Unlock()
		return true, 0
	}
	if now < held.dryUntil {
		limiter.mutex.Unlock()
		return false, held.RetryAfter()
	}
	held.waiting++
	limiter.borrow(now, organisation.ID)
	limiter.mutex.Unlock()
	return limiter.await(held, now+grantWait)
}

// await waits for a loan.
func (limiter *Limiter) await(held *account, end time.Duration) (bool, time.Duration) {
	timer := time.NewTimer(end - clock.Now())
	defer timer.Stop()
	for expired := false; ; {
		limiter.mutex.Lock()
		now := clock.Now()
		admitted := held.Admit(now, false)
		if admitted || expired {
			held.waiting--
			if !admitted {
				held.dryUntil = now + dryInterval
			}
			limiter.mutex.Unlock()
			return admitted, held.RetryAfter()
		}
		lent := held.lent
		limiter.mutex.Unlock()
		select {
		case <-lent:
		case <-timer.C:
			expired = true
		}
	}
}

// Run borrows ahead of demand until the context ends.
func (limiter *Limiter) Run(ctx context.Context) {
	ticker := time.NewTicker(planInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		limiter.mutex.Lock()
		now := clock.Now()
		limiter.forget(now)
		var needy []ids.OrganisationID
		for id, held := range limiter.accounts {
			if now >= held.dryUntil && held.Wanted(now) > 0 {
				needy = append(needy, id)
			}
		}
		limiter.borrow(now, needy...)
		limiter.mutex.Unlock()
	}
}

// forget drops asks that were not answered in time.
func (limiter *Limiter) forget(now time.Duration) {
	for number, asked := range limiter.asked {
		if now-asked.sent > quota.LoanValidity {
			delete(limiter.asked, number)
		}
	}
}

// borrow asks other VMs for what the organisations lack. The mutex is held.
func (limiter *Limiter) borrow(now time.Duration, organisations ...ids.OrganisationID) {
	if len(organisations) == 0 {
		return
	}
	peers := limiter.mesh.Peers()
	items := make(map[ids.VMID][]askedItem)
	for _, id := range organisations {
		held := limiter.accounts[id]
		for _, demand := range held.lenders.Split(now, held.Wanted(now)+held.waiting, peers) {
			items[demand.VM] = append(items[demand.VM], askedItem{Organisation: id, Amount: demand.Amount})
		}
	}
	for peer, asked := range items {
		limiter.number++
		limiter.asked[limiter.number] = askedAt{peer: peer, sent: now}
		mesh.Send(limiter.mesh, peer, kindAsk, ask{Number: limiter.number, Items: asked})
	}
}

// lend answers another VM.
func (limiter *Limiter) lend(sender ids.VMID, message ask) {
	answer := loan{Number: message.Number}
	limiter.mutex.Lock()
	now := clock.Now()
	for _, item := range message.Items {
		if held, ok := limiter.accounts[item.Organisation]; ok {
			amount, left := held.Lend(now, item.Amount)
			answer.Items = append(answer.Items, lentItem{Organisation: item.Organisation, Amount: amount, Left: left})
		}
	}
	limiter.mutex.Unlock()
	mesh.Send(limiter.mesh, sender, kindLend, answer)
}

// receive takes a loan; one that was not asked for or came twice is ignored.
func (limiter *Limiter) receive(sender ids.VMID, message loan) {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	asked, ok := limiter.asked[message.Number]
	if !ok || asked.peer != sender {
		return
	}
	delete(limiter.asked, message.Number)
	now := clock.Now()
	for _, item := range message.Items {
		if held, ok := limiter.accounts[item.Organisation]; ok {
			held.lenders.Note(now, sender, item.Left)
			held.Receive(now, asked.sent, item.Amount)
			close(held.lent)
			held.lent = make(chan struct{})
		}
	}
}
