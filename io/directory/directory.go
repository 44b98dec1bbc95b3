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
	"dotterelgw/core/ids"
	"dotterelgw/io/clock"
	"dotterelgw/io/observe"
	"dotterelgw/io/platform"
)

// goneDelay is how long a registration must be missing before its server counts as gone. Registrations that lapsed while
// the service was away are back within 2 s of its return.
const goneDelay = 2500 * time.Millisecond

// Format tells where the records are and how to decode them.
type Format struct {
	// CatalogKey is the key of the configuration.
	CatalogKey string
	// ServerPrefix is the prefix of the registrations of backend servers.
	ServerPrefix string
	// DecodeCatalog decodes the configuration. With an error it may return a catalog that holds all but what is faulty.
	DecodeCatalog func(value []byte) (*catalog.Catalog, error)
	// DecodeServer decodes one registration.
	DecodeServer func(key string, value []byte) (catalog.Server, error)
}

// SameServer states whether two registrations under a key tell the same; each heartbeat writes a new one.
func (format Format) SameServer(key string, one, other []byte) bool {
	first, err := format.DecodeServer(key, one)
	if err != nil {
		return false
	}
	second, err := format.DecodeServer(key, other)
	return err == nil && first == second
}

// Directory holds the configuration in force and the registered servers.
type Directory struct {
	store     platform.Store
	format    Format
	decisions *observe.Decisions
	current   atomic.Pointer[catalog.Catalog]
	// confirmed is the boot time in nanoseconds at which the configuration was last known to be the newest.
	confirmed atomic.Int64

	// publishing keeps the order in which servers are handed on.
	publishing sync.Mutex

	mutex   sync.Mutex
	servers map[ids.BackendServerID]catalog.Server
	// missing holds since when a known server has no registration.
	missing   map[ids.BackendServerID]time.Duration
	listed    bool
	reachable map[string]bool
	onCatalog []func(*catalog.Catalog)
	onServers []func([]catalog.Server)
}

// New returns a directory that knows nothing until Run.
func New(store platform.Store, format Format, decisions *observe.Decisions) *Directory {
	return &Directory{
		store: store, format: format, decisions: decisions, servers: make(map[ids.BackendServerID]catalog.Server),
		missing: make(map[ids.BackendServerID]time.Duration), reachable: make(map[string]bool),
	}
}

// Catalog returns the configuration in force, nil before the first one.
func (directory *Directory) Catalog() *catalog.Catalog { return directory.current.Load() }

// CatalogAge returns the time since the configuration was known to be the newest.
func (directory *Directory) CatalogAge() time.Duration {
	return clock.Now() - time.Duration(directory.confirmed.Load())
}

// Complete states whether configuration and registrations were read.
func (directory *Directory) Complete() bool {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	return directory.listed && directory.current.Load() != nil
}

// OnCatalog registers a function that is called with each new configuration.
func (directory *Directory) OnCatalog(call func(*catalog.Catalog)) {
	directory.onCatalog = append(directory.onCatalog, call)
}

// OnServers registers a function that is called with all servers after each change.
func (directory *Directory) OnServers(call func([]catalog.Server)) {
	directory.onServers = append(directory.onServers, call)
}

// Run follows the records until the context ends.
func (directory *Directory) Run(ctx context.Context) {
	var group sync.WaitGroup
	group.Go(func() { directory.follow(ctx, directory.format.CatalogKey, directory.applyCatalog) })
	group.Go(func() { directory.follow(ctx, directory.format.ServerPrefix, directory.applyServers) })
	group.Go(func() { directory.sweep(ctx) })
	group.Wait()
}

func (directory *Directory) follow(ctx context.Context, prefix string, apply func(platform.WatchEvent)) {
	for event := range platform.Follow(ctx, directory.store, prefix, 0) {
		directory.note(prefix, event.Err)
		if event.Err == nil {
			apply(event)
		}
	}
}

// note logs when the service stops or starts answering for the prefix.
func (directory *Directory) note(prefix string, err error) {
	directory.mutex.Lock()
	was, known := directory.reachable[prefix]
	directory.reachable[prefix] = err == nil
	directory.mutex.Unlock()
	switch {
	case err != nil && (was || !known):
		directory.decisions.Event("dependency_lost", "dependency", "store", "prefix", prefix, "err", err)
	case err == nil && !was:
		directory.decisions.Event("dependency_regained", "dependency", "store", "prefix", prefix)
	}
}

