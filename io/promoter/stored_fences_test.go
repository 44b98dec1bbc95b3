package promoter

import (
	"io"
	"testing"
	"time"

	"dotterelgw/core/config"
	"dotterelgw/core/ids"
	"dotterelgw/io/observe"
)

// Guards against a VM that starts without the fence of a replacement in progress: it is not stored, or it is cleared by a VM that has lost
// the duty; and against one that stays after the replacement has ended.
func TestStoredFences(t *testing.T) {
	eventLog := observe.NewEventLog(io.Discard, "vm1")
	t.Cleanup(func() { eventLog.Close(time.Second) })
	for name, test := range map[string]struct {
		act  func(t *testing.T, store *membersStore, first, second *storedFences)
		want map[ids.GroupID]ids.Term
	}{
		"in progress": {func(t *testing.T, _ *membersStore, first, _ *storedFences) { set(t, first, 2) }, map[ids.GroupID]ids.Term{"g": 2}},
		"ended": {func(t *testing.T, _ *membersStore, first, _ *storedFences) {
			set(t, first, 2)
			first.clear(t.Context(), "g")
		}, nil},
		"next one in progress": {func(t *testing.T, _ *membersStore, first, second *storedFences) {
			set(t, first, 2)
			set(t, second, 3)
		}, map[ids.GroupID]ids.Term{"g": 3}},
		"cleared by an earlier holder": {func(t *testing.T, _ *membersStore, first, second *storedFences) {
			set(t, first, 2)
			set(t, second, 3)
			first.clear(t.Context(), "g")
		}, map[ids.GroupID]ids.Term{"g": 3}},
		"left by a holder that is gone": {func(t *testing.T, _ *membersStore, first, second *storedFences) {
			set(t, first, 2)
			if err := second.load(t.Context(), 5); err != nil {
				t.Fatal(err)
			}
			if term := second.term("g"); term != 2 {
				t.Errorf("the next holder knows of a fence for term %d, want 2", term)
			}
			second.clear(t.Context(), "g")
		}, nil},
		"store restored": {func(t *testing.T, store *membersStore, first, _ *storedFences) {
			set(t, first, 2)
			store.era, store.number = 2, 0
			clear(store.entries)
			if first.set(t.Context(), "g", 2) == nil {
				t.Error("stored under a revision of an earlier era")
			}
			set(t, first, 2)
		}, map[ids.GroupID]ids.Term{"g": 2}},
		"overwritten by another writer": {func(_ *testing.T, store *membersStore, _, _ *storedFences) {
			store.entries[FencesPrefix+"g"] = config.Entry{Key: FencesPrefix + "g", Value: []byte("[[")}
			store.entries[FencesPrefix+"h"] = config.Entry{Key: FencesPrefix + "h", Value: []byte(`{"term":7}`)}
		}, map[ids.GroupID]ids.Term{"h": 7}},
	} {
		t.Run(name, func(t *testing.T) {
			store := &membersStore{entries: make(map[string]config.Entry), era: 1}
			test.act(t, store, newStoredFences(store, eventLog), newStoredFences(store, eventLog))
			promoter := &Promoter{fences: newStoredFences(store, eventLog), eventLog: eventLog}
			got, _ := promoter.FencesAtStart(t.Context())
			if got["g"].Term != test.want["g"] || got["h"].Term != test.want["h"] || len(got) > 2 {
				t.Errorf("a VM that starts reads %v, want %v", got, test.want)
			}
		})
	}
}

// Guards against a VM that takes the duty and trusts a primary that has been replaced, because the servers that know of the newer term are
// away and that term was lost with the holder of the duty before it.
func TestStoredNewestTerm(t *testing.T) {
	eventLog := observe.NewEventLog(io.Discard, "vm1")
	t.Cleanup(func() { eventLog.Close(time.Second) })
	for name, test := range map[string]struct {
		act  func(t *testing.T, store *membersStore, first, second *storedFences)
		want ids.Term
	}{
		"promoted": {func(t *testing.T, _ *membersStore, first, _ *storedFences) {
			set(t, first, 2)
			first.setNewestTerm("g", 2)
			first.clear(t.Context(), "g")
		}, 2},
		"nobody promoted": {func(t *testing.T, _ *membersStore, first, _ *storedFences) {
			first.noteTerm("g", 1)
			set(t, first, 2)
			first.clear(t.Context(), "g")
		}, 1},
		"noted by the holder after the one that ordered": {func(t *testing.T, _ *membersStore, first, second *storedFences) {
			set(t, first, 2)
			if err := second.load(t.Context(), 5); err != nil {
				t.Fatal(err)
			}
			second.noteTerm("g", 2)
			second.clear(t.Context(), "g")
		}, 2},
		"replaced by one that knew an earlier term": {func(t *testing.T, _ *membersStore, first, second *storedFences) {
			first.setNewestTerm("g", 3)
			set(t, first, 4)
			second.noteTerm("g", 1)
			set(t, second, 2)
			second.clear(t.Context(), "g")
		}, 3},
		"store restored": {func(t *testing.T, store *membersStore, first, _ *storedFences) {
			first.setNewestTerm("g", 2)
			set(t, first, 3)
			store.era, store.number = 2, 0
			clear(store.entries)
			first.clear(t.Context(), "g")
			set(t, first, 3)
		}, 2},
	} {
		t.Run(name, func(t *testing.T) {
			store := &membersStore{entries: make(map[string]config.Entry), era: 1}
			test.act(t, store, newStoredFences(store, eventLog), newStoredFences(store, eventLog))
			next := newStoredFences(store, eventLog)
			if err := next.load(t.Context(), 7); err != nil {
				t.Fatal(err)
			}
			if got := next.noteTerm("g", 0); got != test.want {
				t.Errorf("the next holder of the duty knows of term %d, want %d", got, test.want)
			}
		})
	}
}

func set(t *testing.T, fences *storedFences, term ids.Term) {
	t.Helper()
	if err := fences.set(t.Context(), "g", term); err != nil {
		t.Fatal(err)
	}
}
