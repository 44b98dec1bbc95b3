package config_test

import (
	"fmt"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"dotterelgw/core/config"
	"dotterelgw/core/ids"
	"dotterelgw/core/position"
)

func history(picks []int) []config.Entry {
	entries := make([]config.Entry, len(picks))
	for i, pick := range picks {
		entries[i] = config.Entry{Key: fmt.Sprintf("/k/%d", pick), Value: []byte{byte(i)}, Revision: ids.Revision(i + 1)}
	}
	return entries
}

// TestStoreConverges guards against a result that depends on the order or repetition of entries. Stores that receive the same
// history shuffled and repeated must end with the same entries and digest, and no entry may return to an older version.
func TestStoreConverges(t *testing.T) {
	properties := gopter.NewProperties(nil)
	properties.Property("shuffled entries, delta and snapshot agree", prop.ForAll(func(picks, order []int, base int) bool {
		entries := history(picks)
		complete, shuffled, pushed := config.NewStore(), config.NewStore(), config.NewStore()
		complete.ApplyComplete(entries, ids.Revision(len(entries)))
		for _, at := range order {
			if at %= len(entries) + 1; at < len(entries) {
				before, _ := shuffled.Get(entries[at].Key)
				shuffled.ApplyOutOfOrder(entries[at])
				if after, _ := shuffled.Get(entries[at].Key); after.Revision < before.Revision {
					return false
				}
			}
		}
		base %= len(entries) + 1
		pushed.ApplyComplete(entries[:base], ids.Revision(base))
		if _, ok := pushed.ApplyIfDigestMatches(complete.Since(pushed.Revision()), complete.Revision(), complete.Digest()); !ok {
			return false
		}
		shuffled.ApplyComplete(complete.Since(shuffled.Revision()), complete.Revision())
		return same(complete, shuffled) && same(complete, pushed)
	}, gen.SliceOf(gen.IntRange(0, 5)), gen.SliceOf(gen.IntRange(0, 30)), gen.IntRange(0, 30)))
	properties.TestingRun(t)
}

func same(a, b *config.Store) bool {
	return a.Digest() == b.Digest() && a.Revision() == b.Revision() && fmt.Sprint(a.Snapshot()) == fmt.Sprint(b.Snapshot())
}

// TestApplyMatchingRefusesGaps guards against a delta that lacks an entry and still raises the store's revision, which would
// hide the gap.
func TestApplyMatchingRefusesGaps(t *testing.T) {
	entries := history([]int{0, 1, 2, 3})
	sender, receiver := config.NewStore(), config.NewStore()
	sender.ApplyComplete(entries, 4)
	receiver.ApplyComplete(entries[:1], 1)
	if _, ok := receiver.ApplyIfDigestMatches(sender.Since(2), 4, sender.Digest()); ok || receiver.Revision() != 1 {
		t.Fatalf("delta without revision 2 was applied, revision %d", receiver.Revision())
	}
}

// TestTermRecordUsesSnakeCase guards against a change of the stored format: position.Position has no JSON tags, so its Go
// field names would be written.
func TestTermRecordUsesSnakeCase(t *testing.T) {
	record := config.TermRecord{Term: 2, Primary: "a1", Step: "steady", Starts: []position.Position{{Term: 2, Log: 7}}}
	value, err := config.Encode(record)
	if err != nil {
		t.Fatal(err)
	}
	want := `{"term":2,"primary":"a1","step":"steady","orderer":"","candidate":"","start":0,"starts":[{"term":2,"log":7}]}`
	if string(value) != want {
		t.Fatalf("got %s", value)
	}
	decoded, err := config.Decode[config.TermRecord](config.Entry{Value: value})
	if err != nil || decoded.Starts[0].Log != 7 {
		t.Fatalf("decoded %+v, %v", decoded, err)
	}
}

func BenchmarkApplyDelta(b *testing.B) {
	store := config.NewStore()
	for i := range 10_000 {
		store.ApplyComplete([]config.Entry{{Key: config.GroupKey(ids.GroupID(fmt.Sprint(i))), Revision: ids.Revision(i + 1)}}, ids.Revision(i+1))
	}
	keys := make([]string, 1000)
	for i := range keys {
		keys[i] = config.GroupKey(ids.GroupID(fmt.Sprint(i * 7)))
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		revision := store.Revision() + 1
		store.ApplyComplete([]config.Entry{{Key: keys[i%len(keys)], Revision: revision}}, revision)
	}
}
