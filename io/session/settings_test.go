package session_test

import (
	"strings"
	"testing"
)

// TestSettingsStayWithTheirSession guards against settings of a session that reach the next user of its connection, or that the
// session loses although they were acknowledged.
func TestSettingsStayWithTheirSession(t *testing.T) {
	cases := map[string]struct {
		texts []string
		name  string
	}{
		"plain":                              {[]string{"SET v = held"}, "v"},
		"after a comment that ends at a CR":  {[]string{"-- c\rSET v = held"}, "v"},
		"custom setting of a keyword's name": {[]string{"SET local.v = held"}, "local.v"},
		"reset of another":                   {[]string{"SET v = held", "SET w = x", "RESET w"}, "v"},
		"reset that is rolled back":          {[]string{"SET v = held", "BEGIN", "RESET v", "ROLLBACK"}, "v"},
		"temporary view":                     {[]string{"CREATE OR REPLACE TEMP VIEW v"}, "v"},
		"temporary sequence":                 {[]string{"CREATE TEMPORARY SEQUENCE v"}, "v"},
		"temporary table with rows":          {[]string{"CREATE TEMP TABLE v AS SELECT 1"}, "v"},
		"temporary table of a query":         {[]string{"SELECT 1 /* c */ INTO TEMP v"}, "v"},
		"object in the temporary schema":     {[]string{"CREATE TABLE PG_TEMP.v (a int)"}, "v"},
	}
	for name, tested := range cases {
		t.Run(name, func(t *testing.T) {
			proxy := newProxy(t, 4)
			owner, other := proxy.dial("app", ""), proxy.dial("app", "")
			for _, text := range tested.texts {
				owner.query(text)
			}
			other.query("SHOW " + tested.name)
			if lines := string(other.transcript()); strings.Contains(lines, "DataRow held") {
				t.Errorf("another session has the setting:\n%s", lines)
			}
			owner.query("SHOW " + tested.name)
			if lines := string(owner.transcript()); !strings.Contains(lines, "DataRow held") {
				t.Errorf("the session lost the setting:\n%s", lines)
			}
		})
	}
}
