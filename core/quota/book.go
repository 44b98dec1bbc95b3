package quota

import (
	"slices"
	"time"

	"dotterelgw/core/ids"
	"dotterelgw/core/limit"
	"dotterelgw/core/member"
)

// dryInterval is the time for which it is no use to wait for a loan after none came.
const dryInterval = 40 * time.Millisecond

// sparseDemand is the demand in a window up to which the next VM is asked as soon as one had too little. With more demand
// the next plan does so; else an organisation over its rate would cause as many datagrams as it sends operations.
const sparseDemand = 3

// Ask asks a VM to lend operations.
type Ask struct {
	// Number tells the answers to several requests apart.
	Number uint64 `cbor:"number"`
	// Items holds what is asked for.
	Items []Wanted `cbor:"items"`
}

// Wanted is what is asked for of one organisation.
type Wanted struct {
	// Organisation names the organisation.
	Organisation ids.OrganisationID `cbor:"organisation"`
	// Amount is the number of operations.
	Amount int64 `cbor:"amount"`
}

// Loan answers an Ask.
type Loan struct {
	// Number is that of the Ask.
	Number uint64 `cbor:"number"`
	// Items holds what is lent.
	Items []Lent `cbor:"items"`
}

// Lent is what is lent of one organisation.
type Lent struct {
	// Organisation names the organisation.
	Organisation ids.OrganisationID `cbor:"organisation"`
	// Amount is the number of operations.
	Amount int64 `cbor:"amount"`
	// Left is what the VM could lend besides.
	Left int64 `cbor:"left"`
}

// Addressed is an Ask with the VM that it goes to.
type Addressed struct {
	// To is the VM.
	To ids.VMID
	Ask
}

// Book holds the accounts of all organisations on one VM. It is not safe for concurrent use.
type Book struct {
	self     ids.VMID
	vms      []member.Member
	budgets  map[ids.OrganisationID]limit.Budget
	accounts map[ids.OrganisationID]*entry
	// asked holds the asks that may still be answered.
	asked  map[uint64]pending
	number uint64
	// away is the time for which the process was away at least.
	away time.Duration
}

// entry is an account with what the book knows of the others'.
type entry struct {
	*Account
	lenders Lenders
	// owners holds the other VMs that own a part.
	owners []ids.VMID
	// dryUntil is the time up to which it is no use to wait.
	dryUntil time.Duration
	// waiting is the number of operations that wait for a loan.
	waiting int64
}

// wanted returns how many operations to ask for now. Asking for those that wait besides those to come evens out parts that
// are all nearly empty; at sparse demand there are none to come.
func (entry *entry) wanted(now time.Duration) int64 {
	if entry.borrowed.Demand(now) <= sparseDemand {
		return max(entry.Wanted(now), entry.waiting)
	}
	return entry.Wanted(now) + entry.waiting
}

// pending is an ask under way.
type pending struct {
	to   ids.VMID
	sent time.Duration
}

// NewBook returns a book of the VM that admits nothing until it knows budgets and VMs. Away is the time for which the process was
// away at least before it started, LeastAway if nothing is known.
func NewBook(self ids.VMID, away time.Duration) *Book {
	return &Book{self: self, away: away, accounts: make(map[ids.OrganisationID]*entry), asked: make(map[uint64]pending)}
}

// SetBudgets replaces the budgets of all organisations.
func (book *Book) SetBudgets(now time.Duration, budgets map[ids.OrganisationID]limit.Budget) {
	book.budgets = budgets
	for id := range book.accounts {
		if _, ok := budgets[id]; !ok {
			delete(book.accounts, id)
		}
	}
	book.resize(now)
}

// SetVMs replaces the VMs that share the budgets.
func (book *Book) SetVMs(now time.Duration, vms []ids.VMID) {
	book.vms = book.vms[:0]
	for _, vm := range vms {
		book.vms = append(book.vms, member.Member{ID: vm})
	}
	book.resize(now)
}

