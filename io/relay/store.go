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
	// askInterval is the time between two questions; a configuration is to be in force within 3 s.
	askInterval = 400 * time.Millisecond
	// collectInterval is the time between two questions of a VM that others ask.
	collectInterval = 200 * time.Millisecond
	// askedMemory is the time after a question in which a VM watches the service for others.
	askedMemory = 3 * time.Second
)

// Topic is a prefix whose records the VMs pass on to each other.
type Topic struct {
	// Prefix is the prefix of the keys.
	Prefix string
	// Same tells changes from heartbeats; nil counts every write as a change.
	Same relay.Same
	// FromStart states that the records are watched before any other VM is known; others are listed then, and watched once the
	// relays are known.
	FromStart bool
	// StaleAfter is the age of the last confirmation from which on a VM reads the service itself. It is longer than a relay's
	// watch waits, since that confirms the records, and leaves time for a question that is lost.
	StaleAfter time.Duration
}

// Store is the key-value service with lists and watches that go through relays. All other calls go to the service.
type Store struct {
	fleet.Store
	mesh      *mesh.Mesh
	role      func() relay.Role
	decisions *observe.Decisions
	topics    map[string]*topic
	family    family

	mutex sync.Mutex
	// turn chooses the relay that is asked next.
	turn int
}

// topic is what this VM knows of one prefix.
type topic struct {
	Topic

	mutex   sync.Mutex
	journal *relay.Journal
	packs   packs
	// reported is the revision up to which the watch has reported every change.
	reported ids.Revision
	// asked is the time of the last question of another VM, answered that of the last answer of a relay.
	asked, answered time.Duration
	// turnedAway states that the service did not answer when it was last asked.
	turnedAway bool
	// largeAt is the time from which on a large record may be told again.
	largeAt time.Duration
	// retryAt is the time up to which the service is not watched again after an error.
	retryAt time.Duration
	// answers hands the answers of relays to the watch.
	answers chan answered
}

// Option changes a setting of the store.
type Option func(*Store)

// WithFamily has the records under a common prefix listed together by those who want parts of them at the start.
func WithFamily(prefix string) Option {
	return func(store *Store) { store.family.prefix = prefix }
}

// New returns a store that passes on the topics. The role is that of this VM at the time of the call.
func New(service fleet.Store, network *mesh.Mesh, role func() relay.Role, topics []Topic, decisions *observe.Decisions, options ...Option) *Store {
	store := &Store{
		Store: service, mesh: network, role: role, decisions: decisions, topics: make(map[string]*topic), family: family{service: service},
	}
	for _, option := range options {
		option(store)
	}
	for _, passed := range topics {
		store.topics[passed.Prefix] = &topic{Topic: passed, journal: relay.NewJournal(passed.Same), packs: make(packs), answers: make(chan answered, 1)}
	}
	mesh.Handle(network, kindAsk, store.answer)
	mesh.Handle(network, kindTell, store.receive)
	return store
}

// List implements platform.Store.List.
func (store *Store) List(ctx context.Context, prefix string) ([]config.Entry, ids.Revision, error) {
	entries, revision, asked, err := store.list(ctx, prefix)
	if err != nil {
		return nil, 0, fmt.Errorf("from the service: %w", err)
	}
	if topic, ok := store.topics[prefix]; ok {
		topic.mutex.Lock()
		defer topic.mutex.Unlock()
		topic.journal.List(entries, revision, asked)
	}
	return entries, revision, nil
}

// list returns the records under the prefix, and the time at which they were asked for.
func (store *Store) list(ctx context.Context, prefix string) ([]config.Entry, ids.Revision, time.Duration, error) {
	if store.family.holds(prefix) {
		return store.family.list(ctx, prefix)
	}
	asked := clock.Now()
	entries, revision, err := store.Store.List(ctx, prefix)
	return entries, revision, asked, err
}

// Shared returns a record that all VMs share and that does not change, which is listed with the others of the family.
func (store *Store) Shared(ctx context.Context, key string) (config.Entry, bool, error) {
	if store.family.holds(key) {
		return store.family.get(ctx, key)
	}
	entry, found, err := store.Get(ctx, key)
	if err != nil {
		return config.Entry{}, false, fmt.Errorf("from the service: %w", err)
	}
	return entry, found, nil
}

// Watch implements platform.Store.Watch.
func (store *Store) Watch(ctx context.Context, prefix string, from ids.Revision) (<-chan platform.WatchEvent, error) {
	topic, ok := store.topics[prefix]
	if !ok || from == 0 {
		events, err := store.Store.Watch(ctx, prefix, from)
		if err != nil {
			return nil, fmt.Errorf("from the service: %w", err)
		}
		return events, nil
	}
	watch := &watch{store: store, topic: topic, after: from - 1, events: make(chan platform.WatchEvent)}
	go watch.run(ctx)
	return watch.events, nil
}

// apply notes an event of the service. One without a time confirms nothing.
func (topic *topic) apply(event platform.WatchEvent) {
	var confirmed time.Duration
	if !event.Asked.IsZero() {
		confirmed = clock.Now() - time.Since(event.Asked)
	}
	topic.mutex.Lock()
	defer topic.mutex.Unlock()
	topic.journal.Apply(event.Entries, event.Revision, confirmed)
}

// report notes up to which revision the watch has reported every change.
func (topic *topic) report(revision ids.Revision) {
	topic.mutex.Lock()
	defer topic.mutex.Unlock()
	topic.reported = revision
}

// age returns the time since the records were those of the service.
func (topic *topic) age() time.Duration {
	topic.mutex.Lock()
	defer topic.mutex.Unlock()
	return clock.Now() - topic.journal.Confirmed()
}

// stale states whether the records were not confirmed for too long.
func (topic *topic) stale() bool { return topic.age() > topic.StaleAfter }

// failed notes that the service could not be watched by this VM, which may be a relay.
func (topic *topic) failed(isRelay bool) {
	topic.mutex.Lock()
	defer topic.mutex.Unlock()
	now := clock.Now()
	topic.turnedAway = true
	topic.retryAt = now + retryPause
	if !isRelay && topic.answered > 0 && now-topic.answered < answerMemory {
		topic.retryAt = now + relayedPause
	}
}

// reached notes that the service answers this VM.
func (topic *topic) reached() {
	topic.mutex.Lock()
	defer topic.mutex.Unlock()
	topic.turnedAway = false
}

// mayTry states whether the service may be watched again.
func (topic *topic) mayTry() bool {
	topic.mutex.Lock()
	defer topic.mutex.Unlock()
	return clock.Now() >= topic.retryAt
}

// servesOthers states whether another VM asked lately.
func (topic *topic) servesOthers() bool {
	topic.mutex.Lock()
	defer topic.mutex.Unlock()
	return topic.asked > 0 && clock.Now()-topic.asked < askedMemory
}
