package platform

import (
	"bytes"
	"slices"
	"sort"
	"sync"

	"dotterelgw/io/platform/etcdpb"
)

// defaultHistory is the number of changes that the store keeps for watches and for reads at older revisions; the planned
// size has 70,000 changes a day.
const defaultHistory = 200_000

// change is one version of a key; deleted is set for a deletion, which has no value.
type change struct {
	kv      *etcdpb.KeyValue // never modified once stored
	deleted bool
}

// store holds all keys and their history under one lock, which makes every operation linearizable.
type store struct {
	mutex       sync.Mutex
	revision    int64
	compacted   int64               // changes before this revision are no longer in the history
	versions    map[string][]change // by key, in rising order of revision
	keys        []string            // sorted
	history     []change            // in rising order of revision
	maxHistory  int
	changed     chan struct{} // closed and replaced at each change
	leases      map[int64]*lease
	lastLeaseID int64 // the last identifier chosen by the store; it does not reuse identifiers of ended leases
}

func newStore(maxHistory int) *store {
	// The revision of an empty etcd store is 1.
	return &store{revision: 1, versions: map[string][]change{}, maxHistory: maxHistory, changed: make(chan struct{}), leases: map[int64]*lease{}}
}

func (store *store) header() *etcdpb.ResponseHeader {
	return &etcdpb.ResponseHeader{ClusterId: 1, MemberId: 1, Revision: store.revision, RaftTerm: 1}
}

// at returns the version of the key at the revision, or nil if the key did not exist; revision 0 is the latest.
func (store *store) at(key string, revision int64) *etcdpb.KeyValue {
	versions := store.versions[key]
	for i := len(versions) - 1; i >= 0; i-- {
		if revision > 0 && versions[i].kv.GetModRevision() > revision {
			continue
		}
		if versions[i].deleted {
			return nil
		}
		return versions[i].kv
	}
	return nil
}

// inRange returns the keys in [key, end); an empty end means the single key, a zero byte means no upper bound.
func (store *store) inRange(key, end []byte) []string {
	if len(end) == 0 {
		if _, ok := store.versions[string(key)]; ok {
			return []string{string(key)}
		}
		return nil
	}
	from := sort.SearchStrings(store.keys, string(key))
	to := len(store.keys)
	if !bytes.Equal(end, []byte{0}) {
		to = max(from, sort.SearchStrings(store.keys, string(end)))
	}
	return store.keys[from:to]
}

func (store *store) read(request *etcdpb.RangeRequest) (*etcdpb.RangeResponse, error) {
	if revision := request.GetRevision(); revision > store.revision {
		return nil, errFutureRevision
	} else if revision > 0 && revision < store.compacted {
		return nil, errCompacted
	}
	response := &etcdpb.RangeResponse{Header: store.header()}
	for _, key := range store.inRange(request.GetKey(), request.GetRangeEnd()) {
		kv := store.at(key, request.GetRevision())
		if kv == nil {
			continue
		}
		response.Count++
		if request.GetLimit() > 0 && int64(len(response.Kvs)) >= request.GetLimit() {
			response.More = true
			continue
		}
		if request.GetCountOnly() {
			continue
		}
		if request.GetKeysOnly() {
			kv = withoutValue(kv)
		}
		response.Kvs = append(response.Kvs, kv)
	}
	return response, nil
}

func withoutValue(kv *etcdpb.KeyValue) *etcdpb.KeyValue {
	return &etcdpb.KeyValue{
		Key: kv.GetKey(), CreateRevision: kv.GetCreateRevision(), ModRevision: kv.GetModRevision(),
		Version: kv.GetVersion(), Lease: kv.GetLease(),
	}
}

// put stores a new version at the current revision, which the caller has incremented.
func (store *store) put(request *etcdpb.PutRequest) {
	key := string(request.GetKey())
	kv := &etcdpb.KeyValue{
		Key: bytes.Clone(request.GetKey()), Value: bytes.Clone(request.GetValue()), Lease: request.GetLease(),
		CreateRevision: store.revision, ModRevision: store.revision, Version: 1,
	}
	if previous := store.at(key, 0); previous != nil {
		kv.CreateRevision, kv.Version = previous.GetCreateRevision(), previous.GetVersion()+1
		store.detachLease(previous)
	}
	if lease := store.leases[kv.GetLease()]; lease != nil {
		lease.keys[key] = struct{}{}
	}
	store.appendChange(key, change{kv: kv})
}

func (store *store) remove(key string) {
	previous := store.at(key, 0)
	if previous == nil {
		return
	}
	store.detachLease(previous)
	store.appendChange(key, change{kv: &etcdpb.KeyValue{Key: previous.GetKey(), ModRevision: store.revision}, deleted: true})
}

func (store *store) detachLease(kv *etcdpb.KeyValue) {
	if lease := store.leases[kv.GetLease()]; lease != nil {
		delete(lease.keys, string(kv.GetKey()))
	}
}

func (store *store) appendChange(key string, change change) {
	if _, ok := store.versions[key]; !ok {
		store.keys = slices.Insert(store.keys, sort.SearchStrings(store.keys, key), key)
	}
	store.versions[key] = append(store.versions[key], change)
	store.history = append(store.history, change)
	if len(store.history) > store.maxHistory {
		store.compact(store.history[len(store.history)/2].kv.GetModRevision())
	}
}

// compact drops the history before the revision, except the versions that were current at the revision.
func (store *store) compact(revision int64) {
	store.compacted = min(revision, store.revision)
	kept := sort.Search(len(store.history), func(i int) bool {
		return store.history[i].kv.GetModRevision() >= store.compacted
	})
	store.history = slices.Clone(store.history[kept:])
	for key, versions := range store.versions {
		first := 0
		for first+1 < len(versions) && versions[first+1].kv.GetModRevision() <= store.compacted {
			first++
		}
		if first > 0 {
			store.versions[key] = slices.Clone(versions[first:])
		}
	}
}

// since returns the changes from the revision on.
func (store *store) since(revision int64) []change {
	from := sort.Search(len(store.history), func(i int) bool {
		return store.history[i].kv.GetModRevision() >= revision
	})
	return store.history[from:len(store.history):len(store.history)]
}

// notifyWatches wakes the watches.
func (store *store) notifyWatches() {
	close(store.changed)
	store.changed = make(chan struct{})
}
