package session

import (
	"context"
	"errors"
	"fmt"
	"net"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"dotterelgw/core/contract"
	"dotterelgw/core/ids"
	"dotterelgw/core/position"
	"dotterelgw/core/refusal"
	"dotterelgw/io/backend"
	"dotterelgw/io/backend/wire"
)

// Flags that other goroutines set to have a session look at its state.
const (
	stopReview uint32 = 1 << iota
	stopDrain
	stopNow
)

const (
	// flushBytes is the size of the pending answer at which it is written to the caller.
	flushBytes = 16 << 10
	// writeTimeout bounds a write to a caller that does not read, to within a half: it holds a backend connection meanwhile.
	writeTimeout = 30 * time.Second
	// maxBatches bounds a batch, and the session's prepared statements, in messages of the greatest length.
	maxBatches = 4
	// secretBytes is the length of the secret in BackendKeyData of protocol version 3.0.
	secretBytes = 4
)

// errClosed ends the message loop; the caller got what it is to get.
var errClosed = errors.New("session closed")

// Session is one caller connection after its start-up.
type Session struct {
	server    *Server
	caller    Caller
	conn      net.Conn
	reader    *wire.Reader
	ctx       context.Context
	cancel    context.CancelFunc
	processID uint32
	secret    [secretBytes]byte
	stop      atomic.Uint32
	// writeBy is the write deadline that is set.
	writeBy time.Time

	contract *contract.Contract
	revision ids.Revision
	route    contract.Route
	readOnly bool
	// lifted states that the caller may have lifted its own read-only default.
	lifted bool

	// mutex guards backend against cancel requests, which come from other goroutines.
	mutex   sync.Mutex
	backend *backend.Conn
	// waiting states that the request waits for a server; canceled that the caller canceled it meanwhile.
	waiting  bool
	canceled atomic.Bool
	// wantsPrimary states that the request waits for the primary.
	wantsPrimary bool
	// primary states that the backend connection leads to the server that was the primary when it was acquired.
	primary bool
	// pinned states that the server's session holds settings of this one.
	pinned bool

	// tx is the transaction state that the caller knows.
	tx byte
	// aborted states that the transaction was rolled back by the proxy; statements fail until the caller ends it.
	aborted bool
	// partial states that a Flush sent a part of a batch, whose Sync has not come yet.
	partial bool
	// skipping states that messages are ignored until Sync, after an error.
	skipping bool
	// forwarded states that the caller got a part of the answer to the request.
	forwarded bool

	positionKnown bool
	position      position.Position
	held          []position.Held

	statements map[string]*statement
	portals    map[string]*statement
	// prepared is the size in bytes of all statements that the session prepared and did not close.
	prepared int
	request  request
	answer   answer
	scratch  *scratch
}

// KeyData returns the process id and the secret for the caller's BackendKeyData.
func (session *Session) KeyData() (processID uint32, secret []byte) {
	return session.processID, session.secret[:]
}

// Close ends a session whose Run was not called.
func (session *Session) Close() { session.end() }

// Run handles the caller's messages until the session ends. The caller got ReadyForQuery before.
func (session *Session) Run() {
	defer session.end()
	defer func() {
		if reason := recover(); reason != nil {
			// A fault in one session must not end the others.
			_ = session.server.Logger.Log("msg", "session panicked", "reason", reason, "stack", string(debug.Stack()))
		}
	}()
	for {
		if err := session.next(); err != nil {
			_ = session.flush()
			return
		}
	}
}

func (session *Session) end() {
	session.cancel()
	if session.backend != nil {
		if session.tx != wire.Idle || session.partial {
			session.rollback()
		}
		session.release()
	}
	_ = session.conn.Close()
	if session.scratch != nil {
		session.scratch.reset()
		scratches.Put(session.scratch)
		session.scratch = nil
	}
	session.server.closed(session)
}

// next reads and handles one message of the caller.
func (session *Session) next() error {
	if session.reader.Buffered() == 0 {
		if err := session.rest(); err != nil {
			return err
		}
	}
	frame, err := session.reader.Next()
	if err != nil {
		var timeout net.Error
		if errors.As(err, &timeout) && timeout.Timeout() {
			return session.conn.SetReadDeadline(time.Time{})
		}
		return session.broken(err)
	}
	if session.scratch == nil {
		session.scratch = scratches.Get().(*scratch)
	}
	return session.handle(frame)
}

// rest flushes the answer, gives the buffers back and looks at the flags, before the session waits for its caller.
func (session *Session) rest() error {
	if err := session.flush(); err != nil {
		return err
	}
	if session.scratch != nil && len(session.scratch.ops) == 0 {
		session.scratch.reset()
		scratches.Put(session.scratch)
		session.scratch = nil
	}
	session.reader.Idle()
	flags := session.stop.Load()
	if flags == 0 {
		return nil
	}
	if flags&stopReview != 0 {
		session.stop.And(^stopReview)
		if refused := session.review(); refused != nil {
			return session.refuse(refused)
		}
	}
	switch open := session.tx != wire.Idle || session.partial; {
	case flags&stopNow != 0 && open:
		return session.refuse(refusal.New(refusal.Stopping, "the transaction was open after the grace period").WithOutcome(refusal.RolledBack))
	case flags&(stopDrain|stopNow) != 0 && !open:
		return session.refuse(refusal.New(refusal.Stopping, ""))
	}
	return nil
}

