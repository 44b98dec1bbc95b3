package admin_test

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/xdg-go/scram"
	"google.golang.org/grpc"

	"dotterelgw/core/config"
	"dotterelgw/core/contract"
	"dotterelgw/core/ids"
	"dotterelgw/core/refusal"
	"dotterelgw/io/admin"
)

const testTimeout = 5 * time.Second

type grpcOption = grpc.CallOption

// applyWithContext applies a contract with a context that is cancelled during the request.
func (api *api) applyWithContext(ctx context.Context, change admin.Change) admin.Problem {
	api.t.Helper()
	text, err := json.Marshal(change)
	if err != nil {
		api.t.Fatal(err)
	}
	request := httptest.NewRequestWithContext(ctx, http.MethodPut, "/v1/contracts/acme", bytes.NewReader(text))
	request.Header.Set("Authorization", "Bearer "+credential)
	response := httptest.NewRecorder()
	api.handler.ServeHTTP(response, request)
	var problem admin.Problem
	if err := json.Unmarshal(response.Body.Bytes(), &problem); err != nil {
		api.t.Fatal(err)
	}
	return problem
}

// stored returns acme's contract as stored in the key-value service.
func (api *api) stored() *contract.Contract {
	api.t.Helper()
	entry, _, err := api.client.Get(context.Background(), config.ContractKey("acme"))
	if err != nil {
		api.t.Fatal(err)
	}
	record, err := config.Decode[config.ContractRecord](entry)
	if err != nil {
		api.t.Fatal(err)
	}
	parsed, err := contract.Parse("stored", []byte(record.Text))
	if err != nil {
		api.t.Fatal(err)
	}
	return parsed
}

// TestAuthentication guards against access to the API without an operator's credential, and against health, readiness
// and metrics that require one.
func TestAuthentication(t *testing.T) {
	api := start(t)
	tests := map[string]struct {
		path, header string
		status       int
	}{
		"none":          {"/v1/status", "", http.StatusUnauthorized},
		"empty":         {"/v1/status", "Bearer ", http.StatusUnauthorized},
		"wrong":         {"/v1/status", "Bearer wrong", http.StatusUnauthorized},
		"wrong scheme":  {"/v1/status", "Basic " + credential, http.StatusUnauthorized},
		"right":         {"/v1/status", "Bearer " + credential, http.StatusOK},
		"health":        {"/healthz", "", http.StatusOK},
		"readiness":     {"/readyz", "", http.StatusOK},
		"metrics":       {"/metrics", "", http.StatusOK},
		"unknown":       {"/v2", "", http.StatusNotFound},
		"unknown below": {"/v1/contracts/acme/none", "Bearer " + credential, http.StatusNotFound},
	}
	for name, test := range tests {
		request := httptest.NewRequest(http.MethodGet, test.path, http.NoBody)
		request.Header.Set("Authorization", test.header)
		response := httptest.NewRecorder()
		api.handler.ServeHTTP(response, request)
		if response.Code != test.status {
			t.Errorf("%s: status %d, want %d", name, response.Code, test.status)
		}
	}
	api.notReady = errors.New("draining")
	if code, body := api.request(http.MethodGet, "/readyz", nil); code != http.StatusServiceUnavailable || !strings.Contains(body, "draining") {
		t.Errorf("not ready: status %d: %s", code, body)
	}
}

// TestServeTLS guards against an API that is served over plain HTTP despite TLS settings, and against a Serve that
// returns an error after Shutdown.
func TestServeTLS(t *testing.T) {
	certificate := httptest.NewUnstartedServer(http.NotFoundHandler())
	certificate.StartTLS()
	defer certificate.Close()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := admin.New(admin.Dependencies{VM: "vm1", Control: &fakeControl{}, Ready: func() error { return nil }},
		admin.WithTLS(&tls.Config{Certificates: certificate.TLS.Certificates, MinVersion: tls.VersionTLS13}))
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	response, err := certificate.Client().Get("https://" + listener.Addr().String() + "/healthz")
	if err != nil {
		t.Fatal(err)
	}
	_ = response.Body.Close()
	if response.StatusCode != http.StatusOK {
		t.Errorf("status %s", response.Status)
	}
	if response, err = http.Get("http://" + listener.Addr().String() + "/healthz"); err == nil {
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			t.Error("served without TLS")
		}
	}
	certificate.Client().CloseIdleConnections()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		t.Errorf("shutdown: %v", err)
	}
	if err := <-served; err != nil {
		t.Errorf("serve: %v", err)
	}
}

