package relay

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"dotterelgw/core/config"
	"dotterelgw/core/ids"
	"dotterelgw/core/relay"
	"dotterelgw/io/fleet"
	"dotterelgw/io/mesh"
	"dotterelgw/io/observe"
	"dotterelgw/io/platform"
)

const (
	prefix = "p/"
	// testStale is the StaleAfter of the topic under test.
	testStale = 900 * time.Millisecond
	// testTimeout bounds each wait of a test.
	testTimeout = 10 * time.Second
	// watchPause is the time between two events of a watch of the service.
	watchPause = 100 * time.Millisecond
)

// service is an in-memory key-value service as one VM sees it.
type service struct {
	fleet.Store
	shared *records
	// unreachable states that the service does not answer this VM.
	unreachable func() bool

	mutex sync.Mutex
	// watches counts the calls of Watch.
	watches int
}

// records is the state of the service, which all VMs share.
type records struct {
	mutex    sync.Mutex
	revision ids.Revision
	history  []config.Entry
}

// restore returns to the state at the number and begins the next era.
func (records *records) restore(number int64) {
	records.mutex.Lock()
	defer records.mutex.Unlock()
	era := records.revision.Era() + 1
	var kept []config.Entry
	for _, entry := range records.history {
		if entry.Revision.Number() <= number {
			entry.Revision = ids.NewRevision(era, entry.Revision.Number())
			kept = append(kept, entry)
		}
	}
	records.history, records.revision = kept, ids.NewRevision(era, number)
}

// put writes a value; an empty one deletes the key.
func (records *records) put(key, value string) ids.Revision {
	records.mutex.Lock()
	defer records.mutex.Unlock()
	records.revision++
	entry := config.Entry{Key: key, Revision: records.revision}
	if value != "" {
		entry.Value = []byte(value)
	}
	records.history = append(records.history, entry)
	return records.revision
}

// after returns the changes after a revision, and the current revision.
func (records *records) after(revision ids.Revision) ([]config.Entry, ids.Revision) {
	records.mutex.Lock()
	defer records.mutex.Unlock()
	index := slices.IndexFunc(records.history, func(entry config.Entry) bool { return entry.Revision > revision })
	if index < 0 {
		return nil, records.revision
	}
	return slices.Clone(records.history[index:]), records.revision
}

// Get implements platform.Store.Get; it returns the shared peer secret for every key.
func (service *service) Get(context.Context, string) (config.Entry, bool, error) {
	return config.Entry{Value: []byte("secret")}, true, nil
}

// List implements platform.Store.List.
func (service *service) List(context.Context, string) ([]config.Entry, ids.Revision, error) {
	if service.unreachable() {
		return nil, 0, io.ErrUnexpectedEOF
	}
	entries, revision := service.shared.after(0)
	return slices.DeleteFunc(entries, func(entry config.Entry) bool { return entry.Value == nil }), revision, nil
}

// Watch implements platform.Store.Watch.
func (service *service) Watch(ctx context.Context, _ string, from ids.Revision) (<-chan platform.WatchEvent, error) {
	service.mutex.Lock()
	service.watches++
	service.mutex.Unlock()
	events := make(chan platform.WatchEvent)
	go func() {
		defer close(events)
		for after := from - 1; ctx.Err() == nil; {
			event := platform.WatchEvent{RequestedAt: time.Now()}
			time.Sleep(watchPause)
			if service.unreachable() {
				event = platform.WatchEvent{Err: io.ErrUnexpectedEOF}
			} else {
				event.Entries, event.Revision = service.shared.after(after)
				if event.Revision.Era() != after.Era() {
					event = platform.WatchEvent{Err: platform.ErrCompacted}
				}
				after = event.Revision
			}
			select {
			case events <- event:
			case <-ctx.Done():
			}
			if event.Err != nil {
				return
			}
		}
	}()
	return events, nil
}

// watchCount returns how often the service was watched.
func (service *service) watchCount() int {
	service.mutex.Lock()
	defer service.mutex.Unlock()
	return service.watches
}

// vm is a VM that watches the records.
type vm struct {
	service *service
	network *mesh.Mesh
	events  <-chan platform.WatchEvent
	// values holds the values reported so far by key.
	values map[string]string
}

