package main

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

const testTimeout = 10 * time.Second

// Guards against a first line of output that lacks the addresses of the stand-in, which the parent process reads, and
// against a stand-in that keeps running after its context ends.
func TestReadyLine(t *testing.T) {
	vms := filepath.Join(t.TempDir(), "vms.json")
	if err := os.WriteFile(vms, []byte(`{"vms":[{"id":"vm1","role":"proxy"}]}`), 0o600); err != nil {
		t.Fatal(err)
	}
	tests := map[string]struct {
		arguments []string
		listeners []string
		path      string // also the name of the listener that serves it
		contains  string // expected in the response body
	}{
		"platform": {[]string{"platform", "-vms", vms}, []string{"key_value", "vms", "switches"}, "vms", `"vm1"`},
		"database": {[]string{"database", "-id", "a", "-lag", "20ms"}, []string{"database", "switches"}, "switches", `"lag_ms":20`},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
			defer cancel()
			reader, writer := io.Pipe()
			ended := make(chan error, 1)
			go func() { ended <- run(ctx, test.arguments, writer) }()
			line, err := bufio.NewReader(reader).ReadBytes('\n')
			if err != nil {
				t.Fatal(err)
			}
			var addresses map[string]string
			if err := json.Unmarshal(line, &addresses); err != nil {
				t.Fatalf("%s: %v", line, err)
			}
			for _, listener := range test.listeners {
				connection, err := net.Dial("tcp", addresses[listener])
				if err != nil {
					t.Errorf("%s: %v", listener, err)
					continue
				}
				_ = connection.Close()
			}
			response, err := http.Get("http://" + addresses[test.path] + "/" + test.path)
			if err != nil {
				t.Fatal(err)
			}
			body, _ := io.ReadAll(response.Body)
			_ = response.Body.Close()
			if !strings.Contains(string(body), test.contains) {
				t.Errorf("got %s", body)
			}
			cancel()
			if err := <-ended; err != nil {
				t.Errorf("ended with %v", err)
			}
		})
	}
}

// Guards against an invalid command line that starts a stand-in with other settings instead of failing.
func TestUsage(t *testing.T) {
	for name, arguments := range map[string][]string{
		"nothing":     {},
		"unknown":     {"queue"},
		"argument":    {"platform", "x"},
		"VM list":     {"platform", "-vms", "/nonexistent"},
		"servers":     {"database", "-servers", "a"},
		"listener":    {"platform", "-listen", "nowhere"},
		"role":        {"database", "-role", "leader"},
		"db argument": {"database", "x"},
	} {
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		if err := run(ctx, arguments, io.Discard); err == nil {
			t.Errorf("%s: no error", name)
		}
		cancel()
	}
}
