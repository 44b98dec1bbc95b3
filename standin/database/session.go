package database

import (
	"bytes"
	"context"
	"net"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
)

// pushSize is the number of buffered bytes after which an answer is sent before it is complete.
const pushSize = 64 << 10

// session is one client connection.
type session struct {
	server     *Server
	connection net.Conn
	backend    *pgproto3.Backend
	outbox     bytes.Buffer
	ctx        context.Context
	stop       context.CancelFunc

	// names are the names under which a partition may cut the client off.
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
	// skip drops extended-query messages up to the next Sync after an error.
	skip bool

	mutex   sync.Mutex
	current context.CancelFunc // cancels the current statement
}

// loop handles messages until the connection ends.
func (session *session) loop() error {
	for {
		message, err := session.backend.Receive()
		if err != nil {
			return err
		}
		if err := session.server.pause(session.ctx, session.names...); err != nil {
			return err
		}
		switch message := message.(type) {
		case *pgproto3.Terminate:
			return nil
		case *pgproto3.Query:
			session.skip = false
			err = session.simple(message.String)
		case *pgproto3.Sync:
			err = session.sync()
		case *pgproto3.Flush:
			err = session.flush()
		case *pgproto3.Parse, *pgproto3.Bind, *pgproto3.Describe, *pgproto3.Execute, *pgproto3.Close:
			if !session.skip {
				err = session.extended(message)
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

// ready ends an answer and sends it.
func (session *session) ready() error {
	session.backend.Send(&pgproto3.ReadyForQuery{TxStatus: session.transaction.status()})
	return session.deliver(true)
}

// flush sends what is buffered.
func (session *session) flush() error { return session.deliver(false) }

// deliver sends the buffered answer; the switches may delay it, hold it back or send a complete one twice.
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
	if err := session.server.pause(session.ctx, session.names...); err != nil {
		return err
	}
	if err := session.backend.Flush(); err != nil {
		return err
	}
	if complete && !session.control && session.server.switches.take(func(state *State) *int { return &state.CrossedAnswer }) {
		session.outbox.Write(bytes.Clone(session.outbox.Bytes()))
	}
	return session.write()
}

// push sends what is buffered without regard to the switches.
func (session *session) push() error {
	if err := session.backend.Flush(); err != nil {
		return err
	}
	return session.write()
}

func (session *session) write() error {
	_, err := session.connection.Write(session.outbox.Bytes())
	if session.outbox.Cap() > 2*pushSize {
		session.outbox = bytes.Buffer{}
	}
	session.outbox.Reset()
	return err
}

// cut closes the connection and interrupts its statement.
func (session *session) cut() {
	session.stop()
	session.connection.Close()
}

// interruptible returns the context of one statement.
func (session *session) interruptible() (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(session.ctx)
	session.mutex.Lock()
	session.current = cancel
	session.mutex.Unlock()
	return ctx, func() {
		session.mutex.Lock()
		session.current = nil
		session.mutex.Unlock()
		cancel()
	}
}

// interrupt cancels the current statement.
func (session *session) interrupt() {
	session.mutex.Lock()
	defer session.mutex.Unlock()
	if session.current != nil {
		session.current()
	}
}

// open returns the session's SQLite connection; it is opened at the first statement that needs it, and again after
// the files were rebuilt.
func (session *session) open() (*handle, error) {
	if session.handle != nil && !session.transaction.begun && session.handle.generation != session.server.files.current() {
		session.closeHandle()
	}
	if session.handle == nil {
		opened, err := session.server.files.open(session.ctx, session.database)
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
