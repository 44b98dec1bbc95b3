package admin_test

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"

	"dotterelgw/core/config"
	"dotterelgw/core/ids"
	"dotterelgw/core/member"
	"dotterelgw/core/position"
	"dotterelgw/core/route"
	"dotterelgw/io/admin"
	"dotterelgw/io/control"
	"dotterelgw/io/peer/peerpb"
	"dotterelgw/io/platform"
	standin "dotterelgw/standin/platform"
)

const (
	credential = "operator-credential-for-tests"
	acme       = `organisation = "acme"
rate = 100.0
burst = 50.0

[[routes]]
name = "main"
group = "g1"
`
)

// fakeControl stores proposals in the stand-in of the platform and returns its entries without delay.
type fakeControl struct {
	client platform.Client

	mutex       sync.Mutex
	changed     func(config.Entry)
	entries     map[string]config.Entry
	stale       bool                            // Entry keeps returning old versions
	beforeStore func()                          // called once, before the next proposal is stored
	afterStore  func(error) error               // called once, after the next proposal; its result replaces the error
	inForce     func() ([]ids.VMID, error)      // result of UnconfirmedVMs
	attempts    int                             // number of calls of Propose
	failWith    func(attempt int) (error, bool) // if it returns true, the attempt fails with the error and stores nothing
}

func (fake *fakeControl) refresh() {
	entries, _, err := fake.client.List(context.Background(), config.Prefix)
	if err != nil {
		return
	}
	for _, entry := range entries {
		fake.entries[entry.Key] = entry
		fake.changed(entry)
	}
}

func (fake *fakeControl) Entry(key string) (config.Entry, bool) {
	fake.mutex.Lock()
	defer fake.mutex.Unlock()
	if !fake.stale {
		fake.refresh()
	}
	entry, ok := fake.entries[key]
	return entry, ok
}

func (fake *fakeControl) OnChange(changed func(config.Entry)) { fake.changed = changed }

func (fake *fakeControl) Propose(ctx context.Context, key string, expected ids.Revision, value []byte) (ids.Revision, error) {
	fake.mutex.Lock()
	beforeStore, afterStore := fake.beforeStore, fake.afterStore
	fake.beforeStore, fake.afterStore = nil, nil
	fake.attempts++
	attempt := fake.attempts
	fake.mutex.Unlock()
	if fake.failWith != nil {
		if err, ok := fake.failWith(attempt); ok {
			return 0, err
		}
	}
	if beforeStore != nil {
		beforeStore()
	}
	revision, swapped, err := fake.client.CompareAndSwap(ctx, key, expected, value)
	switch {
	case errors.Is(err, platform.ErrOutcomeUnknown):
		err = fmt.Errorf("propose: %w", control.ErrUnknownOutcome)
	case err == nil && !swapped:
		err = fmt.Errorf("propose: %w", control.ErrConflict)
	}
	if afterStore != nil {
		if err = afterStore(err); !errors.Is(err, control.ErrNoMajority) {
			revision = 0
		}
	}
	if err != nil && !errors.Is(err, control.ErrNoMajority) {
		return 0, err
	}
	return revision, err
}

func (fake *fakeControl) Revision() ids.Revision { return 7 }

func (fake *fakeControl) UnconfirmedVMs(context.Context, ids.Revision) ([]ids.VMID, error) {
	if fake.inForce == nil {
		return nil, nil
	}
	return fake.inForce()
}

func (*fakeControl) Members() []member.Member {
	return []member.Member{{ID: "vm1", Address: "10.0.0.1:1", Zone: "a"}, {ID: "vm2", Address: "10.0.0.2:1", Zone: "b"}}
}

func (*fakeControl) Admitting() bool { return true }

type fakeGroups struct{}

func (fakeGroups) View(group ids.GroupID) *route.View {
	return &route.View{
		Group: group, Term: 3, Primary: 1, Starts: []position.Position{},
		Servers: []route.Server{{ID: "a"}, {ID: "b", Reachable: true}},
	}
}

// fakePeers is a dialer and client for the recorder of another VM.
type fakePeers struct {
	peerpb.PeerClient
	recorder admin.Recorder
	err      error
}

func (peers fakePeers) Peer(string) (peerpb.PeerClient, error) { return peers, nil }

