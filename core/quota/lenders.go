package quota

import (
	"cmp"
	"slices"
	"time"

	"dotterelgw/core/ids"
)

const (
	// reportValidity is how long a VM's report of what it can lend is used.
	reportValidity = 500 * time.Millisecond
	// defaultRemaining is the amount assumed of a VM without a valid report.
	defaultRemaining = 1
	// answerTimeout is how long a request to a VM is outstanding for an organisation before another one may be sent to it. A round
	// trip between availability zones takes 1 to 3 ms.
	answerTimeout = 30 * time.Millisecond
	// coverTimeout is how long a request without an answer is expected to cover operations that wait. After it other VMs are asked.
	coverTimeout = 10 * time.Millisecond
)

// Lenders holds the amounts of one organisation's rate that other VMs last reported they could still lend. The zero value is
// ready to use.
type Lenders struct {
	reports map[ids.VMID]report
	// outstanding holds the requests without an answer.
	outstanding map[ids.VMID]outstanding
	// next is the index of the VM that is preferred among VMs with equal amounts.
	next int
	// turn counts the requests while the budget is used up.
	turn int
}

// report is the amount that a VM reported at a time.
type report struct {
	remaining int64
	at        time.Duration
}

// outstanding is a request that was sent at a time.
type outstanding struct {
	amount int64
	sent   time.Duration
}

// Asked records that a VM was sent a request.
func (lenders *Lenders) Asked(now time.Duration, vm ids.VMID, amount int64) {
	if lenders.outstanding == nil {
		lenders.outstanding = make(map[ids.VMID]outstanding)
	}
	lenders.outstanding[vm] = outstanding{amount: amount, sent: now}
}

// Outstanding returns the amount that was requested lately and not answered yet.
func (lenders *Lenders) Outstanding(now time.Duration) int64 {
	amount := int64(0)
	for vm, request := range lenders.outstanding {
		switch age := now - request.sent; {
		case age > answerTimeout:
			delete(lenders.outstanding, vm)
		case age <= coverTimeout:
			amount += request.amount
		}
	}
	return amount
}

// Update records the amount that a VM reported.
func (lenders *Lenders) Update(now time.Duration, vm ids.VMID, remaining int64) {
	delete(lenders.outstanding, vm)
	if lenders.reports == nil {
		lenders.reports = make(map[ids.VMID]report)
	}
	lenders.reports[vm] = report{remaining: remaining, at: now}
}

// remaining estimates the amount that the VM can still lend: what it reported plus what its share has earned since at the rate.
func (lenders *Lenders) remaining(now time.Duration, vm ids.VMID, rate float64) int64 {
	last, known := lenders.reports[vm]
	if !known || now-last.at > reportValidity {
		return defaultRemaining
	}
	return last.remaining + int64(rate*(now-last.at).Seconds())
}

// StartAt sets the index of the first VM to ask, so that not all VMs start with the same one.
func (lenders *Lenders) StartAt(index int) { lenders.next = max(index, 0) }

// LenderAmount is the amount to request from one VM.
type LenderAmount struct {
	// VM is the lender.
	VM ids.VMID
	// Amount is the number of operations to request.
	Amount int64
}

// Split divides the amount over the VMs that can lend most and have no request outstanding; of equal ones, those that are near come
// first. Rate is that of one share in operations a second. It requests no more than the amount, since surplus loans would use up
// shares and expire unspent.
func (lenders *Lenders) Split(now time.Duration, amount int64, rate float64, vms []ids.VMID, near map[ids.VMID]bool) []LenderAmount {
	var amounts []LenderAmount
	for _, candidate := range lenders.rank(now, amount, rate, vms, near) {
		if amount <= 0 || candidate.remaining <= 0 {
			break
		}
		portion := min(amount, candidate.remaining)
		amount -= portion
		amounts = append(amounts, LenderAmount{VM: candidate.vm, Amount: portion})
	}
	return amounts
}

// alternate returns the near VMs at every other call and none otherwise. While budget is scarce, VMs thus find what other availability
// zones don't use.
func (lenders *Lenders) alternate(near map[ids.VMID]bool) map[ids.VMID]bool {
	lenders.turn++
	if lenders.turn%2 == 0 {
		return near
	}
	return nil
}

// Next divides the amount equally over some VMs in turn while the budget is used up.
func (lenders *Lenders) Next(now time.Duration, count int, amount int64, vms []ids.VMID, near map[ids.VMID]bool) []LenderAmount {
	count = min(count, int(amount))
	var amounts []LenderAmount
	for range count {
		vm, ok := lenders.inTurn(now, vms, lenders.alternate(near), amounts)
		if !ok {
			break
		}
		amounts = append(amounts, LenderAmount{VM: vm, Amount: (amount + int64(count) - 1) / int64(count)})
	}
	return amounts
}

// inTurn returns the next VM in turn without an outstanding request that is not among the chosen ones, if possible a near one.
func (lenders *Lenders) inTurn(now time.Duration, vms []ids.VMID, near map[ids.VMID]bool, chosen []LenderAmount) (ids.VMID, bool) {
	found, at := -1, 0
	for index := 1; index <= len(vms); index++ {
		at = (lenders.next + index) % len(vms)
		taken := slices.ContainsFunc(chosen, func(one LenderAmount) bool { return one.VM == vms[at] })
		if taken || lenders.isOutstanding(now, vms[at]) {
			continue
		}
		if found < 0 {
			found = at
		}
		if near[vms[at]] || near == nil {
			found = at
			break
		}
	}
	if found < 0 {
		return "", false
	}
	lenders.next = found
	return vms[found], true
}

// isOutstanding reports whether the VM was sent a request that may still be answered soon.
func (lenders *Lenders) isOutstanding(now time.Duration, vm ids.VMID) bool {
	request, ok := lenders.outstanding[vm]
	return ok && now-request.sent <= answerTimeout
}

// candidate is a possible lender with the amount that it can probably lend.
type candidate struct {
	vm        ids.VMID
	remaining int64
	near      bool
}

// rank returns the VMs without an outstanding request in the order in which to ask them: near ones that suffice for the amount, then
// those that can lend most.
func (lenders *Lenders) rank(now time.Duration, amount int64, rate float64, vms []ids.VMID, near map[ids.VMID]bool) []candidate {
	if len(vms) == 0 {
		return nil
	}
	lenders.next = (lenders.next + 1) % len(vms)
	ranked := make([]candidate, 0, len(vms))
	for index := range vms {
		vm := vms[(lenders.next+index)%len(vms)]
		if lenders.isOutstanding(now, vm) {
			continue
		}
		ranked = append(ranked, candidate{vm: vm, remaining: lenders.remaining(now, vm, rate), near: near[vm]})
	}
	slices.SortStableFunc(ranked, func(one, other candidate) int {
		oneSuffices, otherSuffices := one.near && one.remaining >= amount, other.near && other.remaining >= amount
		if oneSuffices != otherSuffices {
			return first(oneSuffices)
		}
		if one.remaining == other.remaining && one.near != other.near {
			return first(one.near)
		}
		return cmp.Compare(other.remaining, one.remaining)
	})
	return ranked
}

// first returns the result of a comparison in which one element comes before the other if the condition holds, else after it.
func first(condition bool) int {
	if condition {
		return -1
	}
	return 1
}
