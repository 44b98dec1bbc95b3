package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// storeDelay is the time that the store takes for each call.
	storeDelay = 4 * time.Millisecond
	// expiryInterval is the interval at which expired leases are removed.
	expiryInterval = 20 * time.Millisecond
	// maxPageItems is the maximum number of items in a page of a listing.
	maxPageItems  = 500
	firstRevision = 10
)

// item is a key with its value and revision, or the event that removed the key.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created,omitempty"`
	Lease    int64  `json:"lease,omitempty"`
	Removed  bool   `json:"removed,omitempty"`
}

// lease keeps the keys that were written under it until it expires.
type lease struct {
	ttl   time.Duration
	until time.Time
}

// store is a stand-in for the platform's metadata store.
type store struct {
	mutex     sync.Mutex
	revision  int64
	items     map[string]item
	history   []item
	leases    map[int64]lease
	lastLease int64
	changed   chan struct{}
}

func newStore() *store {
	store := &store{
		revision: firstRevision, items: make(map[string]item), leases: make(map[int64]lease), changed: make(chan struct{}),
	}
	go store.expireLeases()
	return store
}

// handler returns the HTTP interface of the store.
func (store *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/kv-key", store.get)
	mux.HandleFunc("GET /v1/kv-range", store.list)
	mux.HandleFunc("GET /v1/kv-watch", store.watch)
	mux.HandleFunc("POST /v1/kv-txn", store.txn)
	mux.HandleFunc("POST /v1/kv-lease", store.grant)
	mux.HandleFunc("POST /v1/kv-keep/{id}", store.keep)
	mux.HandleFunc("DELETE /v1/kv-lease-end/{id}", store.end)
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		time.Sleep(storeDelay)
		writer.Header().Set("Store-Era", "1")
		mux.ServeHTTP(writer, request)
	})
}

func (store *store) expireLeases() {
	for now := range time.Tick(expiryInterval) {
		store.mutex.Lock()
		for id, lease := range store.leases {
			if now.After(lease.until) {
				store.endLease(id)
			}
		}
		store.mutex.Unlock()
	}
}

// endLease removes the lease and its keys. The mutex is held.
func (store *store) endLease(id int64) {
	delete(store.leases, id)
	for key, stored := range store.items {
		if stored.Lease == id {
			store.revision++
			store.apply(item{Key: key, Revision: store.revision, Removed: true})
		}
	}
}

// apply makes a change visible. The mutex is held.
func (store *store) apply(change item) {
	if change.Removed {
		delete(store.items, change.Key)
	} else {
		change.Created = change.Revision
		if stored, ok := store.items[change.Key]; ok {
			change.Created = stored.Created
		}
		store.items[change.Key] = change
	}
	store.history = append(store.history, change)
	close(store.changed)
	store.changed = make(chan struct{})
}

// put writes a key as the operator does.
func (store *store) put(key string, value []byte) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.revision++
	store.apply(item{Key: key, Value: value, Revision: store.revision})
}

// putFor writes a key that is removed unless it is written or renewed again within the time to live, as a database does.
func (store *store) putFor(key string, value []byte, ttl time.Duration) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.lastLease++
	store.leases[store.lastLease] = lease{ttl: ttl, until: time.Now().Add(ttl)}
	if stored, ok := store.items[key]; ok {
		delete(store.leases, stored.Lease)
	}
	store.revision++
	store.apply(item{Key: key, Value: value, Revision: store.revision, Lease: store.lastLease})
}

// renew extends the time to live of a key that putFor has written; false if the key is gone.
func (store *store) renew(key string) bool {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	stored, ok := store.items[key]
	if !ok {
		return false
	}
	lease := store.leases[stored.Lease]
	lease.until = time.Now().Add(lease.ttl)
	store.leases[stored.Lease] = lease
	return true
}

func reply(writer http.ResponseWriter, status int, body any) {
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	// An error means that the client has closed the connection.
	_ = json.NewEncoder(writer).Encode(body)
}

func (store *store) get(writer http.ResponseWriter, request *http.Request) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	stored, ok := store.items[request.URL.Query().Get("key")]
	if !ok {
		writer.WriteHeader(http.StatusNotFound)
		return
	}
	reply(writer, http.StatusOK, struct {
		item
		AsOf int64 `json:"asOf"`
	}{stored, store.revision})
}

