package database

import (
	"context"
	"database/sql/driver"
	"strings"

	"dotterelgw/core/ids"
)

// transaction is the state of the session's transaction, explicit or implicit.
type transaction struct {
	// explicit states that BEGIN was given; failed that only a rollback is accepted.
	explicit, failed bool
	// begun states that SQLite has an open transaction; writing that the writer lock is held.
	begun, writing bool
	readOnly       bool
	// term is the term in which the transaction began to write.
	term       ids.Term
	statements []LoggedStatement
	savepoints []savepoint
	// before holds the session's variables to return to on rollback, local those to return to at any end.
	before, local map[string]string
}

type savepoint struct {
	name  string
	count int
}

// status returns the transaction status of ReadyForQuery.
func (transaction *transaction) status() byte {
	switch {
	case transaction.failed:
		return 'E'
	case transaction.explicit:
		return 'T'
	}
	return 'I'
}

// background runs transaction control that must not be interrupted.
func (session *session) background(sql string) error {
	_, err := session.handle.execute(context.Background(), sql, nil)
	return err
}

// beginRead opens SQLite's transaction within an explicit transaction.
func (session *session) beginRead(handle *handle) error {
	if !session.transaction.explicit || session.transaction.begun {
		return nil
	}
	if _, err := handle.execute(context.Background(), "BEGIN", nil); err != nil {
		return err
	}
	session.transaction.begun = true
	return nil
}

// beginWrite takes the writer lock and opens SQLite's transaction for writing.
func (session *session) beginWrite(ctx context.Context, handle *handle) error {
	transaction := &session.transaction
	if transaction.writing {
		return session.server.group.writable(transaction.term)
	}
	if session.variablesReadOnly() {
		return fail("25006", "cannot execute the statement in a read-only transaction")
	}
	if err := session.server.lockWriter(ctx); err != nil {
		return err
	}
	transaction.writing = true
	transaction.term = session.server.group.status().Term
	if transaction.begun {
		return nil
	}
	if _, err := handle.execute(ctx, "BEGIN IMMEDIATE", nil); err != nil {
		return err
	}
	transaction.begun = true
	return nil
}

func (session *session) variablesReadOnly() bool {
	if session.transaction.explicit {
		return session.transaction.readOnly
	}
	return session.variables.readOnly()
}

// lockWriter waits for the writer lock as long as the server may write.
func (server *Server) lockWriter(ctx context.Context) error {
	for {
		turned := server.group.turning()
		if err := server.group.writable(0); err != nil {
			return err
		}
		select {
		case server.writer <- struct{}{}:
			return nil
		case <-turned:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// note adds a statement to the record that the commit writes.
func (session *session) note(sql string, arguments []driver.Value) {
	session.transaction.statements = append(session.transaction.statements, LoggedStatement{sql, logged(arguments)})
}

// finish resets the transaction after a commit or rollback.
func (session *session) finish() {
	if session.transaction.writing {
		<-session.server.writer
	}
	if session.transaction.local != nil {
		session.variables.values = session.transaction.local
	}
	session.transaction = transaction{}
	clear(session.portals)
}

// rollback ends the transaction without effect.
func (session *session) rollback() {
	if session.transaction.begun && session.background("ROLLBACK") != nil {
		// SQLite has rolled back by itself; a fresh connection is in a known state either way.
		session.closeHandle()
	}
	if session.transaction.before != nil {
		session.variables.values, session.transaction.local = session.transaction.before, nil
	}
	session.finish()
}

// commit ends the transaction; it returns errCut if the answer is to be lost.
func (session *session) commit() error {
	transaction := &session.transaction
	if !transaction.begun {
		session.finish()
		return nil
	}
	if len(transaction.statements) == 0 {
		err := session.background("COMMIT")
		if err != nil {
			session.rollback()
			return err
		}
		session.finish()
		return nil
	}
	if err := session.server.pause(session.ctx); err != nil {
		session.rollback()
		return err
	}
	record := Record{Database: session.database, Statements: transaction.statements}
	err := session.server.group.commit(transaction.term, record, func() error {
		if session.handle.generation != session.server.files.current() {
			return fail("40001", "the files were rebuilt during the transaction")
		}
		return session.background("COMMIT")
	})
	if err != nil {
		session.rollback()
		return err
	}
	session.finish()
	if !session.control && session.server.switches.take(func(state *State) *int { return &state.LoseAnswerAfterCommit }) {
		return errCut
	}
	return nil
}

// endImplicit commits what ran outside of an explicit transaction.
func (session *session) endImplicit() error {
	if session.transaction.explicit {
		return nil
	}
	return session.commit()
}

// abort notes a failed statement: an explicit transaction waits for its rollback, an implicit one is rolled back.
func (session *session) abort() {
	transaction := &session.transaction
	if !transaction.explicit {
		session.rollback()
		return
	}
	transaction.failed = true
	if len(transaction.savepoints) > 0 {
		return
	}
	// Without savepoints nothing can be kept, so the locks are released at once as PostgreSQL does.
	readOnly, before, local := transaction.readOnly, transaction.before, transaction.local
	transaction.before, transaction.local = nil, nil
	session.rollback()
	*transaction = beginState(readOnly)
	transaction.failed, transaction.before, transaction.local = true, before, local
}

func beginState(readOnly bool) transaction { return transaction{explicit: true, readOnly: readOnly} }

// savepoints executes SAVEPOINT, RELEASE and ROLLBACK TO.
func (session *session) savepoint(parsed *statement) error {
	transaction := &session.transaction
	if !transaction.explicit {
		return fail("25P01", "%s can only be used in transaction blocks", parsed.tag)
	}
	name := strings.ToLower(parsed.name)
	if parsed.kind == kindSavepoint {
		handle, err := session.open()
		if err != nil {
			return err
		}
		if err := session.beginRead(handle); err != nil {
			return err
		}
		if err := session.background(`SAVEPOINT "` + name + `"`); err != nil {
			return err
		}
		transaction.savepoints = append(transaction.savepoints, savepoint{name, len(transaction.statements)})
		return nil
	}
	index := len(transaction.savepoints) - 1
	for index >= 0 && transaction.savepoints[index].name != name {
		index--
	}
	if index < 0 {
		return fail("3B001", "savepoint %q does not exist", name)
	}
	if parsed.kind == kindRelease {
		transaction.savepoints = transaction.savepoints[:index]
		return session.background(`RELEASE "` + name + `"`)
	}
	if err := session.background(`ROLLBACK TO "` + name + `"`); err != nil {
		return err
	}
	transaction.statements = transaction.statements[:transaction.savepoints[index].count]
	transaction.savepoints = transaction.savepoints[:index+1]
	transaction.failed = false
	return nil
}
