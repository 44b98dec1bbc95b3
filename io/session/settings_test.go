package session_test

import (
	"strings"
	"testing"
)

// TestSettingsStayWithTheirSession guards against settings of a session that reach the next user of its connection, or that the
// session loses although they were acknowledged.
func TestSettingsStayWithTheirSession(t *testing.T) {
	cases := map[string]struct {
		texts       []string
		name, route string
	}{
		"plain":                              {[]string{"SET v = held"}, "v", "app"},
		"after a comment that ends at a CR":  {[]string{"-- c\rSET v = held"}, "v", "app"},
		"custom setting of a keyword's name": {[]string{"SET local.v = held"}, "local.v", "app"},
		"function that sets, by a replica":   {[]string{"SELECT set_config('v', 'held', false)"}, "v", "auto"},
		"function that sets":                 {[]string{"SELECT set_config('v', 'held', false)"}, "v", "app"},
		"reset of another":                   {[]string{"SET v = held", "SET w = x", "RESET w"}, "v", "app"},
		"reset that is rolled back":          {[]string{"SET v = held", "BEGIN", "RESET v", "ROLLBACK"}, "v", "app"},
		"temporary view":                     {[]string{"CREATE OR REPLACE TEMP VIEW v"}, "v", "app"},
		"temporary sequence":                 {[]string{"CREATE TEMPORARY SEQUENCE v"}, "v", "app"},
		"temporary table with rows":          {[]string{"CREATE TEMP TABLE v AS SELECT 1"}, "v", "app"},
		"temporary table of a query":         {[]string{"SELECT 1 /* c */ INTO TEMP v"}, "v", "app"},
		"object in the temporary schema":     {[]string{"CREATE TABLE PG_TEMP.v (a int)"}, "v", "app"},
	}
	for name, tested := range cases {
		t.Run(name, func(t *testing.T) {
			proxy := newProxy(t, 4)
			owner, other := proxy.dial(tested.route, ""), proxy.dial("app", "")
			for _, text := range tested.texts {
				owner.query(text)
			}
			other.query("SHOW " + tested.name)
			if lines := string(other.transcript()); strings.Contains(lines, "DataRow held") {
				t.Errorf("another session has the setting:\n%s", lines)
			}
			owner.lines = nil
			owner.query("SHOW " + tested.name)
			if lines := string(owner.transcript()); !strings.Contains(lines, "DataRow held") {
				t.Errorf("the session lost the setting:\n%s", lines)
			}
		})
	}
}
