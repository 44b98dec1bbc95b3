package refusal

import (
	"fmt"

	"dotterelgw/core/ids"
)

// Refusal is the error for a request that was refused.
type Refusal struct {
	// Reason is one of the listed reasons.
	Reason Reason
	// Outcome describes whether the request took effect.
	Outcome Outcome
	// ID identifies the refusal. It is empty until the VM has recorded the refusal.
	ID ids.RequestID
	// Note holds details for operators and the caller, such as a limit and its usage. It must not contain a key.
	Note string
}

// New returns a refusal with the default outcome of the reason.
func New(reason Reason, note string) *Refusal {
	return &Refusal{Reason: reason, Outcome: kinds[reason].Outcome, Note: note}
}

// WithOutcome returns a copy of the refusal with another outcome.
func (refusal Refusal) WithOutcome(outcome Outcome) *Refusal {
	refusal.Outcome = outcome
	return &refusal
}

// Error returns the message with the reason and the outcome.
func (refusal *Refusal) Error() string {
	kind := kinds[refusal.Reason]
	return fmt.Sprintf("%s (%s, %s)", kind.Message, refusal.Reason, refusal.Outcome)
}
