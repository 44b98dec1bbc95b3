package relay

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"dotterelgw/core/config"
	"dotterelgw/core/ids"
)

// maxDeletions is the number of deletions that are kept. A VM that lacks an older one reads from the service.
const maxDeletions = 512

// Same reports whether two values of a key are equivalent, so that replacing one with the other is not recorded as a change.
type Same func(key string, one, other []byte) bool

// Journal holds the records of one key prefix and their changes since a revision. It is not safe for concurrent use.
type Journal struct {
	same Same
	// compacted is the revision after which every change is known, or 0 before the first listing.
	compacted ids.Revision
	// revision is the newest revision up to which every change is known.
	revision ids.Revision
	// confirmed is the latest time at which the records are known to have matched the service.
	confirmed time.Duration
	entries   map[string]config.Entry
	// deletions maps deleted keys to the revisions of their deletion.
	deletions map[string]ids.Revision
}

// NewJournal returns a journal without records. If same is nil, every new value counts as a change.
func NewJournal(same Same) *Journal {
	return &Journal{same: same, entries: make(map[string]config.Entry), deletions: make(map[string]ids.Revision)}
}

// Revision returns the revision up to which every change is known, or 0 before the first listing.
func (journal *Journal) Revision() ids.Revision { return journal.revision }

// Confirmed returns the latest time at which the records are known to have matched the service.
func (journal *Journal) Confirmed() time.Duration { return journal.confirmed }

// List replaces the records with a full listing at the revision. The service was at that revision at the confirmed time or
// later. A listing older than the journal's revision is ignored.
func (journal *Journal) List(entries []config.Entry, revision ids.Revision, confirmed time.Duration) {
	if revision < journal.revision {
		return
	}
	deleted := maps.Clone(journal.entries)
	for _, entry := range entries {
		delete(deleted, entry.Key)
		journal.put(entry)
	}
	for key := range deleted {
		journal.remove(key, revision)
	}
	if journal.compacted == 0 {
		journal.compacted = revision
	}
	journal.advance(revision, confirmed)
}

// Apply adds the changes up to the revision, or does nothing before the first listing. An entry with a nil value is a deletion.
// The service was at that revision at the confirmed time or later.
func (journal *Journal) Apply(changes []config.Entry, revision ids.Revision, confirmed time.Duration) {
	if journal.compacted == 0 {
		return
	}
	for _, entry := range changes {
		switch {
		case entry.Revision <= journal.revision:
		case entry.Value == nil:
			journal.remove(entry.Key, entry.Revision)
		default:
			journal.put(entry)
		}
	}
	journal.advance(revision, confirmed)
}

// advance raises the revision and the confirmed time, neither of which ever decreases.
func (journal *Journal) advance(revision ids.Revision, confirmed time.Duration) {
	if revision < journal.revision {
		return
	}
	journal.revision = revision
	journal.confirmed = max(journal.confirmed, confirmed)
}

// put stores the entry if it is newer than the stored one and not equivalent to it.
func (journal *Journal) put(entry config.Entry) {
	current, known := journal.entries[entry.Key]
	if known && current.Revision >= entry.Revision {
		return
	}
	if known && journal.same != nil && journal.same(entry.Key, current.Value, entry.Value) {
		return
	}
	delete(journal.deletions, entry.Key)
	journal.entries[entry.Key] = entry
}

// remove records the deletion of the key unless its entry is newer.
func (journal *Journal) remove(key string, revision ids.Revision) {
	if current, known := journal.entries[key]; known && current.Revision > revision {
		return
	}
	delete(journal.entries, key)
	journal.deletions[key] = revision
	if len(journal.deletions) > maxDeletions {
		journal.compact()
	}
}

// compact drops the older half of the deletions and raises compacted to the newest dropped one.
func (journal *Journal) compact() {
	revisions := slices.Sorted(maps.Values(journal.deletions))
	journal.compacted = max(journal.compacted, revisions[len(revisions)/2])
	maps.DeleteFunc(journal.deletions, func(_ string, revision ids.Revision) bool { return revision <= journal.compacted })
}

// Keys returns the number of keys.
func (journal *Journal) Keys() int { return len(journal.entries) }

// Since returns the changes after the revision, oldest first; a deletion has a nil value. Keys is the number of keys at that
// revision. Since returns false if some changes may be missing. Changes since a revision before the first listing are known if
// the number of unchanged entries equals keys, as then no key was deleted.
func (journal *Journal) Since(after ids.Revision, keys int) ([]config.Entry, bool) {
	if journal.compacted > 0 && after >= journal.revision {
		return nil, true
	}
	var changes []config.Entry
	for _, entry := range journal.entries {
		if entry.Revision > after {
			changes = append(changes, entry)
		}
	}
	unchanged := len(journal.entries) - len(changes)
	if journal.compacted == 0 || after < journal.compacted && unchanged != keys {
		return nil, false
	}
	for key, revision := range journal.deletions {
		if revision > after {
			changes = append(changes, config.Entry{Key: key, Revision: revision})
		}
	}
	slices.SortFunc(changes, func(one, other config.Entry) int {
		return cmp.Or(cmp.Compare(one.Revision, other.Revision), cmp.Compare(one.Key, other.Key))
	})
	return changes, true
}

// FirstSize returns the size of the first revision in the changes: the total length of its keys and values in bytes.
func FirstSize(changes []config.Entry) int {
	size := 0
	for _, entry := range changes {
		if entry.Revision != changes[0].Revision {
			break
		}
		size += len(entry.Key) + len(entry.Value)
	}
	return size
}

// Cut returns the longest prefix of the changes whose keys and values fit in the given number of bytes, and the revision up to
// which it is complete. It never splits the changes of one revision. The last result reports whether all changes fit.
func Cut(changes []config.Entry, revision ids.Revision, bytes int) (prefix []config.Entry, upTo ids.Revision, complete bool) {
	size := 0
	for index, entry := range changes {
		size += len(entry.Key) + len(entry.Value)
		if size <= bytes {
			continue
		}
		upTo = entry.Revision - 1
		end := slices.IndexFunc(changes[:index], func(earlier config.Entry) bool { return earlier.Revision > upTo })
		if end < 0 {
			end = index
		}
		return changes[:end], upTo, false
	}
	return changes, revision, true
}
