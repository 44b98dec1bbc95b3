package platform_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"dotterelgw/core/ids"
	"dotterelgw/io/platform"
	"dotterelgw/io/platform/storetest"
	standin "dotterelgw/standin/platform"
)

const testTimeout = 5 * time.Second

func start(t *testing.T, options ...platform.Option) (*standin.Platform, platform.Client, context.Context) {
	t.Helper()
	service, err := standin.New(standin.Settings{Listen: "127.0.0.1:0", VMsListen: "127.0.0.1:0"})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = service.Close() })
	client, err := platform.New([]string{service.Addresses().KeyValue}, "vm1", options...)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = client.Close() })
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	return service, client, ctx
}

func put(ctx context.Context, t *testing.T, store platform.Store, key string, expected ids.Revision, value string) ids.Revision {
	t.Helper()
	revision, ok, err := store.CompareAndSwap(ctx, key, expected, []byte(value))
	if err != nil || !ok {
		t.Fatalf("store %s: swapped %t, error %v", key, ok, err)
	}
	return revision
}

// Guards against a swap with another expected revision that changes the value or does not return the current revision.
func TestCompareAndSwap(t *testing.T) {
	_, client, ctx := start(t)
	first := put(ctx, t, client, "/a", 0, "1")
	second := put(ctx, t, client, "/a", first, "2")
	for name, expected := range map[string]ids.Revision{"absent": 0, "older": first, "newer": second + 1} {
		current, ok, err := client.CompareAndSwap(ctx, "/a", expected, []byte("lost"))
		if err != nil || ok || current != second {
			t.Errorf("%s: got revision %d, swapped %t, error %v", name, current, ok, err)
		}
	}
	entry, ok, err := client.Get(ctx, "/a")
	if err != nil || !ok || string(entry.Value) != "2" || entry.Revision != second {
		t.Errorf("got %+v, %t, %v", entry, ok, err)
	}
	entry, ok, err = client.GetAt(ctx, "/a", first)
	if err != nil || !ok || string(entry.Value) != "1" {
		t.Errorf("at the first revision: got %+v, %t, %v", entry, ok, err)
	}
}

// Guards against a list over several pages that skips or repeats entries or contains keys outside the prefix.
func TestListPages(t *testing.T) {
	_, client, ctx := start(t, platform.WithPageSize(3))
	for i := range 10 {
		put(ctx, t, client, fmt.Sprintf("/p/%d", i), 0, "x")
	}
	last := put(ctx, t, client, "/q", 0, "outside")
	entries, revision, err := client.List(ctx, "/p/")
	if err != nil || len(entries) != 10 || revision != last {
		t.Fatalf("got %d entries at revision %d, error %v", len(entries), revision, err)
	}
}

// Guards against a write whose answer was lost not being reported as one with an unknown outcome, and against a rejected write
// being reported so.
func TestWriteOutcome(t *testing.T) {
	service, client, ctx := start(t)
	service.Change(func(switches *standin.Switches) { switches.LoseAnswers = 1 })
	if _, _, err := client.CompareAndSwap(ctx, "/a", 0, []byte("1")); !errors.Is(err, platform.ErrOutcomeUnknown) {
		t.Errorf("lost answer: got %v", err)
	}
	if entry, ok, err := client.Get(ctx, "/a"); err != nil || !ok || string(entry.Value) != "1" {
		t.Errorf("write with a lost answer: got %+v, %t, %v", entry, ok, err)
	}
	_, _, err := client.CompareAndSwap(ctx, "/b", 0, make([]byte, 1<<20+1))
	if err == nil || errors.Is(err, platform.ErrOutcomeUnknown) {
		t.Errorf("value over the limit: got %v", err)
	}
	service.Change(func(switches *standin.Switches) { switches.Partitioned = []string{"vm1"} })
	short, cancel := context.WithTimeout(ctx, 20*time.Millisecond)
	defer cancel()
	_, _, err = client.CompareAndSwap(short, "/c", 0, []byte("1"))
	if !errors.Is(err, platform.ErrOutcomeUnknown) || !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("partitioned: got %v", err)
	}
}

// Guards against a follower that misses, repeats or reorders entries across outages, partitions and slow replies.
func TestFollowMissesNothing(t *testing.T) {
	faults := map[string]func(*standin.Platform, *standin.Switches){
		"outage":    func(_ *standin.Platform, switches *standin.Switches) { switches.Outage = true },
		"partition": func(_ *standin.Platform, switches *standin.Switches) { switches.Partitioned = []string{"vm1"} },
		"slow":      func(_ *standin.Platform, switches *standin.Switches) { switches.SlowMS = 30 },
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			service, watcher, ctx := start(t, platform.WithProgress(10*time.Millisecond, 100*time.Millisecond))
			writer, err := platform.New([]string{service.Addresses().KeyValue}, "vm2")
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = writer.Close() }()
			events := platform.Follow(ctx, watcher, "/k/", 0)
			var written, seen []ids.Revision
			write := func() {
				key := fmt.Sprintf("/k/%d", len(written))
				written = append(written, put(ctx, t, writer, key, 0, "x"))
			}
			collect := func(count int) {
				for len(seen) < count {
					event, ok := <-events
					if !ok {
						t.Fatalf("received %d of %d entries", len(seen), count)
					}
					for _, entry := range event.Entries {
						seen = append(seen, entry.Revision)
					}
				}
			}
			write()
			collect(1)
			// An outage rejects writes as well, so in that case the entry to be missed is written just before it.
			for range 3 {
				write()
				service.Change(func(switches *standin.Switches) { fault(service, switches) })
				if name != "outage" {
					write()
				}
				for event := range events {
					for _, entry := range event.Entries {
						seen = append(seen, entry.Revision)
					}
					if event.Err != nil || name == "slow" {
						break
					}
				}
				service.Change(func(switches *standin.Switches) {
					switches.Outage, switches.Partitioned, switches.SlowMS = false, nil, 0
				})
				write()
				collect(len(written))
			}
			if fmt.Sprint(seen) != fmt.Sprint(written) {
				t.Errorf("wrote revisions %v, received %v", written, seen)
			}
		})
	}
}

