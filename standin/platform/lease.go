package platform

import (
	"sort"
	"time"
)

// expiryInterval is the interval at which expired leases are removed.
const expiryInterval = 50 * time.Millisecond

// lease is a time to live to which keys can be attached.
type lease struct {
	ttl     time.Duration
	expires time.Time
	keys    map[string]struct{}
}

// grant creates a lease with the identifier, or with one that it chooses if the identifier is 0.
func (store *store) grant(id int64, ttl time.Duration, now time.Time) (int64, error) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	if id == 0 {
		store.lastLeaseID++
		for store.leases[store.lastLeaseID] != nil {
			store.lastLeaseID++
		}
		id = store.lastLeaseID
	} else if store.leases[id] != nil {
		return 0, errLeaseExists
	}
	store.leases[id] = &lease{ttl: ttl, expires: now.Add(ttl), keys: map[string]struct{}{}}
	return id, nil
}

// keepAlive renews the lease and returns its time to live, or 0 if it has expired.
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

// revoke removes the lease and reports whether it existed.
func (store *store) revoke(id int64) bool {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	if store.leases[id] == nil {
		return false
	}
	store.deleteLease(id)
	return true
}

// expireLeases removes the leases that have expired.
func (store *store) expireLeases(now time.Time) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	for id, lease := range store.leases {
		if !now.Before(lease.expires) {
			store.deleteLease(id)
		}
	}
}

// deleteLease removes the lease and deletes its keys at one revision.
func (store *store) deleteLease(id int64) {
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
	store.notifyWatches()
}
