package promoter

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"dotterelgw/core/config"
	"dotterelgw/core/ids"
	"dotterelgw/io/clock"
	"dotterelgw/io/fleet"
	"dotterelgw/io/observe"
	"dotterelgw/io/platform"
)

// Hundreds of VMs wait for the duty, and none knows the others when its wait begins. Guards against all of them querying
// the store repeatedly, and against a vacancy that the first candidates miss because the notification is lost.
func TestWaitForDuty(t *testing.T) {
	for name, test := range map[string]struct{ before, after, returns int }{
		"a first candidate":              {0, 0, 15},
		"a late candidate":               {0, 50, 600},
		"a first candidate from then on": {50, 2, 15},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				eventLog := observe.NewEventLog(io.Discard, "vm1")
				defer eventLog.Close(time.Second)
				began := time.Now()
				rank := func() int {
					if time.Since(began) == 0 {
						return test.before
					}
					return test.after
				}
				duty := newDuty("vm1", nil, rank, eventLog)
				duty.waitForVacancy(context.Background())
				if waited := time.Since(began); waited != time.Duration(test.returns)*time.Second {
					t.Errorf("returned after %v, want %d s", waited, test.returns)
				}
			})
		})
	}
}

// dutyStore is a key-value service in memory in which the duty is free.
type dutyStore struct {
	fleet.Store
	revision ids.Revision
	entries  map[string]config.Entry
	// unreadable is a key whose reading fails.
	unreadable string
}

// Get implements platform.Store.Get.
func (store *dutyStore) Get(_ context.Context, key string) (config.Entry, bool, error) {
	if key == store.unreadable {
		return config.Entry{}, false, io.ErrUnexpectedEOF
	}
	entry, found := store.entries[key]
	return entry, found, nil
}

// Grant implements platform.Leases.Grant.
func (store *dutyStore) Grant(_ context.Context, ttl time.Duration) (platform.Lease, time.Duration, error) {
	return platform.Lease{ID: 1, Era: store.revision.Era()}, ttl, nil
}

// CompareAndSwap implements platform.Store.CompareAndSwap.
func (store *dutyStore) CompareAndSwap(_ context.Context, key string, expected ids.Revision, value []byte) (ids.Revision, bool, error) {
	if current := store.entries[key].Revision; current != expected {
		return current, false, nil
	}
	store.revision++
	store.entries[key] = config.Entry{Key: key, Value: value, Revision: store.revision}
	return store.revision, true, nil
}

// CompareAndSwapLeased implements platform.LeaseStore.CompareAndSwapLeased.
func (store *dutyStore) CompareAndSwapLeased(ctx context.Context, key string, expected ids.Revision, value []byte, _ platform.Lease) (ids.Revision, bool, error) {
	return store.CompareAndSwap(ctx, key, expected, value)
}

// The store is restored, and the lease of the holder of the duty is lost in it, while the holder, which the store does not answer, may
// still order promotions until its lease would have ended. Guards against two VMs that order at the same time, and against a holder
// that waits although no other can exist.
func TestDutyAfterRestore(t *testing.T) {
	for name, test := range map[string]struct {
		record, unreadable string
		// known is the time for which the VM has known the era.
		known time.Duration
		waits bool
	}{
		"first holder of the era":             {record: "1", waits: true},
		"era known for a moment":              {record: "1", known: dutyTTL / 2, waits: true},
		"era known since the lease would end": {record: "1", known: dutyTTL},
		"first holder of all":                 {waits: true},
		"later holder of the era":             {record: "2"},
		"era of an earlier holder not known":  {record: "2", unreadable: dutyEraKey, waits: true},
		"record that no VM of today can read": {record: "x", waits: true},
	} {
		t.Run(name, func(t *testing.T) {
			store := &dutyStore{revision: ids.NewRevision(2, 5), entries: make(map[string]config.Entry), unreadable: test.unreadable}
			if test.record != "" {
				store.entries[dutyEraKey] = config.Entry{Key: dutyEraKey, Value: []byte(test.record), Revision: ids.NewRevision(2, 3)}
			}
			eventLog := observe.NewEventLog(io.Discard, "vm1")
			defer eventLog.Close(time.Second)
			duty := newDuty("vm1", store, func() int { return 0 }, eventLog)
			if test.known > 0 {
				duty.knownEra, duty.knownSince = 2, clock.Now()-test.known
			}
			lease, err := duty.acquire(context.Background())
			if err != nil || lease == (platform.Lease{}) {
				t.Fatalf("lease %v, error %v", lease, err)
			}
			if _, left := duty.current(); (left <= 0) != test.waits {
				t.Errorf("may order for %v, want a wait: %t", left, test.waits)
			}
			store.unreadable = ""
			duty.waitUntil.Store(0)
			duty.settleEra(context.Background())
			if got := string(store.entries[dutyEraKey].Value); got != "2" {
				t.Errorf("after the wait the era of the record is %q, want 2", got)
			}
			if _, left := duty.current(); left <= 0 {
				t.Errorf("may not order after the wait")
			}
		})
	}
}

// Guards against a fencing token that is lower than the one before, because a restored store gives out its numbers again.
func TestTokenRisesOverRestore(t *testing.T) {
	eventLog := observe.NewEventLog(io.Discard, "vm1")
	defer eventLog.Close(time.Second)
	last := Token(0)
	for _, revision := range []ids.Revision{ids.NewRevision(1, 30), ids.NewRevision(2, 12), ids.NewRevision(3, 12)} {
		store := &dutyStore{revision: revision, entries: make(map[string]config.Entry)}
		duty := newDuty("vm1", store, func() int { return 0 }, eventLog)
		if _, err := duty.acquire(context.Background()); err != nil {
			t.Fatal(err)
		}
		token, _ := duty.current()
		if token <= last {
			t.Errorf("token %d after %d", token, last)
		}
		last = token
	}
}
