package directory

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"dotterelgw/core/catalog"
	"dotterelgw/core/config"
	"dotterelgw/core/evacuation"
	"dotterelgw/core/ids"
	"dotterelgw/io/clock"
	"dotterelgw/io/observe"
	"dotterelgw/io/platform"
)

// removalDelay is how long a registration must be missing before its server is removed. Registrations that expired during an
// outage of the service are renewed within 2 s of its end.
const removalDelay = 2500 * time.Millisecond

// Format holds the keys of the records and the functions that decode them.
type Format struct {
	// CatalogKey is the key of the configuration.
	CatalogKey string
	// ServerPrefix is the key prefix of the registrations of backend servers.
	ServerPrefix string
	// DecodeCatalog decodes the configuration. Along with an error it may return a catalog without the invalid parts.
	DecodeCatalog func(value []byte) (*catalog.Catalog, error)
	// DecodeServer decodes one registration.
	DecodeServer func(key string, value []byte) (catalog.Server, error)
	// EvacuationPrefix is the key prefix of the operator's requests to evacuate availability zones; empty if they are not watched.
	EvacuationPrefix string
	// DecodeEvacuation returns the availability zone that the key of a request names.
	DecodeEvacuation func(key string) (ids.AvailabilityZone, error)
	// EvacuateWithin is the time limit of an evacuation.
	EvacuateWithin time.Duration
}

// SameServer states whether two values of a registration describe the same server in the same state. Each heartbeat writes a new
// value, which is no change by itself. Two values that name no server are the same, so that an entry of another writer that changes all
// the time is not passed on each time.
func (format Format) SameServer(key string, one, other []byte) bool {
	first, firstErr := format.DecodeServer(key, one)
	second, secondErr := format.DecodeServer(key, other)
	return first == second && (firstErr == nil) == (secondErr == nil)
}

// Directory holds the configuration in force and the registered servers.
type Directory struct {
	store    platform.Store
	format   Format
	eventLog *observe.EventLog
	current  atomic.Pointer[catalog.Catalog]
	// confirmed is the time at which the configuration was last known to be the newest, in nanoseconds of clock.Now.
	confirmed atomic.Int64

	// publishing serialises calls of publish, so that an older set of servers never follows a newer one.
	publishing sync.Mutex

	mutex   sync.Mutex
	servers map[ids.BackendServerID]catalog.Server
	// missingSince holds the known servers without a valid registration, and when that was seen.
	missingSince map[ids.BackendServerID]time.Duration
	// faulty holds the ids of the registrations that name no server.
	faulty map[ids.BackendServerID]bool
	// listed states whether the registrations have been read once.
	listed bool
	// serversRevision is the revision of the registrations.
	serversRevision ids.Revision
	// reachable states by prefix whether the last event of the service was no error.
	reachable map[string]bool
	onCatalog []func(*catalog.Catalog)
	onServers []func([]catalog.Server)

	// evacuations holds the operator's requests to evacuate availability zones.
	evacuations   *evacuation.Tracker
	onEvacuations []func(evacuation.Zones)
}

// New returns an empty directory; Run fills it.
func New(store platform.Store, format Format, eventLog *observe.EventLog) *Directory {
	return &Directory{
		store: store, format: format, eventLog: eventLog, servers: make(map[ids.BackendServerID]catalog.Server),
		missingSince: make(map[ids.BackendServerID]time.Duration), reachable: make(map[string]bool), faulty: make(map[ids.BackendServerID]bool),
		evacuations: evacuation.NewTracker(format.EvacuateWithin),
	}
}

// Catalog returns the configuration in force, or nil before the first one.
func (directory *Directory) Catalog() *catalog.Catalog { return directory.current.Load() }

// CatalogAge returns the time since the configuration was last known to be the newest.
func (directory *Directory) CatalogAge() time.Duration {
	return clock.Now() - time.Duration(directory.confirmed.Load())
}

// Loaded states whether the configuration, the registrations and the evacuations have been read.
func (directory *Directory) Loaded() bool {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	evacuationsKnown := !directory.watchesEvacuations() || directory.evacuations.Listed()
	return directory.listed && evacuationsKnown && directory.current.Load() != nil
}

