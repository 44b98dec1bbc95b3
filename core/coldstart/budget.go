package coldstart

import (
	"time"

	"dotterelgw/core/limit"
	"dotterelgw/core/quota"
)

// Tolerance is what a cold server takes in one second beyond its rate.
type Tolerance struct {
	// Overage multiplies the rate.
	Overage float64
	// Slack is the number of statements beyond that.
	Slack float64
}

const (
	// burstFraction is the fraction of a second's limit that may come at once. A smaller one would leave VMs that share the burst without
	// a whole statement.
	burstFraction = 0.25
	// window is the time over which the limit counts.
	window = time.Second
)

// Limit returns the number of statements that a cold server with the rate takes in one second.
func (tolerance Tolerance) Limit(rate float64) float64 {
	return rate*max(tolerance.Overage, 1) + max(tolerance.Slack, 0)
}

// Budget returns the budget for a cold server that keeps the limit in each second, over all VMs: what a VM borrowed before a second may be
// spent in it, so the rate covers the second and the validity of a loan; and each part may be overdrawn by a fraction of a statement.
func Budget(rate float64, tolerance Tolerance) limit.Budget {
	most := tolerance.Limit(rate)
	burst := most * burstFraction
	parts := quota.ShareCount(limit.Budget{Burst: burst}, int(burst)+1)
	left := max(most-burst-float64(parts), 0)
	return limit.Budget{Rate: left / (window + quota.LoanValidity).Seconds(), Burst: burst}
}
