package storetest

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"dotterelgw/core/ids"
	"dotterelgw/io/platform"
)

// Service is a client under test together with the fault injection of the service behind it.
type Service struct {
	// Store is the client under test.
	Store platform.Store
	// Leases is the same client as Store.
	Leases platform.Leases
	// LoseAnswers makes the service execute writes without answering them.
	LoseAnswers func(lose bool)
	// DropHistory makes the service compact its history.
	DropHistory func()
}

// testTimeout bounds each test of the suite.
const testTimeout = 10 * time.Second

// Run runs all tests, each against a new service from start.
func Run(t *testing.T, start func(t *testing.T) Service) {
	t.Helper()
	for name, test := range map[string]func(context.Context, *testing.T, Service){
		"swap with another revision changes nothing":    swap,
		"list returns every entry of the prefix once":   list,
		"lost answer is reported as an unknown outcome": lostAnswer,
		"watch reports changes in order":                watch,
		"follow lists after a compaction":               compacted,
		"revoked lease has ended":                       lease,
	} {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
			defer cancel()
			test(ctx, t, start(t))
		})
	}
}

func put(ctx context.Context, t *testing.T, store platform.Store, key string, expected ids.Revision, value string) ids.Revision {
	t.Helper()
	revision, ok, err := store.CompareAndSwap(ctx, key, expected, []byte(value))
	if err != nil || !ok {
		t.Fatalf("storing %s: swapped %t, error %v", key, ok, err)
	}
	return revision
}

func swap(ctx context.Context, t *testing.T, service Service) {
	first := put(ctx, t, service.Store, "/s/a", 0, "1")
	second := put(ctx, t, service.Store, "/s/a", first, "2")
	for name, expected := range map[string]ids.Revision{"absent": 0, "older": first, "newer": second + 1} {
		current, ok, err := service.Store.CompareAndSwap(ctx, "/s/a", expected, []byte("lost"))
		if err != nil || ok || current != second {
			t.Errorf("%s: revision %d, swapped %t, error %v, want revision %d", name, current, ok, err, second)
		}
	}
	entry, found, err := service.Store.Get(ctx, "/s/a")
	if err != nil || !found || string(entry.Value) != "2" || entry.Revision != second {
		t.Errorf("got %+v, found %t, error %v", entry, found, err)
	}
	if _, found, err := service.Store.Get(ctx, "/s/none"); err != nil || found {
		t.Errorf("absent key: found %t, error %v", found, err)
	}
}

func list(ctx context.Context, t *testing.T, service Service) {
	const count = 11
	for i := range count {
		put(ctx, t, service.Store, fmt.Sprintf("/l/%02d", i), 0, "x")
	}
	last := put(ctx, t, service.Store, "/other", 0, "outside")
	entries, revision, err := service.Store.List(ctx, "/l/")
	if err != nil || len(entries) != count || revision < last {
		t.Fatalf("%d entries at revision %d, error %v, want %d at %d", len(entries), revision, err, count, last)
	}
	for i, entry := range entries {
		if entry.Key != fmt.Sprintf("/l/%02d", i) {
			t.Errorf("entry %d is %s", i, entry.Key)
		}
	}
}

func lostAnswer(ctx context.Context, t *testing.T, service Service) {
	service.LoseAnswers(true)
	short, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	_, _, err := service.Store.CompareAndSwap(short, "/o/a", 0, []byte("kept"))
	service.LoseAnswers(false)
	if !errors.Is(err, platform.ErrOutcomeUnknown) {
		t.Fatalf("error %v, want an unknown outcome", err)
	}
	if entry, found, err := service.Store.Get(ctx, "/o/a"); err != nil || !found || string(entry.Value) != "kept" {
		t.Errorf("after the lost answer: %+v, found %t, error %v", entry, found, err)
	}
}

func watch(ctx context.Context, t *testing.T, service Service) {
	first := put(ctx, t, service.Store, "/w/a", 0, "1")
	events, err := service.Store.Watch(ctx, "/w/", first)
	if err != nil {
		t.Fatal(err)
	}
	put(ctx, t, service.Store, "/w/a", first, "2")
	put(ctx, t, service.Store, "/other", 0, "outside")
	put(ctx, t, service.Store, "/w/b", 0, "3")
	var values string
	for event := range events {
		if event.Err != nil {
			t.Fatal(event.Err)
		}
		for _, entry := range event.Entries {
			values += string(entry.Value)
		}
		if len(values) >= 3 {
			break
		}
	}
	if values != "123" {
		t.Errorf("watch reported values %q, want 123", values)
	}
}

func compacted(ctx context.Context, t *testing.T, service Service) {
	first := put(ctx, t, service.Store, "/c/a", 0, "1")
	put(ctx, t, service.Store, "/c/a", first, "2")
	service.DropHistory()
	for event := range platform.Follow(ctx, service.Store, "/c/", first) {
		if event.Listing && len(event.Entries) == 1 && string(event.Entries[0].Value) == "2" {
			return
		}
	}
	t.Error("follow ended without a listing")
}

func lease(ctx context.Context, t *testing.T, service Service) {
	held, ttl, err := service.Leases.Grant(ctx, 5*time.Second)
	if err != nil || ttl <= 0 {
		t.Fatalf("time to live %v, error %v", ttl, err)
	}
	if ttl, err := service.Leases.KeepAlive(ctx, held); err != nil || ttl <= 0 {
		t.Errorf("renewal: time to live %v, error %v", ttl, err)
	}
	if err := service.Leases.Revoke(ctx, held); err != nil {
		t.Errorf("revoking: %v", err)
	}
	if _, err := service.Leases.KeepAlive(ctx, held); !errors.Is(err, platform.ErrLeaseEnded) {
		t.Errorf("renewing a revoked lease: %v", err)
	}
}