// applyCatalog takes the newest configuration; older versions than the one held are ignored, so that nothing reverts.
func (directory *Directory) applyCatalog(event platform.WatchEvent) {
	for _, entry := range event.Entries {
		if entry.Key == directory.format.CatalogKey && entry.Value != nil {
			directory.setCatalog(entry)
		}
	}
	if !event.Asked.IsZero() {
		directory.confirm(clock.Now() - time.Since(event.Asked))
	}
}

// confirm notes a time at which the configuration was the newest; answers of several relays come in any order.
func (directory *Directory) confirm(at time.Duration) {
	if int64(at) > directory.confirmed.Load() {
		directory.confirmed.Store(int64(at))
	}
}

func (directory *Directory) setCatalog(entry config.Entry) {
	next, err := directory.format.DecodeCatalog(entry.Value)
	if err != nil {
		directory.decisions.Event("configuration_faulty", "revision", entry.Revision, "err", err)
	}
	held := directory.current.Load()
	if next == nil || held != nil && next.Version <= held.Version {
		return
	}
	directory.current.Store(next)
	directory.decisions.Event("configuration_applied", "version", next.Version, "revision", entry.Revision,
		"routes", len(next.Routes), "organisations", len(next.Organisations), "keys", len(next.Keys))
	for _, call := range directory.onCatalog {
		call(next)
	}
}

// applyServers follows the registrations. One that cannot be decoded names no server to use.
func (directory *Directory) applyServers(event platform.WatchEvent) {
	directory.mutex.Lock()
	changed := event.Complete && !directory.listed
	present := make(map[ids.BackendServerID]bool)
	for _, entry := range event.Entries {
		id, ok := directory.applyServer(entry)
		changed = changed || ok
		present[id] = true
	}
	if event.Complete {
		directory.listed = true
		for id := range directory.servers {
			if !present[id] {
				directory.miss(id)
			}
		}
	}
	directory.mutex.Unlock()
	if changed {
		directory.publish()
	}
}

// applyServer applies one registration; it returns whether the set of servers changed. The mutex is held.
func (directory *Directory) applyServer(entry config.Entry) (ids.BackendServerID, bool) {
	id := ids.BackendServerID(entry.Key[min(len(directory.format.ServerPrefix), len(entry.Key)):])
	if entry.Value == nil {
		directory.miss(id)
		return id, false
	}
	server, err := directory.format.DecodeServer(entry.Key, entry.Value)
	if err != nil {
		directory.decisions.Request("registration_faulty", "server", id, "revision", entry.Revision, "err", err)
		directory.miss(id)
		return id, false
	}
	delete(directory.missing, id)
	held, known := directory.servers[id]
	if known && held == server {
		return id, false
	}
	directory.servers[id] = server
	if !known || held.Leaving != server.Leaving || held.Role != server.Role || !held.Same(server) {
		directory.decisions.Event("server_registered", "server", id, "group", server.Group, "address", server.Address,
			"role", server.Role, "leaving", server.Leaving, "born", server.Born, "revision", entry.Revision)
	}
	return id, true
}

// miss notes that a server has no registration. The mutex is held.
func (directory *Directory) miss(id ids.BackendServerID) {
	if _, known := directory.servers[id]; !known {
		return
	}
	if _, ok := directory.missing[id]; !ok {
		directory.missing[id] = clock.Now()
	}
}

// Refresh reads the registrations of backend servers now, since watches gather changes for a while.
func (directory *Directory) Refresh(ctx context.Context) error {
	entries, revision, err := directory.store.List(ctx, directory.format.ServerPrefix)
	if err != nil {
		return fmt.Errorf("listing the backend servers: %w", err)
	}
	directory.applyServers(platform.WatchEvent{Entries: entries, Complete: true, Revision: revision})
	return nil
}

// sweepInterval is the time between two looks at missing registrations.
const sweepInterval = 250 * time.Millisecond

// sweep drops servers whose registration has been missing for goneDelay while the service answered.
func (directory *Directory) sweep(ctx context.Context) {
	clock.Every(ctx, sweepInterval, func() {
		if directory.drop(clock.Now()) {
			directory.publish()
		}
	})
}

func (directory *Directory) drop(now time.Duration) bool {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	dropped := false
	for id, since := range directory.missing {
		if !directory.reachable[directory.format.ServerPrefix] {
			// Nothing is known of registrations that lapse now; the delay begins anew when the service answers.
			directory.missing[id] = now
			continue
		}
		if now-since < goneDelay {
			continue
		}
		delete(directory.missing, id)
		delete(directory.servers, id)
		directory.decisions.Event("server_gone", "server", id, "missing", now-since)
		dropped = true
	}
	return dropped
}

// publish hands the servers on, in the order of their ids.
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
	for _, call := range directory.onServers {
		call(servers)
	}
}
