package promoter

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"

	"dotterelgw/core/config"
	"dotterelgw/core/ids"
	"dotterelgw/io/clock"
	"dotterelgw/io/fleet"
	"dotterelgw/io/observe"
)

// FencesPrefix is the key prefix of the fences of groups whose primary is being replaced. VMs that start read them, since they have
// missed the notice or have forgotten it.
const FencesPrefix = "dotterelgw/fences/"

// maxFenceAttempts bounds the attempts to store a fence whose revision is not known.
const maxFenceAttempts = 3

// errFenceFaulty reports a stored fence that cannot be used.
var errFenceFaulty = errors.New("faulty record of a fence")

// errFenceConflict reports that other VMs kept changing the stored fence.
var errFenceConflict = errors.New("the stored fence changed concurrently")

// fenceRecord is the stored fence of a group.
type fenceRecord struct {
	// Term is the term of the successor; 0 if no replacement is in progress.
	Term ids.Term `json:"term"`
	// NewestTerm is the highest term that any server was known to have at the last change; 0 if none was known. A primary of an earlier
	// term has been replaced, even if the servers that know of it are all away.
	NewestTerm ids.Term `json:"newest_term,omitempty"`
}

// storedFences keeps the fences and the newest terms of all groups in the store while this VM replaces their primaries.
type storedFences struct {
	store    fleet.EraStore
	eventLog *observe.EventLog

	mutex sync.Mutex
	// revisions and terms hold the records that this VM has read or written.
	revisions map[ids.GroupID]ids.Revision
	terms     map[ids.GroupID]ids.Term
	// newestTerms holds the newest terms that this VM has read or noted. The next change of the record stores them.
	newestTerms map[ids.GroupID]ids.Term
	// loadedFor is the token of the duty for which the records were read; 0 if they were not.
	loadedFor Token
	// busy is set while records are read.
	busy atomic.Bool
}

func newStoredFences(store fleet.EraStore, eventLog *observe.EventLog) *storedFences {
	return &storedFences{
		store: store, eventLog: eventLog,
		revisions: make(map[ids.GroupID]ids.Revision), terms: make(map[ids.GroupID]ids.Term), newestTerms: make(map[ids.GroupID]ids.Term),
	}
}

// isLoaded reports whether the records have been read since this VM took the duty with the token.
func (storedFences *storedFences) isLoaded(token Token) bool {
	storedFences.mutex.Lock()
	defer storedFences.mutex.Unlock()
	return storedFences.loadedFor == token
}

// noteTerm records a term that a server of the group has, and returns the newest one known.
func (storedFences *storedFences) noteTerm(group ids.GroupID, term ids.Term) ids.Term {
	storedFences.mutex.Lock()
	defer storedFences.mutex.Unlock()
	newest := max(storedFences.newestTerms[group], term)
	storedFences.newestTerms[group] = newest
	return newest
}

// setNewestTerm records the term of the primary that has just been promoted.
func (storedFences *storedFences) setNewestTerm(group ids.GroupID, term ids.Term) {
	storedFences.mutex.Lock()
	defer storedFences.mutex.Unlock()
	storedFences.newestTerms[group] = term
}

// term returns the term of the group's stored fence, 0 if there is none.
func (storedFences *storedFences) term(group ids.GroupID) ids.Term {
	storedFences.mutex.Lock()
	defer storedFences.mutex.Unlock()
	return storedFences.terms[group]
}

// termFor returns the term of the group's stored fence, or false if the fences have not been read since this VM took the duty with the token.
func (storedFences *storedFences) termFor(token Token, group ids.GroupID) (term ids.Term, known bool) {
	storedFences.mutex.Lock()
	defer storedFences.mutex.Unlock()
	return storedFences.terms[group], storedFences.loadedFor == token
}

// sync reads the fences that earlier holders of the duty have left, once for each duty, in the background.
func (storedFences *storedFences) sync(ctx context.Context, token Token) {
	if storedFences.isLoaded(token) || !storedFences.busy.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer storedFences.busy.Store(false)
		if err := storedFences.load(ctx, token); err != nil {
			storedFences.eventLog.LimitedEvent("fences_unknown", "token", token, "err", err)
			clock.Sleep(ctx, dutyRetryPause)
		}
	}()
}

