package promoter

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"

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
}

// storedFences keeps the fences of all groups in the store while this VM replaces their primaries.
type storedFences struct {
	store    fleet.EraStore
	eventLog *observe.EventLog

	mutex sync.Mutex
	// revisions and terms hold the records that this VM has read or written.
	revisions map[ids.GroupID]ids.Revision
	terms     map[ids.GroupID]ids.Term
	// loadedFor is the token of the duty for which the records were read; 0 if they were not.
	loadedFor Token
	// busy is set while records are read.
	busy atomic.Bool
}

func newStoredFences(store fleet.EraStore, eventLog *observe.EventLog) *storedFences {
	return &storedFences{store: store, eventLog: eventLog, revisions: make(map[ids.GroupID]ids.Revision), terms: make(map[ids.GroupID]ids.Term)}
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
	storedFences.mutex.Lock()
	loaded := storedFences.loadedFor == token
	storedFences.mutex.Unlock()
	if loaded || !storedFences.busy.CompareAndSwap(false, true) {
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
		group := ids.GroupID(strings.TrimPrefix(entry.Key, FencesPrefix))
		if entry.Revision <= storedFences.revisions[group] {
			continue
		}
		term, err := decodeFence(entry.Value)
		if err != nil {
			storedFences.eventLog.LimitedEvent("fence_faulty", "key", entry.Key, "revision", entry.Revision, "err", err)
		}
		storedFences.revisions[group], storedFences.terms[group] = entry.Revision, term
	}
	storedFences.loadedFor = token
	return nil
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

// write replaces the record of the last known revision. It returns false if the store holds another revision, which is then known.
func (storedFences *storedFences) write(ctx context.Context, group ids.GroupID, term ids.Term) (stored bool, err error) {
	value, err := json.Marshal(fenceRecord{Term: term})
	if err != nil {
		return false, fmt.Errorf("encoding the fence: %w", err)
	}
	key := FencesPrefix + string(group)
	storedFences.mutex.Lock()
	expected := storedFences.revisions[group]
	storedFences.mutex.Unlock()
	revision, stored, err := storedFences.store.CompareAndSwap(ctx, key, expected, value)
	if err != nil {
		// The outcome is unknown, or the store was restored: the next attempt reads the revision anew.
		revision = 0
		err = fmt.Errorf("storing the fence of %s: %w", group, err)
	}
	storedFences.mutex.Lock()
	defer storedFences.mutex.Unlock()
	storedFences.revisions[group] = revision
	if stored {
		storedFences.terms[group] = term
	}
	return stored, err
}

// maxFenceBytes bounds the record of a fence, which has about 20 bytes.
const maxFenceBytes = 1 << 10

// decodeFence decodes a stored fence.
func decodeFence(value []byte) (ids.Term, error) {
	if len(value) > maxFenceBytes {
		return 0, fmt.Errorf("%d bytes: %w", len(value), errFenceFaulty)
	}
	var record fenceRecord
	if err := json.Unmarshal(value, &record); err != nil {
		return 0, fmt.Errorf("decoding the fence: %w", err)
	}
	return record.Term, nil
}
