package quota

import (
	"time"

	"dotterelgw/core/ids"
)

// Standing is what an operation of an organisation would meet on one VM now.
type Standing string

// The standings of an organisation.
const (
	// Covered means that this VM holds budget for the operation.
	Covered Standing = "covered"
	// Borrowed means that the operation would wait for a loan of another VM.
	Borrowed Standing = "borrowed"
	// UsedUp means that the operation would be refused, since the budget is used up in the fleet.
	UsedUp Standing = "used_up"
)

// Standing returns what an operation of the organisation would meet now, and spends nothing.
func (accounts *Accounts) Standing(now time.Duration, organisation ids.OrganisationID) Standing {
	account, ok := accounts.byOrganisation[organisation]
	switch {
	case !ok:
		return UsedUp
	case account.borrower.Tokens(now) > 0 || account.mayTakeOwn(now):
		return Covered
	case account.expectsLoan(now):
		return Borrowed
	}
	return UsedUp
}

// RetryEstimate returns what RetryAfter would return for a caller that is refused now, and keeps no place for it.
func (accounts *Accounts) RetryEstimate(now time.Duration, organisation ids.OrganisationID) time.Duration {
	account, ok := accounts.byOrganisation[organisation]
	if !ok {
		return unknownBudgetPause
	}
	returns := account.returns
	return returns.after(now, account.admissionRate(now, len(accounts.vms)))
}
