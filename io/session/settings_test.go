package session_test

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"
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

// TestDeallocatedStatement guards against a prepared statement that a session cannot use because another session removed it from the
// connection by its name on the server, which pg_prepared_statements shows.
func TestDeallocatedStatement(t *testing.T) {
	proxy := newProxy(t, 4)
	owner, other := proxy.dial("app", ""), proxy.dial("app", "")
	owner.send(append(extendedMessages("s1", "SELECT 'x'"), &pgproto3.Sync{})...)
	owner.readUntilReady(1)
	hash := sha256.Sum256([]byte("[]SELECT 'x'"))
	other.query("DEALLOCATE dotterel_" + hex.EncodeToString(hash[:16]))
	if lines := string(other.transcript()); !strings.Contains(lines, "CommandComplete DEALLOCATE") {
		t.Fatalf("not removed:\n%s", lines)
	}
	owner.lines = nil
	owner.send(&pgproto3.Bind{PreparedStatement: "s1"}, &pgproto3.Execute{}, &pgproto3.Sync{})
	owner.readUntilReady(1)
	if lines := string(owner.transcript()); !strings.Contains(lines, "DataRow x") {
		t.Errorf("got:\n%s", lines)
	}
}
