package fleet

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"dotterelgw/core/config"
	"dotterelgw/core/ids"
	"dotterelgw/io/clock"
	"dotterelgw/io/observe"
	"dotterelgw/io/platform"
)

const (
	// Prefix is the key prefix of the registrations.
	Prefix = "dotterelgw/vms/"
	// registrationTTL is the TTL of the lease of a registration, and thus how long it outlives its VM.
	registrationTTL = 9 * time.Second
	// renewInterval is the time between two renewals of the lease.
	renewInterval = 3 * time.Second
	// retryInterval is the pause after the first failed call; it doubles with each further one, up to renewInterval.
	retryInterval = 300 * time.Millisecond
	// removalDelay is how long a VM without a registration still counts as part of the fleet. Together with registrationTTL it
	// exceeds the time for which a VM is cut off from the service, since such a VM keeps using its share of rates and connections.
	removalDelay = 12 * time.Second
	// sweepInterval is the time between two removals of VMs without a registration.
	sweepInterval = time.Second
)

// VM is the registration of one VM.
type VM struct {
	// ID is the unique id of the VM.
	ID ids.VMID `json:"vm"`
	// Peer is the host and port on which the VM receives datagrams of other VMs.
	Peer string `json:"peer"`
	// Zone is the VM's availability zone.
	Zone ids.AvailabilityZone `json:"availability_zone"`
	// ProcessorShare is the number of processor cores that the VM may use; 0 if it tells none.
	ProcessorShare float64 `json:"processor_share,omitempty"`
	// ServesAsHome reports whether the VM accepts streams of other VMs at the peer address, see package home.
	ServesAsHome bool `json:"serves_as_home,omitempty"`
}

// Store is the part of the key-value service that registrations use.
type Store interface {
	platform.Store
	platform.LeaseStore
}

// EraStore is a store that knows the era of the service.
type EraStore interface {
	Store
	// Era returns the latest era of the service that this VM knows.
	Era() ids.Era
}

// Fleet holds the registered VMs and keeps this VM registered.
type Fleet struct {
	self     VM
	store    EraStore
	eventLog *observe.EventLog

	mutex sync.Mutex
	vms   map[ids.VMID]VM
	// missingSince holds the VMs in vms that have lost their registration, and when that was seen.
	missingSince map[ids.VMID]time.Duration
	// listed states whether the first listing has been applied.
	listed bool
	// lease is the lease of the registration, zero while there is none. It has no lock, since only Register and Run use it, one after
	// the other.
	lease platform.Lease
	// registeredUntil is the boot time in nanoseconds until which the registration lasts without a further renewal.
	registeredUntil atomic.Int64

	onChange []func([]VM)
	// changed holds a value if the VMs have changed since they were last published.
	changed chan struct{}
}

// New returns a fleet that holds only this VM until Run.
func New(self VM, store EraStore, eventLog *observe.EventLog) *Fleet {
	return &Fleet{
		self: self, store: store, eventLog: eventLog, vms: map[ids.VMID]VM{self.ID: self},
		missingSince: make(map[ids.VMID]time.Duration), changed: make(chan struct{}, 1),
	}
}

// OnChange registers a function that is called with all VMs after the first listing and after each change. OnChange must be
// called before Run.
func (fleet *Fleet) OnChange(callback func([]VM)) { fleet.onChange = append(fleet.onChange, callback) }

// Register tries once to register this VM and logs a failure. Run retries.
func (fleet *Fleet) Register(ctx context.Context) {
	if err := fleet.renew(ctx); err != nil {
		fleet.eventLog.LimitedEvent("registration_failed", "err", err)
	}
}

// Run keeps this VM registered and watches the registrations of the others until the context ends.
func (fleet *Fleet) Run(ctx context.Context) {
	var group sync.WaitGroup
	group.Go(func() { fleet.keepRegistered(ctx) })
	group.Go(func() { fleet.follow(ctx) })
	group.Go(func() { fleet.sweep(ctx) })
	group.Go(func() { fleet.publish(ctx) })
	group.Wait()
}

// keepRegistered renews the registration, with an exponential backoff after failures, until the context ends.
func (fleet *Fleet) keepRegistered(ctx context.Context) {
	pause := renewInterval
	if fleet.lease == (platform.Lease{}) {
		pause = retryInterval
	}
	for failures := 0; ctx.Err() == nil; {
		if failures == 0 {
			fleet.awaitRenewal(ctx, pause)
		} else {
			clock.Sleep(ctx, pause)
		}
		err := fleet.renew(ctx)
		if err == nil {
			failures, pause = 0, renewInterval
			continue
		}
		fleet.eventLog.LimitedEvent("registration_failed", "lease", fleet.lease, "registered", fleet.IsRegistered(), "err", err)
		pause = min(retryInterval<<failures, renewInterval)
		failures = min(failures+1, maxDoublings)
	}
}

// eraCheckInterval is the time between two checks whether the service was restored.
const eraCheckInterval = 400 * time.Millisecond