// start starts VMs of which the first is the relay; unreachable states which of them the service does not answer.
func start(t *testing.T, shared *records, count int, unreachable func(index int) bool) []*vm {
	t.Helper()
	var vms []*vm
	var registered []fleet.VM
	for index := range count {
		eventLog := observe.NewEventLog(io.Discard, fmt.Sprint(index))
		service := &service{shared: shared, unreachable: func() bool { return unreachable(index) }}
		network, err := mesh.New(ids.VMID(fmt.Sprint("vm", index)), "127.0.0.1:0", eventLog)
		if err != nil {
			t.Fatal(err)
		}
		registered = append(registered, fleet.VM{ID: ids.VMID(fmt.Sprint("vm", index)), Peer: network.Address()})
		role := relay.Role{Known: true, Relay: index == 0, Sources: []ids.VMID{"vm0"}, FromRelays: true}
		if index == 0 {
			role.Sources = nil
		}
		store := New(service, network, func() relay.Role { return role }, []Topic{{Prefix: prefix, StaleAfter: testStale}}, eventLog)
		ctx, cancel := context.WithCancel(context.Background())
		var running sync.WaitGroup
		running.Go(func() { network.Run(ctx, store) })
		running.Go(func() { store.Run(ctx) })
		vms = append(vms, &vm{service: service, network: network, events: platform.Follow(ctx, store, prefix, 0), values: make(map[string]string)})
		t.Cleanup(func() {
			cancel()
			running.Wait()
			eventLog.Close(time.Second)
		})
	}
	for _, one := range vms {
		one.network.SetVMs(registered)
	}
	return vms
}

// drain discards the events of VMs that a test does not check.
func drain(vms []*vm) {
	for _, one := range vms {
		go func() {
			for range one.events {
				continue
			}
		}()
	}
}

// await applies events until the condition holds.
func (vm *vm) await(t *testing.T, what string, holds func(event platform.WatchEvent) bool) {
	t.Helper()
	end := time.After(testTimeout)
	for {
		select {
		case event := <-vm.events:
			if event.Listing {
				clear(vm.values)
			}
			for _, entry := range event.Entries {
				if vm.values[entry.Key] = string(entry.Value); entry.Value == nil {
					delete(vm.values, entry.Key)
				}
			}
			if holds(event) {
				return
			}
		case <-end:
			t.Fatalf("%s: not within %v; values %v", what, testTimeout, vm.values)
		}
	}
}

// discard discards events for the duration.
func (vm *vm) discard(duration time.Duration) {
	for end := time.After(duration); ; {
		select {
		case <-vm.events:
		case <-end:
			return
		}
	}
}

// Many VMs watch records that change rarely. Guards against every VM watching the service, and against changes and deletions that
// do not reach a VM through a relay.
func TestRelayPassesOnChanges(t *testing.T) {
	shared := &records{}
	shared.put(prefix+"a", "1")
	vms := start(t, shared, 3, func(int) bool { return false })
	drain(vms[:2])
	follower := vms[2]
	follower.await(t, "the first listing", func(event platform.WatchEvent) bool { return event.Listing })
	follower.await(t, "a confirmation", func(event platform.WatchEvent) bool { return !event.RequestedAt.IsZero() })
	time.Sleep(2 * pollInterval)
	before := follower.service.watchCount()
	shared.put(prefix+"b", "2")
	follower.await(t, "a new key", func(platform.WatchEvent) bool { return follower.values[prefix+"b"] == "2" })
	shared.put(prefix+"a", "")
	follower.await(t, "a deletion", func(platform.WatchEvent) bool { return follower.values[prefix+"a"] == "" })
	if after := follower.service.watchCount(); after != before {
		t.Errorf("%d watches of the service, %d before", after, before)
	}
}

// startPair starts a relay and a VM that uses it, and waits for the first listing of that VM. The function cutOff has the service
// stop answering the VM with the index, and only that one; -1 stands for none.
func startPair(t *testing.T) (shared *records, follower *vm, cutOff func(index int)) {
	t.Helper()
	shared = &records{}
	shared.put(prefix+"a", "1")
	var unreachable atomic.Int32
	unreachable.Store(-1)
	vms := start(t, shared, 2, func(index int) bool { return int32(index) == unreachable.Load() })
	drain(vms[:1])
	follower = vms[1]
	follower.await(t, "the first listing", func(event platform.WatchEvent) bool { return event.Listing })
	return shared, follower, func(index int) { unreachable.Store(int32(index)) }
}

// The service answers some VMs and not others. Guards against a VM that misses a change known to the relays, such as the
// withdrawal of a key, and against a VM whose records stop changing because its relay cannot reach the service or holds changes
// that do not fit into a datagram.
func TestChangeArrives(t *testing.T) {
	const none, relayVM, followerVM = -1, 0, 1
	random := make([]byte, 60<<10)
	_, _ = rand.NewChaCha8([32]byte{}).Read(random)
	for name, test := range map[string]struct {
		unreachable int
		value       string
	}{
		"service unreachable from the VM":        {followerVM, "2"},
		"service unreachable from the relay":     {relayVM, "2"},
		"change exceeds maxLargeBytes":           {none, string(make([]byte, 2*maxLargeBytes))},
		"60 KB, service unreachable from the VM": {followerVM, string(random)},
		"60 KB, service reachable":               {none, string(random)},
	} {
		t.Run(name, func(t *testing.T) {
			shared, follower, cutOff := startPair(t)
			cutOff(test.unreachable)
			shared.put(prefix+"a", test.value)
			follower.await(t, "the change", func(platform.WatchEvent) bool { return follower.values[prefix+"a"] == test.value })
		})
	}
}

