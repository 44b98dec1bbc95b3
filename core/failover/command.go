package failover

import (
	"dotterelgw/core/config"
	"dotterelgw/core/ids"
)

// Kind states what a command asks for.
type Kind int

// The kinds of commands.
const (
	// Swap stores Record by compare-and-swap against Expected; the result goes to Plan.Swapped.
	Swap Kind = iota + 1
	// Read reads the term record; the result goes to Plan.Read.
	Read
	// Fence runs group_fence at Server; the result goes to Plan.Fenced.
	Fence
	// Examine runs group_status at Server; the result goes to Plan.Examined.
	Examine
	// Promote runs group_promote at Server; the result goes to Plan.Promoted.
	Promote
	// Follow runs group_follow at Server; the result is not needed.
	Follow
)

// Command is something that the plan's owner carries out; its fields depend on the kind.
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
	// SwapUnknown states that the answer was lost: the record may or may not have been stored.
	SwapUnknown SwapResult = iota
	// SwapStored states that the record was stored.
	SwapStored
	// SwapConflict states that the expected revision was not the current one.
	SwapConflict
)
