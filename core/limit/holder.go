package limit

import (
	"time"

	"dotterelgw/core/ids"
)

// Epoch counts the versions of the share record; each change raises it by one.
type Epoch int64

// Record is the share record of the configuration: the VMs from which each organisation's holders are chosen.
type Record struct {
	// Epoch is the number of the record.
	Epoch Epoch `json:"epoch"`
	// VMs holds the VMs in rising order of their identifiers.
	VMs []ids.VMID `json:"vms"`
}

// Budget is an organisation's rate and burst over the whole fleet.
type Budget struct {
	// Rate is the number of statements a second.
	Rate float64
	// Burst is the number of statements that may come at once.
	Burst float64
}

// parts returns into how many parts the budget is divided so that each collects at least minPart tokens.
func (budget Budget) parts() int {
	whole := Divide(budget.Rate, budget.Burst, 1).Burst
	return max(1, min(MaxParts, int(whole/minPart)))
}

// Ranker returns the first n of the record's VMs for the organisation, best first.
type Ranker func(organisation ids.OrganisationID, n int, vms []ids.VMID) []ids.VMID

// Holder keeps the budget parts that one VM owns.
type Holder struct {
	self     ids.VMID
	rank     Ranker
	handover time.Duration
	record   Record
	known    bool
	budgets  map[ids.OrganisationID]Budget
	parts    map[ids.OrganisationID]*owned
	ranked   map[ids.OrganisationID][]ids.VMID
}

// owned is what the VM owns of one organisation's budget: one bucket for each of its parts, those held longest first.
type owned struct {
	buckets []Bucket
	share   Share
	parts   int
}

// NewHolder returns a holder without parts. The handover time is how long a VM that missed a new record may still
// grant under the old one, which is the bound on the age of its last configuration check.
func NewHolder(self ids.VMID, rank Ranker, handover time.Duration) *Holder {
	return &Holder{
		self: self, rank: rank, handover: handover,
		budgets: make(map[ids.OrganisationID]Budget), parts: make(map[ids.OrganisationID]*owned),
		ranked: make(map[ids.OrganisationID][]ids.VMID),
	}
}

// Record returns the record in force.
func (holder *Holder) Record() Record { return holder.record }

// Holders returns the VMs that hold the organisation's budget under the record in force; callers must not change it.
func (holder *Holder) Holders(organisation ids.OrganisationID) []ids.VMID {
	return holder.ranked[organisation]
}

// Validity returns the validity of the organisation's grants.
func (holder *Holder) Validity(organisation ids.OrganisationID) time.Duration {
	budget := holder.budgets[organisation]
	return Divide(budget.Rate, budget.Burst, 1).Validity
}

// Apply puts a newer record in force; older ones are ignored.
func (holder *Holder) Apply(now time.Duration, record Record) {
	if holder.known && record.Epoch <= holder.record.Epoch {
		return
	}
	// Parts are kept only from the record directly before: another VM may have held them in a record that was missed.
	keep := holder.known && record.Epoch == holder.record.Epoch+1
	if !keep {
		holder.parts = make(map[ids.OrganisationID]*owned)
	}
	holder.record, holder.known = record, true
	for organisation := range holder.budgets {
		holder.place(now, organisation)
	}
}

// SetBudget sets an organisation's budget; a rate of 0 ends it.
func (holder *Holder) SetBudget(now time.Duration, organisation ids.OrganisationID, budget Budget) {
	if budget.Rate <= 0 {
		delete(holder.budgets, organisation)
		delete(holder.parts, organisation)
		delete(holder.ranked, organisation)
		return
	}
	holder.budgets[organisation] = budget
	holder.place(now, organisation)
}

// place gives the VM its parts of the organisation's budget, changes them or takes them away. With fewer VMs than parts
// some VMs own several. Parts are alike, so a VM keeps as many buckets as it owns parts both before and after.
func (holder *Holder) place(now time.Duration, organisation ids.OrganisationID) {
	if !holder.known || len(holder.record.VMs) == 0 {
		return
	}
	budget := holder.budgets[organisation]
	parts := budget.parts()
	vms := holder.rank(organisation, min(parts, len(holder.record.VMs)), holder.record.VMs)
	holder.ranked[organisation] = vms
	count := 0
	for part := range parts {
		if vms[part%len(vms)] == holder.self {
			count++
		}
	}
	held, ok := holder.parts[organisation]
	if !ok || held.parts != parts {
		held = &owned{parts: parts}
		holder.parts[organisation] = held
	}
	held.share = Divide(budget.Rate, budget.Burst, parts)
	held.buckets = held.buckets[:min(count, len(held.buckets))]
	for index := range held.buckets {
		held.buckets[index].Resize(now, held.share)
	}
	for len(held.buckets) < count {
		held.buckets = append(held.buckets, NewBucket(held.share, now+holder.delay()))
	}
}

// delay returns how long a new part stays empty. A previous holder may go on until its configuration check is too old,
// and its last grants are spent after that. The first record has no previous holders.
func (holder *Holder) delay() time.Duration {
	if holder.record.Epoch <= 1 {
		return 0
	}
	return holder.handover + MaxValidity
}

// Borrow draws up to amount tokens for a VM that knows the same record. It returns the tokens and their validity.
func (holder *Holder) Borrow(now time.Duration, epoch Epoch, organisation ids.OrganisationID, amount int64) (int64, time.Duration) {
	held, ok := holder.parts[organisation]
	if !ok || epoch != holder.record.Epoch || amount <= 0 {
		return 0, 0
	}
	drawn := int64(0)
	for index := range held.buckets {
		drawn += held.buckets[index].Take(now, amount-drawn)
	}
	return drawn, held.share.Validity
}
