package limit

import "time"

const (
	// MaxParts is the number of parts into which an organisation's budget is divided. The loss of one holder costs
	// 1/MaxParts of the rate until the share epoch changes; more parts would cost more requests between VMs.
	MaxParts = 4
	// MinValidity is the shortest validity of a grant; shorter ones would be lost to round trips between VMs.
	MinValidity = 50 * time.Millisecond
	// MaxValidity is the longest validity of a grant.
	MaxValidity = time.Second
	// MaxDrift is the assumed bound on the rate difference of two monotonic clocks; 500 ppm is the most that the
	// kernel corrects for.
	MaxDrift = 0.0005
	// minPart is the smallest burst of one part in tokens; a part below one token would never lend any.
	minPart = 2
	// slackFraction is the part of the burst given up so that grants may be spent later than they were drawn.
	slackFraction = 0.15
)

// Share is one part of an organisation's budget.
type Share struct {
	// Rate is the number of tokens a second.
	Rate float64
	// Burst is the largest number of tokens that the part collects.
	Burst float64
	// Overdraft is the number of tokens, below one, that may be drawn before they are there.
	Overdraft float64
	// Validity is the time for which a grant may be spent, counted from the request for it.
	Validity time.Duration
}

// Divide returns one of the parts; the parts and the tokens in flight never exceed the rate and the burst.
func Divide(rate, burst float64, parts int) Share {
	if parts < 1 || rate <= 0 {
		return Share{}
	}
	validity := time.Duration(burst * slackFraction / rate * float64(time.Second))
	validity = min(max(validity, MinValidity), MaxValidity)
	// A grant drawn at t may be spent until t+validity, so an interval sees the draws of an interval that is longer
	// by the validity; the burst shrinks by what the rate yields in that time.
	slack := rate * validity.Seconds() * (1 + MaxDrift)
	divisor := float64(parts)
	return Share{
		Rate:     rate / divisor / (1 + MaxDrift),
		Burst:    max(burst-slack, 0) / divisor,
		Validity: time.Duration(float64(validity) / (1 + MaxDrift)),
	}
}