// TestGivenKeyAuthenticates guards against a secret in the response that does not match the stored verifier, so that
// callers cannot authenticate with it.
func TestGivenKeyAuthenticates(t *testing.T) {
	api := start(t)
	api.apply(admin.Change{Text: acme})
	given := get[admin.KeyIssued](api, http.StatusOK, http.MethodPost, "/v1/contracts/acme/keys", nil)
	key, ok := api.stored().Key(given.ID)
	if !ok || given.User != "acme."+string(given.ID) {
		t.Fatalf("got %+v", given)
	}
	server, err := scram.SHA256.NewServer(func(string) (scram.StoredCredentials, error) { return parseVerifier(t, key.Verifier), nil })
	if err != nil {
		t.Fatal(err)
	}
	client, err := scram.SHA256.NewClient("", given.Secret, "")
	if err != nil {
		t.Fatal(err)
	}
	clientConversation, serverConversation, message := client.NewConversation(), server.NewConversation(), ""
	for range 2 {
		if message, err = clientConversation.Step(message); err != nil {
			t.Fatal(err)
		}
		if message, err = serverConversation.Step(message); err != nil {
			t.Fatal(err)
		}
	}
	if !serverConversation.Valid() {
		t.Error("the key was not accepted")
	}
}

func parseVerifier(t *testing.T, verifier string) scram.StoredCredentials {
	t.Helper()
	parts := strings.FieldsFunc(verifier, func(r rune) bool { return r == '$' || r == ':' })
	decode := func(text string) []byte {
		decoded, err := base64.StdEncoding.DecodeString(text)
		if err != nil {
			t.Fatal(err)
		}
		return decoded
	}
	iterations, err := strconv.Atoi(parts[1])
	if err != nil {
		t.Fatal(err)
	}
	return scram.StoredCredentials{
		KeyFactors: scram.KeyFactors{Salt: string(decode(parts[2])), Iters: iterations},
		StoredKey:  decode(parts[3]), ServerKey: decode(parts[4]),
	}
}

// TestSecretsAppearOnce guards against a key that appears in any response but the one that issues it, and against
// verifiers and credentials in responses or logs.
func TestSecretsAppearOnce(t *testing.T) {
	api := start(t)
	api.apply(admin.Change{Text: acme})
	_, answer := api.request(http.MethodPost, "/v1/contracts/acme/keys?change_id=c1", map[string]string{"key_id": "k1"})
	var given admin.KeyIssued
	if err := json.Unmarshal([]byte(answer), &given); err != nil || given.Secret == "" {
		t.Fatalf("got %s, %v", answer, err)
	}
	key, _ := api.stored().Key("k1")
	withKey, err := contract.Format(api.stored())
	if err != nil {
		t.Fatal(err)
	}
	outdated := ids.Revision(1)
	refusal := api.recorder.Record(refusal.New(refusal.KeyUnknown, "1 of 1"), admin.Caller{Organisation: "acme", Key: "k1"})
	var seen strings.Builder
	seen.WriteString(strings.Replace(answer, given.Secret, "", 1))
	for _, request := range []struct {
		method, path string
		body         any
	}{
		{http.MethodPost, "/v1/contracts/acme/keys?change_id=c1", map[string]string{"key_id": "k1"}},
		{http.MethodPost, "/v1/contracts/acme/keys", map[string]string{"key_id": "k1"}},
		{http.MethodPost, "/v1/contracts/acme/keys", map[string]string{"key_id": "K 1"}},
		{http.MethodGet, "/v1/contracts", nil},
		{http.MethodGet, "/v1/contracts/acme", nil},
		{http.MethodPut, "/v1/contracts/acme", admin.Change{Text: string(withKey)}},
		{http.MethodPut, "/v1/contracts/acme", admin.Change{Text: string(withKey), Expected: &outdated}},
		{http.MethodPut, "/v1/contracts/acme", admin.Change{Text: string(withKey) + "\nfoo = "}},
		{http.MethodPut, "/v1/contracts/acme", admin.Change{Text: strings.Replace(string(withKey), "4096", "4097", 1)}},
		{http.MethodPut, "/v1/contracts/acme", admin.Change{Text: strings.Replace(string(withKey), "$4096", "$x", 1)}},
		{http.MethodGet, "/v1/refusals/" + string(refusal.ID), nil},
		{http.MethodGet, "/v1/status", nil},
		{http.MethodDelete, "/v1/contracts/acme/keys/k1", nil},
		{http.MethodDelete, "/v1/contracts/acme/keys/k2", nil},
		{http.MethodDelete, "/v1/contracts/acme", nil},
		{http.MethodGet, "/metrics", nil},
	} {
		code, body := api.request(request.method, request.path, request.body)
		fmt.Fprintf(&seen, "%s %s %d: %s\n", request.method, request.path, code, body)
	}
	seen.WriteString(api.logOutput.String())
	secrets := append([]string{given.Secret, credential, "SCRAM-SHA-256$4"}, strings.FieldsFunc(key.Verifier, func(r rune) bool { return r == '$' || r == ':' })[2:]...)
	for _, secret := range secrets {
		// JSON may escape the plus sign of base64.
		if strings.Contains(seen.String(), secret) || strings.Contains(seen.String(), strings.ReplaceAll(secret, "+", `\u002b`)) {
			t.Errorf("%q appears in:\n%s", secret, seen.String())
		}
	}
}

