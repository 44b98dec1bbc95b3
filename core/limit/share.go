package limit

import "time"

const (
	// MaxParts is the maximum number of parts of an organisation's budget. The failure of one holder costs 1/MaxParts of the
	// rate until the share epoch changes; more parts would cost more requests between VMs.
	MaxParts = 4
	// MinValidity is the shortest validity of a grant; a shorter one would be used up by the round trip between VMs.
	MinValidity = 50 * time.Millisecond
	// MaxValidity is the longest validity of a grant.
	MaxValidity = time.Second
	// MaxDrift is the assumed maximum rate difference of two monotonic clocks. The kernel corrects the clock rate by at most
	// 500 ppm.
	MaxDrift = 0.0005
	// minPartBurst is the minimum burst of one part in tokens; a part with a burst below one token could never lend one.
	minPartBurst = 2
	// slackFraction is the fraction of the burst reserved to allow for grants that are spent later than they were drawn.
	slackFraction = 0.15
)

// Share is one part of an organisation's budget.
type Share struct {
	// Rate is the number of tokens per second.
	Rate float64
	// Burst is the maximum number of tokens that the part accumulates.
	Burst float64
	// Overdraft is the number of tokens, less than one, that may be drawn before they have accumulated.
	Overdraft float64
	// Validity is how long a grant may be spent, measured from the sending of the request for it.
	Validity time.Duration
}

// Divide returns the share of one of the equal parts. All parts and the unspent grants together never exceed the rate and the
// burst. The share is zero for fewer than one part or a rate of 0 or less.
func Divide(rate, burst float64, parts int) Share {
	if parts < 1 || rate <= 0 {
		return Share{}
	}
	validity := time.Duration(burst * slackFraction / rate * float64(time.Second))
	validity = min(max(validity, MinValidity), MaxValidity)
	// A grant drawn at t may be spent until t+validity, so the tokens spent in an interval may have been drawn in an
	// interval that is longer by the validity. The burst is reduced by the tokens that the rate yields in that time.
	slack := rate * validity.Seconds() * (1 + MaxDrift)
	divisor := float64(parts)
	return Share{
		Rate:     rate / divisor / (1 + MaxDrift),
		Burst:    max(burst-slack, 0) / divisor,
		Validity: time.Duration(float64(validity) / (1 + MaxDrift)),
	}
}