func (session *Session) wake() { _ = session.conn.SetReadDeadline(time.Unix(1, 0)) }

// broken ends the session after a read error; a message that violates the protocol is answered.
func (session *Session) broken(err error) error {
	switch {
	case errors.Is(err, wire.ErrTooLarge):
		return session.refuseFatal(refusal.New(refusal.MessageTooLarge, err.Error()))
	case errors.Is(err, wire.ErrMalformed):
		return session.refuseFatal(refusal.New(refusal.ProtocolError, err.Error()))
	}
	return errClosed
}

// handle handles one message.
func (session *Session) handle(frame wire.Frame) error {
	switch kind := frame.Type(); kind {
	case wire.Terminate:
		return errClosed
	case wire.Query:
		session.skipping = false
		return session.simple(frame)
	case wire.Parse, wire.Bind, wire.Describe, wire.Execute, wire.Close:
		if session.skipping {
			return nil
		}
		if err := session.extend(frame); err != nil {
			return session.refuseFatal(refusal.New(refusal.ProtocolError, err.Error()))
		}
		if limit := maxBatches * session.server.MaxMessageBytes; len(session.scratch.arena) > limit || session.prepared > limit {
			return session.refuseFatal(refusal.New(refusal.MessageTooLarge, fmt.Sprintf("more than %d bytes in a batch or in prepared statements", limit)))
		}
		return nil
	case wire.Flush:
		if session.skipping || len(session.scratch.ops) == 0 {
			return session.flush()
		}
		err := session.run()
		session.clear()
		if err != nil {
			return err
		}
		return session.flush()
	case wire.Sync:
		return session.sync()
	case wire.CopyData, wire.CopyDone, wire.CopyFail:
		// PostgreSQL ignores these outside of COPY, since they may follow a COPY that failed.
		return nil
	case wire.FunctionCall:
		return session.refuse(refusal.New(refusal.Unsupported, "function call messages"))
	default:
		return session.refuseFatal(refusal.New(refusal.ProtocolError, fmt.Sprintf("message type %q", kind)))
	}
}

// simple handles a Query message.
func (session *Session) simple(frame wire.Frame) error {
	body := frame.Body()
	if len(body) == 0 || body[len(body)-1] != 0 {
		return session.refuseFatal(refusal.New(refusal.ProtocolError, "query without terminator"))
	}
	session.clear()
	session.request = request{simple: true, sync: true, statements: 1, class: classify(string(body[:len(body)-1]))}
	session.scratch.arena = append(session.scratch.arena[:0], frame...)
	err := session.run()
	session.clear()
	return err
}

// sync ends a batch of the extended protocol.
func (session *Session) sync() error {
	if session.skipping && !session.partial || len(session.scratch.ops) == 0 && !session.partial {
		session.skipping = false
		session.clear()
		session.scratch.out = wire.AppendReady(session.scratch.out, session.tx)
		return nil
	}
	session.request.sync = true
	err := session.run()
	session.skipping = false
	session.clear()
	return err
}

// clear forgets the batch.
func (session *Session) clear() {
	scratch := session.scratch
	clear(scratch.ops)
	scratch.ops = scratch.ops[:0]
	scratch.arena = scratch.arena[:0]
	class := session.request.class
	session.request = request{}
	if session.partial {
		// The part that was sent still belongs to the batch whose Sync is to come.
		session.request.class = class
	}
}

// flush writes the pending answer to the caller.
func (session *Session) flush() error {
	if session.scratch == nil || len(session.scratch.out) == 0 {
		return nil
	}
	// A deadline that lies far enough ahead is kept: setting it for every answer would cost more than it gains.
	if now := time.Now(); session.writeBy.Before(now.Add(writeTimeout / 2)) {
		session.writeBy = now.Add(writeTimeout)
		_ = session.conn.SetWriteDeadline(session.writeBy)
	}
	_, err := session.conn.Write(session.scratch.out)
	session.scratch.out = session.scratch.out[:0]
	session.forwarded = true
	if err != nil {
		return errClosed
	}
	return nil
}

// cancelStatement asks the backend server to cancel what it runs for this session, or ends the wait for a server.
func (session *Session) cancelStatement() {
	session.mutex.Lock()
	conn := session.backend
	if conn != nil {
		conn.SetCanceled()
	}
	session.canceled.Store(conn == nil && session.waiting)
	session.mutex.Unlock()
	if conn != nil {
		// After release the connection is closed rather than reused, so a late cancel meets nobody else's statement.
		_ = conn.Cancel(context.Background())
	}
}

// setWaiting notes whether the request waits for a server, and returns whether it was canceled meanwhile.
func (session *Session) setWaiting(waiting bool) (canceled bool) {
	session.mutex.Lock()
	defer session.mutex.Unlock()
	session.waiting = waiting
	return session.canceled.Swap(false)
}