// TestRepeatedKeyGive guards against a repeated request for a key on another VM that returns a new key although another
// one is stored.
func TestRepeatedKeyGive(t *testing.T) {
	api := start(t)
	api.apply(admin.Change{Text: acme})
	path := "/v1/contracts/acme/keys?change_id=c1"
	api.control.Entry("")
	api.control.stale = true // like a VM that has not received the first change
	first := get[admin.KeyIssued](api, http.StatusOK, http.MethodPost, path, map[string]string{"key_id": "k1"})
	problem := get[admin.Problem](api, http.StatusConflict, http.MethodPost, path, map[string]string{"key_id": "k1"})
	if !strings.Contains(problem.Message, "stored before") || len(api.stored().Keys) != 1 || first.Secret == "" {
		t.Errorf("got %+v, stored %+v", problem, api.stored().Keys)
	}
}

// TestKeysAndOtherChanges guards against issued or withdrawn keys that are lost in concurrent changes of the contract,
// and against a withdrawn key that becomes valid again.
func TestKeysAndOtherChanges(t *testing.T) {
	api := start(t)
	api.apply(admin.Change{Text: acme})
	api.control.beforeStore = func() { api.overwrite("70.0") }
	get[admin.KeyIssued](api, http.StatusOK, http.MethodPost, "/v1/contracts/acme/keys", map[string]string{"key_id": "k1"})
	if stored := api.stored(); stored.Rate != 70 || len(stored.Keys) != 1 {
		t.Fatalf("after giving a key: %+v", stored)
	}
	withKey, err := contract.Format(api.stored())
	if err != nil {
		t.Fatal(err)
	}
	get[admin.ChangeResult](api, http.StatusOK, http.MethodDelete, "/v1/contracts/acme/keys/k1", nil)
	attempts := api.control.attempts
	get[admin.ChangeResult](api, http.StatusOK, http.MethodDelete, "/v1/contracts/acme/keys/k1", nil)
	if api.control.attempts != attempts {
		t.Error("withdrawing a withdrawn key stored a new version")
	}
	for name, text := range map[string]string{"without the key": acme, "with the key in use": string(withKey)} {
		api.apply(admin.Change{Text: text})
		if key, ok := api.stored().Key("k1"); !ok || key.WithdrawnAt.IsZero() {
			t.Errorf("applied %s: key %+v", name, key)
		}
	}
	problem := get[admin.Problem](api, http.StatusNotFound, http.MethodPost, "/v1/contracts/none/keys", nil)
	if problem.Code != admin.CodeNotFound || problem.Next == "" {
		t.Errorf("got %+v", problem)
	}
}

