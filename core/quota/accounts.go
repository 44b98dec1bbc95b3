package quota

import (
	"maps"
	"slices"
	"time"

	"dotterelgw/core/ids"
	"dotterelgw/core/limit"
	"dotterelgw/core/member"
)

// unknownBudgetPause is the pause told to callers of an organisation without a known budget.
const unknownBudgetPause = 40 * time.Millisecond

// lowDemand is the demand in a window up to which no operations beyond the waiting ones are expected.
const lowDemand = 3

// Accounts holds the accounts of all organisations on one VM. It is not safe for concurrent use.
type Accounts struct {
	self ids.VMID
	vms  []member.Member
	// near holds the VMs of the same availability zone.
	near           map[ids.VMID]bool
	budgets        map[ids.OrganisationID]limit.Budget
	byOrganisation map[ids.OrganisationID]*entry
	// outstanding maps the numbers of requests without a reply to their details. They expire after LoanValidity.
	outstanding map[uint64]request
	number      uint64
	// downtime is the minimum time for which the process was down before it started.
	downtime time.Duration
	// requestTraffic and loanTraffic bound the bytes that this VM sends. They are apart, so that requests don't displace answers.
	requestTraffic, loanTraffic traffic
}

// entry is an account with the state of borrowing from other VMs.
type entry struct {
	*Account
	lenders Lenders
	// owners holds the other VMs that own a share.
	owners []ids.VMID
	// exhaustion tells whether the budget is used up in the fleet.
	exhaustion exhaustion
	// reported is the number of arrivals that requests to other VMs have told.
	reported int64
	// waiting is the number of operations that are waiting for a loan.
	waiting int64
	// returns spreads the callers that were refused.
	returns returns
}

// toRequest returns the number of operations to request now. Requesting the waiting operations in addition to the expected
// demand balances shares that are all nearly empty. At low demand no further operations are expected, and while budget is scarce
// none is requested for them.
func (entry *entry) toRequest(now time.Duration) int64 {
	amount := entry.Shortfall(now) + entry.waiting
	switch {
	case entry.exhaustion.scarce() && !entry.asksAhead(now):
		amount = entry.waiting
	case entry.borrower.Demand(now) <= lowDemand:
		amount = max(entry.Shortfall(now), entry.waiting)
	}
	return max(amount-entry.lenders.Outstanding(now), 0)
}

// plan returns the lenders to ask now. While the budget is used up, operations are asked for ahead, at a bounded rate.
func (entry *entry) plan(now time.Duration, near map[ids.VMID]bool) []LenderAmount {
	if !entry.exhaustion.usedUp(now) {
		amount := entry.toRequest(now)
		if amount <= 0 {
			return nil
		}
		if entry.exhaustion.scarce() {
			near = entry.lenders.alternate(near)
		}
		return entry.lenders.Split(now, amount, entry.share.Rate, entry.owners, near)
	}
	amount := min(entry.borrower.Demand(now), entry.part(now)) - entry.borrower.Tokens(now) - entry.lenders.Outstanding(now)
	if !entry.asksAhead(now) || amount <= 0 {
		return nil
	}
	amounts := entry.lenders.Next(now, entry.exhaustion.asksDue(now), amount, entry.owners, near)
	entry.exhaustion.asked(now, len(amounts))
	return amounts
}

// arrivalsFor returns the number of arrivals since the last request that each of some requests tells.
func (entry *entry) arrivalsFor(requests int) int64 {
	if requests == 0 {
		return 0
	}
	arrivals := (entry.arrived.total - entry.reported) / int64(requests)
	entry.reported = entry.arrived.total
	return arrivals
}

// asksAhead reports whether loans are requested ahead of demand while the budget is used up. At low demand the operation that arrives after
// the interval asks for itself, since loans that expire unspent would be lost to the organisation.
func (entry *entry) asksAhead(now time.Duration) bool {
	return entry.borrower.Demand(now) > lowDemand && entry.part(now) >= minForecast
}

// part returns the number of operations that this VM can expect in half of LoanValidity while the budget is used up: twice what it
// admitted lately, so that its part can grow. A VM that asked for its whole demand would let most loans expire.
func (entry *entry) part(now time.Duration) int64 {
	return max(int64(2*entry.admitted.perSecond(now)*(LoanValidity/2).Seconds()), 1)
}

// request is an outstanding request.
type request struct {
	to    ids.VMID
	sent  time.Duration
	items []LoanRequestItem
}

// asked returns the amount that was requested for the organisation.
func (request request) asked(organisation ids.OrganisationID) int64 {
	for _, item := range request.items {
		if item.Organisation == organisation {
			return item.Amount
		}
	}
	return 0
}

