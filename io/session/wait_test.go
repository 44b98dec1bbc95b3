package session_test

import "testing"

// Guards against a session that keeps a backend connection while it waits for its organisation's rate: one organisation
// over its rate then starved the others of connections.
func TestWaitForRateWhileHoldingConnection(t *testing.T) {
	proxy := newProxy(t, 4)
	caller := proxy.dial("app", "")
	proxy.limited.Store(true)
	caller.query("INSERT a")
	if proxy.bounded.Load() {
		t.Error("a request that holds no connection has a shorter wait")
	}
	proxy.limited.Store(false)
	caller.query("BEGIN")
	proxy.limited.Store(true)
	caller.query("INSERT a")
	if !proxy.bounded.Load() {
		t.Error("a request that holds a connection waits as long as any other")
	}
}
