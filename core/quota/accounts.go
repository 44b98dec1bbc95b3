package quota

import (
	"slices"
	"time"

	"dotterelgw/core/ids"
	"dotterelgw/core/limit"
	"dotterelgw/core/member"
)

// noLoanBackoff is how long operations don't wait for loans after one has waited in vain.
const noLoanBackoff = 40 * time.Millisecond

// lowDemand is the demand in a window up to which the next VM is sent a request as soon as one lent too little. At higher
// demand this is left to the next plan. Otherwise an organisation over its rate would cause as many datagrams as operations.
const lowDemand = 3

// LoanRequest is a request to another VM to lend operations.
type LoanRequest struct {
	// Number identifies the request, so that replies can be matched to it.
	Number uint64 `cbor:"number"`
	// Items holds the requested amounts.
	Items []LoanRequestItem `cbor:"items"`
}

// LoanRequestItem is the amount requested for one organisation.
type LoanRequestItem struct {
	// Organisation identifies the organisation.
	Organisation ids.OrganisationID `cbor:"organisation"`
	// Amount is the number of operations requested.
	Amount int64 `cbor:"amount"`
}

// Loan is the reply to a LoanRequest.
type Loan struct {
	// Number is the number of the LoanRequest.
	Number uint64 `cbor:"number"`
	// Items holds the lent amounts.
	Items []LoanItem `cbor:"items"`
}

// LoanItem is the amount lent for one organisation.
type LoanItem struct {
	// Organisation identifies the organisation.
	Organisation ids.OrganisationID `cbor:"organisation"`
	// Amount is the number of operations lent.
	Amount int64 `cbor:"amount"`
	// Remaining is the number of operations that the lender could still lend.
	Remaining int64 `cbor:"left"`
}

// OutgoingRequest is a LoanRequest with its recipient.
type OutgoingRequest struct {
	// To is the recipient.
	To ids.VMID
	LoanRequest
}

// Accounts holds the accounts of all organisations on one VM. It is not safe for concurrent use.
type Accounts struct {
	self           ids.VMID
	vms            []member.Member
	budgets        map[ids.OrganisationID]limit.Budget
	byOrganisation map[ids.OrganisationID]*entry
	// outstanding maps the numbers of requests without a reply to their details. They expire after LoanValidity.
	outstanding map[uint64]request
	number      uint64
	// downtime is the minimum time for which the process was down before it started.
	downtime time.Duration
}

// entry is an account with the state of borrowing from other VMs.
type entry struct {
	*Account
	lenders Lenders
	// owners holds the other VMs that own a share.
	owners []ids.VMID
	// backoffUntil is the time until which operations don't wait for loans.
	backoffUntil time.Duration
	// waiting is the number of operations that are waiting for a loan.
	waiting int64
}

// toRequest returns the number of operations to request now. Requesting the waiting operations in addition to the expected
// demand balances shares that are all nearly empty. At low demand no further operations are expected.
func (entry *entry) toRequest(now time.Duration) int64 {
	if entry.borrower.Demand(now) <= lowDemand {
		return max(entry.Shortfall(now), entry.waiting)
	}
	return entry.Shortfall(now) + entry.waiting
}

// request is an outstanding request.
type request struct {
	to   ids.VMID
	sent time.Duration
}

// NewAccounts returns the accounts of the VM, which admit nothing until they have budgets and VMs. Downtime is the minimum time for which
// the process was down before it started, or MinDowntime if unknown.
func NewAccounts(self ids.VMID, downtime time.Duration) *Accounts {
	return &Accounts{self: self, downtime: downtime, byOrganisation: make(map[ids.OrganisationID]*entry), outstanding: make(map[uint64]request)}
}

// SetBudgets replaces the budgets of all organisations.
func (accounts *Accounts) SetBudgets(now time.Duration, budgets map[ids.OrganisationID]limit.Budget) {
	accounts.budgets = budgets
	for id := range accounts.byOrganisation {
		if _, ok := budgets[id]; !ok {
			delete(accounts.byOrganisation, id)
		}
	}
	accounts.resize(now)
}

// SetVMs replaces the VMs that share the budgets.
func (accounts *Accounts) SetVMs(now time.Duration, vms []ids.VMID) {
	accounts.vms = accounts.vms[:0]
	for _, vm := range vms {
		accounts.vms = append(accounts.vms, member.Member{ID: vm})
	}
	accounts.resize(now)
}

