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
	// startupTimeout bounds the TLS handshake, start-up and authentication together.
	startupTimeout = 10 * time.Second
	// cancelTimeout bounds the forwarding of a cancel request to other VMs.
	cancelTimeout = 2 * time.Second
	// acceptPause is the pause after a failed accept, which may be caused by a lack of file descriptors.
	acceptPause = 20 * time.Millisecond
	// mockSecretBytes is the length of a generated MockSecret.
	mockSecretBytes = 32
)

// Control provides the contracts in force and reports whether this VM may admit requests.
type Control interface {
	// Contract returns the organisation's contract and its revision; false if it is unknown or withdrawn.
	Contract(org ids.OrganisationID) (*contract.Contract, ids.Revision, bool)
	// Admitting reports whether the configuration is confirmed to be current.
	Admitting() bool
}

// Sessions runs the sessions of authenticated callers.
type Sessions interface {
	// Open admits an authenticated caller. The error is a *refusal.Refusal.
	Open(conn net.Conn, reader *wire.Reader, caller session.Caller) (*session.Session, error)
	// Cancel cancels the statement of a session. It returns false if this VM has no session with the process ID.
	Cancel(processID uint32, secret []byte) bool
}

// Recorder stores refusal records.
type Recorder interface {
	// Record stores the refusal and returns a copy of it with its identifier set.
	Record(refused *refusal.Refusal, caller session.Caller) *refusal.Refusal
}

// Forwarder forwards cancel requests to other VMs. session.PrefixOfProcessID identifies the VM that assigned a process ID.
type Forwarder interface {
	// Cancel forwards the request. The caller is not told whether it had an effect.
	Cancel(ctx context.Context, processID uint32, secret []byte)
}

// Dependencies holds the services that the frontend uses, and its settings.
type Dependencies struct {
	Control  Control
	Sessions Sessions
	Recorder Recorder
	// Forwarder may be nil; cancel requests for other VMs are then dropped.
	Forwarder Forwarder
	// TLS is the TLS configuration for caller connections; nil means that TLS is not offered.
	TLS *tls.Config
	// Plaintext allows connections without TLS.
	Plaintext bool
	// MockSecret is the secret from which mock credentials of unknown users are derived, so that they are the same on all VMs;
	// nil means a random secret.
	MockSecret []byte
	// MaxMessageBytes bounds the size of a message from a caller; 0 means 16 MiB.
	MaxMessageBytes int
	// MaxConnections bounds the number of caller connections on this VM; 0 means no bound.
	MaxConnections int
	// Logger gets one line per failed start-up; nil discards them.
	Logger log.Logger
}

// defaultMaxMessageBytes is the default of Dependencies.MaxMessageBytes.
const defaultMaxMessageBytes = 16 << 20

// Frontend accepts caller connections and runs their sessions.
type Frontend struct {
	Dependencies
	connections atomic.Int64
	running     sync.WaitGroup
}

// New returns a frontend that does nothing until Serve.
func New(dependencies Dependencies) (*Frontend, error) {
	if dependencies.Logger == nil {
		dependencies.Logger = log.NewNopLogger()
	}
	if dependencies.MaxMessageBytes <= 0 {
		dependencies.MaxMessageBytes = defaultMaxMessageBytes
	}
	if len(dependencies.MockSecret) == 0 {
		dependencies.MockSecret = make([]byte, mockSecretBytes)
		if _, err := rand.Read(dependencies.MockSecret); err != nil {
			return nil, fmt.Errorf("generate mock secret: %w", err)
		}
	}
	return &Frontend{Dependencies: dependencies}, nil
}

// Serve accepts connections until the listener is closed. The error wraps net.ErrClosed. Open sessions continue until
// session.Server.Drain ends them.
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
		go frontend.serveConn(conn)
	}
}

// Wait returns when all connections have ended.
func (frontend *Frontend) Wait() { frontend.running.Wait() }

// serveConn runs one caller connection to its end.
func (frontend *Frontend) serveConn(conn net.Conn) {
	defer frontend.running.Done()
	defer frontend.connections.Add(-1)
	count := frontend.connections.Add(1)
	opened := frontend.startSession(conn, count)
	if opened == nil {
		_ = conn.Close()
		return
	}
	opened.Run()
}

// startSession runs the start-up of a connection. It is a function of its own, so that the buffers of the start-up do not
// stay on the stack of an idle connection. A panic in it ends only this connection.
func (frontend *Frontend) startSession(conn net.Conn, count int64) (opened *session.Session) {
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
