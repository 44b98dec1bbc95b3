package platform

import (
	"bytes"
	"slices"
	"time"

	"google.golang.org/grpc"

	"dotterelgw/io/platform/etcdpb"
)

const (
	// watchBatch is the number of changes after which a response ends; changes of one revision are never split.
	watchBatch = 1000
	// progressWatchID is the watch id of responses to progress requests, which apply to all watches of the stream.
	progressWatchID = -1
)

type watchStream = grpc.BidiStreamingServer[etcdpb.WatchRequest, etcdpb.WatchResponse]

// watch is one watch of a stream, over the keys in [key, end).
type watch struct {
	id       int64
	key, end []byte
	next     int64 // the first revision not yet reported
}

// watcher serves one watch stream.
type watcher struct {
	services *services
	stream   watchStream
	client   string
	watches  []*watch
	lastID   int64
}

// Watch implements etcdpb.WatchServer.Watch. Opening a stream counts as one call; each progress request counts as one
// more, under callWatchProgress. While the client is partitioned, the stream sends nothing; it catches up afterwards.
func (services *services) Watch(stream watchStream) error {
	if err := services.injector.beforeCall(stream.Context(), callWatch, false); err != nil {
		return err
	}
	watcher := &watcher{services: services, stream: stream, client: clientOf(stream.Context())}
	services.injector.countWatch(watcher.client, 1)
	defer services.injector.countWatch(watcher.client, -1)
	requests := make(chan *etcdpb.WatchRequest)
	go func() {
		defer close(requests)
		for {
			request, err := stream.Recv()
			if err != nil {
				return
			}
			select {
			case requests <- request:
			case <-stream.Context().Done():
				return
			}
		}
	}()
	for {
		if err := services.injector.waitReachable(stream.Context(), watcher.client); err != nil {
			return err
		}
		switches, switched := services.injector.get()
		if switches.Outage {
			return errOutage
		}
		changed := services.changed()
		if err := watcher.sendPending(switches.SlowMS); err != nil {
			return err
		}
		select {
		case <-changed:
		case <-switched:
		case request, ok := <-requests:
			if !ok {
				return nil
			}
			if err := watcher.handle(request); err != nil {
				return err
			}
		case <-stream.Context().Done():
			return nil
		}
	}
}

func (services *services) changed() <-chan struct{} {
	services.store.mutex.Lock()
	defer services.store.mutex.Unlock()
	return services.store.changed
}

func (watcher *watcher) handle(request *etcdpb.WatchRequest) error {
	if err := watcher.services.injector.waitReachable(watcher.stream.Context(), watcher.client); err != nil {
		return err
	}
	switch {
	case request.GetCreateRequest() != nil:
		return watcher.create(request.GetCreateRequest())
	case request.GetCancelRequest() != nil:
		id := request.GetCancelRequest().GetWatchId()
		watcher.removeWatch(id)
		return watcher.send(&etcdpb.WatchResponse{Header: watcher.services.header(), WatchId: id, Canceled: true})
	case request.GetProgressRequest() != nil:
		watcher.services.injector.count(callWatchProgress, watcher.client)
		// All changes up to the revision of the response must be sent before it.
		switches, _ := watcher.services.injector.get()
		header := watcher.services.header()
		if err := watcher.sendPending(switches.SlowMS); err != nil {
			return err
		}
		return watcher.send(&etcdpb.WatchResponse{Header: header, WatchId: progressWatchID})
	}
	return nil
}

func (watcher *watcher) create(request *etcdpb.WatchCreateRequest) error {
	watcher.lastID++
	header := watcher.services.header()
	watch := &watch{id: watcher.lastID, key: request.GetKey(), end: request.GetRangeEnd(), next: request.GetStartRevision()}
	if watch.next <= 0 {
		watch.next = header.GetRevision() + 1
	}
	watcher.watches = append(watcher.watches, watch)
	return watcher.send(&etcdpb.WatchResponse{Header: header, WatchId: watch.id, Created: true})
}

// sendPending sends the changes that the watches have not reported yet.
func (watcher *watcher) sendPending(slowMS int) error {
	for _, watch := range slices.Clone(watcher.watches) {
		for {
			response, more := watcher.services.store.next(watch)
			if response == nil {
				break
			}
			if slowMS > 0 {
				select {
				case <-time.After(time.Duration(slowMS) * time.Millisecond):
				case <-watcher.stream.Context().Done():
				}
			}
			if response.GetCanceled() {
				watcher.removeWatch(watch.id)
			}
			if err := watcher.send(response); err != nil {
				return err
			}
			if !more {
				break
			}
		}
	}
	return nil
}

func (watcher *watcher) removeWatch(id int64) {
	watcher.watches = slices.DeleteFunc(watcher.watches, func(watch *watch) bool { return watch.id == id })
}

func (watcher *watcher) send(response *etcdpb.WatchResponse) error {
	return watcher.stream.Send(response)
}

// next returns the next response of the watch, or nil if there is none, and whether more changes are pending.
func (store *store) next(watch *watch) (*etcdpb.WatchResponse, bool) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	if watch.next < store.compacted {
		return &etcdpb.WatchResponse{
			Header: store.header(), WatchId: watch.id, Canceled: true, CompactRevision: store.compacted,
			CancelReason: "etcdserver: mvcc: required revision has been compacted",
		}, false
	}
	response := &etcdpb.WatchResponse{Header: store.header(), WatchId: watch.id}
	more := false
	for _, change := range store.since(watch.next) {
		revision := change.kv.GetModRevision()
		// Changes of one revision are not split: revision < watch.next if the previous change has the same revision.
		if len(response.Events) >= watchBatch && revision >= watch.next {
			more = true
			break
		}
		watch.next = revision + 1
		if !watch.matches(change.kv.GetKey()) {
			continue
		}
		event := &etcdpb.Event{Type: etcdpb.Event_PUT, Kv: change.kv}
		if change.deleted {
			event.Type = etcdpb.Event_DELETE
		}
		response.Events = append(response.Events, event)
	}
	if len(response.Events) == 0 {
		return nil, false
	}
	return response, more
}

func (watch *watch) matches(key []byte) bool {
	if len(watch.end) == 0 {
		return bytes.Equal(key, watch.key)
	}
	return bytes.Compare(key, watch.key) >= 0 && (bytes.Equal(watch.end, []byte{0}) || bytes.Compare(key, watch.end) < 0)
}
