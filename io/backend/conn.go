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

	"dotterelgw/core/chart"
	"dotterelgw/core/ids"
	"dotterelgw/io/backend/wire"
)

const (
	// maxPrepared bounds the prepared statements per connection; reaching it costs one DISCARD ALL.
	maxPrepared = 500
	// maxAnswerBytes bounds one message of a backend server, as PostgreSQL itself does for its own messages.
	maxAnswerBytes = 1 << 30
	// resetTimeout bounds DISCARD ALL between two sessions.
	resetTimeout = 5 * time.Second
	// largeWrite is the size from which a write may exceed the socket's buffer and block on a server that hangs.
	largeWrite = 16 << 10
	// writeTimeout bounds a large write.
	writeTimeout = 10 * time.Second
	// cancelTimeout bounds the delivery of a cancel request.
	cancelTimeout = 2 * time.Second
)

// ErrUnexpected states that a server sent something other than the answers that were due.
const ErrUnexpected = errors.ConstError("unexpected message from the backend server")

// Conn is a connection to a backend server. It is used by one session at a time.
type Conn struct {
	conn    net.Conn
	raw     syscall.RawConn
	reader  *wire.Reader
	life    *chart.Machine
	request Request
	slot    slot
	// idleSince is the time of the last release.
	idleSince time.Time

	processID uint32
	secretKey []byte

	// deadline is the read deadline that is set.
	deadline time.Time
	// due is the number of ReadyForQuery messages that the server owes.
	due    int
	status byte
	broken bool
	// canceled is set before a cancel request is sent: it may arrive late, so the connection must not serve others.
	canceled atomic.Bool
	prepared map[string]struct{}
	// peek is the buffer of the liveness check.
	peek [1]byte
}

// Server returns the backend server that the connection leads to.
func (conn *Conn) Server() ids.BackendServerID { return conn.request.Server }

// Status returns the transaction state that the server reported last.
func (conn *Conn) Status() byte { return conn.status }

// Prepared states whether the connection holds the prepared statement.
func (conn *Conn) Prepared(name string) bool {
	_, ok := conn.prepared[name]
	return ok
}

// SetPrepared records that the connection holds the prepared statement, or no longer does.
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

// ForgetPrepared records that the server dropped every prepared statement.
func (conn *Conn) ForgetPrepared() { clear(conn.prepared) }

// SetDirty states that the session changed settings, so that the connection needs DISCARD ALL before others use it.
func (conn *Conn) SetDirty() { conn.fire(settingsChanged) }

// SetClean states that the caller itself cleared the settings and prepared statements with DISCARD ALL.
func (conn *Conn) SetClean() {
	conn.fire(cleared)
	conn.fire(acquired)
	conn.ForgetPrepared()
}

// Break states that the connection must not be used again.
func (conn *Conn) Break() { conn.broken = true }

// Send writes messages that the server answers with due ReadyForQuery messages; sent is false if no byte was written.
func (conn *Conn) Send(messages []byte, due int) (sent bool, err error) {
	conn.due += due
	if len(messages) > largeWrite {
		_ = conn.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	}
	count, err := conn.conn.Write(messages)
	if len(messages) > largeWrite {
		_ = conn.conn.SetWriteDeadline(time.Time{})
	}
	if err != nil {
		conn.broken = true
		return count > 0, fmt.Errorf("write to %s: %w", conn.request.Server, err)
	}
	return true, nil
}

// Next returns the next message of the server, valid until the following call. An error that is a timeout leaves the
// connection usable; it comes after half of wait to all of it, or never if wait is 0.
func (conn *Conn) Next(wait time.Duration) (wire.Frame, error) {
	if conn.reader.Buffered() == 0 && wait > 0 {
		// A deadline that lies far enough ahead is kept: setting it for every answer would cost more than the read.
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
		conn.due--
		if body := frame.Body(); len(body) == 1 && conn.due >= 0 {
			conn.status = body[0]
		} else {
			conn.broken = true
			return nil, fmt.Errorf("ready for query: %w", ErrUnexpected)
		}
	}
	return frame, nil
}

// Due returns the number of ReadyForQuery messages that the server owes.
func (conn *Conn) Due() int { return conn.due }

// Buffered returns the number of bytes of answers that are read but not yet returned.
func (conn *Conn) Buffered() int { return conn.reader.Buffered() }

// Cancel asks the server to cancel the statement that runs on the connection, which is then closed instead of reused.
// It may be called while another goroutine uses the connection.
func (conn *Conn) Cancel(ctx context.Context) error {
	ctx, stop := context.WithTimeout(ctx, cancelTimeout)
	defer stop()
	var dialer net.Dialer
	side, err := dialer.DialContext(ctx, "tcp", conn.request.Address)
	if err != nil {
		return fmt.Errorf("cancel at %s: %w", conn.request.Server, err)
	}
	defer side.Close()
	message := []byte{0, 0, 0, byte(12 + len(conn.secretKey)), 4, 210, 22, 46}
	message = binary.BigEndian.AppendUint32(message, conn.processID)
	if _, err = side.Write(append(message, conn.secretKey...)); err != nil {
		return fmt.Errorf("cancel at %s: %w", conn.request.Server, err)
	}
	// The server closes the connection once it has signalled the session.
	deadline, _ := ctx.Deadline()
	_ = side.SetReadDeadline(deadline)
	_, _ = side.Read(make([]byte, 1))
	return nil
}

// SetCanceled states that a cancel request is about to be sent; the owner calls it under the lock that guards its use.
func (conn *Conn) SetCanceled() { conn.canceled.Store(true) }

// quiet checks without waiting that the server has neither closed the connection nor sent something unasked.
func (conn *Conn) quiet() bool {
	if conn.raw == nil {
		return true
	}
	quiet := false
	// Control, unlike Read, does not fail when the read deadline of an earlier answer has passed.
	err := conn.raw.Control(func(fd uintptr) {
		_, _, err := syscall.Recvfrom(int(fd), conn.peek[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = err == syscall.EAGAIN
	})
	return err == nil && quiet
}

// reset clears the session's settings with DISCARD ALL.
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
			if conn.due != 0 || conn.status != wire.Idle || conn.reader.Buffered() > 0 {
				return fmt.Errorf("after reset: %w", ErrUnexpected)
			}
			conn.ForgetPrepared()
			return nil
		case wire.CommandComplete, wire.NoticeResponse, wire.ParameterStatus:
		default:
			return fmt.Errorf("reset answered with %q: %w", frame.Type(), ErrUnexpected)
		}
	}
}
