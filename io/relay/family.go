package relay

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"dotterelgw/core/config"
	"dotterelgw/core/ids"
	"dotterelgw/io/clock"
	"dotterelgw/io/fleet"
)

// familyFresh is the time for which a listing of the family serves those who want a part of it. They all start together.
const familyFresh = 500 * time.Millisecond

// family lists the records under several prefixes with one call to the service.
type family struct {
	service fleet.Store
	// prefix is the common beginning of the keys; empty for no family.
	prefix string

	mutex    sync.Mutex
	entries  []config.Entry
	revision ids.Revision
	// listed is the time at which the records were asked for; 0 while they were not.
	listed time.Duration
}

// holds states whether the key or prefix belongs to the family.
func (family *family) holds(prefix string) bool {
	return family.prefix != "" && strings.HasPrefix(prefix, family.prefix)
}

// list returns the records under the prefix, and the time at which they were asked for.
func (family *family) list(ctx context.Context, prefix string) (entries []config.Entry, revision ids.Revision, asked time.Duration, err error) {
	family.mutex.Lock()
	defer family.mutex.Unlock()
	if now := clock.Now(); family.listed == 0 || now-family.listed > familyFresh {
		all, revision, err := family.service.List(ctx, family.prefix)
		if err != nil {
			return nil, 0, 0, fmt.Errorf("the records of all VMs: %w", err)
		}
		family.entries, family.revision, family.listed = all, revision, now
	}
	for _, entry := range family.entries {
		if strings.HasPrefix(entry.Key, prefix) {
			entries = append(entries, entry)
		}
	}
	return entries, family.revision, family.listed, nil
}

// get returns the record if it was just listed.
func (family *family) get(ctx context.Context, key string) (config.Entry, bool, error) {
	entries, _, _, err := family.list(ctx, key)
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
