package frontend

import (
	"errors"
	"reflect"
	"strings"
	"testing"
)

// TestParseStart guards against start-up parameters that select the wrong organisation, route or setting.
func TestParseStart(t *testing.T) {
	base := startup{organisation: "frissito", key: "bot", owner: "frissito", route: "app"}
	with := func(change func(*startup)) *startup {
		changed := base
		change(&changed)
		return &changed
	}
	cases := map[string]struct {
		parameters string
		want       *startup
		err        error
	}{
		"plain":        {"user|frissito.bot|database|app||", &base, nil},
		"other owner":  {"user|frissito.bot|database|seixal/open||", with(func(startup *startup) { startup.owner, startup.route = "seixal", "open" }), nil},
		"no database":  {"user|frissito.bot||", with(func(startup *startup) { startup.route = "" }), nil},
		"invalid user": {"user|postgres|database|app||", &startup{route: "app"}, nil},
		"second dot":   {"user|a.b.c|database|app||", &startup{route: "app"}, nil},
		"capitals":     {"user|A.b|database|app||", &startup{route: "app"}, nil},
		"options": {"user|frissito.bot|database|app|options|-c dotterel.token=a\\ b --default-transaction-read-only=on -cdotterel.idempotent=yes||", with(func(startup *startup) {
			startup.token, startup.wantsToken, startup.readOnly, startup.idempotent = "a b", true, true, true
		}), nil},
		"empty token":      {"user|frissito.bot|database|app|options|-c dotterel.token=||", with(func(startup *startup) { startup.wantsToken = true }), nil},
		"parameter":        {"user|frissito.bot|database|app|default_transaction_read_only|on||", with(func(startup *startup) { startup.readOnly = true }), nil},
		"routine settings": {"user|frissito.bot|database|app|application_name|x|client_encoding|UTF8|DateStyle|ISO||", &base, nil},
		"protocol option":  {"user|frissito.bot|database|app|_pq_.x|1||", with(func(startup *startup) { startup.unrecognised = []string{"_pq_.x"} }), nil},
		"no replication":   {"user|frissito.bot|database|app|replication|off||", &base, nil},
		"replication":      {"user|frissito.bot|replication|database||", nil, errUnsupported},
		"replication on":   {"user|frissito.bot|replication|true||", nil, errUnsupported},
		"search path":      {"user|frissito.bot|options|-c search_path=x||", nil, errUnsupported},
		"other encoding":   {"user|frissito.bot|client_encoding|LATIN1||", nil, errUnsupported},
		"no user":          {"database|app||", nil, errMalformed},
		"no end":           {"user|frissito.bot|", nil, errMalformed},
		"no value":         {"user|frissito.bot|database", nil, errMalformed},
		"trailing data":    {"user|frissito.bot||x", nil, errMalformed},
		"not a boolean":    {"user|frissito.bot|options|-c dotterel.idempotent=perhaps||", nil, errMalformed},
	}
	for name, tested := range cases {
		t.Run(name, func(t *testing.T) {
			got, err := parseStartup([]byte(strings.ReplaceAll(tested.parameters, "|", "\x00")))
			if !errors.Is(err, tested.err) || (err == nil) != (tested.err == nil) {
				t.Fatalf("error %v, want %v", err, tested.err)
			}
			if err == nil && !reflect.DeepEqual(got, tested.want) {
				t.Errorf("got %+v, want %+v", got, tested.want)
			}
		})
	}
}

// FuzzParseStart guards against start-up packets that crash the parser or yield names that are not valid in a contract.
func FuzzParseStart(f *testing.F) {
	for _, seed := range []string{
		"user|a.b|database|c||", "user|a.b|database|c/d|options|-c dotterel.token=x||", "user|a.b|options|\\||", "||", "",
		"user|a.b|options|-c||", "user|a.b|options|--=||", "options|-c x||user|", "user|..||", "replication|1||",
	} {
		f.Add([]byte(strings.ReplaceAll(seed, "|", "\x00")))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		startup, err := parseStartup(body)
		if err != nil {
			return
		}
		if (startup.organisation == "") != (startup.key == "") || startup.organisation != "" && (!isID(string(startup.organisation)) || !isID(string(startup.key))) {
			t.Errorf("user %q.%q", startup.organisation, startup.key)
		}
	})
}

// FuzzVerifier guards against verifiers that crash the parser or are accepted with empty keys.
func FuzzVerifier(f *testing.F) {
	f.Add("SCRAM-SHA-256$4096:AA==$AA==:AA==")
	f.Add("SCRAM-SHA-256$4096:$:")
	f.Fuzz(func(t *testing.T, text string) {
		stored, err := parseVerifier(text)
		if err == nil && (len(stored.StoredKey) != 32 || len(stored.ServerKey) != 32 || stored.Iters < 1) {
			t.Errorf("accepted %q", text)
		}
	})
}
