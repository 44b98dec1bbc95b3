package frontend

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"

	"dotterelgw/core/contract"
	"dotterelgw/core/ids"
	"dotterelgw/core/refusal"
	"dotterelgw/io/backend/wire"
	"dotterelgw/io/session"
)

const (
	// startupTimeout bounds TLS, start-up and authentication together.
	startupTimeout = 10 * time.Second
	// forwardTimeout bounds the forwarding of a cancel request to other VMs.
	forwardTimeout = 2 * time.Second
	// acceptPause is the pause after a failed accept, for example for want of file descriptors.
	acceptPause = 20 * time.Millisecond
	// keyBytes is the length of the secret behind mock exchanges.
	keyBytes = 32
)

// Control supplies the contracts in force and states whether this VM may admit requests.
type Control interface {
	// Contract returns the organisation's contract; false when unknown or withdrawn.
	Contract(org ids.OrganisationID) (*contract.Contract, ids.Revision, bool)
	// Admitting states whether the configuration is confirmed.
	Admitting() bool
}

// Sessions runs the callers that were authenticated.
type Sessions interface {
	// Open admits an authenticated caller; the error is a *refusal.Refusal.
	Open(conn net.Conn, reader *wire.Reader, caller session.Caller) (*session.Session, error)
	// Cancel cancels a session's statement; false when this VM has no session with the process id.
	Cancel(processID uint32, secret []byte) bool
}

// Recorder keeps refusal records.
type Recorder interface {
	// Record returns a copy of the refusal with its identifier set.
	Record(refused *refusal.Refusal, caller session.Caller) *refusal.Refusal
}

// Forwarder delivers cancel requests for sessions of other VMs; session.PrefixOf tells which VM gave a process id.
type Forwarder interface {
	// Cancel delivers the request; whether it had an effect is not reported to the caller.
	Cancel(ctx context.Context, processID uint32, secret []byte)
}

// Dependencies holds everything that the frontend needs from other packages, and its settings.
type Dependencies struct {
	Control  Control
	Sessions Sessions
	Recorder Recorder
	// Forwarder may be nil: cancel requests for other VMs are then dropped.
	Forwarder Forwarder
	// TLS is the configuration towards callers; nil refuses TLS.
	TLS *tls.Config
	// Plaintext allows connections without TLS.
	Plaintext bool
	// MockSecret makes the mock exchanges of unknown users alike on all VMs; nil means a random one.
	MockSecret []byte
	// MaxMessageBytes bounds one message of a caller; 0 means 16 MiB.
	MaxMessageBytes int
	// MaxConnections bounds the caller connections of this VM; 0 means no bound.
	MaxConnections int
	// Logger gets one line per refused start-up; nil discards them.
	Logger log.Logger
}

// defaultMaxMessageBytes bounds one message of a caller unless the settings say otherwise.
const defaultMaxMessageBytes = 16 << 20

// Frontend accepts caller connections.
type Frontend struct {
	Dependencies
	connections atomic.Int64
	running     sync.WaitGroup
}

// New returns a frontend; Serve runs it.
func New(dependencies Dependencies) (*Frontend, error) {
	if dependencies.Logger == nil {
		dependencies.Logger = log.NewNopLogger()
	}
	if dependencies.MaxMessageBytes <= 0 {
		dependencies.MaxMessageBytes = defaultMaxMessageBytes
	}
	if len(dependencies.MockSecret) == 0 {
		dependencies.MockSecret = make([]byte, keyBytes)
		if _, err := rand.Read(dependencies.MockSecret); err != nil {
			return nil, fmt.Errorf("mock secret: %w", err)
		}
	}
	return &Frontend{Dependencies: dependencies}, nil
}

// Serve accepts connections until the listener is closed; the error wraps net.ErrClosed. Sessions run on after that; session.Server.Drain ends them.
func (frontend *Frontend) Serve(listener net.Listener) error {
	for {
		conn, err := listener.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return fmt.Errorf("accept: %w", err)
			}
			_ = frontend.Logger.Log("msg", "accept failed", "err", err)
			time.Sleep(acceptPause)
			continue
		}
		frontend.running.Add(1)
		go frontend.handle(conn)
	}
}

// Wait returns when every connection has ended.
func (frontend *Frontend) Wait() { frontend.running.Wait() }

// handle runs one caller connection.
func (frontend *Frontend) handle(conn net.Conn) {
	defer frontend.running.Done()
	defer frontend.connections.Add(-1)
	count := frontend.connections.Add(1)
	opened := frontend.open(conn, count)
	if opened == nil {
		_ = conn.Close()
		return
	}
	opened.Run()
}

// open runs the start-up of a connection in a frame of its own, so that its buffers do not stay on the stack of an idle
// connection. A fault in it ends only this connection.
func (frontend *Frontend) open(conn net.Conn, count int64) (opened *session.Session) {
	defer func() {
		if reason := recover(); reason != nil {
			_ = frontend.Logger.Log("msg", "start-up panicked", "reason", reason, "stack", string(debug.Stack()))
			opened = nil
		}
	}()
	_ = conn.SetDeadline(time.Now().Add(startupTimeout))
	handshake := &handshake{frontend: frontend, conn: conn}
	if limit := frontend.MaxConnections; limit > 0 && count > int64(limit) {
		handshake.refuse(refusal.New(refusal.ConnectionLimit, fmt.Sprintf("%d connections on this VM", limit)))
		return nil
	}
	opened, err := handshake.run()
	if err != nil {
		_ = frontend.Logger.Log("msg", "start-up failed", "err", err)
		return nil
	}
	return opened
}
