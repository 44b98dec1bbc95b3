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

// TestStoreConverges guards against a store that depends on the order or repetition of entries: any replica that
// got the same history in shuffled, repeated pieces must end with the same entries and digest, and never go back.
func TestStoreConverges(t *testing.T) {
	properties := gopter.NewProperties(nil)
	properties.Property("delta, push and snapshot agree", prop.ForAll(func(picks, order []int, cut int) bool {
		entries := history(picks)
		whole, pieces, pushed := config.NewStore(), config.NewStore(), config.NewStore()
		whole.ApplyComplete(entries, ids.Revision(len(entries)))
		for _, at := range order {
			if at %= len(entries) + 1; at < len(entries) {
				before, _ := pieces.Get(entries[at].Key)
				pieces.ApplyAhead(entries[at])
				if after, _ := pieces.Get(entries[at].Key); after.Revision < before.Revision {
					return false
				}
			}
		}
		cut %= len(entries) + 1
		pushed.ApplyComplete(entries[:cut], ids.Revision(cut))
		if _, ok := pushed.ApplyMatching(whole.Since(pushed.Revision()), whole.Revision(), whole.Digest()); !ok {
			return false
		}
		pieces.ApplyComplete(whole.Since(pieces.Revision()), whole.Revision())
		return same(whole, pieces) && same(whole, pushed)
	}, gen.SliceOf(gen.IntRange(0, 5)), gen.SliceOf(gen.IntRange(0, 30)), gen.IntRange(0, 30)))
	properties.TestingRun(t)
}

func same(a, b *config.Store) bool {
	return a.Digest() == b.Digest() && a.Revision() == b.Revision() && fmt.Sprint(a.Snapshot()) == fmt.Sprint(b.Snapshot())
}

// TestApplyMatchingRefusesGaps guards against a push that skips an entry and still raises the revision.
func TestApplyMatchingRefusesGaps(t *testing.T) {
	entries := history([]int{0, 1, 2, 3})
	sender, receiver := config.NewStore(), config.NewStore()
	sender.ApplyComplete(entries, 4)
	receiver.ApplyComplete(entries[:1], 1)
	if _, ok := receiver.ApplyMatching(sender.Since(2), 4, sender.Digest()); ok || receiver.Revision() != 1 {
		t.Fatalf("push without revision 2 was applied, revision %d", receiver.Revision())
	}
}

// TestTermRecordUsesSnakeCase guards the stored format, since position.Position has no JSON tags.
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
	back, err := config.Decode[config.TermRecord](config.Entry{Value: value})
	if err != nil || back.Starts[0].Log != 7 {
		t.Fatalf("decoded %+v, %v", back, err)
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
