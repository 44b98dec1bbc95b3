package platform

import (
	"context"
	"errors"
	"time"

	"dotterelgw/core/ids"
)

const (
	followBase = 50 * time.Millisecond
	followMax  = time.Second
	// followListTimeout bounds a List call; hundreds of VMs that read a megabyte at once take seconds.
	followListTimeout = 10 * time.Second
)

// Follow watches the prefix and resumes after errors, with backoff, at the revision after the last one reported. Events
// with an error only inform; the channel closes when the context ends. From revision 0, and after a compaction, it lists
// the entries first and reports them as one event; a key deleted before that is not reported.
func Follow(ctx context.Context, store Store, prefix string, from ids.Revision) <-chan WatchEvent {
	events := make(chan WatchEvent)
	go func() {
		defer close(events)
		follower := &follower{store: store, prefix: prefix, next: from, events: events}
		wait := followBase
		for ctx.Err() == nil {
			progressed, err := follower.run(ctx)
			if progressed {
				wait = followBase
			}
			if !follower.emit(ctx, WatchEvent{Err: err}) {
				return
			}
			select {
			case <-time.After(wait):
				wait = min(2*wait, followMax)
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

// run watches until an error and returns whether anything arrived.
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

// list reports all entries and continues after them.
func (follower *follower) list(ctx context.Context) error {
	listContext, cancel := context.WithTimeout(ctx, followListTimeout)
	defer cancel()
	asked := time.Now()
	entries, revision, err := follower.store.List(listContext, follower.prefix)
	if err != nil {
		return err
	}
	follower.next = revision + 1
	if !follower.emit(ctx, WatchEvent{Entries: entries, Complete: true, Revision: revision, Asked: asked}) {
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
