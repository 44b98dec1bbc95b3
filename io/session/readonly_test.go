package session_test

import (
	"strings"
	"testing"
)

// TestLiftedReadOnly guards against sessions that are read-only by default and write after they have changed that: their reads must
// not miss their own writes, and their acknowledged setting must stay in force.
func TestLiftedReadOnly(t *testing.T) {
	cases := map[string]struct {
		texts []string
		want  string
	}{
		"reads own write":   {[]string{"BEGIN READ WRITE", "INSERT a", "COMMIT", "SELECT 'y'"}, "primary #1 > Query \"SELECT 'y'\""},
		"keeps the setting": {[]string{"SET default_transaction_read_only = off", "INSERT a"}, "caller < CommandComplete INSERT 0 1"},
		"discards it":       {[]string{"SET default_transaction_read_only = off", "DISCARD ALL", "INSERT a"}, "ERROR 25006"},
		"resets it":         {[]string{"SET default_transaction_read_only = off", "RESET default_transaction_read_only", "INSERT a"}, "ERROR 25006"},
		"resets all":        {[]string{"SET default_transaction_read_only = off", "RESET ALL", "INSERT a"}, "ERROR 25006"},
		"keeps its default": {[]string{"SET v = x", "INSERT a"}, "ERROR 25006"},
	}
	for name, tested := range cases {
		t.Run(name, func(t *testing.T) {
			proxy := newProxy(t, 4)
			caller := proxy.dial("app", "-c default_transaction_read_only=on")
			caller.query("SELECT 'x'")
			proxy.setReplayed(proxy.primary.position())
			for _, text := range tested.texts {
				caller.query(text)
			}
			if lines := string(caller.transcript()); !strings.Contains(lines, tested.want) {
				t.Errorf("got:\n%s", lines)
			}
		})
	}
}
