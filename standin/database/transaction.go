package database

import (
	"context"
	"database/sql/driver"
	"strings"

	"dotterelgw/core/ids"
)

// transaction is the state of the session's explicit or implicit transaction; the zero value is an implicit one that
// has not begun.
type transaction struct {
	// explicit is set after BEGIN; failed is set after an error, when only a rollback is accepted.
	explicit, failed bool
	// begun is set while SQLite has an open transaction, writing while the session holds the writer lock.
	begun, writing bool
	readOnly       bool
	// term is the server's term at the transaction's first write, 0 before it.
	term       ids.Term
	statements []LoggedStatement
	savepoints []savepoint
	// before holds the session variables to restore on rollback, nil outside of explicit transactions. local holds
	// those to restore at the end of the transaction, nil unless SET LOCAL was executed.
	before, local map[string]string
}

// savepoint is a savepoint; count is the number of logged statements when it was created.
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

// executeUncancelled executes a transaction command, which a cancel request must not interrupt.
func (session *session) executeUncancelled(sql string) error {
	_, err := session.handle.execute(context.Background(), sql, nil)
	return err
}

// beginRead begins a SQLite transaction if the session is in an explicit transaction.
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

// beginWrite acquires the writer lock and begins a SQLite transaction for writing.
func (session *session) beginWrite(ctx context.Context, handle *handle) error {
	transaction := &session.transaction
	if transaction.writing {
		return session.server.group.checkWritable(transaction.term)
	}
	if session.isReadOnly() {
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

func (session *session) isReadOnly() bool {
	if session.transaction.explicit {
		return session.transaction.readOnly
	}
	return session.variables.readOnly()
}

// lockWriter acquires the writer lock; it fails as soon as the server may no longer write.
func (server *Server) lockWriter(ctx context.Context) error {
	for {
		roleChanged := server.group.watchRole()
		if err := server.group.checkWritable(0); err != nil {
			return err
		}
		select {
		case server.writerLock <- struct{}{}:
			return nil
		case <-roleChanged:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// logStatement adds a statement to the record that the commit appends to the log.
func (session *session) logStatement(sql string, arguments []driver.Value) {
	session.transaction.statements = append(session.transaction.statements, LoggedStatement{sql, loggedValues(arguments)})
}

// finish resets the transaction state after a commit or rollback and releases the writer lock.
func (session *session) finish() {
	if session.transaction.writing {
		<-session.server.writerLock
	}
	if session.transaction.local != nil {
		session.variables.values = session.transaction.local
	}
	session.transaction = transaction{}
	clear(session.portals)
}

// rollback rolls the transaction back.
func (session *session) rollback() {
	if session.transaction.begun && session.executeUncancelled("ROLLBACK") != nil {
		// SQLite may have rolled back by itself; a new connection is in a known state either way.
		session.closeHandle()
	}
	if session.transaction.before != nil {
		session.variables.values, session.transaction.local = session.transaction.before, nil
	}
	session.finish()
}

// commit commits the transaction; it returns errDisconnect if the LoseAnswerAfterCommit switch drops the response.
func (session *session) commit() error {
	transaction := &session.transaction
	if !transaction.begun {
		session.finish()
		return nil
	}
	if len(transaction.statements) == 0 {
		err := session.executeUncancelled("COMMIT")
		if err != nil {
			session.rollback()
			return err
		}
		session.finish()
		return nil
	}
	if err := session.server.waitUnblocked(session.ctx); err != nil {
		session.rollback()
		return err
	}
	record := Record{Database: session.database, Statements: transaction.statements}
	err := session.server.group.commit(transaction.term, record, func() error {
		if session.handle.generation != session.server.fileStore.currentGeneration() {
			return fail("40001", "the files were rebuilt during the transaction")
		}
		return session.executeUncancelled("COMMIT")
	})
	if err != nil {
		session.rollback()
		return err
	}
	session.finish()
	if !session.control && session.server.switches.consume(func(state *Switches) *int { return &state.LoseAnswerAfterCommit }) {
		return errDisconnect
	}
	return nil
}

// commitImplicit commits the transaction unless it is explicit.
func (session *session) commitImplicit() error {
	if session.transaction.explicit {
		return nil
	}
	return session.commit()
}

// abort handles a failed statement: an explicit transaction is marked as failed, an implicit one is rolled back.
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
	// Without savepoints no statement can be kept, so the locks are released at once, as in PostgreSQL.
	readOnly, before, local := transaction.readOnly, transaction.before, transaction.local
	transaction.before, transaction.local = nil, nil
	session.rollback()
	*transaction = explicitTx(readOnly)
	transaction.failed, transaction.before, transaction.local = true, before, local
}

func explicitTx(readOnly bool) transaction { return transaction{explicit: true, readOnly: readOnly} }

// savepoint executes SAVEPOINT, RELEASE and ROLLBACK TO.
func (session *session) savepoint(parsed *statement) error {
	transaction := &session.transaction
	if !transaction.explicit {
		return fail("25P01", "%s can only be used in transaction blocks", parsed.tag)
	}
	name := strings.ToLower(parsed.name)
	if parsed.kind == kindSavepoint {
		handle, err := session.openHandle()
		if err != nil {
			return err
		}
		if err := session.beginRead(handle); err != nil {
			return err
		}
		if err := session.executeUncancelled(`SAVEPOINT "` + name + `"`); err != nil {
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
		return session.executeUncancelled(`RELEASE "` + name + `"`)
	}
	if err := session.executeUncancelled(`ROLLBACK TO "` + name + `"`); err != nil {
		return err
	}
	transaction.statements = transaction.statements[:transaction.savepoints[index].count]
	transaction.savepoints = transaction.savepoints[:index+1]
	transaction.failed = false
	return nil
}
