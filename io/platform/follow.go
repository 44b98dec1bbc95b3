package platform

import (
	"context"
	"errors"
	"time"

	"dotterelgw/core/ids"
)

const (
	followBackoffBase = 50 * time.Millisecond
	followBackoffMax  = time.Second
	// followListTimeout bounds a List call; it takes seconds when hundreds of VMs read a megabyte at once.
	followListTimeout = 10 * time.Second
)

// Follow watches the prefix. After an error it resumes, with backoff, at the revision after the last one reported. Events
// with an error are informational; the channel is closed when the context ends. From revision 0, and after a compaction, it
// first lists the entries and reports them as one event with Complete set; keys deleted before that are not reported.
func Follow(ctx context.Context, store Store, prefix string, from ids.Revision) <-chan WatchEvent {
	events := make(chan WatchEvent)
	go func() {
		defer close(events)
		follower := &follower{store: store, prefix: prefix, next: from, events: events}
		backoff := followBackoffBase
		for ctx.Err() == nil {
			progressed, err := follower.run(ctx)
			if progressed {
				backoff = followBackoffBase
			}
			if !follower.emit(ctx, WatchEvent{Err: err}) {
				return
			}
			select {
			case <-time.After(backoff):
				backoff = min(2*backoff, followBackoffMax)
			case <-ctx.Done():
			}
		}
	}()
	return events
}

type follower struct {
	store  Store
	prefix string
	next   ids.Revision
	events chan<- WatchEvent
}

// run watches until an error and returns whether it received any event or listing.
func (follower *follower) run(ctx context.Context) (bool, error) {
	listed := false
	if follower.next == 0 {
		if err := follower.list(ctx); err != nil {
			return false, err
		}
		listed = true
	}
	watchContext, cancel := context.WithCancel(ctx)
	defer cancel()
	events, err := follower.store.Watch(watchContext, follower.prefix, follower.next)
	if err != nil {
		return listed, err
	}
	progressed := listed
	for event := range events {
		if event.Err != nil {
			if errors.Is(event.Err, ErrCompacted) {
				follower.next = 0
			}
			return progressed, event.Err
		}
		progressed = true
		if event.Revision >= follower.next {
			follower.next = event.Revision + 1
		}
		if !follower.emit(ctx, event) {
			return progressed, ctx.Err()
		}
	}
	return progressed, ctx.Err()
}

// list reports all entries as one event and continues at the revision after the listing.
func (follower *follower) list(ctx context.Context) error {
	listContext, cancel := context.WithTimeout(ctx, followListTimeout)
	defer cancel()
	asked := time.Now()
	entries, revision, err := follower.store.List(listContext, follower.prefix)
	if err != nil {
		return err
	}
	follower.next = revision + 1
	if !follower.emit(ctx, WatchEvent{Entries: entries, Listing: true, Revision: revision, RequestedAt: asked}) {
		return ctx.Err()
	}
	return nil
}

func (follower *follower) emit(ctx context.Context, event WatchEvent) bool {
	select {
	case follower.events <- event:
		return true
	case <-ctx.Done():
		return false
	}
}