// OnCatalog registers a function that is called with each new configuration. OnCatalog must be called before Run.
func (directory *Directory) OnCatalog(callback func(*catalog.Catalog)) {
	directory.onCatalog = append(directory.onCatalog, callback)
}

// OnServers registers a function that is called with all servers after each change. OnServers must be called before Run.
func (directory *Directory) OnServers(callback func([]catalog.Server)) {
	directory.onServers = append(directory.onServers, callback)
}

// Run watches the records until the context ends.
func (directory *Directory) Run(ctx context.Context) {
	var group sync.WaitGroup
	group.Go(func() { directory.follow(ctx, directory.format.CatalogKey, directory.applyCatalog) })
	group.Go(func() { directory.follow(ctx, directory.format.ServerPrefix, directory.applyServers) })
	if directory.watchesEvacuations() {
		group.Go(func() { directory.follow(ctx, directory.format.EvacuationPrefix, directory.applyEvacuations) })
	}
	group.Go(func() { directory.sweep(ctx) })
	group.Wait()
}

// follow applies the changes under the prefix until the context ends.
func (directory *Directory) follow(ctx context.Context, prefix string, apply func(platform.WatchEvent)) {
	for event := range platform.Follow(ctx, directory.store, prefix, 0) {
		directory.recordReachability(prefix, event.Err)
		if event.Err == nil {
			apply(event)
		}
	}
}

// recordReachability records whether the service answers for the prefix, and logs changes.
func (directory *Directory) recordReachability(prefix string, err error) {
	directory.mutex.Lock()
	previous, known := directory.reachable[prefix]
	directory.reachable[prefix] = err == nil
	directory.mutex.Unlock()
	switch {
	case err != nil && (previous || !known):
		directory.eventLog.Event("dependency_lost", "dependency", "store", "prefix", prefix, "err", err)
	case err == nil && !previous:
		directory.eventLog.Event("dependency_regained", "dependency", "store", "prefix", prefix)
	}
}

// applyCatalog applies the newest configuration. Older versions than the one in force are ignored, so that no change is reverted.
func (directory *Directory) applyCatalog(event platform.WatchEvent) {
	for _, entry := range event.Entries {
		if entry.Key == directory.format.CatalogKey && entry.Value != nil {
			directory.setCatalog(entry)
		}
	}
	if !event.RequestedAt.IsZero() {
		directory.confirm(clock.Now() - time.Since(event.RequestedAt))
	}
}

// confirm records a time at which the configuration was the newest. Responses of several relays arrive in any order, so only a
// later time counts.
func (directory *Directory) confirm(at time.Duration) {
	if int64(at) > directory.confirmed.Load() {
		directory.confirmed.Store(int64(at))
	}
}

// setCatalog decodes a configuration, puts it in force if it is newer, and calls the functions registered with OnCatalog.
func (directory *Directory) setCatalog(entry config.Entry) {
	next, err := directory.format.DecodeCatalog(entry.Value)
	if err != nil {
		directory.eventLog.Event("configuration_faulty", "revision", entry.Revision, "err", err)
	}
	previous := directory.current.Load()
	if next == nil || previous != nil && next.Version <= previous.Version {
		return
	}
	directory.current.Store(next)
	directory.eventLog.Event("configuration_applied", "version", next.Version, "revision", entry.Revision,
		"routes", len(next.Routes), "organisations", len(next.Organisations), "keys", len(next.Keys))
	for _, callback := range directory.onCatalog {
		callback(next)
	}
}

// applyServers applies the changes of the registrations. A registration that cannot be decoded counts as missing. Of a watch and
// Refresh, one may be overtaken by the other, so an event that is older than the registrations is ignored.
func (directory *Directory) applyServers(event platform.WatchEvent) {
	directory.mutex.Lock()
	if event.Revision < directory.serversRevision {
		directory.mutex.Unlock()
		return
	}
	directory.serversRevision = event.Revision
	changed := event.Listing && !directory.listed
	present := make(map[ids.BackendServerID]bool)
	for _, entry := range event.Entries {
		id, ok := directory.applyServer(entry)
		changed = changed || ok
		present[id] = true
	}
	if event.Listing {
		directory.listed = true
		for id := range directory.servers {
			if !present[id] {
				directory.markMissing(id)
			}
		}
		maps.DeleteFunc(directory.faulty, func(id ids.BackendServerID, _ bool) bool { return !present[id] })
	}
	directory.mutex.Unlock()
	if changed {
		directory.publish()
	}
}

