package session_test

import "testing"

// TestWaitForRateWhileHoldingConnection guards against sessions that hold a backend connection during a long wait for the
// rate limiter. One organisation over its rate then starved the others of connections.
func TestWaitForRateWhileHoldingConnection(t *testing.T) {
	proxy := newProxy(t, 4)
	caller := proxy.dial("app", "")
	proxy.overRate.Store(true)
	caller.query("INSERT a")
	if proxy.rateWaitBounded.Load() {
		t.Error("the wait of a request that holds no connection is bounded")
	}
	proxy.overRate.Store(false)
	caller.query("BEGIN")
	proxy.overRate.Store(true)
	caller.query("INSERT a")
	if !proxy.rateWaitBounded.Load() {
		t.Error("the wait of a request that holds a connection is not bounded")
	}
}
