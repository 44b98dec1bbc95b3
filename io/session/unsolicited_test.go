package session_test

import (
	"strings"
	"testing"
	"time"
)

// positionQuery is the text with which the proxy asks for the log position.
const positionQuery = "SELECT * FROM group_position()"

// TestNoticeInPosition guards against a write that is reported as unknown because the server sent a notice or the new value of a
// setting within its answer for the log position.
func TestNoticeInPosition(t *testing.T) {
	proxy := newProxy(t, 4)
	caller := proxy.dial("app", "")
	proxy.primary.withLock(func() { proxy.primary.fault[positionQuery] = "notice" })
	caller.query("INSERT a")
	lines := string(caller.transcript())
	if !acknowledged(caller) || !strings.Contains(lines, "caller < NoticeResponse") || !strings.Contains(lines, "caller < ParameterStatus") {
		t.Errorf("got:\n%s", lines)
	}
}

// TestSurplusAnswerOnHeldConnection guards against a second answer to an earlier statement that is taken for the answer to the next
// one, on a connection that a transaction or the settings of a session hold.
func TestSurplusAnswerOnHeldConnection(t *testing.T) {
	for name, first := range map[string]string{"transaction": "BEGIN", "settings": "SET v = held"} {
		t.Run(name, func(t *testing.T) {
			proxy := newProxy(t, 4)
			caller := proxy.dial("app", "")
			caller.query(first)
			proxy.primary.withLock(func() { proxy.primary.fault["SELECT 'x'"] = "twice later" })
			caller.query("SELECT 'x'")
			proxy.primary.awaitLine(t, "second answer")
			caller.query("SELECT 'y'")
			lines := string(caller.transcript())
			if strings.Count(lines, "DataRow x") != 1 || !strings.Contains(lines, "08006") || strings.Contains(lines, "primary #1 > Query \"SELECT 'y'\"") {
				t.Errorf("got:\n%s", lines)
			}
		})
	}
}

// TestSurplusAnswerBehindNextRequest guards against a second answer to an earlier statement that arrives once the next request was
// sent and is taken for its answer, in a transaction or on a replica's connection that another session used before.
func TestSurplusAnswerBehindNextRequest(t *testing.T) {
	for name, test := range map[string]struct{ route, begin string }{"transaction": {"app", "BEGIN"}, "replica": {"read", "SELECT 'w'"}} {
		t.Run(name, func(t *testing.T) {
			proxy := newProxy(t, 4)
			first, next := proxy.dial(test.route, ""), proxy.dial(test.route, "")
			if test.begin == "BEGIN" {
				next = first
			}
			for _, server := range []*database{proxy.primary, proxy.replica} {
				server.withLock(func() { server.fault["SELECT 'x'"], server.fault["SELECT 'y'"] = "twice later", "late" })
			}
			first.query(test.begin)
			first.query("SELECT 'x'")
			next.lines = nil
			time.AfterFunc(100*time.Millisecond, func() {
				close(proxy.primary.release)
				close(proxy.replica.release)
			})
			next.query("SELECT 'y'")
			if lines := string(next.transcript()); strings.Contains(lines, "DataRow x") {
				t.Errorf("got:\n%s", lines)
			}
		})
	}
}

// TestErrorOfAnotherStatement guards against a write that ran although the caller got an error, because the error was the second answer to
// an earlier statement.
func TestErrorOfAnotherStatement(t *testing.T) {
	proxy := newProxy(t, 4)
	caller := proxy.dial("app", "")
	proxy.primary.withLock(func() { proxy.primary.fault["WRONG"], proxy.primary.fault["INSERT a"] = "twice later", "late" })
	caller.query("WRONG")
	caller.lines = nil
	time.AfterFunc(100*time.Millisecond, func() { close(proxy.primary.release) })
	caller.query("INSERT a")
	if lines := string(caller.transcript()); strings.Contains(lines, "42601") || !strings.Contains(lines, "08007") {
		t.Errorf("got:\n%s", lines)
	}
}
