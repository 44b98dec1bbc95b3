package handover

import (
	"time"

	"dotterelgw/core/ids"
)

const (
	// OrderEffectTime is the time after which an order to promote has either taken effect or never will. It covers the
	// timeout of the request (700 ms), the promotion (600 ms) and a margin.
	OrderEffectTime = 2 * time.Second
	// orderWindowDuration is the time after the start of the safety checks in which a promotion may be ordered. An order sent at
	// its end takes effect before the fences of the VMs expire. Later the old primary may acknowledge writes again that
	// the successor lacks.
	orderWindowDuration = FenceDuration - OrderEffectTime
)

// OrderWindow is the time for which the safety checks of one attempt allow an order to promote.
type OrderWindow struct {
	// BegunAt is the time before the first VM was asked to fence the old primary.
	BegunAt time.Duration
}

// Allows reports whether a promotion may still be ordered. If not, the checks must be made again.
func (orderWindow OrderWindow) Allows(now time.Duration) bool {
	return now < orderWindow.BegunAt+orderWindowDuration
}

// Order is the last order to promote that was sent for a group. The zero value means that there was none.
type Order struct {
	// Server is the server that was to be promoted; empty if another VM, which held the duty before, may have sent the order.
	Server ids.BackendServerID
	// SentAt is the time at which the order was sent.
	SentAt time.Duration
}

// PendingFor returns for how long the order may still take effect, 0 if it no longer can.
func (order Order) PendingFor(now time.Duration) time.Duration {
	if order == (Order{}) {
		return 0
	}
	return max(order.SentAt+OrderEffectTime-now, 0)
}

// ConflictsWith reports whether the order may still promote a server other than the successor. If both were promoted, the
// second could lack what was acknowledged at the first.
func (order Order) ConflictsWith(successor ids.BackendServerID, now time.Duration) bool {
	return order.Server != "" && order.Server != successor && order.PendingFor(now) > 0
}
