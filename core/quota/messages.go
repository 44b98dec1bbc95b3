package quota

import (
	"time"

	"dotterelgw/core/ids"
)

// The messages are encoded as arrays without the names of fields, since an operation of a small organisation in a large fleet mostly
// takes a request and a loan.

// LoanRequest is a request to another VM to lend operations.
type LoanRequest struct {
	_ struct{} `cbor:",toarray"`
	// Number identifies the request, so that replies can be matched to it.
	Number uint64
	// Items holds the requested amounts.
	Items []LoanRequestItem
}

// LoanRequestItem is the amount requested for one organisation.
type LoanRequestItem struct {
	_ struct{} `cbor:",toarray"`
	// Organisation identifies the organisation.
	Organisation ids.OrganisationID
	// Amount is the number of operations requested.
	Amount int64
	// Arrivals is the number of operations that arrived at the VM since its previous request, by which a lender divides what is not
	// enough for all.
	Arrivals int64
}

// Loan is the reply to a LoanRequest.
type Loan struct {
	_ struct{} `cbor:",toarray"`
	// Number is the number of the LoanRequest.
	Number uint64
	// Items holds the lent amounts.
	Items []LoanItem
}

// LoanItem is the amount lent for one organisation.
type LoanItem struct {
	_ struct{} `cbor:",toarray"`
	// Organisation identifies the organisation.
	Organisation ids.OrganisationID
	// Amount is the number of operations lent.
	Amount int64
	// Remaining is the number of operations that the lender could still lend.
	Remaining int64
	// PauseMS is how long the VM should wait before it asks this lender again, set if many VMs ask.
	PauseMS int64
}

// Pause returns how long the VM should wait before it asks this lender again.
func (item LoanItem) Pause() time.Duration { return time.Duration(item.PauseMS) * time.Millisecond }

// OutgoingRequest is a LoanRequest with its recipient.
type OutgoingRequest struct {
	// To is the recipient.
	To ids.VMID
	LoanRequest
}
