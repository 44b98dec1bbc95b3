package control

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"dotterelgw/core/config"
	"dotterelgw/core/freshness"
	"dotterelgw/core/ids"
	"dotterelgw/io/peer/peerpb"
	"dotterelgw/io/platform"
	standin "dotterelgw/standin/platform"
)

var key = config.ContractKey("org")

func (fleet *fleet) propose(i int, change string, expected ids.Revision, withdrawn bool) ids.Revision {
	fleet.t.Helper()
	revision, err := fleet.node(i).Propose(context.Background(), key, expected, contractValue(fleet.t, change, "org", withdrawn))
	if err != nil {
		fleet.t.Fatal(err)
	}
	return revision
}

func hasContract(want bool) func(*node) bool {
	return func(node *node) bool {
		_, _, ok := node.Contract("org")
		return ok == want
	}
}

// TestWithdrawalThroughRelays guards against a withdrawal that does not reach VMs without access to the service.
func TestWithdrawalThroughRelays(t *testing.T) {
	t.Parallel()
	fleet := newFleet(t, 8, 4, 4)
	fleet.waitReady()
	applied := fleet.propose(0, "give", 0, false)
	fleet.waitFor("contract everywhere", fleet.everyVM(hasContract(true)))
	fleet.cutService(1, 2, 3, 5, 7)
	withdrawn := fleet.propose(4, "withdraw", applied, true)
	fleet.waitFor("withdrawn everywhere", fleet.everyVM(hasContract(false)))
	fleet.waitFor("in force", func() bool {
		missing, err := fleet.node(6).UnconfirmedVMs(context.Background(), withdrawn)
		return err == nil && len(missing) == 0
	})
	if !fleet.everyVM(func(node *node) bool { return node.Admitting() })() {
		t.Error("a VM that hears from relays stopped admitting")
	}
}

// TestNoReversal guards against an accepted change that is reverted by a restarted VM or by a peer with an older version.
func TestNoReversal(t *testing.T) {
	t.Parallel()
	fleet := newFleet(t, 5, 2, 4)
	fleet.waitReady()
	applied := fleet.propose(0, "give", 0, false)
	fleet.waitFor("contract everywhere", fleet.everyVM(hasContract(true)))
	fleet.partition(2)
	withdrawn := fleet.propose(0, "withdraw", applied, true)
	fleet.lock.Lock()
	clear(fleet.partitioned)
	fleet.lock.Unlock()
	fleet.stop(1)
	fleet.start(1)
	fleet.waitFor("restarted VM has the change", func() bool { return fleet.node(1).Revision() >= withdrawn })
	// A heartbeat with an older version of this key and a newer entry of another key must not raise the revision.
	older := config.NewStore()
	older.ApplyComplete([]config.Entry{
		{Key: key, Value: contractValue(t, "give", "org", false), Revision: applied},
		{Key: config.SharesKey, Value: []byte("{}"), Revision: withdrawn + 1},
	}, withdrawn+1)
	heartbeat := &peerpb.Heartbeat{
		Vm: "vm-02", Revision: int64(older.Revision()), Digest: older.Digest(), Entries: entriesToProto(older.Snapshot()),
	}
	if _, err := fleet.node(0).Exchange(context.Background(), heartbeat); err != nil {
		t.Fatal(err)
	}
	fleet.waitFor("withdrawn everywhere", fleet.everyVM(hasContract(false)))
	if got := fleet.node(0).Revision(); got != withdrawn {
		t.Errorf("revision %d after a push with a gap, want %d", got, withdrawn)
	}
}

// TestAntiEntropy guards against a VM that never gets a missed entry, because its revision equals that of the others.
func TestAntiEntropy(t *testing.T) {
	t.Parallel()
	fleet := newFleet(t, 3, 1, 4)
	fleet.waitReady()
	fleet.propose(0, "give", 0, false)
	last, err := fleet.node(0).Propose(context.Background(), config.SharesKey, 0, []byte("{}"))
	if err != nil {
		t.Fatal(err)
	}
	fleet.waitFor("both entries everywhere", fleet.everyVM(func(node *node) bool { return node.Revision() == last }))
	node := fleet.node(1)
	node.mutex.Lock()
	gap := config.NewStore()
	gap.ApplyComplete(node.entries.Since(last-1), last)
	node.entries = gap
	node.mutex.Unlock()
	fleet.waitFor("missing entry is back", func() bool {
		_, ok := node.Entry(key)
		return ok
	})
}

