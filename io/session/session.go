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

// Signals are set by other goroutines. The session checks them before it waits for its caller and while it waits for a server.
const (
	signalReview uint32 = 1 << iota
	signalDrain
	signalStop
)

const (
	// flushBytes is the size from which on the pending answer is written to the caller.
	flushBytes = 16 << 10
	// writeTimeout bounds a write to a caller that does not read and meanwhile holds a backend connection. The actual bound
	// is between half of it and all of it, see flush.
	writeTimeout = 30 * time.Second
	// batchSizeFactor times MaxMessageBytes bounds the size of a batch and, separately, of the session's prepared
	// statements.
	batchSizeFactor = 4
	// secretBytes is the length of the secret in BackendKeyData of protocol version 3.0.
	secretBytes = 4
)

// errClosed ends the message loop of a session that needs no further answer.
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
	signals   atomic.Uint32
	// writeDeadline is the deadline last set on conn.
	writeDeadline time.Time

	contract *contract.Contract
	revision ids.Revision
	route    contract.Route
	readOnly bool
	// readOnlyLifted reports whether the caller may have overridden its own read-only default.
	readOnlyLifted bool
	// readOnlyOff reports whether the caller's last setting of its read-only default on the connection that it is pinned to may
	// allow writes.
	readOnlyOff bool

	// mutex guards backend and waiting against cancel requests, which come from other goroutines.
	mutex   sync.Mutex
	backend *backend.Conn
	// waiting reports whether the request waits for a server, canceled whether the caller canceled it during the wait.
	waiting  bool
	canceled atomic.Bool
	// backendGroup is the group of the server of backend. An open transaction stays there when the route leads elsewhere.
	backendGroup ids.GroupID
	// wantsPrimary reports whether the request waits for a connection to the primary.
	wantsPrimary bool
	// primary reports whether the backend connection is to the server that was the primary when it was acquired.
	primary bool
	// pinned reports whether the backend connection holds settings of this session and is therefore kept between
	// transactions.
	pinned bool

	// txStatus is the transaction status last reported to the caller.
	txStatus byte
	// aborted reports whether the proxy rolled back the transaction. Statements fail until the caller ends it.
	aborted bool
	// awaitingSync reports whether a Flush sent part of a batch to the server and its Sync has not arrived yet.
	awaitingSync bool
	// skipping reports whether messages are ignored until Sync, after an error.
	skipping bool
	// forwarded reports whether part of the answer to the request was sent to the caller.
	forwarded bool

	// observed is what the session has observed of the log of the route's group. Reads go to servers that have replayed the log that far.
	observed observed
	// elsewhere holds what it has observed of the groups to which the route led before.
	elsewhere      map[ids.GroupID]observed
	tokenPositions []position.GroupPosition

	// statements and portals are keyed by the caller's names.
	statements map[string]*statement
	portals    map[string]*statement
	// preparedBytes is the total size of the prepared statements that were not closed.
	preparedBytes int
	request       request
	answer        answer
	scratch       *scratch
}

// KeyData returns the process ID and the secret to send to the caller in BackendKeyData.
func (session *Session) KeyData() (processID uint32, secret []byte) {
	return session.processID, session.secret[:]
}

// Close ends a session whose Run was not called.
func (session *Session) Close() { session.end() }

// Run handles the caller's messages until the session ends. The first ReadyForQuery must have been sent before.
func (session *Session) Run() {
	defer session.end()
	defer func() {
		if reason := recover(); reason != nil {
			// A panic in one session must not end the others.
			_ = session.server.Logger.Log("msg", "session panicked", "reason", reason, "stack", string(debug.Stack()))
		}
	}()
	for {
		if err := session.nextMessage(); err != nil {
			_ = session.flush()
			return
		}
	}
}

// end rolls back an open transaction and releases everything that the session holds.
func (session *Session) end() {
	session.cancel()
	if session.backend != nil {
		if session.txStatus != wire.Idle || session.awaitingSync {
			session.rollback()
		}
		session.release()
	}
	_ = session.conn.Close()
	if session.scratch != nil {
		session.scratch.reset()
		scratchPool.Put(session.scratch)
		session.scratch = nil
	}
	session.server.removeSession(session)
}

// nextMessage reads and handles one message of the caller.
func (session *Session) nextMessage() error {
	if session.reader.Buffered() == 0 {
		if err := session.prepareToWait(); err != nil {
			return err
		}
	}
	frame, err := session.reader.Next()
	if err != nil {
		var timeout net.Error
		if errors.As(err, &timeout) && timeout.Timeout() {
			return session.conn.SetReadDeadline(time.Time{})
		}
		return session.handleReadError(err)
	}
	if session.scratch == nil {
		session.scratch = scratchPool.Get().(*scratch)
	}
	return session.handle(frame)
}

// prepareToWait flushes the answer, returns the buffers to the pool and handles signals, before the session waits for its
// caller.
func (session *Session) prepareToWait() error {
	if err := session.flush(); err != nil {
		return err
	}
	if session.scratch != nil && len(session.scratch.ops) == 0 {
		session.scratch.reset()
		scratchPool.Put(session.scratch)
		session.scratch = nil
	}
	session.reader.ReleaseBuffer()
	pending := session.signals.Load()
	if pending == 0 {
		return nil
	}
	if pending&signalReview != 0 {
		session.signals.And(^signalReview)
		if refused := session.applyContracts(); refused != nil {
			return session.refuse(refused)
		}
	}
	switch open := session.txStatus != wire.Idle || session.awaitingSync; {
	case pending&signalStop != 0 && open:
		return session.refuse(refusal.New(refusal.Stopping, "the transaction was open after the grace period").WithOutcome(refusal.RolledBack))
	case pending&(signalDrain|signalStop) != 0 && !open:
		return session.refuse(refusal.New(refusal.Stopping, ""))
	}
	return nil
}