// Guards against a follower that does not list after a compaction, when the service can no longer report the missed changes.
func TestFollowAfterCompaction(t *testing.T) {
	service, client, ctx := start(t)
	first := put(ctx, t, client, "/k", 0, "1")
	last := put(ctx, t, client, "/k", first, "2")
	service.Compact()
	var err error
	for event := range platform.Follow(ctx, client, "/", 1) {
		if event.Err != nil {
			err = event.Err
			continue
		}
		if len(event.Entries) != 1 || event.Entries[0].Revision != last || !errors.Is(err, platform.ErrCompacted) {
			t.Errorf("got %+v after %v", event, err)
		}
		return
	}
	t.Error("no entry was reported")
}

// Guards against an idle watch that stops confirming its revision, or whose confirmations lack the time of their request.
func TestIdleWatchConfirms(t *testing.T) {
	service, client, ctx := start(t, platform.WithProgress(5*time.Millisecond, time.Second))
	revision := put(ctx, t, client, "/k", 0, "1")
	events, err := client.Watch(ctx, "/", revision+1)
	if err != nil {
		t.Fatal(err)
	}
	var asked time.Time
	for range 3 {
		event := <-events
		if event.Err != nil || event.Revision != revision || !event.RequestedAt.After(asked) {
			t.Fatalf("got %+v after a request at %v", event, asked)
		}
		asked = event.RequestedAt
	}
	counts := service.Counts()
	if counts.Totals["Watch"] != 1 || counts.PendingWatches["vm1"] != 1 {
		t.Errorf("want an idle watch counted as one call, got %+v", counts)
	}
}

// Guards against a client that does not reconnect after a restart of the service.
func TestReconnect(t *testing.T) {
	service, client, ctx := start(t)
	put(ctx, t, client, "/k", 0, "1")
	address := service.Addresses().KeyValue
	if err := service.Close(); err != nil {
		t.Fatal(err)
	}
	if _, _, err := client.Get(ctx, "/k"); err == nil {
		t.Error("a call succeeded without a service")
	}
	restarted, err := standin.New(standin.Settings{Listen: address})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = restarted.Close() }()
	for {
		_, found, err := client.Get(ctx, "/k")
		if err == nil && !found {
			return
		}
		if ctx.Err() != nil {
			t.Fatalf("found %t, %v", found, err)
		}
	}
}

// Guards against a granted time to live that is not rounded up to seconds, and against renewing a revoked lease.
func TestLease(t *testing.T) {
	_, client, ctx := start(t)
	lease, ttl, err := client.Grant(ctx, 1500*time.Millisecond)
	if err != nil || ttl != 2*time.Second {
		t.Fatalf("grant: %v, %v", ttl, err)
	}
	if ttl, err = client.KeepAlive(ctx, lease); err != nil || ttl != 2*time.Second {
		t.Errorf("keep alive: %v, %v", ttl, err)
	}
	if err = client.Revoke(ctx, lease); err != nil {
		t.Errorf("revoke: %v", err)
	}
	if _, err = client.KeepAlive(ctx, lease); !errors.Is(err, platform.ErrLeaseEnded) {
		t.Errorf("keep alive after revoke: %v", err)
	}
}

// Guards against a lagging VM list being reported as an error, and against an outage being reported as an empty list.
func TestVMList(t *testing.T) {
	service, _, ctx := start(t)
	service.SetVMs([]standin.VM{{ID: "vm1", Role: "proxy", Address: "127.0.0.1:1", AvailabilityZone: "a"}})
	list := platform.NewVMList("http://"+service.Addresses().VMs, "vm1")
	service.Change(func(switches *standin.Switches) { switches.VMsLagMS = 60_000 })
	if vms, err := list.List(ctx); err != nil || len(vms) != 0 {
		t.Errorf("lagging: got %v, %v", vms, err)
	}
	service.Change(func(switches *standin.Switches) { switches.VMsLagMS = 0 })
	want := platform.VM{ID: "vm1", Role: platform.RoleProxy, Address: "127.0.0.1:1", AvailabilityZone: "a"}
	if vms, err := list.List(ctx); err != nil || len(vms) != 1 || vms[0] != want {
		t.Errorf("got %v, %v", vms, err)
	}
	service.Change(func(switches *standin.Switches) { switches.VMsOutage = true })
	if _, err := list.List(ctx); err == nil {
		t.Error("outage: no error")
	}
}

// Guards against the client violating the contract of Store and Leases; other implementations run the same tests.
func TestStore(t *testing.T) {
	storetest.Run(t, func(t *testing.T) storetest.Service {
		service, client, _ := start(t)
		return storetest.Service{
			Store: client, Leases: client, DropHistory: service.Compact,
			LoseAnswers: func(lose bool) {
				service.Change(func(switches *standin.Switches) {
					switches.LoseAnswers = 0
					if lose {
						switches.LoseAnswers = 1
					}
				})
			},
		}
	})
}
