package admin_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"dotterelgw/core/config"
	"dotterelgw/core/ids"
	"dotterelgw/io/admin"
	"dotterelgw/io/control"
	standin "dotterelgw/standin/platform"
)

// TestLostAnswer guards against a change that is stored twice, or reported with the wrong outcome, after the answer of
// the key-value service was lost.
func TestLostAnswer(t *testing.T) {
	tests := map[string]struct {
		prepare  func(api *api)
		status   int
		attempts int
	}{
		"took effect": {
			prepare: func(api *api) { api.service.Change(func(switches *standin.Switches) { switches.LoseAnswers = 1 }) },
			status:  http.StatusOK, attempts: 1,
		},
		"took effect and was replaced": {
			prepare: func(api *api) {
				api.control.afterStore = func(error) error {
					api.overwrite("70.0")
					return control.ErrUnknownOutcome
				}
			},
			status: http.StatusOK, attempts: 1,
		},
		"took effect through another VM and was replaced": {
			prepare: func(api *api) {
				api.control.Entry("")
				api.control.stale = true // like a VM that has not received either change
				entry, _ := api.control.Entry(config.ContractKey("acme"))
				value, err := config.Encode(config.ContractRecord{ChangeID: "mine", Text: acme})
				if err != nil {
					api.t.Fatal(err)
				}
				if _, _, err := api.client.CompareAndSwap(context.Background(), entry.Key, entry.Revision, value); err != nil {
					api.t.Fatal(err)
				}
				api.overwrite("70.0")
			},
			status: http.StatusOK, attempts: 1,
		},
		"took no effect": {
			prepare: func(api *api) {
				api.control.failWith = func(attempt int) (error, bool) { return control.ErrUnknownOutcome, attempt == 1 }
			},
			status: http.StatusOK, attempts: 2,
		},
		"took no effect and the majority was lost meanwhile": {
			prepare: func(api *api) {
				api.control.failWith = func(attempt int) (error, bool) {
					return map[int]error{1: control.ErrUnknownOutcome, 2: control.ErrNoMajority}[attempt], attempt <= 2
				}
			},
			status: http.StatusOK, attempts: 3,
		},
		"took no effect and another change came first": {
			prepare: func(api *api) {
				api.control.failWith = func(attempt int) (error, bool) {
					api.overwrite("70.0")
					return control.ErrUnknownOutcome, attempt == 1
				}
			},
			status: http.StatusConflict, attempts: 1,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			api := start(t)
			api.overwrite("60.0")
			test.prepare(api)
			code, body := api.request(http.MethodPut, "/v1/contracts/acme", admin.Change{Text: acme, ChangeID: "mine"})
			if code != test.status || api.control.attempts != test.attempts {
				t.Errorf("status %d after %d attempts, want %d after %d: %s", code, api.control.attempts, test.status, test.attempts, body)
			}
		})
	}
}

// TestUnknownOutcomeIsSettledByRepeating guards against a definite result while the service does not answer, and against
// a second change when the request is repeated later with the same change id.
func TestUnknownOutcomeIsSettledByRepeating(t *testing.T) {
	api := start(t)
	api.service.Change(func(switches *standin.Switches) { switches.LoseAnswers = 1 })
	ctx, cancel := context.WithCancel(context.Background())
	api.control.afterStore = func(err error) error {
		api.service.Change(func(switches *standin.Switches) { switches.Outage = true })
		cancel()
		return err
	}
	problem := api.applyWithContext(ctx, admin.Change{Text: acme, ChangeID: "mine"})
	if problem.Code != admin.CodeOutcomeUnknown || problem.ChangeID != "mine" || !strings.Contains(problem.Next, "same change id") {
		t.Fatalf("got %+v", problem)
	}
	api.service.Change(func(switches *standin.Switches) { switches.Outage = false })
	deadline, stop := context.WithTimeout(context.Background(), testTimeout)
	defer stop()
	for {
		// Retry until the client has reconnected.
		if _, _, err := api.client.Get(deadline, config.ContractKey("acme")); err == nil || deadline.Err() != nil {
			break
		}
	}
	attempts := api.control.attempts
	changeResult := api.apply(admin.Change{Text: acme, ChangeID: "mine"})
	if changeResult.Revision == 0 || api.control.attempts != attempts {
		t.Errorf("got %+v after %d more attempts", changeResult, api.control.attempts-attempts)
	}
}

