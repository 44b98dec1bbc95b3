package relay

import (
	"context"
	"fmt"
	"sync"
	"time"

	"dotterelgw/core/config"
	"dotterelgw/core/ids"
	"dotterelgw/core/relay"
	"dotterelgw/io/clock"
	"dotterelgw/io/fleet"
	"dotterelgw/io/mesh"
	"dotterelgw/io/observe"
	"dotterelgw/io/platform"
)

const (
	// pollInterval is the time between two polls of other VMs; a new configuration must be in force within 3 s.
	pollInterval = 400 * time.Millisecond
	// collectorPollInterval is the time between two polls by a collector, which other VMs poll in turn.
	collectorPollInterval = 200 * time.Millisecond
	// servingTimeout is how long a VM watches the service for others after their last request.
	servingTimeout = 3 * time.Second
)

// Topic configures a prefix whose records the VMs relay to each other.
type Topic struct {
	// Prefix is the prefix of the keys.
	Prefix string
	// Equivalent distinguishes heartbeats, which leave the meaning of a value unchanged, from changes; nil treats every write
	// as a change.
	Equivalent relay.Equivalent
	// WatchServiceAtStart has the service watched before any other VM is known. Topics without it are only listed until the
	// relays are known.
	WatchServiceAtStart bool
	// StaleAfter is the age of the last confirmation beyond which a VM reads the service itself. It exceeds the time that the watch
	// of a relay waits for its next confirmation, and leaves time for a lost request.
	StaleAfter time.Duration
}

// Store is a client of the key-value service that watches through relays and combines listings. All other calls go to the
// service.
type Store struct {
	fleet.Store
	mesh     *mesh.Mesh
	role     func() relay.Role
	eventLog *observe.EventLog
	topics   map[string]*topic
	listing  listing

	mutex sync.Mutex
	// nextSource selects the source to poll next, modulo the number of sources.
	nextSource int
}

// topic holds the state of one prefix on this VM.
type topic struct {
	Topic

	mutex     sync.Mutex
	changeLog *relay.ChangeLog
	// compressed caches the compressed records.
	compressed compressionCache
	// reported is the revision up to which the watch has reported every change.
	reported ids.Revision
	// transfer collects the records of a later era; nil if none is known.
	transfer *transfer
	// requestedAt is the time of the last request that asked this VM to watch the service.
	// respondedAt is the time of the last response that this VM received. Both are 0 before the first one.
	requestedAt, respondedAt time.Duration
	// serviceUnreachable states that the last watch of the service failed.
	serviceUnreachable bool
	// nextLargeAt is the time from which on the next large record may be sent.
	nextLargeAt time.Duration
	// retryAt is the time before which the service is not watched again after an error.
	retryAt time.Duration
	// updates passes the newest update to the watch.
	updates chan topicUpdate
}

// Option changes a setting of the store.
type Option func(*Store)

// WithSharedListing serves listings of all prefixes under a common one from one shared call, as they come together at the start. Such a
// listing may be older than the call; the excluded prefixes are listed by calls of their own.
func WithSharedListing(prefix string, excluded ...string) Option {
	return func(store *Store) { store.listing.prefix, store.listing.excluded = prefix, excluded }
}

// New returns a store that relays the topics. The function role returns the current role of this VM.
func New(service fleet.Store, network *mesh.Mesh, role func() relay.Role, topics []Topic, eventLog *observe.EventLog, options ...Option) *Store {
	store := &Store{
		Store: service, mesh: network, role: role, eventLog: eventLog, topics: make(map[string]*topic), listing: listing{service: service},
	}
	for _, option := range options {
		option(store)
	}
	for _, configured := range topics {
		store.topics[configured.Prefix] = &topic{Topic: configured, changeLog: relay.NewChangeLog(configured.Equivalent), compressed: make(compressionCache), updates: make(chan topicUpdate, 1)}
	}
	mesh.Handle(network, kindRequest, store.handleRequest)
	mesh.Handle(network, kindResponse, store.handleResponse)
	return store
}

// List implements platform.Store.List.
func (store *Store) List(ctx context.Context, prefix string) ([]config.Entry, ids.Revision, error) {
	entries, revision, requested, err := store.list(ctx, prefix)
	if err != nil {
		return nil, 0, fmt.Errorf("listing %q from the service: %w", prefix, err)
	}
	if era := store.Era(); revision.Era() < era {
		return nil, 0, fmt.Errorf("listing %q of era %d, the service is in era %d: %w", prefix, revision.Era(), era, platform.ErrRestored)
	}
	if topic, ok := store.topics[prefix]; ok {
		topic.mutex.Lock()
		defer topic.mutex.Unlock()
		topic.changeLog.List(entries, revision, requested)
	}
	return entries, revision, nil
}

