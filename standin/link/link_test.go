package link

import (
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"
)

const (
	// silenceWait is the time for which no byte may arrive in a cut direction.
	silenceWait = 50 * time.Millisecond
	// arrivalTimeout bounds the wait for a byte that must arrive.
	arrivalTimeout = 5 * time.Second
)

// pair returns a link and the two ends of a connection through it.
func pair(t *testing.T) (*Link, map[Direction]net.Conn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	link, err := New("127.0.0.1:0", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(link.Close)
	downstream, err := net.Dial("tcp", link.Address())
	if err != nil {
		t.Fatal(err)
	}
	upstream, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _, _ = downstream.Close(), upstream.Close() })
	return link, map[Direction]net.Conn{Forward: downstream, Backward: upstream} // by the direction in which each writes
}

func send(t *testing.T, from net.Conn) {
	t.Helper()
	if _, err := from.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
}

// received reports whether a byte arrives within the wait.
func received(t *testing.T, at net.Conn, wait time.Duration) bool {
	t.Helper()
	_ = at.SetReadDeadline(time.Now().Add(wait))
	_, err := io.ReadFull(at, make([]byte, 1))
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Fatalf("the connection ended: %v", err)
	}
	return err == nil
}

// Guards against a cut that relays bytes, blocks the other direction too, closes connections, or persists after Heal.
func TestCutDirections(t *testing.T) {
	for name, cut := range map[string]Direction{"forward": Forward, "backward": Backward} {
		t.Run(name, func(t *testing.T) {
			link, ends := pair(t)
			open := 1 - cut
			link.Cut(cut)
			send(t, ends[cut])
			if received(t, ends[open], silenceWait) {
				t.Error("a byte passed the cut direction")
			}
			send(t, ends[open])
			if !received(t, ends[cut], arrivalTimeout) {
				t.Error("no byte passed the open direction")
			}
			link.Heal()
			if !received(t, ends[open], arrivalTimeout) {
				t.Error("the byte that was held back did not arrive after healing")
			}
		})
	}
}

// Guards against the end of a connection being relayed in a cut direction.
func TestCutHidesTheEnd(t *testing.T) {
	link, ends := pair(t)
	link.Cut(Forward)
	_ = ends[Forward].Close()
	if received(t, ends[Backward], silenceWait) {
		t.Error("a byte passed the cut direction")
	}
	link.Heal()
	_ = ends[Backward].SetReadDeadline(time.Now().Add(arrivalTimeout))
	if _, err := ends[Backward].Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("after healing: %v, want the end of the connection", err)
	}
}
