package promoter

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"sync"

	"dotterelgw/core/handover"
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
	// revisions holds the revisions of the records that this VM has written.
	revisions map[ids.GroupID]ids.Revision
}

func newStoredFences(store fleet.EraStore, eventLog *observe.EventLog) *storedFences {
	return &storedFences{store: store, eventLog: eventLog, revisions: make(map[ids.GroupID]ids.Revision)}
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
	return stored, err
}

// StoredFences returns the terms of the successors for all groups whose primary is being replaced. It retries until it succeeds, or
// until fences that were stored before the process started have expired.
func (promoter *Promoter) StoredFences(ctx context.Context) map[ids.GroupID]ids.Term {
	for began := clock.Now(); ctx.Err() == nil && clock.Now()-began < handover.FenceDuration; clock.Sleep(ctx, retryPause) {
		entries, _, err := promoter.fences.store.List(ctx, FencesPrefix)
		if err != nil {
			promoter.eventLog.LimitedEvent("fences_unknown", "err", err)
			continue
		}
		terms := make(map[ids.GroupID]ids.Term)
		for _, entry := range entries {
			term, err := decodeFence(entry.Value)
			if err != nil {
				promoter.eventLog.LimitedEvent("fence_faulty", "key", entry.Key, "revision", entry.Revision, "err", err)
			}
			if term > 0 {
				terms[ids.GroupID(strings.TrimPrefix(entry.Key, FencesPrefix))] = term
			}
		}
		return terms
	}
	return nil
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
