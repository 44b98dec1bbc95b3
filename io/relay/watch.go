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
	// sourceCheck is the time between two looks at where the records come from.
	sourceCheck = 150 * time.Millisecond
	// retryPause is the pause of a VM without relays that answer after a failed watch of the service.
	retryPause = time.Second
	// relayedPause is that pause while relays answer, which try the service themselves and tell when it is back.
	relayedPause = 3 * time.Second
	// companyDelay is the time after its start in which a VM learns of others, whose relays it then follows.
	companyDelay = 150 * time.Millisecond
	// answerMemory is the time after an answer in which the relays count as alive: two questions and some delay.
	answerMemory = 3 * askInterval
)

// source is where the records of a topic come from.
type source string

const (
	fromRelays  source = "relays"
	fromService source = "store"
)

// watch reports the changes of one topic, from the service or from relays.
type watch struct {
	store  *Store
	topic  *topic
	after  ids.Revision
	events chan platform.WatchEvent

	// began is the time at which the watch began.
	began  time.Duration
	source source
	// direct gets the events of the service; nil while it is not watched, and stop ends the watch.
	direct <-chan platform.WatchEvent
	stop   context.CancelFunc
	// behind states that the relays cannot tell all changes, so that the service is to be asked once.
	behind bool
}

// run reports changes until the context ends or an error ends the watch.
func (watch *watch) run(ctx context.Context) {
	defer close(watch.events)
	defer watch.end()
	watch.topic.report(watch.after)
	watch.began = clock.Now()
	ticker := time.NewTicker(sourceCheck)
	defer ticker.Stop()
	for ctx.Err() == nil {
		if err := watch.choose(ctx); err != nil {
			watch.emit(ctx, platform.WatchEvent{Err: err})
			return
		}
		proceed := true
		select {
		case <-ctx.Done():
		case <-ticker.C:
		case answer := <-watch.topic.answers:
			proceed = watch.told(ctx, answer)
		case event, open := <-watch.direct:
			proceed = watch.watched(ctx, event, open)
		}
		if !proceed {
			return
		}
	}
}

// choose begins or ends the watch of the service, as the records are wanted from it or from relays.
func (watch *watch) choose(ctx context.Context) error {
	wanted, reason := watch.wanted()
	if wanted != watch.source {
		watch.source = wanted
		watch.store.decisions.Request("records_source", "prefix", watch.topic.Prefix, "source", wanted, "reason", reason,
			"revision", watch.after, "age_ms", watch.topic.age().Milliseconds())
	}
	switch {
	case wanted == fromRelays:
		watch.end()
	case watch.direct == nil && watch.topic.mayTry():
		watching, stop := context.WithCancel(ctx)
		direct, err := watch.store.Store.Watch(watching, watch.topic.Prefix, watch.after+1)
		if err != nil {
			stop()
			return fmt.Errorf("watching the service: %w", err)
		}
		watch.direct, watch.stop = direct, stop
	}
	return nil
}

// wanted returns where the records are to come from and why.
func (watch *watch) wanted() (wanted source, reason string) {
	role := watch.store.role()
	switch {
	case watch.topic.servesOthers():
		return fromService, "asked"
	case !role.Known && watch.topic.FromStart && clock.Now()-watch.began > companyDelay:
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

// end stops watching the service.
func (watch *watch) end() {
	if watch.direct != nil {
		watch.stop()
		watch.direct = nil
	}
}

// watched takes an event of the service; false ends the watch.
func (watch *watch) watched(ctx context.Context, event platform.WatchEvent, open bool) bool {
	if open && event.Err == nil {
		watch.behind = false
		watch.topic.reached()
		watch.topic.apply(event)
		return watch.report(ctx, event)
	}
	watch.end()
	if ctx.Err() != nil {
		return false
	}
	watch.topic.failed(watch.store.role().Relay)
	if watch.topic.stale() || errors.Is(event.Err, platform.ErrCompacted) {
		watch.emit(ctx, event)
		return false
	}
	watch.store.decisions.Request("watch_failed", "prefix", watch.topic.Prefix, "age_ms", watch.topic.age().Milliseconds(), "err", event.Err)
	return true
}

// told takes the answer of a relay; false ends the watch. A relay that lacks the history, or whose next change is too large
// for an answer, leaves the service to be asked.
func (watch *watch) told(ctx context.Context, answer answered) bool {
	progress := answer.event.Revision > watch.after
	watch.behind = !answer.known || !answer.whole && !progress
	if watch.behind || answer.event.Revision < watch.after {
		return true
	}
	watch.topic.apply(answer.event)
	return watch.report(ctx, answer.event)
}

// report hands on what the event tells beyond what was reported before.
func (watch *watch) report(ctx context.Context, event platform.WatchEvent) bool {
	fresh := event.Entries[:0:0]
	for _, entry := range event.Entries {
		if entry.Revision > watch.after {
			fresh = append(fresh, entry)
		}
	}
	event.Entries = fresh
	event.Revision = max(event.Revision, watch.after)
	watch.after = event.Revision
	watch.topic.report(watch.after)
	return watch.emit(ctx, event)
}

func (watch *watch) emit(ctx context.Context, event platform.WatchEvent) bool {
	select {
	case watch.events <- event:
		return true
	case <-ctx.Done():
		return false
	}
}