// applyServer applies one registration and returns whether a server was added or changed. The mutex is held.
func (directory *Directory) applyServer(entry config.Entry) (ids.BackendServerID, bool) {
	id := ids.BackendServerID(entry.Key[min(len(directory.format.ServerPrefix), len(entry.Key)):])
	if entry.Value == nil {
		delete(directory.faulty, id)
		directory.markMissing(id)
		return id, false
	}
	server, err := directory.format.DecodeServer(entry.Key, entry.Value)
	if err != nil {
		directory.markFaulty(id, entry.Revision, err)
		directory.markMissing(id)
		return id, false
	}
	server.Renewed = entry.Leased
	delete(directory.faulty, id)
	delete(directory.missingSince, id)
	previous, known := directory.servers[id]
	// A process that leaves never stays. Its registration may say so again in a store restored from a copy of before.
	server.Leaving = server.Leaving || known && previous.Leaving && previous.SameProcess(server)
	if known && previous == server {
		return id, false
	}
	directory.servers[id] = server
	if !known || previous.Leaving != server.Leaving || previous.Role != server.Role || !previous.SameProcess(server) {
		directory.eventLog.Event("server_registered", "server", id, "group", server.Group, "address", server.Address,
			"role", server.Role, "leaving", server.Leaving, "born", server.StartedMS, "revision", entry.Revision)
	}
	return id, true
}

// markFaulty records that a registration names no server, and logs that once until the registration is removed or replaced by a valid
// one. The mutex is held.
func (directory *Directory) markFaulty(id ids.BackendServerID, revision ids.Revision, err error) {
	if !directory.faulty[id] {
		directory.eventLog.LimitedEvent("registration_faulty", "server", id, "revision", revision, "err", err)
	}
	directory.faulty[id] = true
}

// Faulty returns the number of registrations that name no server.
func (directory *Directory) Faulty() int {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	return len(directory.faulty)
}

// markMissing records that a server has no valid registration. The mutex is held.
func (directory *Directory) markMissing(id ids.BackendServerID) {
	if _, known := directory.servers[id]; !known {
		return
	}
	if _, ok := directory.missingSince[id]; !ok {
		directory.missingSince[id] = clock.Now()
	}
}

// Refresh lists the registrations of backend servers at once; a watch reports changes with a delay, since it batches them.
func (directory *Directory) Refresh(ctx context.Context) error {
	entries, revision, err := directory.store.List(ctx, directory.format.ServerPrefix)
	if err != nil {
		return fmt.Errorf("listing the backend servers: %w", err)
	}
	directory.applyServers(platform.WatchEvent{Entries: entries, Listing: true, Revision: revision})
	return nil
}

// sweepInterval is the time between two removals of servers without a registration.
const sweepInterval = 250 * time.Millisecond

// sweep removes servers whose registration has been missing for removalDelay while the service answered.
func (directory *Directory) sweep(ctx context.Context) {
	clock.Every(ctx, sweepInterval, func() {
		if directory.removeMissing(clock.Now()) {
			directory.publish()
		}
	})
}

// removeMissing removes the servers that are missing for removalDelay at the time, and returns whether there were any.
func (directory *Directory) removeMissing(now time.Duration) bool {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	removed := false
	for id, since := range directory.missingSince {
		if !directory.reachable[directory.format.ServerPrefix] {
			// Without the service, renewals do not show either; the delay starts again once the service answers.
			directory.missingSince[id] = now
			continue
		}
		if now-since < removalDelay {
			continue
		}
		delete(directory.missingSince, id)
		delete(directory.servers, id)
		directory.eventLog.Event("server_gone", "server", id, "missing", now-since)
		removed = true
	}
	return removed
}

// publish calls the functions registered with OnServers with all servers, ordered by id.
func (directory *Directory) publish() {
	directory.publishing.Lock()
	defer directory.publishing.Unlock()
	directory.mutex.Lock()
	servers := slices.SortedFunc(maps.Values(directory.servers), func(one, other catalog.Server) int {
		if one.ID < other.ID {
			return -1
		}
		return 1
	})
	directory.mutex.Unlock()
	for _, callback := range directory.onServers {
		callback(servers)
	}
}