// load reads the fences of all groups. What this VM has written meanwhile is newer.
func (storedFences *storedFences) load(ctx context.Context, token Token) error {
	entries, _, err := storedFences.store.List(ctx, FencesPrefix)
	if err != nil {
		return fmt.Errorf("listing the fences: %w", err)
	}
	storedFences.mutex.Lock()
	defer storedFences.mutex.Unlock()
	for _, entry := range entries {
		storedFences.apply(entry)
	}
	storedFences.loadedFor = token
	return nil
}

// apply records what the store holds, unless this VM knows a newer record. The mutex must be held.
func (storedFences *storedFences) apply(entry config.Entry) {
	group := ids.GroupID(strings.TrimPrefix(entry.Key, FencesPrefix))
	record, err := decodeFence(entry.Value)
	if err != nil {
		storedFences.eventLog.LimitedEvent("fence_faulty", "key", entry.Key, "revision", entry.Revision, "err", err)
	}
	storedFences.newestTerms[group] = max(storedFences.newestTerms[group], record.NewestTerm)
	if entry.Revision > storedFences.revisions[group] {
		storedFences.revisions[group], storedFences.terms[group] = entry.Revision, record.Term
	}
}

// set stores the fence of the group. It must succeed before a promotion is ordered: a VM that starts after the order would
// acknowledge writes of the old primary.
func (storedFences *storedFences) set(ctx context.Context, group ids.GroupID, term ids.Term) error {
	ctx, cancel := context.WithTimeout(ctx, refreshTimeout)
	defer cancel()
	for range maxFenceAttempts {
		stored, err := storedFences.write(ctx, group, term)
		if err != nil {
			return err
		}
		if stored {
			return nil
		}
	}
	return errFenceConflict
}

// clear removes the fence of the group, unless another VM has changed it since.
func (storedFences *storedFences) clear(ctx context.Context, group ids.GroupID) {
	ctx, cancel := context.WithTimeout(ctx, refreshTimeout)
	defer cancel()
	if _, err := storedFences.write(ctx, group, 0); err != nil {
		storedFences.eventLog.LimitedEvent("fence_not_cleared", "group", group, "err", err)
	}
}

// write replaces the record of the last known revision. It returns false if the store holds another record, which is then known.
func (storedFences *storedFences) write(ctx context.Context, group ids.GroupID, term ids.Term) (stored bool, err error) {
	storedFences.mutex.Lock()
	expected, newest := storedFences.revisions[group], storedFences.newestTerms[group]
	storedFences.mutex.Unlock()
	value, err := json.Marshal(fenceRecord{Term: term, NewestTerm: newest})
	if err != nil {
		return false, fmt.Errorf("encoding the fence: %w", err)
	}
	key := FencesPrefix + string(group)
	revision, stored, err := storedFences.store.CompareAndSwap(ctx, key, expected, value)
	if err != nil {
		// The outcome is unknown, or the store was restored: the next attempt reads the record anew.
		storedFences.forget(group)
		return false, fmt.Errorf("storing the fence of %s: %w", group, err)
	}
	if !stored {
		return false, storedFences.reread(ctx, group)
	}
	storedFences.mutex.Lock()
	defer storedFences.mutex.Unlock()
	storedFences.revisions[group], storedFences.terms[group] = revision, term
	return true, nil
}

// forget discards the revision of the group's record.
func (storedFences *storedFences) forget(group ids.GroupID) {
	storedFences.mutex.Lock()
	defer storedFences.mutex.Unlock()
	storedFences.revisions[group] = 0
}

// reread reads the record of the group.
func (storedFences *storedFences) reread(ctx context.Context, group ids.GroupID) error {
	storedFences.forget(group)
	entry, found, err := storedFences.store.Get(ctx, FencesPrefix+string(group))
	if err != nil {
		return fmt.Errorf("reading the fence of %s: %w", group, err)
	}
	if found {
		storedFences.mutex.Lock()
		defer storedFences.mutex.Unlock()
		storedFences.apply(entry)
	}
	return nil
}

// maxFenceBytes bounds the record of a fence, which has about 40 bytes.
const maxFenceBytes = 1 << 10

// decodeFence decodes a stored fence.
func decodeFence(value []byte) (fenceRecord, error) {
	if len(value) > maxFenceBytes {
		return fenceRecord{}, fmt.Errorf("%d bytes: %w", len(value), errFenceFaulty)
	}
	var record fenceRecord
	if err := json.Unmarshal(value, &record); err != nil {
		return fenceRecord{}, fmt.Errorf("decoding the fence: %w", err)
	}
	return record, nil
}
