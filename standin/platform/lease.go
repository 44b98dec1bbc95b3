package platform

import (
	"sort"
	"time"
)

// sweepPeriod is the interval at which expired leases are ended.
const sweepPeriod = 50 * time.Millisecond

// lease is a time to live that keys can be attached to.
type lease struct {
	ttl     time.Duration
	expires time.Time
	keys    map[string]struct{}
}

// grant creates a lease with the identifier, or chooses one if it is 0.
func (store *store) grant(id int64, ttl time.Duration, now time.Time) (int64, error) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	if id == 0 {
		store.lastLease++
		for store.leases[store.lastLease] != nil {
			store.lastLease++
		}
		id = store.lastLease
	} else if store.leases[id] != nil {
		return 0, errLeaseExists
	}
	store.leases[id] = &lease{ttl: ttl, expires: now.Add(ttl), keys: map[string]struct{}{}}
	return id, nil
}

// keepAlive renews the lease and returns its time to live, 0 if it has ended.
func (store *store) keepAlive(id int64, now time.Time) time.Duration {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	lease := store.leases[id]
	if lease == nil || !now.Before(lease.expires) {
		return 0
	}
	lease.expires = now.Add(lease.ttl)
	return lease.ttl
}

// revoke ends the lease and states whether it existed.
func (store *store) revoke(id int64) bool {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	if store.leases[id] == nil {
		return false
	}
	store.end(id)
	return true
}

// sweep ends the leases that have expired.
func (store *store) sweep(now time.Time) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	for id, lease := range store.leases {
		if !now.Before(lease.expires) {
			store.end(id)
		}
	}
}

// end deletes the lease's keys at one revision.
func (store *store) end(id int64) {
	lease := store.leases[id]
	keys := make([]string, 0, len(lease.keys))
	for key := range lease.keys {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	delete(store.leases, id)
	if len(keys) == 0 {
		return
	}
	store.revision++
	for _, key := range keys {
		store.remove(key)
	}
	store.announce()
}
