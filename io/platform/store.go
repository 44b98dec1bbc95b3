package platform

import (
	"context"
	"strconv"
	"time"

	"dotterelgw/core/config"
	"dotterelgw/core/ids"
)

// Store reads and writes entries in the key-value service. Each call ends when its context does.
type Store interface {
	// List returns the entries whose keys have the prefix, sorted by key, and the service's revision at the time of the read.
	List(ctx context.Context, prefix string) ([]config.Entry, ids.Revision, error)
	// Get returns the entry of the key and whether it exists.
	Get(ctx context.Context, key string) (config.Entry, bool, error)
	// CompareAndSwap stores the value if the key has the expected revision; 0 requires the key to be absent. It returns the
	// new revision of the key and true, or the current revision, 0 for an absent key, and false. If the error wraps
	// ErrOutcomeUnknown, the value may have been stored. It wraps ErrRestored if the expected revision is of an earlier era.
	CompareAndSwap(ctx context.Context, key string, expected ids.Revision, value []byte) (ids.Revision, bool, error)
	// Watch reports every change since the revision, inclusive; 0 starts with the next change. The last event before the
	// channel is closed has an error unless the context ended.
	Watch(ctx context.Context, prefix string, from ids.Revision) (<-chan WatchEvent, error)
}

// WatchEvent holds changes, a confirmation that nothing has changed, or the error that ended the watch.
type WatchEvent struct {
	// Entries holds the changed entries of one or more revisions in order; a deleted entry has a nil value.
	Entries []config.Entry
	// Listing is set if Entries is a listing of the whole prefix: keys that it does not contain do not exist.
	Listing bool
	// Revision is the revision up to which all changes have been reported.
	Revision ids.Revision
	// RequestedAt is the time at which the request that this event answers was sent: Revision was current then or later. It is
	// zero for events that answer no request.
	RequestedAt time.Time
	// Err is the error that ended the watch.
	Err error
}

// Lease identifies a lease of the key-value service. The zero value means no lease.
type Lease struct {
	// ID is the number that the service gave to the lease.
	ID int64
	// Era is the era in which the lease was granted. It ends with the era: a restored service may have lost it, or given its id to
	// another VM.
	Era ids.Era
}

// String returns the id of the lease.
func (lease Lease) String() string { return strconv.FormatInt(lease.ID, 10) }

// Leases grants, renews and revokes leases.
type Leases interface {
	// Grant creates a lease and returns its time to live, which the service may raise. Callers must count the time to live
	// from before the call.
	Grant(ctx context.Context, ttl time.Duration) (Lease, time.Duration, error)
	// KeepAlive renews the lease and returns its time to live, which callers must count from before the call. The error
	// wraps ErrLeaseEnded if the lease has ended.
	KeepAlive(ctx context.Context, lease Lease) (time.Duration, error)
	// Revoke ends the lease and deletes the keys attached to it.
	Revoke(ctx context.Context, lease Lease) error
}

// LeaseStore stores entries that are attached to a lease.
type LeaseStore interface {
	Leases
	// CompareAndSwapLeased is CompareAndSwap for an entry attached to the lease; the service deletes it when the lease ends.
	CompareAndSwapLeased(ctx context.Context, key string, expected ids.Revision, value []byte, lease Lease) (ids.Revision, bool, error)
}

// Client is the client of the key-value service. A process needs only one; it is safe for concurrent use.
type Client interface {
	Store
	Leases
	// GetAt returns the entry as of the revision, and whether it existed. The error wraps ErrCompacted if the revision has
	// been compacted.
	GetAt(ctx context.Context, key string, revision ids.Revision) (config.Entry, bool, error)
	// Close closes the connection and ends all watches.
	Close() error
}
