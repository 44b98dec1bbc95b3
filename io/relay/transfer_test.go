package relay

import (
	"bytes"
	"context"
	"errors"
	"io"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"dotterelgw/core/config"
	"dotterelgw/core/ids"
	"dotterelgw/core/relay"
	"dotterelgw/io/observe"
	"dotterelgw/io/platform"
)

// A VM in era 1, at number 10, gets the records of era 2 in two responses, while responses of other VMs and to earlier requests
// arrive. Guards against records that are skipped or come from two eras, because a response is applied that does not continue what the
// VM has, and against a VM that waits for a record which the other VM does not send.
func TestTransfer(t *testing.T) {
	at := ids.NewRevision
	entry := func(key string, revision ids.Revision) config.Entry {
		return config.Entry{Key: key, Value: []byte("1"), Revision: revision}
	}
	update := func(after, upTo ids.Revision, complete bool, entries ...config.Entry) topicUpdate {
		return topicUpdate{after: after, historyKnown: true, complete: complete, event: platform.WatchEvent{Revision: upTo, Entries: entries}}
	}
	first := update(at(2, 0), at(2, 4), false, entry("a", at(2, 2)))
	second := update(at(2, 4), at(2, 8), true, entry("b", at(2, 7)))
	for name, test := range map[string]struct {
		updates []topicUpdate
		// records is the number of records reported as a listing of era 2, 0 for none.
		records  int
		reported ids.Revision
		// behind states whether the records have to be read from the service.
		behind bool
	}{
		"in order":                          {updates: []topicUpdate{first, second}, records: 2, reported: at(2, 8)},
		"first response twice":              {updates: []topicUpdate{first, first, second}, records: 2, reported: at(2, 8)},
		"second response without the first": {updates: []topicUpdate{second}, reported: at(1, 10)},
		"earlier era, answer to a transfer": {updates: []topicUpdate{first, update(at(2, 4), at(1, 12), true)}, reported: at(1, 10)},
		"earlier era, older":                {updates: []topicUpdate{first, update(at(1, 9), at(1, 9), true), second}, records: 2, reported: at(2, 8)},
		"history unknown in between":        {updates: []topicUpdate{first, {}, second}, reported: at(1, 10)},
		"history unknown":                   {updates: []topicUpdate{first, {}}, reported: at(1, 10), behind: true},
		"next record too long to relay":     {updates: []topicUpdate{first, update(at(2, 4), at(2, 4), false)}, reported: at(1, 10), behind: true},
		"another restore in between": {
			updates: []topicUpdate{first, update(at(3, 0), at(3, 3), true, entry("c", at(3, 3))), second}, records: 1, reported: at(3, 3),
		},
		"deleted before the second response": {
			updates: []topicUpdate{first, update(at(2, 4), at(2, 8), true, config.Entry{Key: "a", Revision: at(2, 6)}, entry("b", at(2, 7)))},
			records: 1, reported: at(2, 8),
		},
	} {
		t.Run(name, func(t *testing.T) {
			eventLog := observe.NewEventLog(io.Discard, "vm1")
			defer eventLog.Close(time.Second)
			topic := &topic{changeLog: relay.NewChangeLog(nil)}
			topic.changeLog.List([]config.Entry{entry("old", at(1, 3))}, at(1, 10), 0)
			watch := &watch{store: &Store{eventLog: eventLog}, topic: topic, reported: at(1, 10), events: make(chan platform.WatchEvent, len(test.updates))}
			for _, update := range test.updates {
				watch.handleUpdate(context.Background(), update)
			}
			if watch.reported != test.reported || watch.behind != test.behind {
				t.Errorf("reported up to %v, behind %t, want %v, %t", watch.reported, watch.behind, test.reported, test.behind)
			}
			records := 0
			for len(watch.events) > 0 {
				if event := <-watch.events; event.Listing {
					records = len(event.Entries)
				}
			}
			if records != test.records || records > 0 && topic.changeLog.Keys() != records {
				t.Errorf("%d records reported, %d kept, want %d", records, topic.changeLog.Keys(), test.records)
			}
		})
	}
}

// A VM learned of a later era from another VM while the reply to its own listing was on its way. Guards against consumers getting the
// records of the earlier era after those of the later one.
func TestListingOfEarlierEra(t *testing.T) {
	shared := &records{}
	shared.put(prefix+"a", "1")
	known := &topic{changeLog: relay.NewChangeLog(nil)}
	known.changeLog.List(nil, ids.NewRevision(1, 3), 0)
	store := &Store{Store: &service{shared: shared, unreachable: func() bool { return false }}, topics: map[string]*topic{prefix: known}}
	if _, revision, err := store.List(context.Background(), prefix); !errors.Is(err, platform.ErrRestored) {
		t.Errorf("listing at revision %v, error %v", revision, err)
	}
}

// Guards against an entry that reaches other VMs without its lease, or with another value.
func TestRecordOfAnEntry(t *testing.T) {
	for name, entry := range map[string]config.Entry{
		"empty":        {Key: "k", Value: []byte{}, Revision: 3},
		"removed":      {Key: "k", Revision: 3},
		"any bytes":    {Key: "k\r\n", Value: []byte("\r\n\x00\xff\n"), Revision: 3},
		"longest":      {Key: "k", Value: bytes.Repeat([]byte("v"), maxDecompressedBytes), Revision: 3},
		"short":        {Key: "k", Value: []byte("v"), Revision: 3},
		"under lease":  {Key: "k", Value: []byte("v"), Revision: 3, Leased: true},
		"long, leased": {Key: "k", Value: bytes.Repeat([]byte("v"), minCompressBytes), Revision: 3, Leased: true},
	} {
		t.Run(name, func(t *testing.T) {
			encoded, err := cbor.Marshal(make(compressionCache).record(entry))
			if err != nil {
				t.Fatal(err)
			}
			var received record
			if err := cbor.Unmarshal(encoded, &received); err != nil {
				t.Fatal(err)
			}
			got, err := received.entry()
			if err != nil || got.Key != entry.Key || (got.Value == nil) != (entry.Value == nil) || !bytes.Equal(got.Value, entry.Value) || got.Revision != entry.Revision || got.Leased != entry.Leased {
				t.Errorf("got %+v, error %v, want %+v", got, err, entry)
			}
		})
	}
}

// Guards against a value that is cut because it is longer than expected once it is decompressed.
func TestRecordTooLong(t *testing.T) {
	entry := config.Entry{Key: "k", Value: bytes.Repeat([]byte("v"), maxDecompressedBytes+1), Revision: 3}
	if got, err := make(compressionCache).record(entry).entry(); !errors.Is(err, errValueTooLong) {
		t.Errorf("got %d bytes, error %v", len(got.Value), err)
	}
}