// TestConflictShowsBothVersions guards against a conflict that does not include both the stored and the refused version.
func TestConflictShowsBothVersions(t *testing.T) {
	tests := map[string]func(api *api) admin.Change{
		"outdated revision": func(api *api) admin.Change {
			first := api.apply(admin.Change{Text: acme})
			api.overwrite("70.0")
			return admin.Change{Text: strings.Replace(acme, "100.0", "80.0", 1), Expected: &first.Revision}
		},
		"race": func(api *api) admin.Change {
			api.apply(admin.Change{Text: acme})
			api.control.beforeStore = func() { api.overwrite("70.0") }
			return admin.Change{Text: strings.Replace(acme, "100.0", "80.0", 1)}
		},
	}
	for name, prepare := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			api := start(t)
			problem := get[admin.Problem](api, http.StatusConflict, http.MethodPut, "/v1/contracts/acme", prepare(api))
			if problem.Current == nil || problem.Yours == nil || problem.Next == "" {
				t.Fatalf("got %+v", problem)
			}
			if !strings.Contains(problem.Current.Text, "rate = 70.0") || !strings.Contains(problem.Yours.Text, "rate = 80.0") {
				t.Errorf("stored:\n%s\nrefused:\n%s", problem.Current.Text, problem.Yours.Text)
			}
			if problem.Current.ChangeID != "other" || problem.Current.Revision <= problem.Yours.Revision {
				t.Errorf("stored %+v, refused %+v", problem.Current, problem.Yours)
			}
		})
	}
}

// TestNoMajority guards against a stored change that is reported as unchanged, and the reverse, when no majority answers.
func TestNoMajority(t *testing.T) {
	api := start(t)
	api.control.failWith = func(int) (error, bool) { return fmt.Errorf("propose: %w", control.ErrNoMajority), true }
	problem := get[admin.Problem](api, http.StatusServiceUnavailable, http.MethodPut, "/v1/contracts/acme", admin.Change{Text: acme})
	if !strings.Contains(problem.Message, "nothing was changed") {
		t.Errorf("got %+v", problem)
	}
	api.control.failWith = nil
	api.control.afterStore = func(error) error { return control.ErrNoMajority }
	api.control.inForce = func() ([]ids.VMID, error) { return []ids.VMID{"vm2"}, nil }
	changeResult := api.apply(admin.Change{Text: acme})
	if changeResult.Revision == 0 || changeResult.InForce == nil || *changeResult.InForce || fmt.Sprint(changeResult.Missing) != "[vm2]" {
		t.Errorf("got %+v", changeResult)
	}
}

// TestWait guards against a wait that does not end when every VM holds the change, or that does not list the VMs that do
// not hold it at the timeout.
func TestWait(t *testing.T) {
	api := start(t)
	queries := 0
	api.control.inForce = func() ([]ids.VMID, error) {
		queries++
		return []ids.VMID{"vm2", "vm3"}[:max(0, 3-queries)], nil
	}
	path := "/v1/contracts/acme?wait=true&timeout="
	changeResult := get[admin.ChangeResult](api, http.StatusOK, http.MethodPut, path+"10s", admin.Change{Text: acme})
	if changeResult.InForce == nil || !*changeResult.InForce || len(changeResult.Missing) != 0 || queries != 3 {
		t.Errorf("got %+v after %d queries", changeResult, queries)
	}
	api.control.inForce = func() ([]ids.VMID, error) { return []ids.VMID{"vm3"}, errors.New("no answer") }
	changeResult = get[admin.ChangeResult](api, http.StatusOK, http.MethodDelete, path+"10ms", nil)
	if changeResult.InForce == nil || *changeResult.InForce || fmt.Sprint(changeResult.Missing) != "[vm3]" {
		t.Errorf("got %+v", changeResult)
	}
}

