package engine

import (
	"context"

	"dotterelgw/io/load/history"
	"dotterelgw/io/load/schedule"
)

// rowBits is the number of low bits of a row id that number the rows of one session.
const rowBits = 20

// The statements of the load. The table has no unique key, so that a write that was executed twice is detected.
const (
	createTable = "CREATE TABLE IF NOT EXISTS load_entries (id BIGINT, session BIGINT, sequence BIGINT)"
	createIndex = "CREATE INDEX IF NOT EXISTS load_entries_session ON load_entries (session, sequence)"
	insertRow   = "INSERT INTO load_entries (id, session, sequence) VALUES ($1, $2, $3)"
	selectLast  = "SELECT coalesce(max(sequence), 0) FROM load_entries WHERE session = $1"
	selectRows  = "SELECT id, count(*) FROM load_entries WHERE session >= $1 AND session < $2 GROUP BY id"
)

// execute sends the request on the connection of the session and records its outcome.
func (session *session) execute(ctx context.Context, request *history.Request) {
	switch request.Kind {
	case schedule.Read:
		request.Statements = 1
		if err := session.connection.QueryRow(ctx, selectLast, session.id).Scan(&request.Seen); err != nil {
			classify(request, err, false)
			return
		}
	case schedule.Write:
		request.Statements = 1
		if _, err := session.connection.Exec(ctx, insertRow, request.Rows[0], session.id, request.Sequence); err != nil {
			classify(request, err, false)
			return
		}
	case schedule.Transaction:
		if !session.runTransaction(ctx, request) {
			return
		}
	}
	request.Outcome = history.OK
}

// runTransaction runs a transaction of a write, a read that sees it and another write. It reports whether the transaction
// was acknowledged.
func (session *session) runTransaction(ctx context.Context, request *history.Request) bool {
	var seen int64
	steps := []func() error{
		func() error { return session.exec(ctx, "BEGIN") },
		func() error { return session.exec(ctx, insertRow, request.Rows[0], session.id, request.Sequence) },
		func() error { return session.connection.QueryRow(ctx, selectLast, session.id).Scan(&seen) },
		func() error { return session.exec(ctx, insertRow, request.Rows[1], session.id, request.Sequence) },
	}
	for _, step := range steps {
		request.Statements++
		if err := step(); err != nil {
			classify(request, err, true)
			session.rollback()
			return false
		}
	}
	request.Seen = seen
	request.Statements++
	tag, err := session.connection.Exec(ctx, "COMMIT")
	if err != nil {
		classify(request, err, false)
		session.rollback()
		return false
	}
	if tag.String() != "COMMIT" {
		request.Outcome, request.Reason = history.Failed, "rolled_back"
		return false
	}
	return true
}

func (session *session) exec(ctx context.Context, sql string, arguments ...any) error {
	_, err := session.connection.Exec(ctx, sql, arguments...)
	return err
}

// rollback ends an open transaction. If that fails, it closes the connection.
func (session *session) rollback() {
	if session.connection.IsClosed() || session.connection.PgConn().TxStatus() == 'I' {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	if err := session.exec(ctx, "ROLLBACK"); err != nil {
		_ = session.connection.Close(ctx)
	}
}
