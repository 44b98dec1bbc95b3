package platform

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"google.golang.org/grpc"

	"dotterelgw/core/config"
	"dotterelgw/core/ids"
	"dotterelgw/io/platform/etcdpb"
)

// watchBuffer is the number of events buffered for a slow consumer before the watch stops reading from the stream.
const watchBuffer = 64

// Watch implements Store.Watch. It opens one stream, sends progress requests at regular intervals and ends with
// ErrWatchTimeout if an answer does not arrive in time. Servers before etcd 3.4.25 and 3.5.8 may report progress ahead of
// changes that they have not sent yet.
func (client *client) Watch(ctx context.Context, prefix string, from ids.Revision) (<-chan WatchEvent, error) {
	streamContext, cancel := context.WithCancelCause(ctx)
	stream, err := client.watch.Watch(streamContext)
	if err != nil {
		cancel(err)
		return nil, fmt.Errorf("watch %s: %w", prefix, callError(err))
	}
	err = stream.Send(&etcdpb.WatchRequest{RequestUnion: &etcdpb.WatchRequest_CreateRequest{
		CreateRequest: &etcdpb.WatchCreateRequest{
			Key: []byte(prefix), RangeEnd: prefixEnd(prefix), StartRevision: int64(from),
		},
	}})
	if err != nil {
		// For a broken stream, Send returns io.EOF, and Recv returns the reason.
		_, err = stream.Recv()
		cancel(err)
		return nil, fmt.Errorf("watch %s: %w", prefix, callError(err))
	}
	watch := &watch{
		client: client, stream: stream, cancel: cancel, events: make(chan WatchEvent, watchBuffer),
		progressReceived: make(chan struct{}, 1),
	}
	go watch.requestProgress(streamContext)
	go func() {
		defer close(watch.events)
		err := watch.receive(streamContext)
		if cause := context.Cause(streamContext); cause != nil && !errors.Is(cause, context.Canceled) {
			err = cause
		}
		cancel(err)
		if ctx.Err() == nil {
			watch.emit(ctx, WatchEvent{Err: fmt.Errorf("watch %s: %w", prefix, callError(err))})
		}
	}()
	return watch.events, nil
}

type watch struct {
	client           *client
	stream           grpc.BidiStreamingClient[etcdpb.WatchRequest, etcdpb.WatchResponse]
	cancel           context.CancelCauseFunc
	events           chan WatchEvent
	progressReceived chan struct{}

	mutex       sync.Mutex
	requestedAt time.Time // when the progress request in flight was sent; zero if there is none
}

// requestProgress sends progress requests, one at a time, so that each answer can be matched to its request.
func (watch *watch) requestProgress(ctx context.Context) {
	request := &etcdpb.WatchRequest{RequestUnion: &etcdpb.WatchRequest_ProgressRequest{
		ProgressRequest: &etcdpb.WatchProgressRequest{},
	}}
	ticker := time.NewTicker(watch.client.progressPeriod)
	defer ticker.Stop()
	for {
		watch.mutex.Lock()
		watch.requestedAt = time.Now()
		watch.mutex.Unlock()
		timer := time.AfterFunc(watch.client.progressTimeout, func() { watch.cancel(ErrWatchTimeout) })
		err := watch.stream.Send(request)
		if err != nil {
			timer.Stop()
			return // receive returns the reason
		}
		select {
		case <-watch.progressReceived:
			timer.Stop()
		case <-ctx.Done():
			timer.Stop()
			return
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (watch *watch) receive(ctx context.Context) error {
	for {
		response, err := watch.stream.Recv()
		if err != nil {
			return fmt.Errorf("receive: %w", err)
		}
		switch {
		case response.GetCompactRevision() != 0:
			return fmt.Errorf("%w: compacted at %d", ErrCompacted, response.GetCompactRevision())
		case response.GetCanceled():
			return fmt.Errorf("ended by the service: %s", response.GetCancelReason())
		case response.GetCreated():
			continue
		}
		event := WatchEvent{Revision: ids.Revision(response.GetHeader().GetRevision())}
		if len(response.GetEvents()) == 0 {
			event.RequestedAt = watch.takeRequestTime()
		}
		for _, change := range response.GetEvents() {
			event.Entries = append(event.Entries, changedEntry(change))
		}
		if count := len(event.Entries); count > 0 {
			// While the watch catches up, the revision in the header may be ahead of the changes in the response.
			event.Revision = event.Entries[count-1].Revision
		}
		if !watch.emit(ctx, event) {
			return ctx.Err()
		}
	}
}

// takeRequestTime returns the time of the progress request in flight and marks it as answered; zero if there is none.
func (watch *watch) takeRequestTime() time.Time {
	watch.mutex.Lock()
	defer watch.mutex.Unlock()
	requestedAt := watch.requestedAt
	watch.requestedAt = time.Time{}
	if !requestedAt.IsZero() {
		watch.progressReceived <- struct{}{}
	}
	return requestedAt
}

func (watch *watch) emit(ctx context.Context, event WatchEvent) bool {
	select {
	case watch.events <- event:
		return true
	case <-ctx.Done():
		return false
	}
}

func changedEntry(change *etcdpb.Event) config.Entry {
	entry := entryOf(change.GetKv())
	if change.GetType() == etcdpb.Event_DELETE {
		entry.Value = nil
	}
	return entry
}
