package engine

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgconn"

	"dotterelgw/io/load/experiment"
	"dotterelgw/io/load/history"
	"dotterelgw/io/load/schedule"
	"dotterelgw/standin/database"
)

// Guards against a run that loses requests, classifies lost responses as refusals or reports violations that did not
// happen. One database stand-in serves as both proxies.
func TestRun(t *testing.T) {
	server, err := database.New(database.Settings{ID: "g1-a", ConnectTime: -1})
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan error, 1)
	go func() { done <- server.Run(context.Background()) }()
	defer func() {
		server.Close()
		if err := <-done; err != nil {
			t.Error(err)
		}
	}()
	switches := httptest.NewServer(server.SwitchesHandler())
	defer switches.Close()
	admin := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(writer).Encode(map[string]any{"route_replica": map[string]int{"count": 0}, "backend": map[string]string{}})
	}))
	defer admin.Close()
	spec, err := experiment.Parse(`
duration = "700ms"
timeout = "2s"
[[organisations]]
name = "org"
user = "tester"
group = "g1"
rate = 300.0
arrivals = "bursts"
burst_size = 3
read_share = 0.5
transaction_share = 0.5
sessions = 4
move_every = "100ms"
token = true
[[failures]]
at = "100ms"
target = "primary:g1"
switches = { lose_answer_after_commit = 2 }
[[failures]]
at = "300ms"
until = "500ms"
target = "g1-a"
switches = { frozen = true }
[[proxies]]
name = "one"
address = "` + server.Address() + `"
admin = "` + admin.URL + `"
[[proxies]]
name = "two"
address = "` + server.Address() + `"
[[servers]]
id = "g1-a"
group = "g1"
address = "` + server.Address() + `"
switches = "` + switches.URL + `"
`)
	if err != nil {
		t.Fatal(err)
	}
	measured, recorded, err := Run(context.Background(), spec, NewTarget(spec), io.Discard)
	if err != nil {
		t.Fatal(err)
	}
	organisation := measured.Organisations[0]
	arrivals := schedule.Arrivals(spec.Organisations[0], 700e6, spec.Seed, 0)
	if organisation.Requests != len(arrivals) || organisation.Unknown != 2 || organisation.OK+organisation.Unknown != organisation.Requests {
		t.Errorf("%d arrivals, %+v, reasons %v", len(arrivals), organisation, measured.Reasons)
	}
	if len(measured.Violations) != 0 || len(measured.Notes) != 1 || !measured.Replica.Measured || !measured.Complete {
		t.Errorf("violations %v, notes %v", measured.Violations, measured.Notes)
	}
	frozen := measured.Failures[1]
	frozenMS := 1000 * (frozen.Until - frozen.At)
	if frozen.Error != "" || frozenMS <= 0 || frozen.GapMS < minGapShare*frozenMS || !frozen.Recovered {
		t.Errorf("failures %+v", measured.Failures)
	}
	moved := 0
	for _, request := range recorded.Requests {
		if request.Moved {
			moved++
		}
	}
	if moved == 0 {
		t.Error("no session moved")
	}
}

// minGapShare is the part of a freeze that the gap between two answers must cover. Beside a busy machine the server is frozen, and the last
// answer read, up to 8 ms late.
const minGapShare = 0.9

// Guards against stale reads that the checker misses. A replica with stopped replay serves as the second proxy, so
// sessions that move to it do not see their own writes.
func TestRunFindsStaleReads(t *testing.T) {
	servers, closeAll, err := database.StartGroup(context.Background(), database.Settings{ConnectTime: -1}, 2)
	if err != nil {
		t.Fatal(err)
	}
	defer func() {
		if err := closeAll(); err != nil {
			t.Error(err)
		}
	}()
	switches := httptest.NewServer(servers[1].SwitchesHandler())
	defer switches.Close()
	spec := &experiment.Experiment{
		Duration: experiment.Duration(400 * time.Millisecond), Timeout: experiment.Duration(time.Second), Seed: 1, Protocol: "exec",
		Organisations: []experiment.Organisation{{
			Name: "org", User: "tester", Route: "main", Rate: 300, Arrivals: "even", ReadShare: 0.5, Sessions: 4,
			Move: "spread", MoveEvery: experiment.Duration(50 * time.Millisecond),
		}},
		Servers: []experiment.Server{{ID: "replica", Switches: switches.URL}},
		Failures: []experiment.Failure{{
			At: experiment.Duration(100 * time.Millisecond), Target: "replica", Switches: map[string]any{"frozen_replay": true},
		}},
	}
	for _, server := range servers {
		spec.Proxies = append(spec.Proxies, experiment.Proxy{Address: server.Address(), Parameters: "sslmode=disable"})
	}
	measured, _, err := Run(context.Background(), spec, NewTarget(spec), io.Discard)
	if err != nil {
		t.Fatal(err)
	}
	if measured.ViolationCount[history.StaleRead] == 0 || len(measured.ViolationCount) != 1 || measured.Replica.Measured {
		t.Errorf("violations %v, replica share %+v, reasons %v, notes %v", measured.ViolationCount, measured.Replica, measured.Reasons, measured.Notes)
	}
}

// Guards against classifying an unknown outcome as "not run", which would hide repeated or lost writes.
func TestClassify(t *testing.T) {
	refusal := func(outcome string) error {
		return &pgconn.PgError{Code: "53400", Detail: "refusal vm1-1: rate_exceeded; clause: rate; outcome: " + outcome + "; rate 5/s"}
	}
	cases := map[string]struct {
		err    error
		kind   schedule.Kind
		before bool
		want   history.Outcome
		reason string
	}{
		"refused":           {refusal("not run"), schedule.Write, false, history.Refused, "rate_exceeded"},
		"unknown":           {refusal("unknown"), schedule.Write, false, history.Unknown, "rate_exceeded"},
		"constraint":        {&pgconn.PgError{Code: "23505"}, schedule.Write, false, history.Refused, ""},
		"unknown by state":  {&pgconn.PgError{Code: "08007"}, schedule.Write, false, history.Unknown, ""},
		"broken write":      {io.ErrUnexpectedEOF, schedule.Write, false, history.Unknown, ""},
		"broken read":       {io.ErrUnexpectedEOF, schedule.Read, false, history.Failed, ""},
		"before the commit": {errors.New("broken"), schedule.Transaction, true, history.Failed, ""},
		"late":              {context.DeadlineExceeded, schedule.Write, false, history.Unknown, "timeout"},
	}
	for name, test := range cases {
		request := &history.Request{Kind: test.kind}
		classify(request, test.err, test.before)
		if request.Outcome != test.want || request.Reason != test.reason {
			t.Errorf("%s: %s %q, want %s %q", name, request.Outcome, request.Reason, test.want, test.reason)
		}
	}
}
