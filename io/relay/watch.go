package relay

import (
	"context"
	"errors"
	"fmt"
	"time"

	"dotterelgw/core/ids"
	"dotterelgw/io/clock"
	"dotterelgw/io/platform"
)

const (
	// sourceCheckInterval is the time between two checks of which source the records should come from.
	sourceCheckInterval = 150 * time.Millisecond
	// retryPause is the pause after a failed watch of the service while no relay responds.
	retryPause = time.Second
	// relayedRetryPause is the pause after a failed watch of the service while relays respond. They retry the service themselves,
	// and their responses show when it is back.
	relayedRetryPause = 3 * time.Second
	// discoveryDelay is how long a VM waits after its start to learn of other VMs, whose relays it then uses.
	discoveryDelay = 150 * time.Millisecond
	// relayTimeout is how long after a response the relays count as alive: two polls and some delay.
	relayTimeout = 3 * pollInterval
)

// source tells where the records of a topic come from.
type source string

const (
	fromRelays  source = "relays"
	fromService source = "store"
)

// watch reports the changes of one topic, from the service or from relays.
type watch struct {
	store *Store
	topic *topic
	// reported is the revision up to which every change has been reported.
	reported ids.Revision
	events   chan platform.WatchEvent

	// started is the time at which the watch started.
	started time.Duration
	source  source
	// serviceEvents gets the events of the service; nil while the service is not watched.
	serviceEvents <-chan platform.WatchEvent
	// cancelService ends the watch of the service.
	cancelService context.CancelFunc
	// behind states that the relays cannot supply all changes, so that the service must be read.
	behind bool
}

// run reports changes until the context ends or an error ends the watch.
func (watch *watch) run(ctx context.Context) {
	defer close(watch.events)
	defer watch.stopService()
	watch.topic.report(watch.reported)
	watch.started = clock.Now()
	ticker := time.NewTicker(sourceCheckInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		if err := watch.switchSource(ctx); err != nil {
			watch.emit(ctx, platform.WatchEvent{Err: err})
			return
		}
		proceed := true
		select {
		case <-ctx.Done():
		case <-ticker.C:
		case update := <-watch.topic.updates:
			proceed = watch.handleUpdate(ctx, update)
		case event, open := <-watch.serviceEvents:
			proceed = watch.handleServiceEvent(ctx, event, open)
		}
		if !proceed {
			return
		}
	}
}

// switchSource starts or stops the watch of the service to match the wanted source.
func (watch *watch) switchSource(ctx context.Context) error {
	wanted, reason := watch.wantedSource()
	if wanted != watch.source {
		watch.source = wanted
		watch.store.eventLog.LimitedEvent("records_source", "prefix", watch.topic.Prefix, "source", wanted, "reason", reason,
			"revision", watch.reported, "age_ms", watch.topic.age().Milliseconds())
	}
	switch {
	case wanted == fromRelays:
		watch.stopService()
	case watch.serviceEvents == nil && watch.topic.mayRetry():
		watching, cancel := context.WithCancel(ctx)
		events, err := watch.store.Store.Watch(watching, watch.topic.Prefix, watch.reported+1)
		if err != nil {
			cancel()
			return fmt.Errorf("watching the service: %w", err)
		}
		watch.serviceEvents, watch.cancelService = events, cancel
	}
	return nil
}

// wantedSource returns the source that the records should come from, and the reason for the log.
func (watch *watch) wantedSource() (wanted source, reason string) {
	role := watch.store.role()
	switch {
	case watch.topic.servesOthers():
		return fromService, "asked"
	case !role.Known && watch.topic.WatchServiceAtStart && clock.Now()-watch.started > discoveryDelay:
		return fromService, "start"
	case !role.Known && !watch.topic.stale():
		return fromRelays, ""
	case role.Relay:
		return fromService, "relay"
	case len(role.Sources) == 0:
		return fromService, "no_relay"
	case watch.topic.stale():
		return fromService, "stale"
	case watch.behind:
		return fromService, "behind"
	}
	return fromRelays, ""
}

// stopService stops watching the service.
func (watch *watch) stopService() {
	if watch.serviceEvents != nil {
		watch.cancelService()
		watch.serviceEvents = nil
	}
}

// handleServiceEvent reports an event of the service; false ends the watch.
func (watch *watch) handleServiceEvent(ctx context.Context, event platform.WatchEvent, open bool) bool {
	if open && event.Err == nil {
		watch.behind = false
		watch.topic.markReachable()
		watch.topic.apply(event, watch.store.eventLog)
		return watch.report(ctx, event)
	}
	watch.stopService()
	if ctx.Err() != nil {
		return false
	}
	if errors.Is(event.Err, platform.ErrCompacted) {
		watch.store.listing.discard(watch.reported.Era())
		watch.emit(ctx, event)
		return false
	}
	watch.topic.markUnreachable(watch.store.role().Relay)
	if watch.topic.stale() {
		watch.emit(ctx, event)
		return false
	}
	watch.store.eventLog.LimitedEvent("watch_failed", "prefix", watch.topic.Prefix, "age_ms", watch.topic.age().Milliseconds(), "err", event.Err)
	return true
}

// handleUpdate reports the changes of an update; false ends the watch. If the relay lacks the history, or its next change is too
// large for a response, the service must be read.
func (watch *watch) handleUpdate(ctx context.Context, update topicUpdate) bool {
	event := update.event
	progress := event.Revision > watch.reported
	watch.behind = !update.historyKnown || !update.complete && !progress
	if !update.historyKnown {
		watch.topic.cancelTransfer()
	}
	if watch.behind || event.Revision < watch.reported {
		return true
	}
	switch {
	case event.Revision.Era() == watch.reported.Era() && update.after > watch.reported:
		// A source that has not reached the later era answers a request of a transfer: the changes up to update.after are missing.
		return true
	case event.Revision.Era() > watch.reported.Era():
		listing, complete, progress := watch.topic.receive(update)
		watch.behind = !progress
		if !complete {
			return true
		}
		watch.store.eventLog.Event("records_replaced", "prefix", watch.topic.Prefix, "revision", listing.Revision, "known", watch.reported,
			"records", len(listing.Entries))
		event = listing
	}
	watch.topic.apply(event, watch.store.eventLog)
	return watch.report(ctx, event)
}

// report emits the event without the entries that were reported before.
func (watch *watch) report(ctx context.Context, event platform.WatchEvent) bool {
	fresh := event.Entries[:0:0]
	for _, entry := range event.Entries {
		if entry.Revision > watch.reported {
			fresh = append(fresh, entry)
		}
	}
	event.Entries = fresh
	event.Revision = max(event.Revision, watch.reported)
	watch.reported = event.Revision
	watch.topic.report(watch.reported)
	return watch.emit(ctx, event)
}

// emit sends the event; false if the context ends first.
func (watch *watch) emit(ctx context.Context, event platform.WatchEvent) bool {
	select {
	case watch.events <- event:
		return true
	case <-ctx.Done():
		return false
	}
}
