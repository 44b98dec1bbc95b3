package failover

import (
	"dotterelgw/core/config"
	"dotterelgw/core/ids"
)

// Kind is the kind of a command.
type Kind int

// The kinds of commands.
const (
	// Swap stores Record by compare-and-swap against the revision Expected. The result is passed to Coordinator.Swapped.
	Swap Kind = iota + 1
	// Read reads the term record. The result is passed to Coordinator.Read.
	Read
	// Fence runs group_fence at Server. The result is passed to Coordinator.Fenced.
	Fence
	// QueryStatus runs group_status at Server. The result is passed to Coordinator.StatusReceived.
	QueryStatus
	// Promote runs group_promote at Server. The result is passed to Coordinator.Promoted.
	Promote
	// Follow runs group_follow at Server. The result is not used.
	Follow
)

// Command is an operation that the owner of the coordinator carries out. Which fields are set depends on the kind.
type Command struct {
	Kind     Kind
	Server   config.ServerRecord
	Term     ids.Term
	Start    ids.LogPosition
	Primary  config.ServerRecord
	Record   config.TermRecord
	Expected ids.Revision
}

// SwapResult is the outcome of a compare-and-swap.
type SwapResult int

// The outcomes of a compare-and-swap.
const (
	// SwapUnknown means that the response was lost, so the record may or may not have been stored.
	SwapUnknown SwapResult = iota
	// SwapStored means that the record was stored.
	SwapStored
	// SwapConflict means that the expected revision was not the current one.
	SwapConflict
)
