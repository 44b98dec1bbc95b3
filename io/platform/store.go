package platform

import (
	"context"
	"time"

	"dotterelgw/core/config"
	"dotterelgw/core/ids"
)

// Store reads and writes configuration entries in the key-value service. Each call ends with its context.
type Store interface {
	// List returns the entries whose keys have the prefix, in order, and the service's revision at the time of the read.
	List(ctx context.Context, prefix string) ([]config.Entry, ids.Revision, error)
	// Get returns the entry and whether it exists.
	Get(ctx context.Context, key string) (config.Entry, bool, error)
	// CompareAndSwap stores the value if the key's revision is expected; 0 expects that the key is absent. It returns the
	// key's new revision and true, or its current revision and false. An error that wraps ErrOutcomeUnknown leaves open
	// whether the value was stored.
	CompareAndSwap(ctx context.Context, key string, expected ids.Revision, value []byte) (ids.Revision, bool, error)
	// Watch reports every change from the revision on, that revision included; 0 starts with the next change. The last
	// event before the channel closes has an error unless the context ended.
	Watch(ctx context.Context, prefix string, from ids.Revision) (<-chan WatchEvent, error)
}

// WatchEvent is a change, a confirmation that nothing changed, or the error that ended the watch.
type WatchEvent struct {
	// Entries holds the entries of one or more revisions in order; a deleted entry has a nil value.
	Entries []config.Entry
	// Complete states that Entries holds every entry of the prefix, so that others are gone.
	Complete bool
	// Revision is the revision up to which the watch has reported everything.
	Revision ids.Revision
	// Asked is the time at which the question was sent that this event answers: Revision was current then or later. It is
	// zero for events that the service sent unasked.
	Asked time.Time
	// Err is the error that ended the watch.
	Err error
}

// Lease names a lease of the key-value service.
type Lease int64

// Leases creates, renews and ends leases.
type Leases interface {
	// Grant creates a lease and returns its time to live, which the service may raise. The caller counts the time to live
	// from before the call.
	Grant(ctx context.Context, ttl time.Duration) (Lease, time.Duration, error)
	// KeepAlive renews the lease and returns its time to live, counted by the caller from before the call. The error wraps
	// ErrLeaseEnded if the lease has ended.
	KeepAlive(ctx context.Context, lease Lease) (time.Duration, error)
	// Revoke ends the lease and deletes its keys.
	Revoke(ctx context.Context, lease Lease) error
}

// Holder stores entries that end with a lease.
type Holder interface {
	Leases
	// CompareAndHold is CompareAndSwap with a lease, at whose end the service removes the entry.
	CompareAndHold(ctx context.Context, key string, expected ids.Revision, value []byte, lease Lease) (ids.Revision, bool, error)
}

// Client is the client of the key-value service; one instance serves a process.
type Client interface {
	Store
	Leases
	// GetAt returns the version of the entry that was current at the revision; the error wraps ErrCompacted if the
	// service no longer holds it.
	GetAt(ctx context.Context, key string, revision ids.Revision) (config.Entry, bool, error)
	// Close closes the connection and ends all watches.
	Close() error
}
