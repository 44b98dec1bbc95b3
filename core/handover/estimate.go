package handover

import "time"

const (
	// failoverTime is the usual duration of a failover from the first failed attempt to reach the primary. It includes failure
	// detection, the agreement of the VMs and the promotion.
	failoverTime = 1600 * time.Millisecond
	// promotionTime is the usual duration of a replacement from the fence.
	promotionTime = 750 * time.Millisecond
	// minRemainingTime is the minimum estimate while a failover is about to end or overdue.
	minRemainingTime = 300 * time.Millisecond
	// overdueDivisor gives the estimate for an overdue failover: the time by which it is overdue divided by this.
	overdueDivisor = 2
	// serviceLostAfter is the age of the last response of the key-value service beyond which no VM is expected to hold the
	// lease for replacing primaries. The lease lasts 1.5 s, and responses are up to 2.2 s old in normal operation.
	serviceLostAfter = 3500 * time.Millisecond
	// serviceLostTime is the estimate while no VM holds that lease: the service has to recover before the failover.
	serviceLostTime = 3 * time.Second
)

// PrimaryState describes the state of a group's primary, as known to a VM, for an estimate of when the group accepts work again.
type PrimaryState struct {
	// SilentFor is the time for which the primary has not responded, or its availability zone has been closed by an evacuation; 0 while it
	// can be used.
	SilentFor time.Duration
	// SinceFence is the time since the primary was fenced.
	SinceFence time.Duration
	// ServiceAge is the time since the key-value service last responded to this VM or to one that relays its records.
	ServiceAge time.Duration
}

// RecoveryEstimate estimates the time until the group has a primary that accepts work. It is 0 if the primary is not known to
// have a problem.
func RecoveryEstimate(primaryState PrimaryState) time.Duration {
	switch overdue := primaryState.SilentFor - failoverTime; {
	case primaryState.SinceFence < promotionTime:
		return promotionTime - primaryState.SinceFence
	case primaryState.SilentFor == 0:
		return 0
	case primaryState.ServiceAge > serviceLostAfter:
		return serviceLostTime
	case overdue > 0:
		return max(overdue/overdueDivisor, minRemainingTime)
	default:
		return max(-overdue, minRemainingTime)
	}
}
