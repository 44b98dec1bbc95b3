package platform

import (
	"bytes"
	"slices"
	"time"

	"google.golang.org/grpc"

	"dotterelgw/io/platform/etcdpb"
)

const (
	// watchBatch is the number of changes in one response; changes of one revision stay together.
	watchBatch = 1000
	// progressWatchID is the watch id of answers to progress requests, which stand for all watches of the stream.
	progressWatchID = -1
)

type watchStream = grpc.BidiStreamingServer[etcdpb.WatchRequest, etcdpb.WatchResponse]

// watch is one watch of a stream.
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

// Watch implements etcdpb.WatchServer.Watch. An open stream counts as one call, a progress request as one more under a
// name of its own. While the client is partitioned, the stream stays silent and catches up afterwards.
func (services *services) Watch(stream watchStream) error {
	if err := services.board.admit(stream.Context(), callWatch, false); err != nil {
		return err
	}
	watcher := &watcher{services: services, stream: stream, client: clientOf(stream.Context())}
	services.board.countWatch(watcher.client, 1)
	defer services.board.countWatch(watcher.client, -1)
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
		if err := services.board.reach(stream.Context(), watcher.client); err != nil {
			return err
		}
		switches, switched := services.board.get()
		if switches.Outage {
			return errOutage
		}
		changed := services.changed()
		if err := watcher.report(switches.SlowMS); err != nil {
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
	if err := watcher.services.board.reach(watcher.stream.Context(), watcher.client); err != nil {
		return err
	}
	switch {
	case request.GetCreateRequest() != nil:
		return watcher.create(request.GetCreateRequest())
	case request.GetCancelRequest() != nil:
		id := request.GetCancelRequest().GetWatchId()
		watcher.drop(id)
		return watcher.send(&etcdpb.WatchResponse{Header: watcher.services.header(), WatchId: id, Canceled: true})
	case request.GetProgressRequest() != nil:
		watcher.services.board.count(callWatchProgress, watcher.client)
		// Changes up to the answer's revision go first.
		switches, _ := watcher.services.board.get()
		header := watcher.services.header()
		if err := watcher.report(switches.SlowMS); err != nil {
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

// report sends what the watches have not reported yet.
func (watcher *watcher) report(slowMS int) error {
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
				watcher.drop(watch.id)
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

func (watcher *watcher) drop(id int64) {
	watcher.watches = slices.DeleteFunc(watcher.watches, func(watch *watch) bool { return watch.id == id })
}

func (watcher *watcher) send(response *etcdpb.WatchResponse) error {
	return watcher.stream.Send(response)
}

// next returns the next response of the watch, nil for none, and whether more changes wait.
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
		// Changes of one revision stay together: next is past the revision of the change before.
		if len(response.Events) >= watchBatch && revision >= watch.next {
			more = true
			break
		}
		watch.next = revision + 1
		if !watch.covers(change.kv.GetKey()) {
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

func (watch *watch) covers(key []byte) bool {
	if len(watch.end) == 0 {
		return bytes.Equal(key, watch.key)
	}
	return bytes.Compare(key, watch.key) >= 0 && (bytes.Equal(watch.end, []byte{0}) || bytes.Compare(key, watch.end) < 0)
}
