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
	// Contract returns the organisation's contract and its revision, or false if it is unknown, withdrawn or unreadable.
	// It does not allocate. Call Admitting first: a contract read earlier may be older than the confirmation.
	Contract(ids.OrganisationID) (*contract.Contract, ids.Revision, bool)
	// Admitting reports whether this VM may admit requests. It only reads the clock and one atomic value.
	Admitting() bool
	// Members returns the live VMs sorted by id, including this one once it is live. Callers must not modify the slice.
	Members() []member.Member
	// Entry returns the newest entry held for the key.
	Entry(key string) (config.Entry, bool)
	// OnChange registers a function. It is called with every entry held at registration before OnChange returns, and
	// then with every change, in revision order from one goroutine. The function must not call OnChange.
	OnChange(func(config.Entry))
	// Propose stores the value by compare-and-swap and waits until more than half of the VMs hold it. A non-zero revision
	// with ErrNoMajority means that the value is stored, but that no majority has acknowledged it yet.
	Propose(ctx context.Context, key string, expected ids.Revision, value []byte) (ids.Revision, error)
	// Revision returns the revision up to which this VM holds every entry.
	Revision() ids.Revision
	// UnconfirmedVMs queries the listed VMs once and returns those that have not confirmed that they hold the revision.
	UnconfirmedVMs(context.Context, ids.Revision) (missing []ids.VMID, err error)
	// Leaving reports whether the VM list marks the backend server as leaving.
	Leaving(ids.BackendServerID) bool
}

// Errors that Propose wraps. Test for them with errors.Is.
const (
	// ErrConflict means that the key is not at the expected revision. The error is a *ConflictError.
	ErrConflict = errors.ConstError("the entry was changed by someone else")
	// ErrNoMajority means that no more than half of the listed VMs answer this VM.
	ErrNoMajority = errors.ConstError("fewer than half of the VMs answer")
	// ErrUnknownOutcome means that the change may have been stored. Read the key later to find out.
	ErrUnknownOutcome = errors.ConstError("it is not known whether the change was stored")
)

// ConflictError reports a lost compare-and-swap and holds the stored version.
type ConflictError struct {
	// Key is the key of the proposal.
	Key string
	// Expected is the revision that the proposal was based on.
	Expected ids.Revision
	// Current is the stored entry. Its revision is 0 if the key is absent.
	Current config.Entry
}

// Error implements error.Error.
func (conflict *ConflictError) Error() string {
	return fmt.Sprintf("%s: %s: expected revision %d, found %d", ErrConflict.Error(), conflict.Key, conflict.Expected, conflict.Current.Revision)
}

// Is makes errors.Is(err, ErrConflict) true.
func (conflict *ConflictError) Is(target error) bool { return target == ErrConflict }

// Store is the subset of the key-value client that a controller uses.
type Store interface {
	List(ctx context.Context, prefix string) ([]config.Entry, ids.Revision, error)
	Get(ctx context.Context, key string) (config.Entry, bool, error)
	CompareAndSwap(ctx context.Context, key string, expected ids.Revision, value []byte) (ids.Revision, bool, error)
	Watch(ctx context.Context, prefix string, from ids.Revision) (<-chan platform.WatchEvent, error)
}

// VMList reads the list of VMs from the platform.
type VMList interface {
	List(ctx context.Context) ([]platform.VM, error)
}
