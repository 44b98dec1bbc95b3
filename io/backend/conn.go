package backend

import (
	"context"
	"encoding/binary"
	"fmt"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/juju/errors"

	"dotterelgw/core/ids"
	"dotterelgw/core/statemachine"
	"dotterelgw/io/backend/wire"
)

const (
	// maxPrepared bounds the prepared statements per connection. A connection that reaches it is cleared by DISCARD ALL.
	maxPrepared = 500
	// maxResponseBytes bounds one message of a backend server; PostgreSQL has the same limit for its messages.
	maxResponseBytes = 1 << 30
	// resetTimeout bounds the wait for each message in response to DISCARD ALL between two sessions.
	resetTimeout = 5 * time.Second
	// largeWriteBytes is the size above which a write may exceed the socket buffer and block if the server hangs.
	largeWriteBytes = 16 << 10
	// writeTimeout bounds a write of more than largeWriteBytes.
	writeTimeout = 10 * time.Second
	// cancelTimeout bounds the delivery of a cancel request, connecting included.
	cancelTimeout = 2 * time.Second
)

// ErrUnexpected is returned when a server sends a message that the protocol does not allow at this point.
const ErrUnexpected = errors.ConstError("unexpected message from the backend server")

// Conn is a connection to a backend server. It is used by one session at a time; only Cancel and SetCanceled are safe for
// concurrent use.
type Conn struct {
	conn    net.Conn
	raw     syscall.RawConn
	reader  *wire.Reader
	machine *statemachine.Machine
	request Request
	poolKey poolKey
	// idleSince is the time at which the connection was opened or last released.
	idleSince time.Time

	processID uint32
	secretKey []byte

	// deadline is the current read deadline of the socket.
	deadline time.Time
	// pending is the number of ReadyForQuery messages still expected from the server.
	pending int
	status  byte
	broken  bool
	// canceled is set before a cancel request is sent. The request may arrive late, so the connection must not be reused.
	canceled atomic.Bool
	prepared map[string]struct{}
	// peek is the read buffer of usable.
	peek [1]byte
}

// Server returns the backend server that the connection is open to.
func (conn *Conn) Server() ids.BackendServerID { return conn.request.Server }

// Status returns the transaction state that the server last reported.
func (conn *Conn) Status() byte { return conn.status }

// Prepared reports whether the prepared statement exists on the connection.
func (conn *Conn) Prepared(name string) bool {
	_, ok := conn.prepared[name]
	return ok
}

// SetPrepared records that the prepared statement was created on the connection, or closed if held is false.
func (conn *Conn) SetPrepared(name string, held bool) {
	if !held {
		delete(conn.prepared, name)
		return
	}
	conn.prepared[name] = struct{}{}
	if len(conn.prepared) >= maxPrepared {
		conn.SetDirty()
	}
}

// ForgetPrepared records that all prepared statements of the connection were closed.
func (conn *Conn) ForgetPrepared() { clear(conn.prepared) }

// SetDirty records that the session changed settings, so that DISCARD ALL runs before another session uses the connection.
func (conn *Conn) SetDirty() { conn.fire(settingsChanged) }

// SetClean records that the caller cleared the settings and prepared statements with DISCARD ALL.
func (conn *Conn) SetClean() {
	conn.fire(resetDone)
	conn.fire(acquired)
	conn.ForgetPrepared()
}

// SetBroken marks the connection as broken; it is closed on release.
func (conn *Conn) SetBroken() { conn.broken = true }

// Send writes messages in response to which the server sends the given number of ReadyForQuery messages. After an error,
// sent is false if no byte was written.
func (conn *Conn) Send(messages []byte, pending int) (sent bool, err error) {
	conn.pending += pending
	if len(messages) > largeWriteBytes {
		_ = conn.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	}
	count, err := conn.conn.Write(messages)
	if len(messages) > largeWriteBytes {
		_ = conn.conn.SetWriteDeadline(time.Time{})
	}
	if err != nil {
		conn.broken = true
		return count > 0, fmt.Errorf("write to %s: %w", conn.request.Server, err)
	}
	return true, nil
}

