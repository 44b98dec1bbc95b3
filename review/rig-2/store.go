package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// pageItems is the number of items of one page of a listing.
	pageItems = 500
	// sweepInterval is the time between two removals of leases that have ended.
	sweepInterval = 20 * time.Millisecond
	// maxWait bounds the wait of a watch.
	maxWait = 30 * time.Second
	// foreverLease is the lease of items that the stand-ins keep alive themselves.
	foreverLease = 1
)

// item is a key with its value, as the store returns it.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created"`
	Lease    int64  `json:"lease"`
	Removed  bool   `json:"removed,omitempty"`
}

// lease is a lease that the nodes hold.
type lease struct {
	ttl time.Duration
	end time.Time
}

// store is a stand-in for the platform's metadata store.
type store struct {
	mutex    sync.Mutex
	revision int64
	items    map[string]item
	history  []item
	leases   map[int64]*lease
	next     int64
	changed  chan struct{}
}

func newStore() *store {
	store := &store{
		revision: 1, items: make(map[string]item), leases: make(map[int64]*lease), next: 1000, changed: make(chan struct{}),
	}
	go store.sweep()
	return store
}

// listen serves the store on the address and returns the address.
func (store *store) listen(address string) (string, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return "", err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/kv-key", store.get)
	mux.HandleFunc("GET /v1/kv-range", store.list)
	mux.HandleFunc("GET /v1/kv-watch", store.watch)
	mux.HandleFunc("POST /v1/kv-txn", store.txn)
	mux.HandleFunc("POST /v1/kv-lease", store.grant)
	mux.HandleFunc("POST /v1/kv-keep/{id}", store.keep)
	mux.HandleFunc("DELETE /v1/kv-lease-end/{id}", store.endLease)
	go func() { _ = http.Serve(listener, mux) }()
	return listener.Addr().String(), nil
}

// put writes an item as the operator or a database does.
func (store *store) put(key string, value []byte, lease int64) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.revision++
	store.set(key, value, lease)
	store.wake()
}

// set writes an item at the current revision. The mutex is held.
func (store *store) set(key string, value []byte, lease int64) {
	written := item{Key: key, Value: value, Revision: store.revision, Created: store.revision, Lease: lease}
	if previous, known := store.items[key]; known {
		written.Created = previous.Created
	}
	store.items[key] = written
	store.history = append(store.history, written)
}

// remove removes an item at the current revision. The mutex is held.
func (store *store) remove(key string) {
	delete(store.items, key)
	store.history = append(store.history, item{Key: key, Revision: store.revision, Removed: true})
}

// wake wakes the watches. The mutex is held.
func (store *store) wake() {
	close(store.changed)
	store.changed = make(chan struct{})
}

// sweep removes the items of leases that have ended.
func (store *store) sweep() {
	for range time.Tick(sweepInterval) {
		store.mutex.Lock()
		for id, held := range store.leases {
			if time.Now().After(held.end) {
				store.drop(id)
			}
		}
		store.mutex.Unlock()
	}
}

// drop ends a lease and removes its items. The mutex is held.
func (store *store) drop(id int64) {
	delete(store.leases, id)
	for key, held := range store.items {
		if held.Lease == id {
			store.revision++
			store.remove(key)
			store.wake()
		}
	}
}

func answer(writer http.ResponseWriter, status int, body any) {
	encoded, _ := json.Marshal(body)
	writer.Header().Set("Content-Type", "application/json")
	writer.Header().Set("Store-Era", "1")
	writer.WriteHeader(status)
	_, _ = writer.Write(encoded)
}

func (store *store) get(writer http.ResponseWriter, request *http.Request) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	found, known := store.items[request.URL.Query().Get("key")]
	if !known {
		answer(writer, http.StatusNotFound, map[string]any{"asOf": store.revision})
		return
	}
	answer(writer, http.StatusOK, struct {
		item
		AsOf int64 `json:"asOf"`
	}{found, store.revision})
}

func (store *store) list(writer http.ResponseWriter, request *http.Request) {
	prefix, after := request.URL.Query().Get("prefix"), request.URL.Query().Get("after")
	store.mutex.Lock()
	defer store.mutex.Unlock()
	items := []item{}
	for key, held := range store.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, held)
		}
	}
	sort.Slice(items, func(one, other int) bool { return items[one].Key < items[other].Key })
	more := len(items) > pageItems
	if more {
		items = items[:pageItems]
	}
	answer(writer, http.StatusOK, map[string]any{"items": items, "hasMore": more, "asOf": store.revision})
}

