package database

import (
	"bytes"
	"context"
	"net"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
)

// flushThreshold is the number of buffered bytes above which a response is sent before it is complete.
const flushThreshold = 64 << 10

// session is one client connection.
type session struct {
	server     *Server
	connection net.Conn
	backend    *pgproto3.Backend
	output     bytes.Buffer
	ctx        context.Context
	stop       context.CancelFunc

	// names are the client's names in a partition: its address, host and application_name.
	names          []string
	user, database string
	control        bool
	processID      uint32
	secret         uint32
	variables      *variables

	handle      *handle
	transaction transaction
	statements  map[string]*prepared
	portals     map[string]*portal
	// skipToSync is set after an error in the extended query protocol: messages are dropped up to the next Sync.
	skipToSync bool

	mutex         sync.Mutex
	cancelCurrent context.CancelFunc // cancels the current statement; nil if there is none
}

// loop handles messages until the connection ends.
func (session *session) loop() error {
	for {
		message, err := session.backend.Receive()
		if err != nil {
			return err
		}
		if err := session.server.waitUnblocked(session.ctx, session.names...); err != nil {
			return err
		}
		switch message := message.(type) {
		case *pgproto3.Terminate:
			return nil
		case *pgproto3.Query:
			session.skipToSync = false
			err = session.simpleQuery(message.String)
		case *pgproto3.Sync:
			err = session.sync()
		case *pgproto3.Flush:
			err = session.flush()
		case *pgproto3.Parse, *pgproto3.Bind, *pgproto3.Describe, *pgproto3.Execute, *pgproto3.Close:
			if !session.skipToSync {
				err = session.extendedQuery(message)
			}
		case *pgproto3.CopyData, *pgproto3.CopyDone, *pgproto3.CopyFail:
			// PostgreSQL ignores these outside of COPY.
		default:
			err = fail("08P01", "message %T is not supported", message)
		}
		if err != nil {
			return err
		}
	}
}

// sendReady ends a response with ReadyForQuery and sends it.
func (session *session) sendReady() error {
	session.backend.Send(&pgproto3.ReadyForQuery{TxStatus: session.transaction.status()})
	return session.deliver(true)
}

// flush sends the buffered messages.
func (session *session) flush() error { return session.deliver(false) }

// deliver sends the buffered messages; complete marks the end of a response. The switches may delay them, block them
// or send a complete response twice.
func (session *session) deliver(complete bool) error {
	if !session.control {
		if late := session.server.switches.state().LateAnswerMS; late > 0 {
			select {
			case <-time.After(time.Duration(late) * time.Millisecond):
			case <-session.ctx.Done():
				return session.ctx.Err()
			}
		}
	}
	if err := session.server.waitUnblocked(session.ctx, session.names...); err != nil {
		return err
	}
	if err := session.backend.Flush(); err != nil {
		return err
	}
	if complete && !session.control && session.server.switches.consume(func(state *Switches) *int { return &state.CrossedAnswer }) {
		session.output.Write(bytes.Clone(session.output.Bytes()))
	}
	return session.write()
}

// flushDirect sends the buffered messages, bypassing the switches.
func (session *session) flushDirect() error {
	if err := session.backend.Flush(); err != nil {
		return err
	}
	return session.write()
}

func (session *session) write() error {
	_, err := session.connection.Write(session.output.Bytes())
	if session.output.Cap() > 2*flushThreshold {
		session.output = bytes.Buffer{}
	}
	session.output.Reset()
	return err
}

// disconnect closes the connection and cancels its statement.
func (session *session) disconnect() {
	session.stop()
	session.connection.Close()
}

// statementContext returns a context for one statement that cancelStatement cancels; the function releases it.
func (session *session) statementContext() (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(session.ctx)
	session.mutex.Lock()
	session.cancelCurrent = cancel
	session.mutex.Unlock()
	return ctx, func() {
		session.mutex.Lock()
		session.cancelCurrent = nil
		session.mutex.Unlock()
		cancel()
	}
}

// cancelStatement cancels the current statement, if any.
func (session *session) cancelStatement() {
	session.mutex.Lock()
	defer session.mutex.Unlock()
	if session.cancelCurrent != nil {
		session.cancelCurrent()
	}
}

// openHandle returns the session's SQLite connection. It is opened for the first statement that needs it, and reopened
// after the files were rebuilt.
func (session *session) openHandle() (*handle, error) {
	if session.handle != nil && !session.transaction.begun && session.handle.generation != session.server.fileStore.currentGeneration() {
		session.closeHandle()
	}
	if session.handle == nil {
		opened, err := session.server.fileStore.openHandle(session.ctx, session.database)
		if err != nil {
			return nil, err
		}
		session.handle = opened
	}
	return session.handle, nil
}

func (session *session) closeHandle() {
	if session.handle != nil {
		session.handle.close()
		session.handle = nil
	}
}
