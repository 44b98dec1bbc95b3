package database

import (
	"context"
	"database/sql/driver"
	"fmt"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgtype"
)

// memoryQuery is the statement that WithMemoryAnswers answers without SQLite.
const memoryQuery = "SELECT 1"

// memoryAnswer is the result of memoryQuery. All sessions share it, so it must not be modified.
var memoryAnswer = &result{
	columns: []column{{"?column?", pgtype.Int8OID}}, rows: [][]driver.Value{{int64(1)}}, tag: "SELECT 1", hasRows: true,
}

// parse parses a statement, subject to the server's options.
func (server *Server) parse(text string) *statement {
	if server.memoryAnswers && text == memoryQuery {
		return &statement{kind: kindMemory, text: text, tag: "SELECT"}
	}
	return parse(text)
}

// execute executes one statement and returns its complete result. After an error the caller must abort the transaction.
func (session *session) execute(parsed *statement, arguments []driver.Value) (*result, error) {
	switch parsed.kind {
	case kindMemory:
		return memoryAnswer, nil
	case kindControl:
		return session.server.control(parsed.text)
	case kindEmpty:
		return &result{}, nil
	}
	ends := parsed.kind == kindCommit || parsed.kind == kindRollback || parsed.kind == kindRollbackTo
	if session.transaction.failed && !ends {
		return nil, errFailedTransaction()
	}
	ctx, done := session.statementContext()
	defer done()
	answer, err := session.dispatch(ctx, parsed, arguments)
	if err != nil {
		if ctx.Err() != nil && session.ctx.Err() == nil {
			err = context.Canceled
		}
		return nil, err
	}
	return answer, nil
}

func (session *session) dispatch(ctx context.Context, parsed *statement, arguments []driver.Value) (*result, error) {
	switch parsed.kind {
	case kindRead:
		return session.read(ctx, parsed, arguments)
	case kindWrite, kindLockingRead:
		return session.writeStatement(ctx, parsed, arguments)
	case kindFunction:
		return session.function(parsed), nil
	case kindSleep:
		err := session.server.withSlot(ctx, parsed.sleep, func() error { return nil })
		return &result{columns: []column{{"pg_sleep", pgtype.TextOID}}, rows: [][]driver.Value{{""}}, tag: "SELECT 1", hasRows: true}, err
	}
	return session.command(parsed)
}