func (store *store) watch(writer http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()
	after, _ := strconv.ParseInt(query.Get("after"), 10, 64)
	waitMS, _ := strconv.ParseInt(query.Get("waitMs"), 10, 64)
	end := time.After(min(time.Duration(waitMS)*time.Millisecond, maxWait))
	for expired := false; ; {
		store.mutex.Lock()
		events := []item{}
		for _, change := range store.history {
			if change.Revision > after && strings.HasPrefix(change.Key, query.Get("prefix")) {
				events = append(events, change)
			}
		}
		revision, changed := store.revision, store.changed
		store.mutex.Unlock()
		if len(events) > 0 || expired {
			answer(writer, http.StatusOK, map[string]any{"events": events, "asOf": revision})
			return
		}
		select {
		case <-changed:
		case <-end:
			expired = true
		case <-request.Context().Done():
			return
		}
	}
}

// txnBody is a call that is executed as a whole or not at all.
type txnBody struct {
	ExpectedRev []struct {
		Key      string `json:"key"`
		Revision int64  `json:"revision"`
	} `json:"expectedRev"`
	Puts []struct {
		Key   string `json:"key"`
		Value []byte `json:"value"`
		Lease int64  `json:"lease"`
	} `json:"puts"`
	Deletes []string `json:"deletes"`
}

func (store *store) txn(writer http.ResponseWriter, request *http.Request) {
	var body txnBody
	if json.NewDecoder(request.Body).Decode(&body) != nil {
		answer(writer, http.StatusBadRequest, map[string]any{})
		return
	}
	store.mutex.Lock()
	defer store.mutex.Unlock()
	holds, current := true, []item{}
	for _, expected := range body.ExpectedRev {
		found := store.items[expected.Key]
		holds = holds && found.Revision == expected.Revision
		found.Key = expected.Key
		current = append(current, found)
	}
	if !holds {
		answer(writer, http.StatusPreconditionFailed, map[string]any{"items": current})
		return
	}
	for _, put := range body.Puts {
		if strings.HasPrefix(put.Key, "op/") || strings.HasPrefix(put.Key, "servers/") {
			answer(writer, http.StatusForbidden, map[string]any{})
			return
		}
		if put.Lease != 0 && store.leases[put.Lease] == nil {
			answer(writer, http.StatusNotFound, map[string]any{})
			return
		}
	}
	store.revision++
	for _, put := range body.Puts {
		store.set(put.Key, put.Value, put.Lease)
	}
	for _, key := range body.Deletes {
		if _, known := store.items[key]; known {
			store.remove(key)
		}
	}
	store.wake()
	answer(writer, http.StatusOK, map[string]any{"revision": store.revision})
}

func (store *store) grant(writer http.ResponseWriter, request *http.Request) {
	var body struct {
		TTLMS int64 `json:"ttlMs"`
	}
	_ = json.NewDecoder(request.Body).Decode(&body)
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.next++
	ttl := time.Duration(max(body.TTLMS, 1000)) * time.Millisecond
	store.leases[store.next] = &lease{ttl: ttl, end: time.Now().Add(ttl)}
	answer(writer, http.StatusOK, map[string]any{"lease": store.next, "ttlMs": ttl.Milliseconds()})
}

func (store *store) keep(writer http.ResponseWriter, request *http.Request) {
	id, _ := strconv.ParseInt(request.PathValue("id"), 10, 64)
	store.mutex.Lock()
	defer store.mutex.Unlock()
	held := store.leases[id]
	if held == nil {
		answer(writer, http.StatusNotFound, map[string]any{})
		return
	}
	held.end = time.Now().Add(held.ttl)
	answer(writer, http.StatusOK, map[string]any{"ttlMs": held.ttl.Milliseconds()})
}

func (store *store) endLease(writer http.ResponseWriter, request *http.Request) {
	id, _ := strconv.ParseInt(request.PathValue("id"), 10, 64)
	store.mutex.Lock()
	defer store.mutex.Unlock()
	if store.leases[id] == nil {
		answer(writer, http.StatusNotFound, map[string]any{})
		return
	}
	store.drop(id)
	answer(writer, http.StatusOK, map[string]any{})
}
