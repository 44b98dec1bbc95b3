package relay

import (
	"context"
	"testing"
)

// Guards against a VM that starts and takes a listing from before a record was stored for the present state. The records of fences tell
// whether a promotion is under way, so a listing that is shared for 500 ms is too old for them.
func TestExcludedPrefixIsListedAnew(t *testing.T) {
	const common, excluded = "common/", "common/excluded/"
	shared := &records{}
	service := &service{shared: shared, unreachable: func() bool { return false }}
	store := &Store{Store: service, listing: listing{service: service}}
	WithSharedListing(common, excluded)(store)
	for name, test := range map[string]struct {
		prefix string
		anew   bool
	}{
		"common prefix":   {common, false},
		"another prefix":  {common + "other/", false},
		"excluded prefix": {excluded, true},
	} {
		t.Run(name, func(t *testing.T) {
			store.listing.requested = 0
			if _, _, err := store.List(context.Background(), common); err != nil {
				t.Fatal(err)
			}
			stored := shared.put(test.prefix+name, "1")
			_, revision, err := store.List(context.Background(), test.prefix)
			if err != nil {
				t.Fatal(err)
			}
			if got := revision == stored; got != test.anew {
				t.Errorf("listing of revision %v, stored at %v: anew %t, want %t", revision, stored, got, test.anew)
			}
		})
	}
}
