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
	// testStale is the age from which on a VM reads the service itself.
	testStale = 900 * time.Millisecond
	// testWait bounds what a test waits for.
	testWait = 10 * time.Second
	// watchWait is how long the service holds a watch that has nothing to report.
	watchWait = 100 * time.Millisecond
)

// service is a key-value service in memory, as one VM sees it.
type service struct {
	fleet.Store
	shared *records
	// away states that the service does not answer this VM.
	away func() bool

	mutex   sync.Mutex
	watches int
}

// records is the state of the service.
type records struct {
	mutex    sync.Mutex
	revision ids.Revision
	history  []config.Entry
}

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

func (records *records) after(revision ids.Revision) ([]config.Entry, ids.Revision) {
	records.mutex.Lock()
	defer records.mutex.Unlock()
	index := slices.IndexFunc(records.history, func(entry config.Entry) bool { return entry.Revision > revision })
	if index < 0 {
		return nil, records.revision
	}
	return slices.Clone(records.history[index:]), records.revision
}

// Get implements platform.Store.Get; the VMs share a secret.
func (service *service) Get(context.Context, string) (config.Entry, bool, error) {
	return config.Entry{Value: []byte("secret")}, true, nil
}

// List implements platform.Store.List.
func (service *service) List(context.Context, string) ([]config.Entry, ids.Revision, error) {
	if service.away() {
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
			event := platform.WatchEvent{Asked: time.Now()}
			time.Sleep(watchWait)
			if service.away() {
				event = platform.WatchEvent{Err: io.ErrUnexpectedEOF}
			} else {
				event.Entries, event.Revision = service.shared.after(after)
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

func (service *service) watched() int {
	service.mutex.Lock()
	defer service.mutex.Unlock()
	return service.watches
}

// vm is one VM that follows the records.
type vm struct {
	service *service
	network *mesh.Mesh
	events  <-chan platform.WatchEvent
	held    map[string]string
}

// start starts VMs of which the first is the relay; away states which of them the service does not answer.
func start(t *testing.T, shared *records, count int, away func(index int) bool) []*vm {
	t.Helper()
	var vms []*vm
	var registered []fleet.VM
	for index := range count {
		decisions := observe.NewDecisions(io.Discard, fmt.Sprint(index))
		service := &service{shared: shared, away: func() bool { return away(index) }}
		network, err := mesh.New(ids.VMID(fmt.Sprint("vm", index)), "127.0.0.1:0", decisions)
		if err != nil {
			t.Fatal(err)
		}
		registered = append(registered, fleet.VM{ID: ids.VMID(fmt.Sprint("vm", index)), Peer: network.Address()})
		role := relay.Role{Known: true, Relay: index == 0, Sources: []ids.VMID{"vm0"}, FromRelays: true}
		if index == 0 {
			role.Sources = nil
		}
		store := New(service, network, func() relay.Role { return role }, []Topic{{Prefix: prefix, StaleAfter: testStale}}, decisions)
		ctx, cancel := context.WithCancel(context.Background())
		var running sync.WaitGroup
		running.Go(func() { network.Run(ctx, store) })
		running.Go(func() { store.Run(ctx) })
		vms = append(vms, &vm{service: service, network: network, events: platform.Follow(ctx, store, prefix, 0), held: make(map[string]string)})
		t.Cleanup(func() {
			cancel()
			running.Wait()
			decisions.Close(time.Second)
		})
	}
	for _, one := range vms {
		one.network.SetVMs(registered)
	}
	return vms
}

// drain takes the events of VMs that a test does not look at.
func drain(vms []*vm) {
	for _, one := range vms {
		go func() {
			for range one.events {
				continue
			}
		}()
	}
}

// await takes events until the condition holds.
func (vm *vm) await(t *testing.T, what string, holds func(event platform.WatchEvent) bool) {
	t.Helper()
	end := time.After(testWait)
	for {
		select {
		case event := <-vm.events:
			for _, entry := range event.Entries {
				if vm.held[entry.Key] = string(entry.Value); entry.Value == nil {
					delete(vm.held, entry.Key)
				}
			}
			if holds(event) {
				return
			}
		case <-end:
			t.Fatalf("%s: not in %v; holds %v", what, testWait, vm.held)
		}
	}
}

// pass takes events for the time.
func (vm *vm) pass(length time.Duration) {
	for end := time.After(length); ; {
		select {
		case <-vm.events:
		case <-end:
			return
		}
	}
}

// Pattern: many VMs follow records that change rarely. Guards against every VM watching the service, and against changes and
// deletions that do not reach a VM through a relay.
func TestRelayPassesOnChanges(t *testing.T) {
	shared := &records{}
	shared.put(prefix+"a", "1")
	vms := start(t, shared, 3, func(int) bool { return false })
	drain(vms[:2])
	follower := vms[2]
	follower.await(t, "the first listing", func(event platform.WatchEvent) bool { return event.Complete })
	follower.await(t, "a confirmation", func(event platform.WatchEvent) bool { return !event.Asked.IsZero() })
	time.Sleep(2 * askInterval)
	before := follower.service.watched()
	shared.put(prefix+"b", "2")
	follower.await(t, "a new key", func(platform.WatchEvent) bool { return follower.held[prefix+"b"] == "2" })
	shared.put(prefix+"a", "")
	follower.await(t, "a deletion", func(platform.WatchEvent) bool { return follower.held[prefix+"a"] == "" })
	if after := follower.service.watched(); after != before {
		t.Errorf("%d watches of the service, %d before", after, before)
	}
}

// startPair starts a relay and a VM that follows its records, which holds the first listing. The result turns a VM away from the
// service.
func startPair(t *testing.T) (shared *records, follower *vm, turnAway func(index int)) {
	t.Helper()
	shared = &records{}
	shared.put(prefix+"a", "1")
	var away atomic.Int32
	away.Store(-1)
	vms := start(t, shared, 2, func(index int) bool { return int32(index) == away.Load() })
	drain(vms[:1])
	follower = vms[1]
	follower.await(t, "the first listing", func(event platform.WatchEvent) bool { return event.Complete })
	return shared, follower, func(index int) { away.Store(int32(index)) }
}

// Pattern: the store turns some VMs away and serves the others. Guards against a VM that learns of no change although relays
// know it, such as a key that was withdrawn, and against records that no longer change for a VM because the relay that it asks
// is cut off from the service or has changes that do not fit into a datagram.
func TestChangeArrives(t *testing.T) {
	const nobody, theRelay, theFollower = -1, 0, 1
	random := make([]byte, 60<<10)
	_, _ = rand.NewChaCha8([32]byte{}).Read(random)
	for name, test := range map[string]struct {
		away  int
		value string
	}{
		"the VM is turned away":        {theFollower, "2"},
		"the relay is turned away":     {theRelay, "2"},
		"the change is too large":      {nobody, string(make([]byte, 2*maxLarge))},
		"60 KB, the VM is turned away": {theFollower, string(random)},
		"60 KB, nobody is":             {nobody, string(random)},
	} {
		t.Run(name, func(t *testing.T) {
			shared, follower, turnAway := startPair(t)
			turnAway(test.away)
			shared.put(prefix+"a", test.value)
			follower.await(t, "the change", func(platform.WatchEvent) bool { return follower.held[prefix+"a"] == test.value })
		})
	}
}

// Pattern: the store is away for all VMs. Guards against every VM trying it again and again, although the relays do so for them,
// and against VMs that do not notice its return.
func TestStoreAwayForAll(t *testing.T) {
	const watched = 2500 * time.Millisecond
	shared := &records{}
	shared.put(prefix+"a", "1")
	var away atomic.Bool
	vms := start(t, shared, 2, func(int) bool { return away.Load() })
	drain(vms[:1])
	follower := vms[1]
	follower.await(t, "the first listing", func(event platform.WatchEvent) bool { return event.Complete })
	follower.await(t, "a confirmation", func(event platform.WatchEvent) bool { return !event.Asked.IsZero() })
	away.Store(true)
	follower.await(t, "the loss", func(event platform.WatchEvent) bool { return event.Err != nil })
	before := follower.service.watched()
	follower.pass(watched)
	if tries := follower.service.watched() - before; tries > 1 {
		t.Errorf("%d tries in %v, want one at most", tries, watched)
	}
	away.Store(false)
	shared.put(prefix+"a", "2")
	follower.await(t, "the change", func(platform.WatchEvent) bool { return follower.held[prefix+"a"] == "2" })
}

// Pattern: the configuration grows to some hundred kilobytes, and 100 VMs ask one collector for it whose link carries 20 Mbit/s. Guards
// against a link that is filled with copies, which delays all else on the VM for seconds, and against a VM that the service turns
// away and that gets none.
func TestLargeRecords(t *testing.T) {
	value := make([]byte, 300<<10)
	_, _ = rand.NewChaCha8([32]byte{}).Read(value)
	large := config.Entry{Key: prefix + "a", Value: value, Revision: 2}
	small := config.Entry{Key: prefix + "b", Value: value[:8<<10], Revision: 2}
	topic := &topic{packs: make(packs)}
	told := 0
	for now := time.Second; now < 6*time.Second; now += 10 * time.Millisecond {
		if topic.passes(large, false, now) {
			t.Fatal("a large record is told to a VM that the service answers")
		}
		if !topic.passes(small, false, now) {
			t.Fatal("a small record is not told")
		}
		if topic.passes(large, true, now) {
			told += len(value)
		}
	}
	if told == 0 || told > 5*largeRate+len(value) {
		t.Errorf("%d bytes in 5 s, want %d at most", told, 5*largeRate+len(value))
	}
}