// TestWithdrawContract guards against a withdrawn contract that is missing in the list, or that loses its keys when it is
// applied again.
func TestWithdrawContract(t *testing.T) {
	api := start(t)
	api.apply(admin.Change{Text: acme})
	api.request(http.MethodPost, "/v1/contracts/acme/keys", map[string]string{"key_id": "k1"})
	get[admin.ChangeResult](api, http.StatusOK, http.MethodDelete, "/v1/contracts/acme", nil)
	list := get[admin.List[admin.ContractView]](api, http.StatusOK, http.MethodGet, "/v1/contracts", nil)
	if len(list.Items) != 1 || !list.Items[0].Withdrawn {
		t.Fatalf("got %+v", list)
	}
	api.apply(admin.Change{Text: acme})
	view := get[admin.ContractView](api, http.StatusOK, http.MethodGet, "/v1/contracts/acme", nil)
	if view.Withdrawn || len(view.Keys) != 1 {
		t.Errorf("got %+v", view)
	}
}

// TestInvalidChanges guards against invalid contracts and groups that are stored, or refused without a useful message.
func TestInvalidChanges(t *testing.T) {
	group := func(server string) string {
		return "group = \"g1\"\nconnections = 20\nslots = 3\n[[servers]]\n" + server
	}
	server := "id = \"a\"\naddress = \"10.0.0.1:5432\"\navailability_zone = \"z\"\n"
	tests := map[string]struct{ path, text, message string }{
		"contract syntax":       {"/v1/contracts/acme", "organisation = ", "f.toml"},
		"contract rate":         {"/v1/contracts/acme", strings.Replace(acme, "100.0", "-1.0", 1), "rate"},
		"contract of another":   {"/v1/contracts/other", acme, "acme"},
		"group of another":      {"/v1/groups/g2", group(server), "g1"},
		"group syntax":          {"/v1/groups/g1", "group = ", "f.toml"},
		"group setting":         {"/v1/groups/g1", "size = 3\n" + group(server), "size"},
		"group JSON setting":    {"/v1/groups/g1", `{"group":"g1","size":3}`, "size"},
		"group without servers": {"/v1/groups/g1", "group = \"g1\"\nconnections = 20\nslots = 3\n", "servers"},
		"group connections":     {"/v1/groups/g1", strings.Replace(group(server), "20", "0", 1), "connections"},
		"server name":           {"/v1/groups/g1", group(strings.Replace(server, "10.0.0.1", "db.example", 1)), "numeric"},
		"server twice":          {"/v1/groups/g1", group(server + "[[servers]]\n" + server), "twice"},
	}
	api := start(t)
	for name, test := range tests {
		problem := get[admin.Problem](api, http.StatusBadRequest, http.MethodPut, test.path, admin.Change{File: "f.toml", Text: test.text})
		if problem.Code != admin.CodeInvalid || !strings.Contains(problem.Message, test.message) || problem.Next == "" {
			t.Errorf("%s: got %+v", name, problem)
		}
	}
	if api.control.attempts != 0 {
		t.Errorf("%d changes were proposed", api.control.attempts)
	}
}

// TestGroups guards against a group that is stored again when the same content is applied in TOML instead of JSON, and
// against a status without the known state of the group.
func TestGroups(t *testing.T) {
	api := start(t)
	text := `{"group":"g1","servers":[{"id":"a","address":"10.0.0.1:5432","availability_zone":"z"},
		{"id":"b","address":"10.0.0.2:5432","availability_zone":"y"}],"connections":20,"slots":3}`
	first := get[admin.ChangeResult](api, http.StatusOK, http.MethodPut, "/v1/groups/g1", admin.Change{Text: text})
	same := "group = \"g1\"\nconnections = 20\nslots = 3\n" +
		"[[servers]]\nid = \"a\"\naddress = \"10.0.0.1:5432\"\navailability_zone = \"z\"\n" +
		"[[servers]]\nid = \"b\"\naddress = \"10.0.0.2:5432\"\navailability_zone = \"y\"\n"
	again := get[admin.ChangeResult](api, http.StatusOK, http.MethodPut, "/v1/groups/g1", admin.Change{Text: same})
	if again.Revision != first.Revision || api.control.attempts != 1 {
		t.Errorf("the same group was stored again: %+v, %+v", first, again)
	}
	status := get[admin.Status](api, http.StatusOK, http.MethodGet, "/v1/status", nil)
	if len(status.Groups) != 1 || status.Groups[0].Primary != "b" || status.Groups[0].Term != 3 || len(status.Groups[0].Servers) != 2 {
		t.Errorf("got %+v", status.Groups)
	}
	if status.VM != "vm1" || !status.Admitting || !status.Ready || status.Revision != 7 || len(status.Members) != 2 {
		t.Errorf("got %+v", status)
	}
}