// wake interrupts a read from the caller by setting a deadline in the past.
func (session *Session) wake() { _ = session.conn.SetReadDeadline(time.Unix(1, 0)) }

// handleReadError ends the session after a read error. A message that is too large or violates the protocol is refused
// first.
func (session *Session) handleReadError(err error) error {
	switch {
	case errors.Is(err, wire.ErrTooLarge):
		return session.refuseFatal(refusal.New(refusal.MessageTooLarge, err.Error()))
	case errors.Is(err, wire.ErrMalformed):
		return session.refuseFatal(refusal.New(refusal.ProtocolError, err.Error()))
	}
	return errClosed
}

// handle dispatches one message.
func (session *Session) handle(frame wire.Frame) error {
	switch kind := frame.Type(); kind {
	case wire.Terminate:
		return errClosed
	case wire.Query:
		session.skipping = false
		return session.handleQuery(frame)
	case wire.Parse, wire.Bind, wire.Describe, wire.Execute, wire.Close:
		if session.skipping {
			return nil
		}
		if err := session.bufferMessage(frame); err != nil {
			return session.refuseFatal(refusal.New(refusal.ProtocolError, err.Error()))
		}
		if limit := batchSizeFactor * session.server.MaxMessageBytes; len(session.scratch.arena) > limit || session.preparedBytes > limit {
			return session.refuseFatal(refusal.New(refusal.MessageTooLarge, fmt.Sprintf("more than %d bytes in a batch or in prepared statements", limit)))
		}
		return nil
	case wire.Flush:
		if session.skipping || len(session.scratch.ops) == 0 {
			return session.flush()
		}
		if session.request.class.commits {
			// COMMIT takes effect on the server before Sync, so it must be confirmed before the caller sees its answer.
			session.request.endsWithReady, session.request.flushed = true, true
		}
		err := session.runRequest()
		session.resetBatch()
		if err != nil {
			return err
		}
		return session.flush()
	case wire.Sync:
		return session.handleSync()
	case wire.CopyData, wire.CopyDone, wire.CopyFail:
		// PostgreSQL ignores these messages outside of COPY, because they may follow a COPY that failed.
		return nil
	case wire.FunctionCall:
		return session.refuse(refusal.New(refusal.Unsupported, "function call messages"))
	default:
		return session.refuseFatal(refusal.New(refusal.ProtocolError, fmt.Sprintf("message type %q", kind)))
	}
}

// handleQuery handles a Query message.
func (session *Session) handleQuery(frame wire.Frame) error {
	body := frame.Body()
	if len(body) == 0 || body[len(body)-1] != 0 {
		return session.refuseFatal(refusal.New(refusal.ProtocolError, "query without terminator"))
	}
	session.resetBatch()
	session.request = request{simple: true, endsWithReady: true, statements: 1, class: classify(string(body[:len(body)-1]))}
	session.scratch.arena = append(session.scratch.arena[:0], frame...)
	err := session.runRequest()
	session.resetBatch()
	return err
}

// handleSync runs the batch that ends with a Sync message.
func (session *Session) handleSync() error {
	if session.skipping && !session.awaitingSync || len(session.scratch.ops) == 0 && !session.awaitingSync {
		session.skipping = false
		session.resetBatch()
		session.scratch.out = wire.AppendReady(session.scratch.out, session.txStatus)
		return nil
	}
	session.request.endsWithReady = true
	err := session.runRequest()
	session.skipping = false
	session.resetBatch()
	return err
}

// resetBatch discards the batch.
func (session *Session) resetBatch() {
	scratch := session.scratch
	clear(scratch.ops)
	scratch.ops = scratch.ops[:0]
	scratch.arena = scratch.arena[:0]
	class := session.request.class
	session.request = request{}
	if session.awaitingSync {
		// Keep the class: the part that was sent belongs to the batch whose Sync has not arrived yet.
		session.request.class = class
	}
}

// flush writes the pending answer to the caller.
func (session *Session) flush() error {
	if session.scratch == nil || len(session.scratch.out) == 0 {
		return nil
	}
	// The deadline is renewed only when less than half of the timeout is left, to save the cost of setting it for each answer.
	if now := time.Now(); session.writeDeadline.Before(now.Add(writeTimeout / 2)) {
		session.writeDeadline = now.Add(writeTimeout)
		_ = session.conn.SetWriteDeadline(session.writeDeadline)
	}
	_, err := session.conn.Write(session.scratch.out)
	session.scratch.out = session.scratch.out[:0]
	session.forwarded = true
	if err != nil {
		return errClosed
	}
	return nil
}

// cancelStatement asks the backend server to cancel the statement that it runs for this session, or ends the wait for a
// server.
func (session *Session) cancelStatement() {
	session.mutex.Lock()
	conn := session.backend
	if conn != nil {
		conn.SetCanceled()
	}
	session.canceled.Store(conn == nil && session.waiting)
	session.mutex.Unlock()
	if conn != nil {
		// The connection is closed instead of reused once it is released, so that a late cancel request cannot reach a
		// statement of another session.
		_ = conn.Cancel(context.Background())
	}
}

// setWaiting records whether the request waits for a server. It returns whether the request was canceled since the last
// call.
func (session *Session) setWaiting(waiting bool) (canceled bool) {
	session.mutex.Lock()
	defer session.mutex.Unlock()
	session.waiting = waiting
	return session.canceled.Swap(false)
}