// resize recomputes the shares of all accounts after a change of budgets or VMs. It does nothing until the VMs are known.
func (accounts *Accounts) resize(now time.Duration) {
	if len(accounts.vms) == 0 {
		return
	}
	for id, budget := range accounts.budgets {
		account, ok := accounts.byOrganisation[id]
		if !ok {
			account = &entry{Account: NewAccount(accounts.downtime)}
			account.lenders.StartAt(slices.IndexFunc(accounts.vms, func(vm member.Member) bool { return vm.ID == accounts.self }))
			accounts.byOrganisation[id] = account
		}
		shares := ShareCount(budget, len(accounts.vms))
		account.owners = account.owners[:0]
		ownsShare := false
		for _, owner := range member.Top("quota/"+string(id), shares, accounts.vms) {
			if owner.ID == accounts.self {
				ownsShare = true
				continue
			}
			account.owners = append(account.owners, owner.ID)
		}
		account.Resize(now, budget, shares, ownsShare)
	}
}

// Admit spends an operation of the organisation if one is available, and counts it as an arrival.
func (accounts *Accounts) Admit(now time.Duration, organisation ids.OrganisationID) bool {
	account, ok := accounts.byOrganisation[organisation]
	return ok && account.Admit(now, true)
}

// StartWait registers an operation as waiting for a loan. It returns false if no loan is to be expected.
func (accounts *Accounts) StartWait(now time.Duration, organisation ids.OrganisationID) bool {
	account, ok := accounts.byOrganisation[organisation]
	if !ok || now < account.backoffUntil {
		return false
	}
	account.waiting++
	return true
}

// AdmitWaiting spends an operation for one that is waiting. Last marks the last attempt, which ends the wait even if it fails.
func (accounts *Accounts) AdmitWaiting(now time.Duration, organisation ids.OrganisationID, last bool) bool {
	account, ok := accounts.byOrganisation[organisation]
	if !ok {
		return false
	}
	admitted := account.Admit(now, false)
	if admitted || last {
		account.waiting--
	}
	if last && !admitted {
		account.backoffUntil = now + noLoanBackoff
	}
	return admitted
}

// RetryAfter returns the time in which the whole budget of the organisation earns one operation.
func (accounts *Accounts) RetryAfter(organisation ids.OrganisationID) time.Duration {
	account, ok := accounts.byOrganisation[organisation]
	if !ok {
		return noLoanBackoff
	}
	return account.RetryAfter()
}

// PlanRequests returns the requests to send to other VMs now, and registers them as outstanding.
func (accounts *Accounts) PlanRequests(now time.Duration) []OutgoingRequest {
	accounts.expireRequests(now)
	items := make(map[ids.VMID][]LoanRequestItem)
	for id, account := range accounts.byOrganisation {
		if toRequest := account.toRequest(now); toRequest > 0 {
			for _, lender := range account.lenders.Split(now, toRequest, account.share.Rate, account.owners) {
				items[lender.VM] = append(items[lender.VM], LoanRequestItem{Organisation: id, Amount: lender.Amount})
			}
		}
	}
	var requests []OutgoingRequest
	for peer, toRequest := range items {
		accounts.number++
		accounts.outstanding[accounts.number] = request{to: peer, sent: now}
		requests = append(requests, OutgoingRequest{To: peer, LoanRequest: LoanRequest{Number: accounts.number, Items: toRequest}})
	}
	return requests
}

// expireRequests drops requests that got no reply within LoanValidity.
func (accounts *Accounts) expireRequests(now time.Duration) {
	for number, outstanding := range accounts.outstanding {
		if now-outstanding.sent > LoanValidity {
			delete(accounts.outstanding, number)
		}
	}
}

// Lend takes operations for another VM from this VM's shares and returns the reply to its request.
func (accounts *Accounts) Lend(now time.Duration, loanRequest LoanRequest) Loan {
	loan := Loan{Number: loanRequest.Number}
	for _, item := range loanRequest.Items {
		if account, ok := accounts.byOrganisation[item.Organisation]; ok {
			amount, remaining := account.Lend(now, item.Amount)
			loan.Items = append(loan.Items, LoanItem{Organisation: item.Organisation, Amount: amount, Remaining: remaining})
		}
	}
	return loan
}

// Receive adds a loan. An unsolicited or duplicate loan is ignored. At low demand it reports whether waiting operations need
// more than was lent, so that other VMs should be sent requests at once.
func (accounts *Accounts) Receive(now time.Duration, sender ids.VMID, loan Loan) (needMore bool) {
	outstanding, ok := accounts.outstanding[loan.Number]
	if !ok || outstanding.to != sender {
		return false
	}
	delete(accounts.outstanding, loan.Number)
	for _, item := range loan.Items {
		if account, ok := accounts.byOrganisation[item.Organisation]; ok {
			account.lenders.Update(now, sender, item.Remaining)
			account.Receive(now, outstanding.sent, item.Amount)
			low := account.borrower.Demand(now) <= lowDemand
			needMore = needMore || low && account.waiting > account.borrower.Tokens(now)
		}
	}
	return needMore
}