// awaitRenewal waits for the pause, or until the service is in a later era than the lease. The service may then have lost the
// registration, and VMs that start meanwhile would divide rates and connections over too few VMs.
func (fleet *Fleet) awaitRenewal(ctx context.Context, pause time.Duration) {
	for end := clock.Now() + pause; clock.Now() < end && ctx.Err() == nil; {
		clock.Sleep(ctx, min(eraCheckInterval, end-clock.Now()))
		if fleet.lease != (platform.Lease{}) && fleet.store.Era() > fleet.lease.Era {
			clock.Sleep(ctx, fleet.renewalDelay())
			return
		}
	}
}

// renewalDelayPerVM spreads the renewals after a restore, so that 2,400 VMs take 2.4 s for them.
const renewalDelayPerVM = time.Millisecond

// renewalDelay returns the delay of this VM's renewal after a restore.
func (fleet *Fleet) renewalDelay() time.Duration {
	rank := slices.IndexFunc(fleet.VMs(), func(vm VM) bool { return vm.ID == fleet.self.ID })
	return renewalDelayPerVM * time.Duration(max(rank, 0))
}

// maxDoublings bounds the shift in the backoff, so that it cannot overflow.
const maxDoublings = 8

// renew renews the lease of the registration, or registers this VM if it has no lease or the lease has expired.
func (fleet *Fleet) renew(ctx context.Context) error {
	sent := clock.Now()
	if fleet.lease != (platform.Lease{}) {
		_, err := fleet.store.KeepAlive(ctx, fleet.lease)
		if err == nil {
			fleet.registeredUntil.Store(int64(sent + registrationTTL))
		}
		if !errors.Is(err, platform.ErrLeaseEnded) {
			return err
		}
		fleet.registeredUntil.Store(0)
		fleet.eventLog.Event("registration_lapsed", "lease", fleet.lease)
		fleet.lease = platform.Lease{}
	}
	lease, err := fleet.storeRegistration(ctx)
	if err == nil {
		fleet.lease = lease
		fleet.registeredUntil.Store(int64(sent + registrationTTL))
	}
	return err
}

// IsRegistered reports whether other VMs that list the registrations find this one.
func (fleet *Fleet) IsRegistered() bool {
	return clock.Now() < time.Duration(fleet.registeredUntil.Load())
}

// List lists the VMs that are registered in the store now.
func List(ctx context.Context, store Store) ([]VM, error) {
	entries, _, err := store.List(ctx, Prefix)
	if err != nil {
		return nil, fmt.Errorf("listing the VMs: %w", err)
	}
	var vms []VM
	for _, entry := range entries {
		// follow logs faulty registrations.
		if vm, err := decodeVM(ids.VMID(strings.TrimPrefix(entry.Key, Prefix)), entry.Value); err == nil {
			vms = append(vms, vm)
		}
	}
	return vms, nil
}

// storeRegistration stores the registration under a new lease. It replaces a registration left by the previous process of this
// VM.
func (fleet *Fleet) storeRegistration(ctx context.Context) (platform.Lease, error) {
	value, err := json.Marshal(fleet.self)
	if err != nil {
		return platform.Lease{}, fmt.Errorf("encoding the registration: %w", err)
	}
	lease, _, err := fleet.store.Grant(ctx, registrationTTL)
	if err != nil {
		return platform.Lease{}, fmt.Errorf("granting a lease for the registration: %w", err)
	}
	key := Prefix + string(fleet.self.ID)
	revision, stored, err := fleet.store.CompareAndSwapLeased(ctx, key, 0, value, lease)
	if err == nil && !stored {
		_, stored, err = fleet.store.CompareAndSwapLeased(ctx, key, revision, value, lease)
	}
	if err == nil && !stored {
		err = errConflict
	}
	if err != nil {
		return platform.Lease{}, fmt.Errorf("storing the registration: %w", err)
	}
	fleet.eventLog.Event("registered", "lease", lease, "peer", fleet.self.Peer)
	return lease, nil
}

// errConflict states that another writer changed the registration during the attempt to store it.
var errConflict = errors.New("registration changed concurrently")

// follow applies the changes of the registrations until the context ends.
func (fleet *Fleet) follow(ctx context.Context) {
	for event := range platform.Follow(ctx, fleet.store, Prefix, 0) {
		if event.Err == nil && (event.Listing || len(event.Entries) > 0) {
			fleet.apply(event)
		}
	}
}

// apply applies an event of the watch. VMs that a complete event lacks are marked as missing.
func (fleet *Fleet) apply(event platform.WatchEvent) {
	fleet.mutex.Lock()
	first := event.Listing && !fleet.listed
	changed := first
	present := make(map[ids.VMID]bool)
	for _, entry := range event.Entries {
		id, ok, different := fleet.applyEntry(entry, !first)
		present[id] = ok
		changed = changed || different
	}
	if event.Listing {
		fleet.listed = true
		for id := range fleet.vms {
			if !present[id] {
				fleet.markMissing(id)
			}
		}
	}
	if first {
		fleet.eventLog.Event("vms_listed", "vms", len(fleet.vms), "revision", event.Revision)
	}
	fleet.mutex.Unlock()
	if changed {
		fleet.notifyChanged()
	}
}