// The service is restored from an older copy while it does not answer a VM. Guards against a VM that keeps the records of before, or
// gets only a part of the new ones, although its relay has all of them.
func TestRestoreReachesUnreachableVM(t *testing.T) {
	const followerVM = 1
	for name, test := range map[string]struct{ restores, keys, valueBytes int }{
		"few records":         {1, 2, 10},
		"several responses":   {1, 40, 500},
		"two restores":        {2, 40, 500},
		"one record too long": {1, 2, 12 << 10},
	} {
		t.Run(name, func(t *testing.T) {
			shared, follower, cutOff := startPair(t)
			value := make([]byte, test.valueBytes)
			for index := range value {
				value[index] = byte('a' + rand.N(26))
			}
			var backup ids.Revision
			for index := range test.keys {
				backup = shared.put(fmt.Sprint(prefix, "kept", index), string(value))
			}
			shared.put(prefix+"lost", "1")
			follower.await(t, "the records before", func(platform.WatchEvent) bool { return follower.values[prefix+"lost"] == "1" })
			cutOff(followerVM)
			for range test.restores {
				shared.put(prefix+"lost", "2")
				shared.restore(backup.Number())
			}
			shared.put(prefix+"a", "new")
			follower.await(t, "the records after", func(platform.WatchEvent) bool { return follower.values[prefix+"a"] == "new" })
			if _, kept := follower.values[prefix+"lost"]; kept || len(follower.values) != test.keys+1 {
				t.Errorf("%d records, want %d without the lost one", len(follower.values), test.keys+1)
			}
		})
	}
}

// The service answers no VM. Guards against VMs that keep retrying it although the relays retry on their behalf, and against VMs
// that do not notice its return.
func TestServiceUnreachableForAll(t *testing.T) {
	const observed = 2500 * time.Millisecond
	shared := &records{}
	shared.put(prefix+"a", "1")
	var unreachable atomic.Bool
	vms := start(t, shared, 2, func(int) bool { return unreachable.Load() })
	drain(vms[:1])
	follower := vms[1]
	follower.await(t, "the first listing", func(event platform.WatchEvent) bool { return event.Listing })
	follower.await(t, "a confirmation", func(event platform.WatchEvent) bool { return !event.RequestedAt.IsZero() })
	unreachable.Store(true)
	follower.await(t, "the loss", func(event platform.WatchEvent) bool { return event.Err != nil })
	before := follower.service.watchCount()
	follower.discard(observed)
	if attempts := follower.service.watchCount() - before; attempts > 1 {
		t.Errorf("%d attempts in %v, want at most one", attempts, observed)
	}
	unreachable.Store(false)
	shared.put(prefix+"a", "2")
	follower.await(t, "the change", func(platform.WatchEvent) bool { return follower.values[prefix+"a"] == "2" })
}

// The configuration grows to some hundred kilobytes, and 100 VMs request it from one collector whose link carries 20 Mbit/s.
// Guards against copies that saturate the link and delay other traffic of the VM for seconds, and against a VM that never gets
// the configuration because it cannot reach the service.
func TestLargeRecords(t *testing.T) {
	value := make([]byte, 300<<10)
	_, _ = rand.NewChaCha8([32]byte{}).Read(value)
	large := config.Entry{Key: prefix + "a", Value: value, Revision: 2}
	small := config.Entry{Key: prefix + "b", Value: value[:8<<10], Revision: 2}
	topic := &topic{compressed: make(compressionCache)}
	sent := 0
	for now := time.Second; now < 6*time.Second; now += 10 * time.Millisecond {
		if topic.mayRelay(large, false, now) {
			t.Fatal("a large record is sent to a VM that reaches the service")
		}
		if !topic.mayRelay(small, false, now) {
			t.Fatal("a small record is not sent")
		}
		if topic.mayRelay(large, true, now) {
			sent += len(value)
		}
	}
	if sent == 0 || sent > 5*largeBytesPerSecond+len(value) {
		t.Errorf("%d bytes in 5 s, want at most %d and more than 0", sent, 5*largeBytesPerSecond+len(value))
	}
}
