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

// Equivalent reports whether two values of a key are equivalent, so that replacing one with the other is not recorded as a change.
type Equivalent func(key string, one, other []byte) bool

// ChangeLog holds the records of one key prefix and their changes since a revision. It is not safe for concurrent use.
type ChangeLog struct {
	equivalent Equivalent
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

// NewChangeLog returns a change log without records. If same is nil, every new value counts as a change.
func NewChangeLog(equivalent Equivalent) *ChangeLog {
	return &ChangeLog{equivalent: equivalent, entries: make(map[string]config.Entry), deletions: make(map[string]ids.Revision)}
}

// Revision returns the revision up to which every change is known, or 0 before the first listing.
func (changeLog *ChangeLog) Revision() ids.Revision { return changeLog.revision }

// ConfirmedAt returns the latest time at which the records are known to have matched the service.
func (changeLog *ChangeLog) ConfirmedAt() time.Duration { return changeLog.confirmed }

// List replaces the records with a full listing at the revision. The service was at that revision at the confirmed time or
// later. A listing older than the change log's revision is ignored. The first listing of an era starts the change log anew: how the
// records changed between the eras is not known.
func (changeLog *ChangeLog) List(entries []config.Entry, revision ids.Revision, confirmed time.Duration) {
	if revision < changeLog.revision {
		return
	}
	if revision.Era() > changeLog.revision.Era() {
		clear(changeLog.entries)
		clear(changeLog.deletions)
		changeLog.compacted = 0
	}
	deleted := maps.Clone(changeLog.entries)
	for _, entry := range entries {
		delete(deleted, entry.Key)
		changeLog.put(entry)
	}
	for key := range deleted {
		changeLog.remove(key, revision)
	}
	if changeLog.compacted == 0 {
		changeLog.compacted = revision
	}
	changeLog.advance(revision, confirmed)
}

// Apply adds the changes up to the revision, or does nothing before the first listing. An entry with a nil value is a deletion.
// The service was at that revision at the confirmed time or later. Apply returns the number of changes that it ignored because
// they are not newer than the change log.
func (changeLog *ChangeLog) Apply(changes []config.Entry, revision ids.Revision, confirmed time.Duration) (ignored int) {
	if changeLog.compacted == 0 {
		return 0
	}
	for _, entry := range changes {
		switch {
		case entry.Revision <= changeLog.revision:
			ignored++
		case entry.Value == nil:
			changeLog.remove(entry.Key, entry.Revision)
		default:
			changeLog.put(entry)
		}
	}
	changeLog.advance(revision, confirmed)
	return ignored
}

// advance raises the revision and the confirmed time, neither of which ever decreases.
func (changeLog *ChangeLog) advance(revision ids.Revision, confirmed time.Duration) {
	if revision < changeLog.revision {
		return
	}
	changeLog.revision = revision
	changeLog.confirmed = max(changeLog.confirmed, confirmed)
}

// put stores the entry if it is newer than the stored one and its value or its lease is not equivalent.
func (changeLog *ChangeLog) put(entry config.Entry) {
	current, known := changeLog.entries[entry.Key]
	if known && current.Revision >= entry.Revision {
		return
	}
	if known && current.Leased == entry.Leased && changeLog.equivalent != nil && changeLog.equivalent(entry.Key, current.Value, entry.Value) {
		return
	}
	delete(changeLog.deletions, entry.Key)
	changeLog.entries[entry.Key] = entry
}

// remove records the deletion of the key unless its entry is newer.
func (changeLog *ChangeLog) remove(key string, revision ids.Revision) {
	if current, known := changeLog.entries[key]; known && current.Revision > revision {
		return
	}
	delete(changeLog.entries, key)
	changeLog.deletions[key] = revision
	if len(changeLog.deletions) > maxDeletions {
		changeLog.compact()
	}
}

// compact drops the older half of the deletions and raises compacted to the newest dropped one.
func (changeLog *ChangeLog) compact() {
	revisions := slices.Sorted(maps.Values(changeLog.deletions))
	changeLog.compacted = max(changeLog.compacted, revisions[len(revisions)/2])
	maps.DeleteFunc(changeLog.deletions, func(_ string, revision ids.Revision) bool { return revision <= changeLog.compacted })
}

// Keys returns the number of keys.
func (changeLog *ChangeLog) Keys() int { return len(changeLog.entries) }

// Since returns the changes after the revision, oldest first; a deletion has a nil value. Keys is the number of keys at that
// revision. Since returns false if some changes may be missing, as always after a revision of an earlier era. Changes since a
// revision before the first listing are known if the number of unchanged entries equals keys, as then no key was deleted.
func (changeLog *ChangeLog) Since(after ids.Revision, keys int) ([]config.Entry, bool) {
	if changeLog.compacted > 0 && after >= changeLog.revision {
		return nil, true
	}
	if after.Era() < changeLog.revision.Era() {
		return nil, false
	}
	var changes []config.Entry
	for _, entry := range changeLog.entries {
		if entry.Revision > after {
			changes = append(changes, entry)
		}
	}
	unchanged := len(changeLog.entries) - len(changes)
	if changeLog.compacted == 0 || after < changeLog.compacted && unchanged != keys {
		return nil, false
	}
	for key, revision := range changeLog.deletions {
		if revision > after {
			changes = append(changes, config.Entry{Key: key, Revision: revision})
		}
	}
	slices.SortFunc(changes, func(one, other config.Entry) int {
		return cmp.Or(cmp.Compare(one.Revision, other.Revision), cmp.Compare(one.Key, other.Key))
	})
	return changes, true
}

// FirstRevisionSize returns the size of the first revision in the changes: the total length of its keys and values in bytes.
func FirstRevisionSize(changes []config.Entry) int {
	size := 0
	for _, entry := range changes {
		if entry.Revision != changes[0].Revision {
			break
		}
		size += len(entry.Key) + len(entry.Value)
	}
	return size
}

// Truncate returns the longest prefix of the changes whose keys and values fit in the given number of bytes, and the revision
// up to which it is complete. It never splits the changes of one revision. The last result reports whether all changes fit.
func Truncate(changes []config.Entry, revision ids.Revision, bytes int) (prefix []config.Entry, upTo ids.Revision, complete bool) {
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
