package quota

import (
	"math"
	"time"

	"dotterelgw/core/limit"
)

// contention divides the earnings of a share between the VM that owns it and the VMs that borrow from it, by the operations that
// arrive at each side, while requests can't be met in full. The zero value is ready to use.
type contention struct {
	// arrived counts the operations that arrived at the VMs that asked for loans, unmet those that were requested and not lent.
	arrived, unmet rateWindow
	// requests counts the requests of other VMs.
	requests rateWindow
	// reserved is the part of the earnings that the other VMs have not taken yet. It is negative when they took whole operations
	// of which only a fraction was due to them.
	reserved float64
	updated  time.Duration
}

// update adds what the share has earned since the last call. Own is the demand of the VM itself in operations a second.
func (contention *contention) update(now time.Duration, share limit.Share, own float64) {
	elapsed := now - contention.updated
	contention.updated = now
	if contention.unmet.perSecond(now) == 0 {
		contention.reserved = 0
		return
	}
	arrived := contention.arrived.perSecond(now)
	if arrived+own <= 0 {
		return
	}
	earned := share.Rate * elapsed.Seconds() * arrived / (arrived + own)
	contention.reserved = min(contention.reserved+earned, share.Burst/2)
}

// reservedOperations returns how many whole operations are reserved for other VMs, counting a fraction as one.
func (contention *contention) reservedOperations() int64 {
	return int64(math.Ceil(max(contention.reserved, 0)))
}

// lent records the reply to a request.
func (contention *contention) lent(now time.Duration, item LoanRequestItem, lent int64) {
	contention.requests.add(now, 1)
	contention.arrived.add(now, max(item.Arrivals, item.Amount))
	if lent < item.Amount {
		contention.unmet.add(now, item.Amount-lent)
	}
	contention.reserved = max(contention.reserved-float64(lent), -1)
}