// Next returns the next message of the server, which is valid until the following call. A timeout occurs after half of
// wait to all of it, or never if wait is 0, and leaves the connection usable.
func (conn *Conn) Next(wait time.Duration) (wire.Frame, error) {
	if conn.reader.Buffered() == 0 && wait > 0 {
		// A deadline that is far enough ahead is kept, because setting it for every response would cost more than the read.
		if now := time.Now(); conn.deadline.Before(now.Add(wait/2)) || conn.deadline.After(now.Add(wait)) {
			conn.deadline = now.Add(wait)
			if err := conn.conn.SetReadDeadline(conn.deadline); err != nil {
				conn.broken = true
				return nil, fmt.Errorf("read deadline: %w", err)
			}
		}
	}
	frame, err := conn.reader.Next()
	if err != nil {
		if timeout, ok := err.(net.Error); ok && timeout.Timeout() {
			return nil, err
		}
		conn.broken = true
		return nil, fmt.Errorf("read from %s: %w", conn.request.Server, err)
	}
	if frame.Type() == wire.ReadyForQuery {
		conn.pending--
		if body := frame.Body(); len(body) == 1 && conn.pending >= 0 {
			conn.status = body[0]
		} else {
			conn.broken = true
			return nil, fmt.Errorf("ready for query: %w", ErrUnexpected)
		}
	}
	return frame, nil
}

// PendingReady returns the number of ReadyForQuery messages still expected from the server.
func (conn *Conn) PendingReady() int { return conn.pending }

// Buffered returns the number of bytes that were read from the server but not yet returned by Next.
func (conn *Conn) Buffered() int { return conn.reader.Buffered() }

// Cancel sends a cancel request for the statement that runs on the connection. The caller calls SetCanceled first, so that
// the connection is closed on release. Cancel may be called while another goroutine uses the connection.
func (conn *Conn) Cancel(ctx context.Context) error {
	ctx, stop := context.WithTimeout(ctx, cancelTimeout)
	defer stop()
	var dialer net.Dialer
	cancelConn, err := dialer.DialContext(ctx, "tcp", conn.request.Address)
	if err != nil {
		return fmt.Errorf("cancel at %s: %w", conn.request.Server, err)
	}
	defer cancelConn.Close()
	message := []byte{0, 0, 0, byte(12 + len(conn.secretKey)), 4, 210, 22, 46}
	message = binary.BigEndian.AppendUint32(message, conn.processID)
	if _, err = cancelConn.Write(append(message, conn.secretKey...)); err != nil {
		return fmt.Errorf("cancel at %s: %w", conn.request.Server, err)
	}
	// The server closes the connection after it has signalled the session.
	deadline, _ := ctx.Deadline()
	_ = cancelConn.SetReadDeadline(deadline)
	_, _ = cancelConn.Read(make([]byte, 1))
	return nil
}

// SetCanceled records that a cancel request is about to be sent. The owner calls it with the lock held that guards the use
// of the connection.
func (conn *Conn) SetCanceled() { conn.canceled.Store(true) }

// usable reports, without blocking, whether the server has neither closed the connection nor sent unsolicited data.
func (conn *Conn) usable() bool {
	if conn.raw == nil {
		return true
	}
	usable := false
	// Unlike Read, Control does not fail after the read deadline of an earlier response has passed.
	err := conn.raw.Control(func(fd uintptr) {
		_, _, err := syscall.Recvfrom(int(fd), conn.peek[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		usable = err == syscall.EAGAIN
	})
	return err == nil && usable
}

// HasSurplus reports, without blocking, whether the server closed the connection or sent more than the answers read so far.
func (conn *Conn) HasSurplus() bool { return conn.reader.Buffered() > 0 || !conn.usable() }

// reset clears the settings and prepared statements of the session with DISCARD ALL.
func (conn *Conn) reset() error {
	if _, err := conn.Send(wire.AppendQuery(nil, "DISCARD ALL"), 1); err != nil {
		return err
	}
	for {
		frame, err := conn.Next(resetTimeout)
		if err != nil {
			return err
		}
		switch frame.Type() {
		case wire.ReadyForQuery:
			if conn.pending != 0 || conn.status != wire.Idle || conn.reader.Buffered() > 0 {
				return fmt.Errorf("after reset: %w", ErrUnexpected)
			}
			conn.ForgetPrepared()
			return nil
		case wire.CommandComplete, wire.NoticeResponse, wire.ParameterStatus:
		default:
			return fmt.Errorf("message %q in response to reset: %w", frame.Type(), ErrUnexpected)
		}
	}
}