// withSlot acquires one of the server's slots, waits for the service time plus the additional time and runs the task.
func (server *Server) withSlot(ctx context.Context, additional time.Duration, task func() error) error {
	if server.slots != nil {
		select {
		case server.slots <- struct{}{}:
			defer func() { <-server.slots }()
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	if duration := server.settings.ServiceTime + additional; duration > 0 {
		timer := time.NewTimer(duration)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return task()
}

func (session *session) read(ctx context.Context, parsed *statement, arguments []driver.Value) (*result, error) {
	handle, err := session.openHandle()
	if err != nil {
		return nil, err
	}
	if err := session.beginRead(handle); err != nil {
		return nil, err
	}
	var answer *result
	err = session.server.withSlot(ctx, 0, func() (err error) {
		answer, err = handle.query(ctx, parsed.sql, arguments)
		return err
	})
	if err != nil {
		return nil, err
	}
	answer.tag = fmt.Sprintf("SELECT %d", len(answer.rows))
	session.server.typeCache.store(parsed.sql, answer)
	return answer, nil
}

func (session *session) writeStatement(ctx context.Context, parsed *statement, arguments []driver.Value) (*result, error) {
	if err := session.server.group.checkWritable(session.transaction.term); err != nil {
		return nil, err
	}
	if session.isReadOnly() {
		return nil, fail("25006", "cannot execute %s in a read-only transaction", parsed.tag)
	}
	handle, err := session.openHandle()
	if err != nil {
		return nil, err
	}
	if err := session.beginWrite(ctx, handle); err != nil {
		return nil, err
	}
	answer := &result{}
	err = session.server.withSlot(ctx, 0, func() error {
		if parsed.kind == kindLockingRead || parsed.returning {
			answer, err = handle.query(ctx, parsed.sql, arguments)
			return err
		}
		var count int64
		count, err = handle.execute(ctx, parsed.sql, arguments)
		answer.rows = make([][]driver.Value, count)
		return err
	})
	if err != nil {
		return nil, err
	}
	count := len(answer.rows)
	if !answer.hasRows {
		answer.rows = nil
	}
	switch parsed.tag {
	case "SELECT":
		answer.tag = fmt.Sprintf("SELECT %d", count)
		return answer, nil
	case "INSERT", "REPLACE":
		answer.tag = fmt.Sprintf("INSERT 0 %d", count)
	case "UPDATE", "DELETE":
		answer.tag = fmt.Sprintf("%s %d", parsed.tag, count)
	default:
		answer.tag = parsed.tag
		count = 1
	}
	if count > 0 {
		session.logStatement(parsed.sql, arguments)
	}
	return answer, nil
}

// command executes a statement that affects only the session and its transaction.
func (session *session) command(parsed *statement) (*result, error) {
	answer := &result{tag: parsed.tag}
	transaction := &session.transaction
	switch parsed.kind {
	case kindBegin:
		if transaction.explicit {
			return answer, nil // PostgreSQL only sends a warning
		}
		readOnly, given := parsed.accessMode()
		transaction.explicit, transaction.readOnly = true, readOnly || !given && session.variables.readOnly()
		transaction.before = session.variables.snapshot()
	case kindCommit:
		if transaction.failed {
			session.rollback()
			answer.tag = "ROLLBACK"
			return answer, nil
		}
		return answer, session.commit()
	case kindRollback:
		session.rollback()
	case kindSavepoint, kindRelease, kindRollbackTo:
		return answer, session.savepoint(parsed)
	case kindSetTransaction:
		readOnly, given := parsed.accessMode()
		switch {
		case !given:
		case parsed.words[1] == "SESSION":
			session.variables.set("default_transaction_read_only", onOff(readOnly))
		case transaction.explicit:
			transaction.readOnly = readOnly
		}
	case kindSet:
		return answer, session.set(parsed)
	case kindReset:
		if parsed.name == "all" {
			session.variables.resetAll()
		} else {
			session.variables.reset(parsed.name)
		}
	case kindShow:
		return session.show(parsed)
	case kindDiscard:
		if transaction.explicit {
			return nil, fail("25001", "DISCARD ALL cannot run inside a transaction block")
		}
		session.variables.resetAll()
		clear(session.statements)
		clear(session.portals)
	case kindDeallocate:
		if strings.EqualFold(parsed.name, "all") {
			clear(session.statements)
		} else {
			delete(session.statements, parsed.name)
		}
	}
	return answer, nil
}

func onOff(value bool) string {
	if value {
		return "on"
	}
	return "off"
}

func (session *session) set(parsed *statement) error {
	transaction := &session.transaction
	if parsed.name == "transaction_read_only" {
		transaction.readOnly = isTrue(parsed.value)
		return nil
	}
	if parsed.local {
		if !transaction.explicit {
			return nil // PostgreSQL only sends a warning
		}
		if transaction.local == nil {
			transaction.local = session.variables.snapshot()
		}
	} else if transaction.local != nil {
		transaction.local[parsed.name] = parsed.value
	}
	session.variables.set(parsed.name, parsed.value)
	return nil
}

func (session *session) show(parsed *statement) (*result, error) {
	value, ok := session.variables.lookup(parsed.name)
	switch parsed.name {
	case "transaction_read_only":
		value, ok = onOff(session.isReadOnly() || session.server.group.checkWritable(0) != nil), true
	case "in_hot_standby":
		value, ok = onOff(session.server.group.status().Role == Replica), true
	}
	if !ok {
		return nil, fail("42704", "unrecognized configuration parameter %q", parsed.name)
	}
	return &result{
		columns: []column{{parsed.name, pgtype.TextOID}}, rows: [][]driver.Value{{value}}, tag: "SHOW", hasRows: true,
	}, nil
}