// list returns the records under the prefix, and the time at which they were requested.
func (store *Store) list(ctx context.Context, prefix string) ([]config.Entry, ids.Revision, time.Duration, error) {
	if store.listing.covers(prefix) {
		return store.listing.list(ctx, prefix)
	}
	requested := clock.Now()
	entries, revision, err := store.Store.List(ctx, prefix)
	return entries, revision, requested, err
}

// GetShared returns a record that all VMs share and that does not change. It comes from the shared listing if that covers the key.
func (store *Store) GetShared(ctx context.Context, key string) (config.Entry, bool, error) {
	if store.listing.covers(key) {
		return store.listing.get(ctx, key)
	}
	entry, found, err := store.Get(ctx, key)
	if err != nil {
		return config.Entry{}, false, fmt.Errorf("reading %q from the service: %w", key, err)
	}
	return entry, found, nil
}

// Era returns the latest era of the records, which come from the service or from other VMs.
func (store *Store) Era() ids.Era {
	var latest ids.Era
	for _, topic := range store.topics {
		topic.mutex.Lock()
		latest = max(latest, topic.changeLog.Revision().Era())
		topic.mutex.Unlock()
	}
	return latest
}

// Watch implements platform.Store.Watch.
func (store *Store) Watch(ctx context.Context, prefix string, from ids.Revision) (<-chan platform.WatchEvent, error) {
	topic, ok := store.topics[prefix]
	if !ok || from == 0 {
		events, err := store.Store.Watch(ctx, prefix, from)
		if err != nil {
			return nil, fmt.Errorf("watching %q at the service: %w", prefix, err)
		}
		return events, nil
	}
	watch := &watch{store: store, topic: topic, reported: from - 1, events: make(chan platform.WatchEvent)}
	go watch.run(ctx)
	return watch.events, nil
}

// apply records an event in the change log. An event without a time confirms nothing.
func (topic *topic) apply(event platform.WatchEvent, eventLog *observe.EventLog) {
	var confirmed time.Duration
	if !event.RequestedAt.IsZero() {
		confirmed = clock.Now() - time.Since(event.RequestedAt)
	}
	topic.mutex.Lock()
	defer topic.mutex.Unlock()
	if event.Listing {
		topic.changeLog.List(event.Entries, event.Revision, confirmed)
		return
	}
	known := topic.changeLog.Revision()
	if ignored := topic.changeLog.Apply(event.Entries, event.Revision, confirmed); ignored > 0 {
		eventLog.LimitedEvent("changes_ignored", "prefix", topic.Prefix, "changes", ignored, "revision", event.Revision, "known", known)
	}
}

// report sets the revision up to which the watch has reported every change. A transfer of its era is over: the records came from the
// service.
func (topic *topic) report(revision ids.Revision) {
	topic.mutex.Lock()
	defer topic.mutex.Unlock()
	topic.reported = revision
	if topic.transfer != nil && topic.transfer.upTo.Era() <= revision.Era() {
		topic.transfer = nil
	}
}

// age returns the time since the records were last confirmed to match the service.
func (topic *topic) age() time.Duration {
	topic.mutex.Lock()
	defer topic.mutex.Unlock()
	return clock.Now() - topic.changeLog.ConfirmedAt()
}

// stale states whether the last confirmation is older than StaleAfter.
func (topic *topic) stale() bool { return topic.age() > topic.StaleAfter }

// markUnreachable records a failed watch of the service and schedules the next attempt. A VM that is not a relay waits longer
// while relays respond.
func (topic *topic) markUnreachable(isRelay bool) {
	topic.mutex.Lock()
	defer topic.mutex.Unlock()
	now := clock.Now()
	topic.serviceUnreachable = true
	topic.retryAt = now + retryPause
	if !isRelay && topic.respondedAt > 0 && now-topic.respondedAt < relayTimeout {
		topic.retryAt = now + relayedRetryPause
	}
}

// markReachable records that the service answers this VM.
func (topic *topic) markReachable() {
	topic.mutex.Lock()
	defer topic.mutex.Unlock()
	topic.serviceUnreachable = false
}

// mayRetry states whether the pause after a failed watch of the service is over.
func (topic *topic) mayRetry() bool {
	topic.mutex.Lock()
	defer topic.mutex.Unlock()
	return clock.Now() >= topic.retryAt
}

// servesOthers states whether another VM asked this one to watch the service within servingTimeout.
func (topic *topic) servesOthers() bool {
	topic.mutex.Lock()
	defer topic.mutex.Unlock()
	return topic.requestedAt > 0 && clock.Now()-topic.requestedAt < servingTimeout
}
