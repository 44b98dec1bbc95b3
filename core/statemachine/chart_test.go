package statemachine_test

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"dotterelgw/core/statemachine"
)

// TestLoad guards against loading an invalid or incomplete chart, which would fail only at run time. The first line of
// each invalid file gives the expected error.
func TestLoad(t *testing.T) {
	paths, err := filepath.Glob("testdata/*.toml")
	if err != nil || len(paths) == 0 {
		t.Fatalf("%v, %v", paths, err)
	}
	for _, path := range paths {
		t.Run(filepath.Base(path), func(t *testing.T) {
			source, err := os.ReadFile(path)
			if err != nil {
				t.Fatal(err)
			}
			first, _, _ := strings.Cut(string(source), "\n")
			want, fails := strings.CutPrefix(first, "# error: ")
			_, err = statemachine.Load(source, "lock")
			if fails && (err == nil || !strings.Contains(err.Error(), want)) {
				t.Errorf("error %v, want %q", err, want)
			}
			if !fails && err != nil {
				t.Error(err)
			}
		})
	}
}

// TestMachine checks that actions come from the file, that ignored events do not change the state and that unknown
// events are errors.
func TestMachine(t *testing.T) {
	source, err := os.ReadFile("testdata/valid.toml")
	if err != nil {
		t.Fatal(err)
	}
	loaded, err := statemachine.Load(source, "lock")
	if err != nil {
		t.Fatal(err)
	}
	machine := statemachine.NewMachine(loaded)
	if actions, err := machine.Fire("knock"); len(actions) != 0 || err != nil || machine.State() != "open" {
		t.Errorf("ignored event: %v, %v, %v", actions, err, machine.State())
	}
	if _, err := machine.Fire("ring"); err == nil || machine.State() != "open" {
		t.Errorf("unknown event: %v, %v", err, machine.State())
	}
	if actions, err := machine.Fire("leave"); !slices.Equal(actions, []statemachine.Action{"lock"}) || err != nil || !machine.Final() {
		t.Errorf("leave: %v, %v, %v", actions, err, machine.State())
	}
}

// TestNamed checks that the embedded charts load and that a connection with a missing response is closed when it is
// released.
func TestNamed(t *testing.T) {
	actions := map[string][]statemachine.Action{
		"connection": {"offer", "close", "cancel", "discard_all"},
		"vm":         {"announce_leaving", "close_listener", "end_sessions", "close_connections"},
		"session": {
			"report_ready", "send_refusal", "send_protocol_error", "send_stopping", "send_withdrawn", "roll_back", "close",
		},
	}
	for _, name := range statemachine.Names() {
		if _, err := statemachine.Named(name, actions[name]...); err != nil {
			t.Error(err)
		}
	}
	connection, _ := statemachine.Named("connection", actions["connection"]...)
	machine := statemachine.NewMachine(connection)
	for _, event := range []statemachine.Event{"logged_in", "acquired", "response_missing", "released"} {
		if _, err := machine.Fire(event); err != nil {
			t.Fatal(err)
		}
	}
	if !machine.Final() {
		t.Errorf("a connection with a missing response is %s after its release", machine.State())
	}
	if _, err := statemachine.Named("unknown"); err == nil {
		t.Error("unknown chart loaded")
	}
}
