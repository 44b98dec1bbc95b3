package promoter

import (
	"context"
	"io"
	"slices"
	"strings"
	"testing"
	"time"

	"dotterelgw/core/config"
	"dotterelgw/core/ids"
	"dotterelgw/core/membership"
	"dotterelgw/io/clock"
	"dotterelgw/io/fleet"
	"dotterelgw/io/observe"
	"dotterelgw/io/platform"
)

// membersStore is a key-value service in memory that can be restored.
type membersStore struct {
	fleet.EraStore
	entries map[string]config.Entry
	number  int64
	era     ids.Era
	writes  int
}

// Era implements fleet.EraStore.Era.
func (store *membersStore) Era() ids.Era { return store.era }

// List implements platform.Store.List.
func (store *membersStore) List(_ context.Context, prefix string) ([]config.Entry, ids.Revision, error) {
	var entries []config.Entry
	for key, entry := range store.entries {
		if strings.HasPrefix(key, prefix) {
			entries = append(entries, entry)
		}
	}
	return entries, ids.NewRevision(store.era, store.number), nil
}

// Get implements platform.Store.Get.
func (store *membersStore) Get(_ context.Context, key string) (config.Entry, bool, error) {
	entry, found := store.entries[key]
	return entry, found, nil
}

// CompareAndSwap implements platform.Store.CompareAndSwap.
func (store *membersStore) CompareAndSwap(_ context.Context, key string, expected ids.Revision, value []byte) (ids.Revision, bool, error) {
	if expected != 0 && expected.Era() != store.era {
		return 0, false, platform.ErrRestored
	}
	if current := store.entries[key].Revision; current.Number() != expected.Number() {
		return current, false, nil
	}
	store.number++
	store.writes++
	revision := ids.NewRevision(store.era, store.number)
	store.entries[key] = config.Entry{Key: key, Value: value, Revision: revision}
	return revision, true, nil
}

// observed returns servers that have just answered; the first one is the primary.
func observed(names ...ids.BackendServerID) []membership.Server {
	servers := replicasOnly(names...)
	servers[0].Primary = true
	return servers
}

// replicasOnly returns servers that have just answered as replicas.
func replicasOnly(names ...ids.BackendServerID) []membership.Server {
	var servers []membership.Server
	for _, name := range names {
		member := membership.Member{ID: name, StartedMS: 1, Address: "127.0.0.1:7"}
		servers = append(servers, membership.Server{Member: member, Observed: true, ObservedAt: clock.Now()})
	}
	return servers
}

// names returns the identifiers of the members, sorted.
func names(record membership.Record) string {
	var names []string
	for _, member := range record.Members {
		names = append(names, string(member.ID))
	}
	slices.Sort(names)
	return strings.Join(names, " ")
}

// Guards against members that the next holder of the duty does not know: they are not stored, lost in a restore of the store, or
// overwritten by another holder.
func TestMembersLast(t *testing.T) {
	eventLog := observe.NewEventLog(io.Discard, "vm1")
	t.Cleanup(func() { eventLog.Close(time.Second) })
	for name, test := range map[string]struct {
		// disturb changes the store after the members a, b and c have been stored.
		disturb func(store *membersStore)
		// joins is a server that joins after that.
		joins ids.BackendServerID
		want  string
	}{
		"nothing happens":                 {func(*membersStore) {}, "", "a b c"},
		"restored to a copy without them": {func(store *membersStore) { store.era, store.number = 2, 0; clear(store.entries) }, "", "a b c"},
		"restored to an older copy": {func(store *membersStore) {
			value, _ := encodeMembers(membership.Record{Members: []membership.Member{{ID: "old", StartedMS: 1}}})
			store.era, store.number = 2, 1
			store.entries[MembersPrefix+"g"] = config.Entry{Key: MembersPrefix + "g", Value: value, Revision: ids.NewRevision(2, 1)}
		}, "", "a b c old"},
		"another holder added one": {func(store *membersStore) {
			value, _ := encodeMembers(membership.Record{Members: []membership.Member{{ID: "d", StartedMS: 1}}})
			store.number++
			store.entries[MembersPrefix+"g"] = config.Entry{Key: MembersPrefix + "g", Value: value, Revision: ids.NewRevision(store.era, store.number)}
		}, "e", "a b c d e"},
		"overwritten by another writer": {func(store *membersStore) {
			store.number++
			store.entries[MembersPrefix+"g"] = config.Entry{Key: MembersPrefix + "g", Value: []byte("[["), Revision: ids.NewRevision(store.era, store.number)}
		}, "e", "a b c e"},
	} {
		t.Run(name, func(t *testing.T) {
			store := &membersStore{entries: make(map[string]config.Entry), era: 1}
			holder := newMembers(store, eventLog)
			if err := holder.load(t.Context(), 1); err != nil {
				t.Fatal(err)
			}
			holder.update(1, "g", observed("a", "b", "c"))
			for range 3 {
				if err := holder.storeChanges(t.Context()); err != nil {
					t.Fatal(err)
				}
			}
			if store.writes != 1 {
				t.Errorf("%d writes for one change", store.writes)
			}
			test.disturb(store)
			if test.joins != "" {
				holder.update(1, "g", observed("a", "b", "c", test.joins))
			}
			for range 3 {
				if err := holder.storeChanges(t.Context()); err != nil {
					t.Fatal(err)
				}
			}
			next := newMembers(store, eventLog)
			if err := next.load(t.Context(), 2); err != nil {
				t.Fatal(err)
			}
			record, known := next.record(2, "g")
			if got := names(record); got != test.want || !known {
				t.Errorf("the next holder knows %q, %t; want %q", got, known, test.want)
			}
		})
	}
}