// TestLostAnswer guards against a change that is reported as failed, or made twice, after the answer of the key-value
// service was lost.
func TestLostAnswer(t *testing.T) {
	t.Parallel()
	fleet := newFleet(t, 3, 1, 4)
	fleet.waitReady()
	lose := func(switches *standin.Switches) { switches.LoseAnswers = 1 }
	fleet.Change(lose)
	applied := fleet.propose(0, "lost", 0, false)
	if entry, ok := fleet.node(0).Entry(key); !ok || entry.Revision != applied {
		t.Errorf("settled at revision %d, the service has %d", applied, entry.Revision)
	}
	node := fleet.node(0)
	node.store = &overwritingStore{Store: node.store, other: fleet.client("operator")}
	fleet.Change(lose)
	_, err := node.Propose(context.Background(), key, applied, contractValue(t, "overwritten", "org", false))
	if !errors.Is(err, ErrUnknownOutcome) {
		t.Errorf("overwritten change with lost answer: %v", err)
	}
}

// overwritingStore is a store in which another operator overwrites every change whose answer was lost.
type overwritingStore struct {
	Store
	other platform.Client
}

// CompareAndSwap implements Store.CompareAndSwap.
func (store *overwritingStore) CompareAndSwap(ctx context.Context, key string, expected ids.Revision, value []byte) (ids.Revision, bool, error) {
	revision, swapped, err := store.Store.CompareAndSwap(ctx, key, expected, value)
	if errors.Is(err, platform.ErrOutcomeUnknown) {
		current, _, _ := store.other.Get(ctx, key)
		_, _, _ = store.other.CompareAndSwap(ctx, key, current.Revision, []byte("{}"))
	}
	return revision, swapped, err
}

// TestRacingOperators guards against concurrent proposals with the same expected revision of which more than one
// succeeds.
func TestRacingOperators(t *testing.T) {
	t.Parallel()
	fleet := newFleet(t, 4, 2, 4)
	fleet.waitReady()
	var wait sync.WaitGroup
	results := make([]error, 8)
	for i := range results {
		wait.Go(func() {
			value := contractValue(t, fmt.Sprint(i), "org", false)
			_, results[i] = fleet.node(i%4).Propose(context.Background(), key, 0, value)
		})
	}
	wait.Wait()
	won := 0
	for _, err := range results {
		var conflict *ConflictError
		switch {
		case err == nil:
			won++
		case !errors.Is(err, ErrConflict) || !errors.As(err, &conflict) || conflict.Current.Revision == 0:
			t.Errorf("loser got %v", err)
		}
	}
	if won != 1 {
		t.Errorf("%d operators won", won)
	}
}

// TestNoMajority guards against a change stored by a VM that reaches no majority, which no other VM would enforce.
func TestNoMajority(t *testing.T) {
	t.Parallel()
	fleet := newFleet(t, 5, 2, 4)
	fleet.waitReady()
	fleet.partition(0)
	node := fleet.node(0)
	fleet.waitFor("answers have expired", func() bool {
		node.mutex.Lock()
		defer node.mutex.Unlock()
		return !node.tracker.HasMajority(node.clock.now())
	})
	if _, err := node.Propose(context.Background(), key, 0, []byte("{}")); !errors.Is(err, ErrNoMajority) {
		t.Errorf("got %v", err)
	}
	if _, found, err := node.store.Get(context.Background(), key); found || err != nil {
		t.Errorf("the change was stored: %v, %v", found, err)
	}
}

// TestOutage guards against an outage of the key-value service that stops traffic on all VMs, and against a partitioned
// VM that continues to admit requests during the outage.
func TestOutage(t *testing.T) {
	t.Parallel()
	fleet := newFleet(t, 8, 4, 2)
	fleet.waitReady()
	fleet.outage()
	isolated, isolatedAt := fleet.node(3), time.Now()
	fleet.partition(3)
	limit := isolated.clock.realTime(freshness.AdmissionLimit)
	for time.Since(isolatedAt) < 2*limit {
		before := time.Now()
		for i := range fleet.vms {
			admitting := fleet.node(i).Admitting()
			if i == 3 && admitting && before.Sub(isolatedAt) > limit {
				t.Fatalf("partitioned VM admits after %s", isolated.clock.realTime(time.Second))
			}
			if i != 3 && !admitting {
				t.Fatalf("VM %d stopped admitting %s after the outage began", i, time.Since(isolatedAt))
			}
		}
		time.Sleep(5 * time.Millisecond)
	}
	if isolated.Admitting() {
		t.Error("partitioned VM admits")
	}
}

