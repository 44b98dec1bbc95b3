package config

import (
	"cmp"
	"slices"

	"dotterelgw/core/ids"
)

// Store keeps the newest known entry of each key. It is not safe for concurrent use.
//
// The complete part holds every entry up to Revision, so deltas and digests of two stores can be compared. Entries
// above Revision that arrived alone, such as the VM's own change, are kept ahead of it: Get sees them, deltas do not.
type Store struct {
	revision ids.Revision
	entries  map[string]Entry
	order    []Entry // sorted by revision, then key
	ahead    map[string]Entry
	digest   uint64
}

// NewStore returns an empty store at revision 0.
func NewStore() *Store {
	return &Store{entries: map[string]Entry{}, ahead: map[string]Entry{}}
}

// Revision returns the highest revision up to which the store holds every entry.
func (store *Store) Revision() ids.Revision { return store.revision }

// Digest returns a hash over the keys and revisions of the complete part.
func (store *Store) Digest() uint64 { return store.digest }

// Len returns the number of entries of the complete part.
func (store *Store) Len() int { return len(store.order) }

// Get returns the newest entry held for the key.
func (store *Store) Get(key string) (Entry, bool) {
	held, ok := store.entries[key]
	if entry, found := store.ahead[key]; found && entry.Revision > held.Revision {
		return entry, true
	}
	return held, ok
}

// Snapshot returns all entries of the complete part in revision order.
func (store *Store) Snapshot() []Entry { return slices.Clone(store.order) }

// Since returns the entries of the complete part with a revision above the given one, in revision order.
func (store *Store) Since(revision ids.Revision) []Entry {
	at, _ := slices.BinarySearchFunc(store.order, revision+1, func(entry Entry, want ids.Revision) int {
		return cmp.Compare(entry.Revision, want)
	})
	return slices.Clone(store.order[at:])
}

// ApplyComplete applies a list that holds every entry changed after the store's revision up to the given revision,
// and returns the entries that changed in the complete part, in revision order. A full snapshot qualifies for any
// store. Older entries are ignored, and the revision never falls.
func (store *Store) ApplyComplete(entries []Entry, revision ids.Revision) []Entry {
	var changed []Entry
	for _, entry := range entries {
		if store.put(entry) {
			changed = append(changed, entry)
		}
	}
	store.revision = max(store.revision, revision)
	for key, entry := range store.ahead {
		if entry.Revision > store.revision {
			continue
		}
		delete(store.ahead, key)
		if store.put(entry) {
			changed = append(changed, entry)
		}
	}
	slices.SortFunc(changed, compareEntries)
	return changed
}

// ApplyMatching applies a delta of unknown base if it makes the digest equal to the sender's; otherwise it changes
// nothing and returns false. Equal digests prove that nothing between the two revisions is missing.
func (store *Store) ApplyMatching(entries []Entry, revision ids.Revision, digest uint64) ([]Entry, bool) {
	if revision < store.revision {
		return nil, false
	}
	after, seen := store.digest, make(map[string]ids.Revision, len(entries))
	for _, entry := range entries {
		held, ok := seen[entry.Key]
		if !ok {
			held = store.entries[entry.Key].Revision
		}
		if entry.Revision <= held {
			continue
		}
		if held > 0 {
			after -= hash(entry.Key, held)
		}
		after += hash(entry.Key, entry.Revision)
		seen[entry.Key] = entry.Revision
	}
	if after != digest {
		return nil, false
	}
	return store.ApplyComplete(entries, revision), true
}

// ApplyAhead applies one entry whose predecessors may be missing. It returns false if the store holds a version at
// least as new. An entry that directly follows the store's revision becomes part of the complete part at once, since
// the service raises its revision by one for each write.
func (store *Store) ApplyAhead(entry Entry) (changed []Entry, applied bool) {
	if held, ok := store.Get(entry.Key); ok && held.Revision >= entry.Revision {
		return nil, false
	}
	if entry.Revision <= store.revision {
		return nil, false
	}
	if entry.Revision == store.revision+1 {
		return store.ApplyComplete([]Entry{entry}, entry.Revision), true
	}
	store.ahead[entry.Key] = entry
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

// hash is FNV-1a over key and revision with a final mix, so that sums of hashes do not cancel.
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