// resize divides the budgets anew.
func (book *Book) resize(now time.Duration) {
	if len(book.vms) == 0 {
		return
	}
	for id, budget := range book.budgets {
		held, ok := book.accounts[id]
		if !ok {
			held = &entry{Account: NewAccount(book.away)}
			held.lenders.StartAt(slices.IndexFunc(book.vms, func(vm member.Member) bool { return vm.ID == book.self }))
			book.accounts[id] = held
		}
		parts := Parts(budget, len(book.vms))
		held.owners = held.owners[:0]
		owns := false
		for _, owner := range member.Top("quota/"+string(id), parts, book.vms) {
			if owner.ID == book.self {
				owns = true
				continue
			}
			held.owners = append(held.owners, owner.ID)
		}
		held.Resize(now, budget, parts, owns)
	}
}

// Admit spends an operation of the organisation.
func (book *Book) Admit(now time.Duration, organisation ids.OrganisationID) bool {
	held, ok := book.accounts[organisation]
	return ok && held.Admit(now, true)
}

// Wait notes that an operation waits for a loan, and returns false if that is no use.
func (book *Book) Wait(now time.Duration, organisation ids.OrganisationID) bool {
	held, ok := book.accounts[organisation]
	if !ok || now < held.dryUntil {
		return false
	}
	held.waiting++
	return true
}

// AdmitWaiting spends an operation for one that waits. Last ends the wait either way.
func (book *Book) AdmitWaiting(now time.Duration, organisation ids.OrganisationID, last bool) bool {
	held, ok := book.accounts[organisation]
	if !ok {
		return false
	}
	admitted := held.Admit(now, false)
	if admitted || last {
		held.waiting--
	}
	if last && !admitted {
		held.dryUntil = now + dryInterval
	}
	return admitted
}

// RetryAfter returns the time in which the whole fleet earns one more operation of the organisation.
func (book *Book) RetryAfter(organisation ids.OrganisationID) time.Duration {
	held, ok := book.accounts[organisation]
	if !ok {
		return dryInterval
	}
	return held.RetryAfter()
}

// Plan returns what to ask other VMs for.
func (book *Book) Plan(now time.Duration) []Addressed {
	book.forget(now)
	items := make(map[ids.VMID][]Wanted)
	for id, held := range book.accounts {
		if wanted := held.wanted(now); wanted > 0 {
			for _, demand := range held.lenders.Split(now, wanted, held.share.Rate, held.owners) {
				items[demand.VM] = append(items[demand.VM], Wanted{Organisation: id, Amount: demand.Amount})
			}
		}
	}
	var asks []Addressed
	for peer, wanted := range items {
		book.number++
		book.asked[book.number] = pending{to: peer, sent: now}
		asks = append(asks, Addressed{To: peer, Ask: Ask{Number: book.number, Items: wanted}})
	}
	return asks
}

// forget drops asks that were not answered in time.
func (book *Book) forget(now time.Duration) {
	for number, asked := range book.asked {
		if now-asked.sent > LoanValidity {
			delete(book.asked, number)
		}
	}
}

// Lend answers another VM.
func (book *Book) Lend(now time.Duration, ask Ask) Loan {
	loan := Loan{Number: ask.Number}
	for _, item := range ask.Items {
		if held, ok := book.accounts[item.Organisation]; ok {
			amount, left := held.Lend(now, item.Amount)
			loan.Items = append(loan.Items, Lent{Organisation: item.Organisation, Amount: amount, Left: left})
		}
	}
	return loan
}

// Receive takes a loan. One that was not asked for, or that came twice, is ignored. It returns whether operations still
// wait, so that other VMs are to be asked.
func (book *Book) Receive(now time.Duration, sender ids.VMID, loan Loan) (wanting bool) {
	asked, ok := book.asked[loan.Number]
	if !ok || asked.to != sender {
		return false
	}
	delete(book.asked, loan.Number)
	for _, item := range loan.Items {
		if held, ok := book.accounts[item.Organisation]; ok {
			held.lenders.Note(now, sender, item.Left)
			held.Receive(now, asked.sent, item.Amount)
			few := held.borrowed.Demand(now) <= sparseDemand
			wanting = wanting || few && held.waiting > held.borrowed.Tokens(now)
		}
	}
	return wanting
}