func (peers fakePeers) Refusals(ctx context.Context, request *peerpb.RefusalRequest, _ ...grpcOption) (*peerpb.RefusalReply, error) {
	if peers.err != nil {
		return nil, peers.err
	}
	return peers.recorder.Refusals(ctx, request)
}

// api is an administration API under test with its fakes.
type api struct {
	t         *testing.T
	service   *standin.Platform
	client    platform.Client
	control   *fakeControl
	peers     *fakePeers
	recorder  admin.Recorder
	logOutput *bytes.Buffer
	metrics   metrics.Registry
	drained   int
	notReady  error
	handler   http.Handler
}

func start(t *testing.T) *api {
	t.Helper()
	service, err := standin.New(standin.Settings{Listen: "127.0.0.1:0"})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = service.Close() })
	client, err := platform.New([]string{service.Addresses().KeyValue}, "vm1")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = client.Close() })
	api := &api{
		t: t, service: service, client: client, logOutput: &bytes.Buffer{}, metrics: metrics.NewRegistry(),
		control: &fakeControl{client: client, entries: map[string]config.Entry{}},
		peers:   &fakePeers{recorder: admin.NewRecorder("vm2", metrics.NewRegistry(), time.Now)},
	}
	api.recorder = admin.NewRecorder("vm1", api.metrics, time.Now)
	operator, err := admin.NewOperator("ops", fmt.Sprintf("%x", sha256.Sum256([]byte(credential))))
	if err != nil {
		t.Fatal(err)
	}
	api.handler = admin.New(admin.Dependencies{
		VM: "vm1", Zone: "a", Control: api.control, Reader: client, Groups: fakeGroups{}, Peers: api.peers,
		Recorder: api.recorder, Ready: func() error { return api.notReady }, Drain: func() { api.drained++ },
		Operators: []admin.Operator{operator}, Metrics: api.metrics,
		Logger: log.NewLogfmtLogger(log.NewSyncWriter(api.logOutput)),
	}, admin.WithPollInterval(time.Millisecond)).Handler()
	return api
}

// request sends a request as operator and returns the status code and the body.
func (api *api) request(method, path string, body any) (int, string) {
	api.t.Helper()
	text, err := json.Marshal(body)
	if err != nil {
		api.t.Fatal(err)
	}
	request := httptest.NewRequest(method, path, bytes.NewReader(text))
	if body == nil {
		request = httptest.NewRequest(method, path, http.NoBody)
	}
	request.Header.Set("Authorization", "Bearer "+credential)
	response := httptest.NewRecorder()
	api.handler.ServeHTTP(response, request)
	return response.Code, response.Body.String()
}

// get sends a request, fails the test unless the response has the status, and returns the decoded body.
func get[T any](api *api, status int, method, path string, body any) T {
	api.t.Helper()
	code, text := api.request(method, path, body)
	if code != status {
		api.t.Fatalf("%s %s: status %d, want %d: %s", method, path, code, status, text)
	}
	var decoded T
	if err := json.Unmarshal([]byte(text), &decoded); err != nil {
		api.t.Fatalf("%s %s: %v: %s", method, path, err, text)
	}
	return decoded
}

func (api *api) apply(change admin.Change) admin.ChangeResult {
	api.t.Helper()
	return get[admin.ChangeResult](api, http.StatusOK, http.MethodPut, "/v1/contracts/acme", change)
}

// overwrite stores a version of acme's contract with another rate, like a concurrent change of another operator.
func (api *api) overwrite(rate string) {
	api.t.Helper()
	entry, _, err := api.client.Get(context.Background(), config.ContractKey("acme"))
	if err != nil {
		api.t.Error(err)
	}
	value, err := config.Encode(config.ContractRecord{ChangeID: "other", Text: strings.Replace(acme, "100.0", rate, 1)})
	if err != nil {
		api.t.Error(err)
	}
	if _, swapped, err := api.client.CompareAndSwap(context.Background(), entry.Key+missingKey(entry), entry.Revision, value); err != nil || !swapped {
		api.t.Errorf("overwrite: swapped %t, %v", swapped, err)
	}
}

// missingKey returns the key of acme's contract if the entry is absent and so has no key.
func missingKey(entry config.Entry) string {
	if entry.Key == "" {
		return config.ContractKey("acme")
	}
	return ""
}