// TestRecorderBounds guards against a recorder that exceeds its bounds at a high rate of refusals, or that does not find
// a record within the bounds.
func TestRecorderBounds(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	registry := metrics.NewRegistry()
	recorder := admin.NewRecorder("vm-1", registry, func() time.Time { return now })
	quiet := recorder.Record(refusal.New(refusal.QueueFull, "1 of 1"), admin.Caller{Organisation: "quiet"}).ID
	var recorded []ids.RequestID
	for range 10_000 {
		refused := refusal.New(refusal.RateExceeded, "5 of 5").WithOutcome(refusal.RolledBack)
		recorded = append(recorded, recorder.Record(refused, admin.Caller{Organisation: "acme", ContractRevision: 9}).ID)
	}
	record, ok := recorder.Find(recorded[9_999])
	if !ok || record.Reason != refusal.RateExceeded || record.SQLState != "53400" || record.Clause != "rate" ||
		record.Outcome != refusal.RolledBack || record.Note != "5 of 5" || record.ContractRevision != 9 || record.VM != "vm-1" {
		t.Errorf("got %+v, %t", record, ok)
	}
	if _, ok := recorder.Find(recorded[1]); !ok {
		t.Error("a record within the bounds was dropped")
	}
	for name, id := range map[string]ids.RequestID{"oldest": recorded[0], "malformed": "vm-1", "other VM": "vm-2-1", "later": "vm-1-ffffffffffffffff"} {
		if _, ok := recorder.Find(id); ok {
			t.Errorf("%s: found a record", name)
		}
	}
	if _, ok := recorder.Find(quiet); !ok {
		t.Error("the only record of an organisation was evicted by the records of another one")
	}
	if count := metrics.GetOrRegisterCounter("rate_exceeded", registry).Count(); count != 10_000 {
		t.Errorf("counted %d", count)
	}
	now = now.Add(10*time.Minute + time.Second)
	if _, ok := recorder.Find(recorded[9_999]); ok {
		t.Error("found a record older than 10 minutes")
	}
}

// TestExplainRefusal guards against a refusal whose record cannot be read through another VM, and against errors that do
// not say what to do next.
func TestExplainRefusal(t *testing.T) {
	api := start(t)
	refused := refusal.New(refusal.QueueFull, "200 of 200 waiting")
	own := api.recorder.Record(refused, admin.Caller{Organisation: "acme", Key: "k1", Route: "main"})
	other := api.peers.recorder.Record(refused, admin.Caller{Organisation: "acme"})
	for name, id := range map[string]ids.RequestID{"own": own.ID, "other VM": other.ID} {
		record := get[admin.Record](api, http.StatusOK, http.MethodGet, "/v1/refusals/"+string(id), nil)
		if record.ID != id || record.Note != "200 of 200 waiting" || record.Hint == "" {
			t.Errorf("%s: got %+v", name, record)
		}
	}
	for id, status := range map[string]int{"vm1-1": http.StatusNotFound, "vm2-1": http.StatusNotFound, "vm9-1": http.StatusNotFound, "x": http.StatusBadRequest} {
		problem := get[admin.Problem](api, status, http.MethodGet, "/v1/refusals/"+id, nil)
		if problem.Next == "" {
			t.Errorf("%s: got %+v", id, problem)
		}
	}
	api.peers.err = errors.New("no route")
	get[admin.Problem](api, http.StatusServiceUnavailable, http.MethodGet, "/v1/refusals/"+string(other.ID), nil)
}

// TestDrain guards against a request to drain one VM that drains another.
func TestDrain(t *testing.T) {
	api := start(t)
	problem := get[admin.Problem](api, http.StatusMisdirectedRequest, http.MethodPost, "/v1/drain/vm2", nil)
	if problem.Code != admin.CodeOtherVM || api.drained != 0 {
		t.Errorf("got %+v after %d drains", problem, api.drained)
	}
	get[map[string]any](api, http.StatusOK, http.MethodPost, "/v1/drain/vm1", nil)
	if api.drained != 1 {
		t.Errorf("%d drains", api.drained)
	}
}
