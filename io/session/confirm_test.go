package session_test

import (
	"strings"
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"

	"dotterelgw/core/position"
)

// TestFlushedCommitIsConfirmed guards against a COMMIT that is acknowledged to the caller after a Flush message, before it is durable.
func TestFlushedCommitIsConfirmed(t *testing.T) {
	for name, confirmed := range map[string]bool{"refused": false, "confirmed": true} {
		t.Run(name, func(t *testing.T) {
			proxy := newProxy(t, 4)
			caller := proxy.dial("app", "")
			caller.query("BEGIN")
			caller.query("INSERT a")
			confirm := func(at position.Position) error {
				if at != (position.Position{Term: 1, Log: 101}) {
					t.Errorf("confirmed %v", at)
				}
				if confirmed {
					return nil
				}
				return outcomeUnknown(at)
			}
			proxy.confirm.Store(&confirm)
			caller.send(append(extendedMessages("", "COMMIT"), &pgproto3.Flush{})...)
			caller.send(&pgproto3.Sync{})
			caller.readUntilReady(1)
			caller.query("SELECT 'y'")
			lines := string(caller.transcript())
			if strings.Contains(lines, "caller < CommandComplete COMMIT") != confirmed || strings.Contains(lines, "08007") == confirmed ||
				!strings.Contains(lines, "caller < DataRow y") {
				t.Errorf("got:\n%s", lines)
			}
		})
	}
}

// TestUnrecognisedCommitIsConfirmed guards against a COMMIT that is acknowledged before it is durable because its text is read by
// other rules than those of the server.
func TestUnrecognisedCommitIsConfirmed(t *testing.T) {
	proxy := newProxy(t, 4)
	caller := proxy.dial("app", "")
	for _, text := range []string{"SET standard_conforming_strings = off", "BEGIN", "INSERT a"} {
		caller.query(text)
	}
	refuse := outcomeUnknown
	proxy.confirm.Store(&refuse)
	caller.query(hiddenCommit)
	if lines := string(caller.transcript()); strings.Contains(lines, "caller < CommandComplete COMMIT") || !strings.Contains(lines, "08007") {
		t.Errorf("got:\n%s", lines)
	}
}
