package limit

import (
	"time"

	"dotterelgw/core/ids"
)

// Epoch is the version number of the share record; each change increments it by one.
type Epoch int64

// ShareRecord is the share record of the configuration. It lists the VMs from which the holders of each organisation's budget are
// selected.
type ShareRecord struct {
	// Epoch is the version number of the record.
	Epoch Epoch `json:"epoch"`
	// VMs holds the VMs in ascending order of their identifiers.
	VMs []ids.VMID `json:"vms"`
}

// Budget is an organisation's rate limit over the whole fleet.
type Budget struct {
	// Rate is the number of statements per second.
	Rate float64
	// Burst is the number of statements that may arrive at once.
	Burst float64
}

// parts returns the number of parts of the budget: at most MaxParts, and few enough for a burst of minPartBurst in each.
func (budget Budget) parts() int {
	whole := Divide(budget.Rate, budget.Burst, 1).Burst
	return max(1, min(MaxParts, int(whole/minPartBurst)))
}

// Ranker returns the first n of the VMs in the organisation's order of preference. All VMs must compute the same order.
type Ranker func(organisation ids.OrganisationID, n int, vms []ids.VMID) []ids.VMID

// Holder keeps the budget parts that one VM owns and lends their tokens. It is not safe for concurrent use.
type Holder struct {
	self          ids.VMID
	rank          Ranker
	handover      time.Duration
	shareRecord   ShareRecord
	recordApplied bool
	budgets       map[ids.OrganisationID]Budget
	parts         map[ids.OrganisationID]*ownedParts
	holders       map[ids.OrganisationID][]ids.VMID
}

// ownedParts holds the parts of one organisation's budget that the VM owns.
type ownedParts struct {
	buckets []Bucket // one for each owned part, the one owned longest first
	share   Share
	parts   int // the number of parts of the whole budget
}

// NewHolder returns a holder without parts. The handover time is how long a VM that missed a new record may still grant
// tokens under the old one. It equals the maximum age of a VM's last configuration check.
func NewHolder(self ids.VMID, rank Ranker, handover time.Duration) *Holder {
	return &Holder{
		self: self, rank: rank, handover: handover,
		budgets: make(map[ids.OrganisationID]Budget), parts: make(map[ids.OrganisationID]*ownedParts),
		holders: make(map[ids.OrganisationID][]ids.VMID),
	}
}

// Record returns the current record.
func (holder *Holder) Record() ShareRecord { return holder.shareRecord }

// Holders returns the VMs that hold the organisation's budget under the current record. Callers must not modify the result.
func (holder *Holder) Holders(organisation ids.OrganisationID) []ids.VMID {
	return holder.holders[organisation]
}

// Validity returns the validity of the organisation's grants.
func (holder *Holder) Validity(organisation ids.OrganisationID) time.Duration {
	budget := holder.budgets[organisation]
	return Divide(budget.Rate, budget.Burst, 1).Validity
}

// Apply replaces the current record by a newer one. Records that are not newer are ignored.
func (holder *Holder) Apply(now time.Duration, shareRecord ShareRecord) {
	if holder.recordApplied && shareRecord.Epoch <= holder.shareRecord.Epoch {
		return
	}
	// Buckets carry over only from the immediately preceding record: under a record that this VM missed, another VM may
	// have held its parts.
	keep := holder.recordApplied && shareRecord.Epoch == holder.shareRecord.Epoch+1
	if !keep {
		holder.parts = make(map[ids.OrganisationID]*ownedParts)
	}
	holder.shareRecord, holder.recordApplied = shareRecord, true
	for organisation := range holder.budgets {
		holder.assignParts(now, organisation)
	}
}

// SetBudget sets an organisation's budget. A rate of 0 or less removes it.
func (holder *Holder) SetBudget(now time.Duration, organisation ids.OrganisationID, budget Budget) {
	if budget.Rate <= 0 {
		delete(holder.budgets, organisation)
		delete(holder.parts, organisation)
		delete(holder.holders, organisation)
		return
	}
	holder.budgets[organisation] = budget
	holder.assignParts(now, organisation)
}

// assignParts updates the VM's parts of the organisation's budget to the current record and budget. With fewer VMs than
// parts, some VMs own several. All parts are equal, so the VM keeps as many of its buckets as it still owns parts.
func (holder *Holder) assignParts(now time.Duration, organisation ids.OrganisationID) {
	if !holder.recordApplied || len(holder.shareRecord.VMs) == 0 {
		return
	}
	budget := holder.budgets[organisation]
	parts := budget.parts()
	vms := holder.rank(organisation, min(parts, len(holder.shareRecord.VMs)), holder.shareRecord.VMs)
	holder.holders[organisation] = vms
	count := 0
	for part := range parts {
		if vms[part%len(vms)] == holder.self {
			count++
		}
	}
	held, ok := holder.parts[organisation]
	if !ok || held.parts != parts {
		held = &ownedParts{parts: parts}
		holder.parts[organisation] = held
	}
	held.share = Divide(budget.Rate, budget.Burst, parts)
	held.buckets = held.buckets[:min(count, len(held.buckets))]
	for index := range held.buckets {
		held.buckets[index].Resize(now, held.share)
	}
	for len(held.buckets) < count {
		held.buckets = append(held.buckets, NewBucket(held.share, now+holder.fillDelay()))
	}
}

// fillDelay returns how long the bucket of a new part stays empty. The previous holder may grant tokens until its last
// configuration check is older than the handover time, and its last grants are valid for up to MaxValidity more. The first
// record has no previous holders.
func (holder *Holder) fillDelay() time.Duration {
	if holder.shareRecord.Epoch <= 1 {
		return 0
	}
	return holder.handover + MaxValidity
}

// Borrow grants up to amount tokens to a VM that has the record of the same epoch. It returns the number of tokens and their
// validity; the number is 0 if the epochs differ.
func (holder *Holder) Borrow(now time.Duration, epoch Epoch, organisation ids.OrganisationID, amount int64) (int64, time.Duration) {
	held, ok := holder.parts[organisation]
	if !ok || epoch != holder.shareRecord.Epoch || amount <= 0 {
		return 0, 0
	}
	granted := int64(0)
	for index := range held.buckets {
		granted += held.buckets[index].Take(now, amount-granted)
	}
	return granted, held.share.Validity
}
