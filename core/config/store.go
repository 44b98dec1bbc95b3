package config

import (
	"cmp"
	"slices"

	"dotterelgw/core/ids"
)

// Store keeps the newest known entry of each key. It is not safe for concurrent use.
//
// The store has a complete part, which holds every entry up to Revision, so that deltas and digests of two stores can be
// compared. Entries above Revision that arrived out of order, such as the VM's own change, are kept separately: Get returns
// them, but deltas and the digest do not include them.
type Store struct {
	revision   ids.Revision
	entries    map[string]Entry
	order      []Entry          // sorted by revision, then key
	outOfOrder map[string]Entry // above revision, with predecessors that may be missing
	digest     uint64
}

// NewStore returns an empty store whose revision is 0.
func NewStore() *Store {
	return &Store{entries: map[string]Entry{}, outOfOrder: map[string]Entry{}}
}

// Revision returns the highest revision up to which the store holds every entry.
func (store *Store) Revision() ids.Revision { return store.revision }

// Digest returns a hash over the keys and revisions of the complete part. It does not depend on the order of arrival.
func (store *Store) Digest() uint64 { return store.digest }

// Len returns the number of entries in the complete part.
func (store *Store) Len() int { return len(store.order) }

// Get returns the newest entry of the key, in the complete part or out of order.
func (store *Store) Get(key string) (Entry, bool) {
	held, ok := store.entries[key]
	if entry, found := store.outOfOrder[key]; found && entry.Revision > held.Revision {
		return entry, true
	}
	return held, ok
}

// Snapshot returns all entries of the complete part in revision order.
func (store *Store) Snapshot() []Entry { return slices.Clone(store.order) }

// Since returns the delta above the revision: the newer entries of the complete part, in revision order.
func (store *Store) Since(revision ids.Revision) []Entry {
	at, _ := slices.BinarySearchFunc(store.order, revision+1, func(entry Entry, want ids.Revision) int {
		return cmp.Compare(entry.Revision, want)
	})
	return slices.Clone(store.order[at:])
}

// ApplyComplete applies every entry that changed after the store's revision, up to the given revision, and returns the
// entries that changed in the complete part, in revision order. A full snapshot is valid for a store at any revision. Older
// entries are ignored, and the store's revision never decreases.
func (store *Store) ApplyComplete(entries []Entry, revision ids.Revision) []Entry {
	var changed []Entry
	for _, entry := range entries {
		if store.put(entry) {
			changed = append(changed, entry)
		}
	}
	store.revision = max(store.revision, revision)
	for key, entry := range store.outOfOrder {
		if entry.Revision > store.revision {
			continue
		}
		delete(store.outOfOrder, key)
		if store.put(entry) {
			changed = append(changed, entry)
		}
	}
	slices.SortFunc(changed, compareEntries)
	return changed
}

// ApplyIfDigestMatches applies a delta whose base revision is unknown if the resulting digest equals the sender's. Otherwise it
// changes nothing and returns false. Equal digests show that no entry between the two revisions is missing.
func (store *Store) ApplyIfDigestMatches(entries []Entry, revision ids.Revision, digest uint64) ([]Entry, bool) {
	if revision < store.revision {
		return nil, false
	}
	expected, applied := store.digest, make(map[string]ids.Revision, len(entries))
	for _, entry := range entries {
		held, ok := applied[entry.Key]
		if !ok {
			held = store.entries[entry.Key].Revision
		}
		if entry.Revision <= held {
			continue
		}
		if held > 0 {
			expected -= hash(entry.Key, held)
		}
		expected += hash(entry.Key, entry.Revision)
		applied[entry.Key] = entry.Revision
	}
	if expected != digest {
		return nil, false
	}
	return store.ApplyComplete(entries, revision), true
}

// ApplyOutOfOrder applies one entry whose predecessors may be missing. It returns false if the store already holds this version
// or a newer one. An entry at the store's revision plus one joins the complete part at once, because the key-value service
// increments its revision by one for each write.
func (store *Store) ApplyOutOfOrder(entry Entry) (changed []Entry, applied bool) {
	if held, ok := store.Get(entry.Key); ok && held.Revision >= entry.Revision {
		return nil, false
	}
	if entry.Revision <= store.revision {
		return nil, false
	}
	if entry.Revision == store.revision+1 {
		return store.ApplyComplete([]Entry{entry}, entry.Revision), true
	}
	store.outOfOrder[entry.Key] = entry
	return nil, true
}

func (store *Store) put(entry Entry) bool {
	held, ok := store.entries[entry.Key]
	if entry.Revision <= held.Revision {
		return false
	}
	if ok {
		at, found := slices.BinarySearchFunc(store.order, held, compareEntries)
		if found {
			store.order = slices.Delete(store.order, at, at+1)
		}
		store.digest -= hash(held.Key, held.Revision)
	}
	at, _ := slices.BinarySearchFunc(store.order, entry, compareEntries)
	store.order = slices.Insert(store.order, at, entry)
	store.entries[entry.Key] = entry
	store.digest += hash(entry.Key, entry.Revision)
	return true
}

func compareEntries(a, b Entry) int {
	return cmp.Or(cmp.Compare(a.Revision, b.Revision), cmp.Compare(a.Key, b.Key))
}

// hash is FNV-1a over key and revision, followed by a bit mixer, so that differences do not cancel out in a sum of hashes.
func hash(key string, revision ids.Revision) uint64 {
	const offset, prime = 14695981039346656037, 1099511628211
	sum := uint64(offset)
	for i := range len(key) {
		sum = (sum ^ uint64(key[i])) * prime
	}
	sum = (sum ^ uint64(revision)) * prime
	sum ^= sum >> 33
	sum *= 0xff51afd7ed558ccd
	sum ^= sum >> 33
	sum *= 0xc4ceb9fe1a85ec53
	return sum ^ sum>>33
}
