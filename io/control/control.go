package control

import (
	"context"
	"fmt"

	"github.com/juju/errors"

	"dotterelgw/core/config"
	"dotterelgw/core/contract"
	"dotterelgw/core/ids"
	"dotterelgw/core/member"
	"dotterelgw/io/platform"
)

// Control is the configuration, membership and freshness of this VM.
type Control interface {
	// Contract returns the organisation's contract and its revision; false when it is unknown, withdrawn or unreadable.
	// It does not allocate. Call Admitting first: a contract read before may be older than the confirmation.
	Contract(ids.OrganisationID) (*contract.Contract, ids.Revision, bool)
	// Admitting states whether this VM may admit requests; it reads the clock and one atomic value.
	Admitting() bool
	// Members returns the live VMs, this one included once it is live, sorted by id. The slice is shared.
	Members() []member.Member
	// Entry returns the newest entry held for the key.
	Entry(key string) (config.Entry, bool)
	// OnChange registers a function that gets every entry held at registration before OnChange returns, and every later
	// change, in revision order from one goroutine. The function must not call OnChange.
	OnChange(func(config.Entry))
	// Propose stores the value by compare-and-swap and waits until more than half of the VMs hold it. A non-zero revision
	// with ErrNoMajority states that the value is stored, but that no majority has acknowledged it yet.
	Propose(ctx context.Context, key string, expected ids.Revision, value []byte) (ids.Revision, error)
	// Revision returns the revision up to which this VM holds every entry.
	Revision() ids.Revision
	// InForce asks the listed VMs once and names those that have not shown that they hold the revision.
	InForce(context.Context, ids.Revision) (missing []ids.VMID, err error)
	// Leaving states whether the VM list says that the backend server is leaving.
	Leaving(ids.BackendServerID) bool
}

// Errors that Propose wraps; test for them with errors.Is.
const (
	// ErrConflict states that the key is at another revision than expected; the error is a *ConflictError.
	ErrConflict = errors.ConstError("the entry was changed by someone else")
	// ErrNoMajority states that this VM does not hear from more than half of the listed VMs.
	ErrNoMajority = errors.ConstError("fewer than half of the VMs answer")
	// ErrUnknownOutcome states that the change may have been stored; reading the key back later settles it.
	ErrUnknownOutcome = errors.ConstError("it is not known whether the change was stored")
)

// ConflictError holds the version that won against a proposal.
type ConflictError struct {
	// Key is the key of the proposal.
	Key string
	// Expected is the revision that the proposal was based on.
	Expected ids.Revision
	// Current is the entry that the service holds; its revision is 0 if the key is absent.
	Current config.Entry
}

// Error implements error.Error.
func (conflict *ConflictError) Error() string {
	return fmt.Sprintf("%s: %s: expected revision %d, found %d", ErrConflict.Error(), conflict.Key, conflict.Expected, conflict.Current.Revision)
}

// Is makes errors.Is(err, ErrConflict) true.
func (conflict *ConflictError) Is(target error) bool { return target == ErrConflict }

// Store is the part of the key-value service's client that a controller needs.
type Store interface {
	List(ctx context.Context, prefix string) ([]config.Entry, ids.Revision, error)
	Get(ctx context.Context, key string) (config.Entry, bool, error)
	CompareAndSwap(ctx context.Context, key string, expected ids.Revision, value []byte) (ids.Revision, bool, error)
	Watch(ctx context.Context, prefix string, from ids.Revision) (<-chan platform.WatchEvent, error)
}

// VMList reads the platform's list of VMs.
type VMList interface {
	List(ctx context.Context) ([]platform.VM, error)
}
