package home

import (
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"dotterelgw/core/ids"
	"dotterelgw/core/statement"
	"dotterelgw/io/dbpool"
)

// The home is killed, or freezes, while a write runs there. Guards against telling the caller that the write has not run, against
// waiting for its whole timeout, and against counting the failure against the server.
func TestHomeLostWhileWriteRuns(t *testing.T) {
	for name, lose := range map[string]func(t *testing.T) string{
		"killed": func(t *testing.T) string {
			home := startHome(t, "s")
			home.backend.gate = make(chan struct{})
			go func() {
				for len(home.backend.ran()) == 0 {
					time.Sleep(time.Millisecond)
				}
				home.stop()
				for _, stream := range home.all() {
					stream.close(errors.New("killed"))
				}
			}()
			t.Cleanup(func() { close(home.backend.gate) })
			return home.address
		},
		"frozen": func(t *testing.T) string { return startSilent(t, func(*stream) {}) },
		"ends in the middle of the statement": func(t *testing.T) string {
			return startSilent(t, func(stream *stream) {
				_, _ = io.ReadFull(stream.reader, make([]byte, streamReadBuffer))
				stream.close(errors.New("killed"))
			})
		},
	} {
		text := "WRITE a 1"
		if name == "ends in the middle of the statement" {
			// The statement is longer than what the home has read when it ends.
			text = "WRITE a " + strings.Repeat("x", 1<<20)
		}
		t.Run(name, func(t *testing.T) {
			client := startClient(t, map[ids.VMID]string{"home": lose(t), "second": startHome(t, "s").address})
			conn := open(t, client, "home", testServer)
			began := time.Now()
			_, err := runOn(conn, statement.Write, text)
			var notRun *dbpool.NotRunError
			if !errors.Is(err, dbpool.ErrHomeLost) || errors.As(err, &notRun) {
				t.Errorf("error %v", err)
			}
			if waited := time.Since(began); waited > testTimeout/2 {
				t.Errorf("waited %v", waited)
			}
			conn.Release(statement.FailedTransaction)
			if home, ok := client.Choose([]ids.VMID{"home", "second"}, testServer.ID); !ok || home != "second" {
				t.Errorf("afterwards %q is used", home)
			}
		})
	}
}

// The home has no memory for an answer, or gets that to another call. Guards against counting that against the server.
func TestLossInHomeThatSaysNothingAboutTheServer(t *testing.T) {
	for name, cause := range map[string]error{"no memory": dbpool.ErrNoMemory, "answer to another call": dbpool.ErrUnmatched} {
		t.Run(name, func(t *testing.T) {
			home := startHome(t, "s")
			home.backend.receiveErr = cause
			conn := open(t, startClient(t, map[ids.VMID]string{"home": home.address}), "home", testServer)
			if _, err := runOn(conn, statement.Read, "READ a"); !errors.Is(err, cause) {
				t.Errorf("error %v", err)
			}
		})
	}
}

// startSilent starts a home that answers nothing once a stream is open, which it hands to the function, and returns its address.
func startSilent(t *testing.T, opened func(*stream)) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		// A connection that nothing refers to would be closed.
		t.Cleanup(func() { _ = conn.Close() })
		stream := newStream(conn)
		if err := stream.accept(secret("s"), false); err != nil {
			t.Error(err)
		}
		opened(stream)
	}()
	return listener.Addr().String()
}