// Guards against members that a VM brings back because it held the duty before another holder removed them: they are gone for good, and a
// promotion would wait for them.
func TestRemovedMembersStayRemoved(t *testing.T) {
	eventLog := observe.NewEventLog(io.Discard, "vm1")
	t.Cleanup(func() { eventLog.Close(time.Second) })
	for name, test := range map[string]struct {
		// unstored is a server that joined last, before the first holder could store it.
		unstored ids.BackendServerID
		want     string
	}{"all stored": {"", "a c"}, "one not stored": {"d", "a b c d"}} {
		t.Run(name, func(t *testing.T) {
			store := &membersStore{entries: make(map[string]config.Entry), era: 1}
			first := newMembers(store, eventLog)
			if err := first.load(t.Context(), 1); err != nil {
				t.Fatal(err)
			}
			first.update(1, "g", observed("a", "b", "c"))
			if err := first.storeChanges(t.Context()); err != nil {
				t.Fatal(err)
			}
			if test.unstored != "" {
				first.update(1, "g", observed(test.unstored))
			}
			value, err := encodeMembers(membership.Record{Members: []membership.Member{observed("a")[0].Member, observed("c")[0].Member}})
			if err != nil {
				t.Fatal(err)
			}
			store.number++
			store.entries[MembersPrefix+"g"] = config.Entry{Key: MembersPrefix + "g", Value: value, Revision: ids.NewRevision(1, store.number)}
			if err := first.load(t.Context(), 2); err != nil {
				t.Fatal(err)
			}
			if record, _ := first.record(2, "g"); names(record) != test.want {
				t.Errorf("members %q, want %q", names(record), test.want)
			}
		})
	}
}

// Guards against a record that is missing or can't be read and counts as that of a group without other members: they may have acknowledged
// writes. It must not be replaced before the primary and a replica have shown that the group does not need them.
func TestUnreadableRecord(t *testing.T) {
	eventLog := observe.NewEventLog(io.Discard, "vm1")
	t.Cleanup(func() { eventLog.Close(time.Second) })
	for name, value := range map[string]string{
		"missing": "", "not JSON": "[[", "null": "null", "no members": "{}", "empty list": `{"members":[]}`, "member without an id": `{"members":[{}]}`,
		"too long": strings.Repeat(" ", maxMembersBytes) + `{"members":[{"server":"a"}]}`,
	} {
		t.Run(name, func(t *testing.T) {
			store := &membersStore{entries: make(map[string]config.Entry), era: 1}
			if value != "" {
				store.number++
				store.entries[MembersPrefix+"g"] = config.Entry{Key: MembersPrefix + "g", Value: []byte(value), Revision: ids.NewRevision(1, 1)}
			}
			for number, test := range []struct {
				answer   func(names ...ids.BackendServerID) []membership.Server
				names    []ids.BackendServerID
				complete bool
			}{
				{replicasOnly, []ids.BackendServerID{"b", "c"}, false},
				{observed, []ids.BackendServerID{"a"}, false},
				{observed, []ids.BackendServerID{"a", "b"}, true},
				{observed, []ids.BackendServerID{"a", "b", "c"}, true},
			} {
				token := Token(number + 1)
				holder := newMembers(store, eventLog)
				if err := holder.load(t.Context(), token); err != nil {
					t.Fatal(err)
				}
				holder.update(token, "g", test.answer(test.names...))
				if err := holder.storeChanges(t.Context()); err != nil {
					t.Fatal(err)
				}
				record, _ := holder.record(token, "g")
				if record.Incomplete == test.complete || len(record.Members) != len(test.names) {
					t.Errorf("holder %d: incomplete %t, members %q, want %t and %v", token, record.Incomplete, names(record), !test.complete, test.names)
				}
				if !test.complete && string(store.entries[MembersPrefix+"g"].Value) != value {
					t.Errorf("holder %d has replaced the record", token)
				}
			}
			record, err := decodeMembers(store.entries[MembersPrefix+"g"].Value)
			if err != nil || names(record) != "a b c" || record.Incomplete {
				t.Errorf("stored %+v, error %v", record, err)
			}
		})
	}
}

// Guards against decisions by members that were read for an earlier duty.
func TestMembersOfAnEarlierDuty(t *testing.T) {
	eventLog := observe.NewEventLog(io.Discard, "vm1")
	t.Cleanup(func() { eventLog.Close(time.Second) })
	store := &membersStore{entries: make(map[string]config.Entry), era: 1}
	holder := newMembers(store, eventLog)
	if _, known := holder.record(1, "g"); known {
		t.Error("known before they were read")
	}
	if err := holder.load(t.Context(), 1); err != nil {
		t.Fatal(err)
	}
	if _, known := holder.record(2, "g"); known {
		t.Error("known for the next duty")
	}
}

// Guards against panics on arbitrary records of members and of fences.
func FuzzDecodeMembers(f *testing.F) {
	for _, seed := range []string{
		`{"members":[{"server":"i-1","started_ms":17,"address":"127.0.0.1:7"}]}`, "", "null", "[]", "\xff", `{"members":[null]}`,
		`{"members":[{"server":"i-1","started_ms":1e999}]}`, strings.Repeat("[", 15000),
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, value []byte) {
		if fence, err := decodeFence(value); err != nil && fence != (fenceRecord{}) {
			t.Errorf("fence %v with the error %v", fence, err)
		}
		record, err := decodeMembers(value)
		if err != nil {
			return
		}
		encoded, err := encodeMembers(record)
		if err != nil {
			t.Fatal(err)
		}
		again, err := decodeMembers(encoded)
		if err == nil && !again.Equal(record) {
			t.Errorf("%v encoded and decoded to %v", record, again)
		}
	})
}
