package quota

import (
	"slices"
	"time"

	"dotterelgw/core/ids"
)

const (
	// hintValidity is the time after which nothing is known any more of what a VM has to lend.
	hintValidity = 500 * time.Millisecond
	// unknownLeft is what a VM of which nothing is known is asked for.
	unknownLeft = 1
)

// Lenders remembers what other VMs said they have left to lend of one organisation's rate.
type Lenders struct {
	hints map[ids.VMID]hint
	// next is the VM that is asked first of those of which as much is known.
	next int
}

type hint struct {
	left int64
	at   time.Duration
}

// Note keeps what a VM said that it has left.
func (lenders *Lenders) Note(now time.Duration, vm ids.VMID, left int64) {
	if lenders.hints == nil {
		lenders.hints = make(map[ids.VMID]hint)
	}
	lenders.hints[vm] = hint{left: left, at: now}
}

// left returns what the VM may have to lend: what it had then and what its part, with the rate, has earned since.
func (lenders *Lenders) left(now time.Duration, vm ids.VMID, rate float64) int64 {
	held, known := lenders.hints[vm]
	if !known || now-held.at > hintValidity {
		return unknownLeft
	}
	return held.left + int64(rate*(now-held.at).Seconds())
}

// StartAt sets the VM that is asked first, so that not all VMs begin with the same.
func (lenders *Lenders) StartAt(index int) { lenders.next = max(index, 0) }

// Demand is what one VM is asked for.
type Demand struct {
	// VM is asked.
	VM ids.VMID
	// Amount is the number of operations.
	Amount int64
}

// Split divides the amount over the VMs that have most to lend; rate is that of one part in operations a second. Asking more than needed would drain parts in vain.
func (lenders *Lenders) Split(now time.Duration, amount int64, rate float64, vms []ids.VMID) []Demand {
	if len(vms) == 0 {
		return nil
	}
	lenders.next = (lenders.next + 1) % len(vms)
	ranked := append(slices.Clone(vms[lenders.next:]), vms[:lenders.next]...)
	slices.SortStableFunc(ranked, func(one, other ids.VMID) int {
		return int(lenders.left(now, other, rate) - lenders.left(now, one, rate))
	})
	var demands []Demand
	for _, vm := range ranked {
		left := lenders.left(now, vm, rate)
		if amount <= 0 || left <= 0 {
			break
		}
		part := min(amount, left)
		amount -= part
		demands = append(demands, Demand{VM: vm, Amount: part})
	}
	return demands
}