// TestSilentWatches covers a service that answers writes, while its watches deliver nothing. VMs whose writes succeed
// must not prevent a majority from confirming the configuration, since a write confirms nothing.
func TestSilentWatches(t *testing.T) {
	t.Parallel()
	fleet := newFleet(t, 4, 2, 2)
	fleet.waitReady()
	fleet.watchesMuted.Store(true)
	revision := ids.Revision(0)
	limit := fleet.node(0).clock.realTime(freshness.AdmissionLimit)
	for began, round := time.Now(), 0; time.Since(began) < 2*limit; round++ {
		revision = fleet.propose(round%2, fmt.Sprint(round), revision, round%2 == 1)
		if !fleet.everyVM((*node).Admitting)() {
			t.Fatalf("a VM stopped admitting %s after the watches fell silent", time.Since(began))
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// TestPause guards against a VM that resumes after a pause and admits requests on a confirmation from before the pause.
func TestPause(t *testing.T) {
	t.Parallel()
	fleet := newFleet(t, 5, 2, 8)
	fleet.waitReady()
	node := fleet.node(2)
	applied := fleet.propose(0, "give", 0, false)
	fleet.waitFor("contract everywhere", fleet.everyVM(hasContract(true)))
	// Holding the mutex blocks all loops of the VM, like a pause of the process. The data path only reads atomic values.
	node.mutex.Lock()
	pausedAt := node.clock.now()
	fleet.propose(0, "withdraw", applied, true)
	fleet.waitFor("pause is longer than the limit", func() bool { return node.clock.now()-pausedAt > freshness.AdmissionLimit })
	if node.Admitting() {
		t.Error("paused VM admits after the limit")
	}
	node.mutex.Unlock()
	fleet.waitFor("admits again", func() bool {
		if !node.Admitting() {
			return false
		}
		if hasContract(true)(node) {
			t.Error("admits with the contract from before the pause")
		}
		return true
	})
}

// TestChangesInOrder guards against OnChange functions that miss an entry or get an older version after a newer one.
func TestChangesInOrder(t *testing.T) {
	t.Parallel()
	fleet := newFleet(t, 3, 1, 4)
	fleet.waitReady()
	var mutex sync.Mutex
	seen := map[int][]ids.Revision{}
	register := func(i int) {
		fleet.node(i).OnChange(func(entry config.Entry) {
			mutex.Lock()
			defer mutex.Unlock()
			seen[i] = append(seen[i], entry.Revision)
		})
	}
	register(0)
	const count = 10
	for i := range count {
		if i == count/2 {
			register(1)
		}
		if _, err := fleet.node(i%3).Propose(context.Background(), config.GroupKey(ids.GroupID(fmt.Sprint(i))), 0, []byte("{}")); err != nil {
			t.Fatal(err)
		}
	}
	fleet.waitFor("all changes delivered", func() bool {
		mutex.Lock()
		defer mutex.Unlock()
		return len(seen[0]) >= count && len(seen[1]) >= count
	})
	for i, revisions := range seen {
		if len(revisions) != count || !slices.IsSorted(revisions) {
			t.Errorf("VM %d got %v", i, revisions)
		}
	}
}

// TestLeaving guards against VMs that do not notice that the VM list marks a backend server as leaving.
func TestLeaving(t *testing.T) {
	t.Parallel()
	fleet := newFleet(t, 2, 1, 4)
	fleet.waitReady()
	fleet.lock.Lock()
	fleet.vms = append(fleet.vms[:2:2], platform.VM{ID: "db-1", Role: platform.RoleBackendServer, Leaving: true}, platform.VM{ID: "db-2", Role: platform.RoleBackendServer})
	fleet.lock.Unlock()
	fleet.waitFor("leaving server known", func() bool { return fleet.node(0).Leaving("db-1") && !fleet.node(1).Leaving("db-2") })
}
