package node_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"dotterelgw/io/node"
)

const valid = `
vm = "vm1"
availability_zone = "a"
[listen]
caller = "127.0.0.1:1"
ready = "127.0.0.1:2"
peer = "127.0.0.1:1"
metrics = "127.0.0.1:4"
[store]
address = "127.0.0.1:5"
[promotion]
address = "127.0.0.1:5"
[drain]
grace_s = 6
[configuration]
apply_ms = 3000
stretch_ms = 12000
`

func load(t *testing.T, text string) (node.Settings, error) {
	t.Helper()
	file := filepath.Join(t.TempDir(), "settings.toml")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return node.Load(file)
}

// Guards against mixed-up units, and against rejecting a UDP peer port because a TCP port has the same number.
func TestLoad(t *testing.T) {
	settings, err := load(t, valid)
	if err != nil {
		t.Fatal(err)
	}
	if settings.Drain.Grace() != 6*time.Second || settings.Configuration.MaxAge() != 14500*time.Millisecond {
		t.Errorf("grace %v, age %v", settings.Drain.Grace(), settings.Configuration.MaxAge())
	}
}

// Guards against faults that are reported without their key, only one at a time, or not at all.
func TestFaults(t *testing.T) {
	for name, test := range map[string]struct {
		old, new string
		want     []string
	}{
		"unknown key": {"vm = ", "speed = 1\nvm = ", []string{"speed"}},
		"no name":     {`"vm1"`, `""`, []string{"vm"}},
		// The name is sent in a header, which would lose the blank, or be refused.
		"name with a blank last":   {`"vm1"`, `"vm1 "`, []string{"vm"}},
		"name with a line feed":    {`"vm1"`, `"vm1\n"`, []string{"vm"}},
		"name with a blank inside": {`"vm1"`, `"vm 1"`, []string{"vm"}},
		"evacuation out of range": {
			"[drain]", "[evacuation]\napply_ms = 10\ncold_overage = -1\ncold_slack = -1\n[drain]",
			[]string{"evacuation.apply_ms", "evacuation.cold_overage", "evacuation.cold_slack"},
		},
		"no port":         {`"127.0.0.1:2"`, `"127.0.0.1"`, []string{`listen.ready = "127.0.0.1"`}},
		"same port":       {`metrics = "127.0.0.1:4"`, `metrics = "127.0.0.1:2"`, []string{"listen.metrics", "listen.ready"}},
		"several":         {"grace_s = 6", "grace_s = 0", []string{"drain.grace_s"}},
		"negative":        {"stretch_ms = 12000", "stretch_ms = -1", []string{"configuration.stretch_ms"}},
		"too little time": {"apply_ms = 3000", "apply_ms = 10", []string{"configuration.apply_ms"}},
		"away too long":   {"[drain]", "[restart]\naway_ms = 6000\n[drain]", []string{"restart.away_ms"}},
		"callers out of range": {"[drain]", "[callers]\nmemory_share = 0.9\nstarting_share = 0\nmessage_timeout_ms = 10\nanswer_timeout_ms = -1\nsession_kb = 1\nreceive_buffer_kb = -1\n[drain]", []string{
			"callers.memory_share", "callers.starting_share", "callers.message_timeout_ms", "callers.answer_timeout_ms", "callers.session_kb", "callers.receive_buffer_kb",
		}},
		"no numbers": {
			"[drain]", "[callers]\nmemory_share = nan\nstarting_share = nan\n[zones]\nbyte_cost_ms = nan\n[evacuation]\napply_ms = nan\ncold_overage = nan\ncold_slack = nan\n[drain]",
			[]string{"callers.memory_share", "callers.starting_share", "zones.byte_cost_ms", "evacuation.apply_ms", "evacuation.cold_overage", "evacuation.cold_slack"},
		},
		"no processor": {"[drain]", "[limits]\nprocessor_share = 0\n[drain]", []string{"limits.processor_share"}},
		"no TOML":      {"[store]", "[store", []string{"settings.toml"}},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := load(t, strings.Replace(valid, test.old, test.new, 1))
			if err == nil {
				t.Fatal("no error")
			}
			for _, want := range test.want {
				if !strings.Contains(err.Error(), want) {
					t.Errorf("%q lacks %q", err, want)
				}
			}
		})
	}
}
