package quota

import (
	"slices"
	"time"

	"dotterelgw/core/ids"
)

const (
	// reportValidity is how long a VM's report of what it can lend is used.
	reportValidity = 500 * time.Millisecond
	// defaultRemaining is the amount assumed of a VM without a valid report.
	defaultRemaining = 1
)

// Lenders holds the amounts of one organisation's rate that other VMs last reported they could still lend. The zero value is
// ready to use.
type Lenders struct {
	reports map[ids.VMID]report
	// next is the index of the VM that is preferred among VMs with equal amounts.
	next int
}

// report is the amount that a VM reported at a time.
type report struct {
	remaining int64
	at        time.Duration
}

// Update records the amount that a VM reported.
func (lenders *Lenders) Update(now time.Duration, vm ids.VMID, remaining int64) {
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

// Split divides the amount over the VMs that can lend most. Rate is that of one share in operations a second. It requests no more
// than the amount, since surplus loans would use up shares and expire unspent.
func (lenders *Lenders) Split(now time.Duration, amount int64, rate float64, vms []ids.VMID) []LenderAmount {
	if len(vms) == 0 {
		return nil
	}
	lenders.next = (lenders.next + 1) % len(vms)
	ranked := append(slices.Clone(vms[lenders.next:]), vms[:lenders.next]...)
	slices.SortStableFunc(ranked, func(one, other ids.VMID) int {
		return int(lenders.remaining(now, other, rate) - lenders.remaining(now, one, rate))
	})
	var amounts []LenderAmount
	for _, vm := range ranked {
		remaining := lenders.remaining(now, vm, rate)
		if amount <= 0 || remaining <= 0 {
			break
		}
		portion := min(amount, remaining)
		amount -= portion
		amounts = append(amounts, LenderAmount{VM: vm, Amount: portion})
	}
	return amounts
}
