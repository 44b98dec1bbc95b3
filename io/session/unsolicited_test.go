package session_test

import (
	"strings"
	"testing"
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