// applyEntry applies one registration and logs a change if logged is set. The result present states whether the entry is a valid
// registration, changed whether the VMs changed. The mutex is held.
func (fleet *Fleet) applyEntry(entry config.Entry, logged bool) (id ids.VMID, present, changed bool) {
	id = ids.VMID(strings.TrimPrefix(entry.Key, Prefix))
	if entry.Value == nil {
		fleet.markMissing(id)
		return id, false, false
	}
	vm, err := decodeVM(id, entry.Value)
	if err != nil {
		fleet.eventLog.LimitedEvent("registration_faulty", "key", entry.Key, "revision", entry.Revision, "err", err)
		return id, false, false
	}
	previous, known := fleet.vms[id]
	changed = !known || previous != vm
	if changed && logged {
		fleet.eventLog.Event("vm_registered", "peer_vm", id, "peer", vm.Peer, "revision", entry.Revision)
	}
	fleet.vms[id] = vm
	delete(fleet.missingSince, id)
	return id, true, changed
}

// maxRegistrationBytes bounds the registration of a VM, which has about 100 bytes.
const maxRegistrationBytes = 4 << 10

// errFaulty reports a registration that names no VM.
var errFaulty = errors.New("faulty registration")

// decodeVM decodes the registration of the VM with the id.
func decodeVM(id ids.VMID, value []byte) (VM, error) {
	if len(value) > maxRegistrationBytes {
		return VM{}, fmt.Errorf("%d bytes, at most %d are allowed: %w", len(value), maxRegistrationBytes, errFaulty)
	}
	var vm VM
	if err := json.Unmarshal(value, &vm); err != nil {
		return VM{}, fmt.Errorf("decoding JSON: %w", err)
	}
	address, err := netip.ParseAddrPort(vm.Peer)
	switch {
	case vm.ID != id || id == "":
		return VM{}, fmt.Errorf("registration of %.60q under the id %q: %w", vm.ID, id, errFaulty)
	case err != nil || address.Port() == 0:
		return VM{}, fmt.Errorf("peer address %.60q: %w", vm.Peer, errFaulty)
	case vm.ProcessorShare < 0:
		return VM{}, fmt.Errorf("processor share %g: %w", vm.ProcessorShare, errFaulty)
	}
	return vm, nil
}

// markMissing records that a VM has no registration; this VM itself is never missing. The mutex is held.
func (fleet *Fleet) markMissing(id ids.VMID) {
	if _, known := fleet.vms[id]; !known || id == fleet.self.ID {
		return
	}
	if _, ok := fleet.missingSince[id]; !ok {
		fleet.missingSince[id] = clock.Now()
	}
}

// sweep removes VMs that have been missing for removalDelay until the context ends.
func (fleet *Fleet) sweep(ctx context.Context) {
	clock.Every(ctx, sweepInterval, func() {
		if fleet.removeMissing(clock.Now()) {
			fleet.notifyChanged()
		}
	})
}

// removeMissing removes the VMs that are missing for removalDelay at the time, and returns whether there were any.
func (fleet *Fleet) removeMissing(now time.Duration) bool {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	removed := false
	for id, since := range fleet.missingSince {
		if now-since >= removalDelay {
			fleet.eventLog.Event("vm_gone", "peer_vm", id, "absent", now-since)
			delete(fleet.vms, id)
			delete(fleet.missingSince, id)
			removed = true
		}
	}
	return removed
}

// VMs returns the VMs in the order of their ids, this one included.
func (fleet *Fleet) VMs() []VM {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	return slices.SortedFunc(maps.Values(fleet.vms), func(one, other VM) int { return strings.Compare(string(one.ID), string(other.ID)) })
}

// Listed states whether the registrations have been read once.
func (fleet *Fleet) Listed() bool {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	return fleet.listed
}

// notifyChanged has publish run. It never blocks.
func (fleet *Fleet) notifyChanged() {
	select {
	case fleet.changed <- struct{}{}:
	default:
	}
}

// publishPausePerVM is the pause after a publication, per VM in the fleet. Each publication divides rates and connections again,
// so the pause batches the registrations of many VMs that start together. In a small fleet, where each VM has a large share, it
// is short, and a new VM becomes known at once.
const publishPausePerVM = time.Millisecond

// publish calls the functions registered with OnChange after changes until the context ends.
func (fleet *Fleet) publish(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-fleet.changed:
		}
		vms := fleet.VMs()
		for _, callback := range fleet.onChange {
			callback(vms)
		}
		clock.Sleep(ctx, publishPausePerVM*time.Duration(len(vms)))
	}
}
