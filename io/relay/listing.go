package relay

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"dotterelgw/core/config"
	"dotterelgw/core/ids"
	"dotterelgw/io/clock"
	"dotterelgw/io/fleet"
)

// listingTTL is how long one listing serves the readers of its parts, which all start together.
const listingTTL = 500 * time.Millisecond

// listing lists the records under several prefixes with one shared call to the service.
type listing struct {
	service fleet.Store
	// prefix is the common prefix of the keys; empty disables the shared listing.
	prefix string
	// excluded holds prefixes under the common one that are listed by calls of their own.
	excluded []string

	mutex    sync.Mutex
	entries  []config.Entry
	revision ids.Revision
	// requested is the time of the last successful List call; 0 before the first one.
	requested time.Duration
}

// covers states whether the key or prefix lies under the common prefix.
func (listing *listing) covers(prefix string) bool {
	isExcluded := func(excluded string) bool { return strings.HasPrefix(prefix, excluded) }
	return listing.prefix != "" && strings.HasPrefix(prefix, listing.prefix) && !slices.ContainsFunc(listing.excluded, isExcluded)
}

// list returns the records under the prefix, and the time at which they were requested.
func (listing *listing) list(ctx context.Context, prefix string) (entries []config.Entry, revision ids.Revision, requested time.Duration, err error) {
	listing.mutex.Lock()
	defer listing.mutex.Unlock()
	if now := clock.Now(); listing.requested == 0 || now-listing.requested > listingTTL {
		all, revision, err := listing.service.List(ctx, listing.prefix)
		if err != nil {
			return nil, 0, 0, fmt.Errorf("listing the records under %q: %w", listing.prefix, err)
		}
		listing.entries, listing.revision, listing.requested = all, revision, now
	}
	for _, entry := range listing.entries {
		if strings.HasPrefix(entry.Key, prefix) {
			entries = append(entries, entry)
		}
	}
	return entries, listing.revision, listing.requested, nil
}

// discard has the next call list anew if the last listing is of the era or of an earlier one.
func (listing *listing) discard(era ids.Era) {
	listing.mutex.Lock()
	defer listing.mutex.Unlock()
	if listing.revision.Era() <= era {
		listing.requested = 0
	}
}

// get returns the record with the key from the listing, and whether it exists.
func (listing *listing) get(ctx context.Context, key string) (config.Entry, bool, error) {
	entries, _, _, err := listing.list(ctx, key)
	if err != nil {
		return config.Entry{}, false, err
	}
	for _, entry := range entries {
		if entry.Key == key {
			return entry, true, nil
		}
	}
	return config.Entry{}, false, nil
}
