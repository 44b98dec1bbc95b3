package experiment

import (
	"strings"
	"testing"
	"time"
)

// Guards against profiles that do not parse or that differ in size from design section 1.4.
func TestProfiles(t *testing.T) {
	sizes := map[string]struct{ vms, zones, slots, connections int }{
		"frissito": {8, 4, 3, 20},
		"seixal":   {7, 3, 2, 30},
	}
	for name, want := range sizes {
		experiment, err := Load(name)
		if err != nil {
			t.Fatal(err)
		}
		fleet := experiment.Fleet
		if fleet.VMs != want.vms || len(fleet.Zones) != want.zones || fleet.Slots != want.slots ||
			fleet.Connections != want.connections || fleet.Groups != 3 || len(experiment.Organisations) != 8 {
			t.Errorf("%s: %+v, %d organisations", name, fleet, len(experiment.Organisations))
		}
	}
}

// Guards against entries of a profile's lists that end up in the lists of the file that overrides them.
func TestProfileIsOverridden(t *testing.T) {
	experiment, err := Parse(`
profile = "seixal"
duration = "9s"
[[organisations]]
name = "one"
rate = 5.0
[[failures]]
at = "1s"
until = "2s"
target = "platform"
switches = { outage = true, slow_ms = 5, partitioned = ["vm1"] }
`)
	if err != nil {
		t.Fatal(err)
	}
	one := experiment.Organisations[0]
	if len(experiment.Organisations) != 1 || one.MoveEvery != 0 || one.Group != "g1" || one.Contract.Rate != 10 ||
		time.Duration(experiment.Duration) != 9*time.Second || experiment.Fleet.VMs != 7 {
		t.Errorf("got %+v", experiment)
	}
	undo := experiment.Failures[0].Undo
	if len(experiment.Failures) != 1 || undo["outage"] != false || undo["slow_ms"] != 0 || len(undo["partitioned"].([]any)) != 0 {
		t.Errorf("undo %v", undo)
	}
}

// Guards against mistakes in a file that go unnoticed, so that a different experiment is run.
func TestMistakes(t *testing.T) {
	cases := map[string]struct{ text, want string }{
		"unknown key":  {"durations = '1s'", "unknown key durations"},
		"no target":    {"", "neither a fleet nor proxies"},
		"profile":      {"profile = 'x'", "no profile"},
		"bad duration": {"duration = '5'", "duration"},
		"arrivals":     {"profile = 'seixal'\n[[organisations]]\nname='a'\nrate=1.0\narrivals='x'", "unknown arrivals"},
		"failure":      {"profile = 'seixal'\n[[failures]]\nat='1s'\ntarget='g1-a'", "needs a target"},
	}
	for name, test := range cases {
		if _, err := Parse(test.text); err == nil || !strings.Contains(err.Error(), test.want) {
			t.Errorf("%s: got %v, want %q", name, err, test.want)
		}
	}
}
