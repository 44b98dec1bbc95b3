package platform

import (
	"context"
	"fmt"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"dotterelgw/core/config"
	"dotterelgw/core/ids"
	"dotterelgw/io/platform/etcdpb"
)

// List implements Store.List. It reads all pages at the revision of the first one, so the result is a snapshot.
func (client *client) List(ctx context.Context, prefix string) ([]config.Entry, ids.Revision, error) {
	request := &etcdpb.RangeRequest{Key: []byte(prefix), RangeEnd: prefixEnd(prefix), Limit: client.pageSize}
	var entries []config.Entry
	for {
		response, err := client.kv.Range(ctx, request)
		if err != nil {
			return nil, 0, fmt.Errorf("list %s: %w", prefix, readError(err))
		}
		if request.Revision == 0 {
			request.Revision = response.GetHeader().GetRevision()
		}
		for _, kv := range response.GetKvs() {
			entries = append(entries, entryOf(kv))
		}
		if !response.GetMore() || len(response.GetKvs()) == 0 {
			return entries, ids.Revision(request.Revision), nil
		}
		request.Key = append([]byte(entries[len(entries)-1].Key), 0)
	}
}

// Get implements Store.Get.
func (client *client) Get(ctx context.Context, key string) (config.Entry, bool, error) {
	return client.GetAt(ctx, key, 0)
}

// GetAt implements Client.GetAt.
func (client *client) GetAt(ctx context.Context, key string, revision ids.Revision) (config.Entry, bool, error) {
	response, err := client.kv.Range(ctx, &etcdpb.RangeRequest{Key: []byte(key), Revision: int64(revision)})
	if err != nil {
		return config.Entry{}, false, fmt.Errorf("get %s: %w", key, readError(err))
	}
	if len(response.GetKvs()) == 0 {
		return config.Entry{}, false, nil
	}
	return entryOf(response.GetKvs()[0]), true, nil
}

// CompareAndSwap implements Store.CompareAndSwap.
func (client *client) CompareAndSwap(ctx context.Context, key string, expected ids.Revision, value []byte) (ids.Revision, bool, error) {
	response, err := client.kv.Txn(ctx, &etcdpb.TxnRequest{
		Compare: []*etcdpb.Compare{{
			Result:      etcdpb.Compare_EQUAL,
			Target:      etcdpb.Compare_MOD,
			Key:         []byte(key),
			TargetUnion: &etcdpb.Compare_ModRevision{ModRevision: int64(expected)},
		}},
		Success: []*etcdpb.RequestOp{{Request: &etcdpb.RequestOp_RequestPut{
			RequestPut: &etcdpb.PutRequest{Key: []byte(key), Value: value},
		}}},
		Failure: []*etcdpb.RequestOp{{Request: &etcdpb.RequestOp_RequestRange{
			RequestRange: &etcdpb.RangeRequest{Key: []byte(key), KeysOnly: true},
		}}},
	})
	if err != nil {
		return 0, false, fmt.Errorf("compare and swap %s: %w", key, writeError(callError(err)))
	}
	if response.GetSucceeded() {
		return ids.Revision(response.GetHeader().GetRevision()), true, nil
	}
	var current ids.Revision
	for _, result := range response.GetResponses() {
		for _, kv := range result.GetResponseRange().GetKvs() {
			current = ids.Revision(kv.GetModRevision())
		}
	}
	return current, false, nil
}

func entryOf(kv *etcdpb.KeyValue) config.Entry {
	value := kv.GetValue()
	if value == nil {
		value = []byte{}
	}
	return config.Entry{Key: string(kv.GetKey()), Value: value, Revision: ids.Revision(kv.GetModRevision()), Leased: kv.GetLease() != 0}
}

// readError wraps the error for a compacted revision, which the service reports as OutOfRange, in ErrCompacted.
func readError(err error) error {
	if status.Code(err) == codes.OutOfRange {
		return fmt.Errorf("%w: %w", ErrCompacted, err)
	}
	return callError(err)
}

// prefixEnd returns the first key after all keys with the prefix, or a zero byte, which means the end of the key space.
func prefixEnd(prefix string) []byte {
	end := []byte(prefix)
	for i := len(end) - 1; i >= 0; i-- {
		if end[i] < 0xff {
			end[i]++
			return end[:i+1]
		}
	}
	return []byte{0}
}