func (store *store) list(writer http.ResponseWriter, request *http.Request) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	query := request.URL.Query()
	found := []item{}
	for key, stored := range store.items {
		if strings.HasPrefix(key, query.Get("prefix")) && key > query.Get("after") {
			found = append(found, stored)
		}
	}
	slices.SortFunc(found, func(one, other item) int { return strings.Compare(one.Key, other.Key) })
	page := found[:min(maxPageItems, len(found))]
	reply(writer, http.StatusOK, map[string]any{"items": page, "hasMore": len(found) > len(page), "asOf": store.revision})
}

func (store *store) watch(writer http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()
	after, errAfter := strconv.ParseInt(query.Get("after"), 10, 64)
	wait, errWait := strconv.ParseInt(query.Get("waitMs"), 10, 64)
	if errAfter != nil || errWait != nil {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	end := time.After(time.Duration(wait) * time.Millisecond)
	for expired := false; ; {
		store.mutex.Lock()
		events := store.eventsAfter(after, query.Get("prefix"))
		revision, changed := store.revision, store.changed
		store.mutex.Unlock()
		if len(events) > 0 || expired {
			reply(writer, http.StatusOK, map[string]any{"events": events, "asOf": revision})
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

// eventsAfter returns the changes of a prefix after a revision. The mutex is held.
func (store *store) eventsAfter(revision int64, prefix string) []item {
	events := []item{}
	first, _ := slices.BinarySearchFunc(store.history, revision+1, func(event item, revision int64) int {
		return int(event.Revision - revision)
	})
	for _, event := range store.history[first:] {
		if strings.HasPrefix(event.Key, prefix) {
			events = append(events, event)
		}
	}
	return events
}

// txnRequest applies all puts and deletes if every condition holds, otherwise none.
type txnRequest struct {
	ExpectedRev []item   `json:"expectedRev"`
	Puts        []item   `json:"puts"`
	Deletes     []string `json:"deletes"`
}

func (store *store) txn(writer http.ResponseWriter, request *http.Request) {
	var body txnRequest
	if err := json.NewDecoder(request.Body).Decode(&body); err != nil {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	store.mutex.Lock()
	defer store.mutex.Unlock()
	var current []item
	holds := true
	for _, condition := range body.ExpectedRev {
		stored, ok := store.items[condition.Key]
		holds = holds && stored.Revision == condition.Revision
		if ok {
			current = append(current, stored)
		}
	}
	if !holds {
		reply(writer, http.StatusPreconditionFailed, map[string]any{"items": current})
		return
	}
	for _, put := range body.Puts {
		if _, ok := store.leases[put.Lease]; put.Lease != 0 && !ok {
			writer.WriteHeader(http.StatusNotFound)
			return
		}
	}
	store.revision++
	for _, put := range body.Puts {
		put.Revision = store.revision
		store.apply(put)
	}
	for _, key := range body.Deletes {
		if _, ok := store.items[key]; ok {
			store.apply(item{Key: key, Revision: store.revision, Removed: true})
		}
	}
	reply(writer, http.StatusOK, map[string]any{"revision": store.revision})
}

func (store *store) grant(writer http.ResponseWriter, request *http.Request) {
	var body struct {
		TTLMs int64 `json:"ttlMs"`
	}
	if err := json.NewDecoder(request.Body).Decode(&body); err != nil {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.lastLease++
	ttl := time.Duration(body.TTLMs) * time.Millisecond
	store.leases[store.lastLease] = lease{ttl: ttl, until: time.Now().Add(ttl)}
	reply(writer, http.StatusOK, map[string]any{"lease": store.lastLease, "ttlMs": body.TTLMs})
}

// leaseOf returns the lease that the path names; false if there is none. The mutex is held.
func (store *store) leaseOf(request *http.Request) (int64, bool) {
	id, err := strconv.ParseInt(request.PathValue("id"), 10, 64)
	_, ok := store.leases[id]
	return id, ok && err == nil
}

func (store *store) keep(writer http.ResponseWriter, request *http.Request) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	id, ok := store.leaseOf(request)
	if !ok {
		writer.WriteHeader(http.StatusNotFound)
		return
	}
	kept := store.leases[id]
	kept.until = time.Now().Add(kept.ttl)
	store.leases[id] = kept
	reply(writer, http.StatusOK, map[string]any{"ttlMs": kept.ttl.Milliseconds()})
}

func (store *store) end(writer http.ResponseWriter, request *http.Request) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	id, ok := store.leaseOf(request)
	if !ok {
		writer.WriteHeader(http.StatusNotFound)
		return
	}
	store.endLease(id)
	reply(writer, http.StatusOK, struct{}{})
}
