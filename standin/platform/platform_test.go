package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"

	"dotterelgw/io/platform/etcdpb"
)

const testTimeout = 5 * time.Second

func start(t *testing.T) (*Platform, *grpc.ClientConn, context.Context) {
	t.Helper()
	platform, err := New(Settings{Listen: "127.0.0.1:0", VMsListen: "127.0.0.1:0", SwitchesListen: "127.0.0.1:0"})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = platform.Close() })
	connection, err := grpc.NewClient(platform.Addresses().KeyValue, grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = connection.Close() })
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	return platform, connection, metadata.AppendToOutgoingContext(ctx, metadataVM, "vm1")
}

func putOp(key string, lease int64, value ...byte) *etcdpb.RequestOp {
	return &etcdpb.RequestOp{Request: &etcdpb.RequestOp_RequestPut{
		RequestPut: &etcdpb.PutRequest{Key: []byte(key), Value: value, Lease: lease},
	}}
}

func put(key string, value ...byte) *etcdpb.TxnRequest {
	return &etcdpb.TxnRequest{Success: []*etcdpb.RequestOp{putOp(key, 0, value...)}}
}

// control sends a request to the listener of the switches and decodes the response.
func control[T any](t *testing.T, platform *Platform, method, path, body string) (int, T) {
	t.Helper()
	var decoded T
	request, err := http.NewRequest(method, "http://"+platform.Addresses().Switches+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode == http.StatusOK {
		if err := json.NewDecoder(response.Body).Decode(&decoded); err != nil {
			t.Fatal(err)
		}
	}
	return response.StatusCode, decoded
}

// Guards against comparisons that differ from etcd's, also for absent keys; they decide whether a write takes effect.
func TestCompare(t *testing.T) {
	store := newStore(100)
	for range 3 {
		if _, err := store.executeTxn(put("/a", 'x')); err != nil { // revisions 2, 3 and 4
			t.Fatal(err)
		}
	}
	mod := func(revision int64) *etcdpb.Compare {
		return &etcdpb.Compare{Target: etcdpb.Compare_MOD, TargetUnion: &etcdpb.Compare_ModRevision{ModRevision: revision}}
	}
	tests := map[string]struct {
		compare   *etcdpb.Compare
		key       string
		result    etcdpb.Compare_CompareResult
		satisfied bool
	}{
		"mod equal":            {mod(4), "/a", etcdpb.Compare_EQUAL, true},
		"mod not equal":        {mod(4), "/a", etcdpb.Compare_NOT_EQUAL, false},
		"mod greater":          {mod(3), "/a", etcdpb.Compare_GREATER, true},
		"mod less":             {mod(4), "/a", etcdpb.Compare_LESS, false},
		"absent has mod 0":     {mod(0), "/b", etcdpb.Compare_EQUAL, true},
		"present has no mod 0": {mod(0), "/a", etcdpb.Compare_EQUAL, false},
		"create": {
			&etcdpb.Compare{Target: etcdpb.Compare_CREATE, TargetUnion: &etcdpb.Compare_CreateRevision{CreateRevision: 2}},
			"/a", etcdpb.Compare_EQUAL, true,
		},
		"version": {
			&etcdpb.Compare{Target: etcdpb.Compare_VERSION, TargetUnion: &etcdpb.Compare_Version{Version: 3}},
			"/a", etcdpb.Compare_EQUAL, true,
		},
		"value": {
			&etcdpb.Compare{Target: etcdpb.Compare_VALUE, TargetUnion: &etcdpb.Compare_Value{Value: []byte("x")}},
			"/a", etcdpb.Compare_EQUAL, true,
		},
		"absent has no value": {
			&etcdpb.Compare{Target: etcdpb.Compare_VALUE, TargetUnion: &etcdpb.Compare_Value{}},
			"/b", etcdpb.Compare_EQUAL, false,
		},
	}
	for name, test := range tests {
		test.compare.Key, test.compare.Result = []byte(test.key), test.result
		if satisfied := store.satisfied(test.compare); satisfied != test.satisfied {
			t.Errorf("%s: got %t", name, satisfied)
		}
	}
}

// Guards against refused transactions that change keys, or that fail with another code than etcd's.
func TestRefusedTransactions(t *testing.T) {
	platform, connection, ctx := start(t)
	kv := etcdpb.NewKVClient(connection)
	tests := map[string]struct {
		request *etcdpb.TxnRequest
		code    codes.Code
	}{
		"value over 1 MB": {put("/a", make([]byte, valueLimit+1)...), codes.InvalidArgument},
		"no key":          {put(""), codes.InvalidArgument},
		"key twice":       {&etcdpb.TxnRequest{Success: []*etcdpb.RequestOp{putOp("/a", 0), putOp("/a", 0)}}, codes.InvalidArgument},
		"unknown lease":   {&etcdpb.TxnRequest{Success: []*etcdpb.RequestOp{putOp("/b", 0), putOp("/a", 77)}}, codes.NotFound},
		"future revision": {&etcdpb.TxnRequest{Success: []*etcdpb.RequestOp{putOp("/b", 0), {Request: &etcdpb.RequestOp_RequestRange{
			RequestRange: &etcdpb.RangeRequest{Key: []byte("/a"), Revision: 99},
		}}}}, codes.OutOfRange},
	}
	for name, test := range tests {
		if _, err := kv.Txn(ctx, test.request); status.Code(err) != test.code {
			t.Errorf("%s: got %v", name, err)
		}
	}
	if _, err := kv.Txn(ctx, put("/c", make([]byte, valueLimit)...)); err != nil {
		t.Errorf("value of 1 MB: %v", err)
	}
	if platform.store.revision != 2 {
		t.Errorf("revision %d after one change", platform.store.revision)
	}
}

// Guards against rate limits that are not enforced, or that refuse calls within the rate.
func TestRates(t *testing.T) {
	platform, connection, ctx := start(t)
	kv := etcdpb.NewKVClient(connection)
	platform.Change(func(switches *Switches) { switches.WritesPerSecond, switches.ReadsPerSecond = 3, 5 })
	refused := map[string]int{}
	began := time.Now()
	for range 50 {
		if _, err := kv.Txn(ctx, put("/a")); status.Code(err) == codes.ResourceExhausted {
			refused["writes"]++
		}
		if _, err := kv.Range(ctx, &etcdpb.RangeRequest{Key: []byte("/a")}); status.Code(err) == codes.ResourceExhausted {
			refused["reads"]++
		}
	}
	seconds := time.Since(began).Seconds()
	if least := 47 - int(3*seconds) - 1; refused["writes"] < least || refused["writes"] > 47 {
		t.Errorf("%d of 50 writes refused in %.1f s at 3 a second", refused["writes"], seconds)
	}
	if least := 45 - int(5*seconds) - 1; refused["reads"] < least || refused["reads"] > 45 {
		t.Errorf("%d of 50 reads refused in %.1f s at 5 a second", refused["reads"], seconds)
	}
	if counts := platform.ResetCounts(); counts.Calls["Txn"]["vm1"] != 50 || counts.Totals["Range"] != 50 {
		t.Errorf("got %+v", counts)
	}
	if counts := platform.Counts(); len(counts.Totals) != 0 {
		t.Errorf("after the reset: %+v", counts)
	}
}

// Guards against faults that behave otherwise than documented: an outage returns errors, a partition sends no response to
// that client only, and a call whose response is lost takes effect.
func TestFaults(t *testing.T) {
	platform, connection, ctx := start(t)
	kv := etcdpb.NewKVClient(connection)
	set := func(body string) {
		t.Helper()
		if code, _ := control[Switches](t, platform, http.MethodPost, "/switches", body); code != http.StatusOK {
			t.Fatalf("%s: status %d", body, code)
		}
	}
	set(`{"lose_answers":1}`)
	if _, err := kv.Txn(ctx, put("/a", '1')); status.Code(err) != codes.Unavailable {
		t.Errorf("lost answer: %v", err)
	}
	if response, err := kv.Range(ctx, &etcdpb.RangeRequest{Key: []byte("/a")}); err != nil || response.GetCount() != 1 {
		t.Errorf("after the lost answer: %v, %v", response, err)
	}
	set(`{"partitioned":["vm1"]}`)
	short, cancel := context.WithTimeout(ctx, 30*time.Millisecond)
	defer cancel()
	if _, err := kv.Txn(short, put("/b", '1')); status.Code(err) != codes.DeadlineExceeded {
		t.Errorf("partitioned: %v", err)
	}
	other := metadata.NewOutgoingContext(ctx, metadata.Pairs(metadataVM, "vm2"))
	if response, err := kv.Range(other, &etcdpb.RangeRequest{Key: []byte("/b")}); err != nil || response.GetCount() != 0 {
		t.Errorf("other client: %v, %v", response, err)
	}
	set(`{"partitioned":[],"outage":true}`)
	if _, err := kv.Range(ctx, &etcdpb.RangeRequest{Key: []byte("/a")}); status.Code(err) != codes.Unavailable {
		t.Errorf("outage: %v", err)
	}
	set(`{"outage":false,"slow_ms":40}`)
	began := time.Now()
	if _, err := kv.Range(ctx, &etcdpb.RangeRequest{Key: []byte("/a")}); err != nil || time.Since(began) < 40*time.Millisecond {
		t.Errorf("slow: %v after %v", err, time.Since(began))
	}
	if code, _ := control[Switches](t, platform, http.MethodPost, "/switches", `{"outages":true}`); code != http.StatusBadRequest {
		t.Errorf("unknown switch: status %d", code)
	}
	if _, switches := control[Switches](t, platform, http.MethodGet, "/switches", ""); switches.SlowMS != 40 || switches.LoseAnswers != 0 {
		t.Errorf("got %+v", switches)
	}
}

// Guards against an expired lease that keeps its keys, or deletes them at several revisions or without events.
func TestLeaseExpiry(t *testing.T) {
	store := newStore(100)
	now := time.Unix(1_800_000_000, 0)
	id, err := store.grant(0, time.Second, now)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := store.executeTxn(&etcdpb.TxnRequest{Success: []*etcdpb.RequestOp{putOp("/a", id), putOp("/b", id), putOp("/c", 0)}}); err != nil {
		t.Fatal(err)
	}
	if ttl := store.keepAlive(id, now.Add(900*time.Millisecond)); ttl != time.Second {
		t.Errorf("kept alive for %v", ttl)
	}
	store.expireLeases(now.Add(1800 * time.Millisecond))
	if store.at("/a", 0) == nil {
		t.Error("a renewed lease has ended")
	}
	if ttl := store.keepAlive(id, now.Add(1900*time.Millisecond)); ttl != 0 {
		t.Error("an expired lease was renewed")
	}
	store.expireLeases(now.Add(1900 * time.Millisecond))
	if store.at("/a", 0) != nil || store.at("/b", 0) != nil || store.at("/c", 0) == nil || store.revision != 3 {
		t.Errorf("after expiry: revision %d, keys %v", store.revision, store.versions)
	}
	watch := &watch{key: []byte("/"), end: []byte("0"), next: 3}
	response, more := store.next(watch)
	if more || len(response.GetEvents()) != 2 || response.GetEvents()[0].GetType() != etcdpb.Event_DELETE {
		t.Errorf("got %v", response)
	}
}

// Guards against reads at an older revision that return another version, or succeed after the history was compacted.
func TestHistoryBound(t *testing.T) {
	store := newStore(10)
	for value := range byte(15) {
		if _, err := store.executeTxn(put("/a", value)); err != nil {
			t.Fatal(err)
		}
	}
	if len(store.history) > 10 {
		t.Errorf("%d changes are kept", len(store.history))
	}
	if response, err := store.read(&etcdpb.RangeRequest{Key: []byte("/a"), Revision: 14}); err != nil || !bytes.Equal(response.GetKvs()[0].GetValue(), []byte{12}) {
		t.Errorf("at revision 14: %v, %v", response, err)
	}
	if _, err := store.read(&etcdpb.RangeRequest{Key: []byte("/a"), Revision: 2}); status.Code(err) != codes.OutOfRange {
		t.Errorf("at a dropped revision: %v", err)
	}
	if response, _ := store.next(&watch{key: []byte("/a"), next: 2}); response.GetCompactRevision() == 0 || !response.GetCanceled() {
		t.Errorf("watch from a dropped revision: %v", response)
	}
}

// Guards against changes of the VM list that are lost, and against a lag that does not show the earlier list.
func TestVMList(t *testing.T) {
	platform, _, _ := start(t)
	if code, _ := control[vmsBody](t, platform, http.MethodPut, "/vms", `{"vms":[{"id":"vm1","role":"proxy"}]}`); code != http.StatusOK {
		t.Fatalf("status %d", code)
	}
	control[vmsBody](t, platform, http.MethodPut, "/vms/vm2", `{"role":"proxy","leaving":true}`)
	_, list := control[vmsBody](t, platform, http.MethodPut, "/vms/vm1", `{"role":"proxy","leaving":true}`)
	if len(list.VMs) != 2 || list.VMs[0].ID != "vm1" || !list.VMs[0].Leaving || list.VMs[1].ID != "vm2" {
		t.Errorf("got %+v", list)
	}
	if _, list = control[vmsBody](t, platform, http.MethodDelete, "/vms/vm1", ""); len(list.VMs) != 1 {
		t.Errorf("got %+v", list)
	}
	if past := platform.vms.at(time.Now().Add(-time.Minute)); len(past) != 0 {
		t.Errorf("a minute ago: %+v", past)
	}
}
