package hangup

import (
	"os"
	"syscall"
	"testing"
	"time"
)

// Guards against a SIGHUP that ends the process because it comes before the settings have been read: the handler is set without a call.
func TestSignalBeforeAnyCall(t *testing.T) {
	if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	select {
	case <-Signals():
	case <-time.After(5 * time.Second):
		t.Error("the signal was not received")
	}
}
