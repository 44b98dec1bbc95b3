package refusal

import (
	"fmt"

	"dotterelgw/core/ids"
)

// Refusal is the error for a request that was refused.
type Refusal struct {
	// Reason is the entry of the closed list.
	Reason Reason
	// Outcome is what is known of the request's effect.
	Outcome Outcome
	// ID identifies the refusal; it is empty until the VM has recorded it.
	ID ids.RequestID
	// Note adds figures for staff and caller, such as the limit and its usage; it never holds a key.
	Note string
}

// New returns a refusal with the outcome that the list states for the reason.
func New(reason Reason, note string) *Refusal {
	return &Refusal{Reason: reason, Outcome: kinds[reason].Outcome, Note: note}
}

// WithOutcome returns a copy of the refusal that states another outcome.
func (refusal Refusal) WithOutcome(outcome Outcome) *Refusal {
	refusal.Outcome = outcome
	return &refusal
}

// Error implements error.Error.
func (refusal *Refusal) Error() string {
	kind := kinds[refusal.Reason]
	return fmt.Sprintf("%s (%s, %s)", kind.Message, refusal.Reason, refusal.Outcome)
}