// NewAccounts returns the accounts of the VM, which admit nothing until they have budgets and VMs. Downtime is the minimum time for which
// the process was down before it started, or MinDowntime if unknown.
func NewAccounts(self ids.VMID, downtime time.Duration) *Accounts {
	return &Accounts{
		self: self, downtime: downtime, byOrganisation: make(map[ids.OrganisationID]*entry), outstanding: make(map[uint64]request),
	}
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

// SetNear sets the VMs of the own availability zone, which are asked for loans first where they suffice.
func (accounts *Accounts) SetNear(vms []ids.VMID) {
	accounts.near = make(map[ids.VMID]bool, len(vms))
	for _, vm := range vms {
		accounts.near[vm] = true
	}
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

// StartWait registers an operation as waiting for a loan. It returns false if no loan is to be expected, since the budget is used up in
// the fleet or no other VM shares it.
func (accounts *Accounts) StartWait(now time.Duration, organisation ids.OrganisationID) bool {
	account, ok := accounts.byOrganisation[organisation]
	if !ok || !account.expectsLoan(now) {
		return false
	}
	account.waiting++
	return true
}

// expectsLoan reports whether another VM may lend operations now.
func (entry *entry) expectsLoan(now time.Duration) bool {
	return len(entry.owners) > 0 && !entry.exhaustion.usedUp(now)
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
		account.exhaustion.waitFailed(now, accounts.requestTraffic.below(now), len(account.owners), account.asksAhead(now))
	}
	return admitted
}

// ExpectsLoan reports whether operations of the organisation should go on waiting: a request is outstanding and the budget isn't known to
// be used up.
func (accounts *Accounts) ExpectsLoan(now time.Duration, organisation ids.OrganisationID) bool {
	account, ok := accounts.byOrganisation[organisation]
	return ok && !account.exhaustion.usedUp(now) && account.lenders.Outstanding(now) > 0
}

// RetryAfter returns how long a caller that is refused now should wait before it tries again. Callers that are refused later
// are told later times, as far apart as operations are earned.
func (accounts *Accounts) RetryAfter(now time.Duration, organisation ids.OrganisationID) time.Duration {
	account, ok := accounts.byOrganisation[organisation]
	if !ok {
		return unknownBudgetPause
	}
	return account.returns.after(now, account.admissionRate(now, len(accounts.vms)))
}

// admissionRate returns the number of operations a second that this VM can expect to admit: while the budget is used up what it admitted
// lately, or an equal part if that is more.
func (entry *entry) admissionRate(now time.Duration, vms int) float64 {
	if !entry.exhaustion.usedUp(now) {
		return entry.budget.Rate
	}
	return max(entry.admitted.perSecond(now), entry.budget.Rate/float64(vms))
}

// PlanRequests returns the requests to send to other VMs now, and registers them as outstanding. It returns none while the traffic of
// this VM is at its bound.
func (accounts *Accounts) PlanRequests(now time.Duration) []OutgoingRequest {
	accounts.expireRequests(now)
	if !accounts.requestTraffic.below(now) {
		return nil
	}
	items := make(map[ids.VMID][]LoanRequestItem)
	for id, account := range accounts.byOrganisation {
		lenders := account.plan(now, accounts.near)
		arrivals := account.arrivalsFor(len(lenders))
		for _, lender := range lenders {
			account.lenders.Asked(now, lender.VM, lender.Amount)
			items[lender.VM] = append(items[lender.VM], LoanRequestItem{Organisation: id, Amount: lender.Amount, Arrivals: arrivals})
		}
	}
	var requests []OutgoingRequest
	for _, peer := range slices.Sorted(maps.Keys(items)) {
		toRequest := items[peer]
		accounts.number++
		accounts.outstanding[accounts.number] = request{to: peer, sent: now, items: toRequest}
		accounts.requestTraffic.count(len(toRequest))
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

// Lend takes operations for another VM from this VM's shares and returns the reply to its request. A reply without items need not be sent;
// nothing was taken for it.
func (accounts *Accounts) Lend(now time.Duration, loanRequest LoanRequest) Loan {
	loan := Loan{Number: loanRequest.Number}
	if !accounts.loanTraffic.below(now) {
		return loan
	}
	for _, item := range loanRequest.Items {
		if account, ok := accounts.byOrganisation[item.Organisation]; ok {
			amount, remaining := account.Lend(now, item)
			pause := time.Duration(0)
			if amount < item.Amount {
				pause = pauseFor(account.contention.requests.perSecond(now))
			}
			loan.Items = append(loan.Items, LoanItem{Organisation: item.Organisation, Amount: amount, Remaining: remaining, PauseMS: pause.Milliseconds()})
		}
	}
	if len(loan.Items) > 0 {
		accounts.loanTraffic.count(len(loan.Items))
	}
	return loan
}

// Receive adds a loan. An unsolicited or duplicate loan is ignored. It reports whether waiting operations need more than was lent and
// requested, so that other VMs should be sent requests at once.
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
			account.exhaustion.answered(now, outstanding.asked(item.Organisation), item, len(account.owners), account.asksAhead(now))
			covered := account.borrower.Tokens(now) + account.lenders.Outstanding(now)
			needMore = needMore || account.waiting > covered && !account.exhaustion.usedUp(now)
		}
	}
	return needMore
}
