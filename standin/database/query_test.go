package database

import (
	"bytes"
	"context"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
)

const createItems = "CREATE TABLE items (id BIGINT PRIMARY KEY, name TEXT, done BOOLEAN, data BYTEA, price DOUBLE PRECISION, at TIMESTAMPTZ)"

// Guards against wrong OIDs and formats, which keep pgx from scanning the results of named prepared statements.
func TestPgxRoundTrip(t *testing.T) {
	connection := connect(t, startServer(t, Settings{}), "")
	execute(t, connection, createItems)
	at := time.Date(2026, 1, 2, 3, 4, 5, 678000000, time.UTC)
	for range 2 { // the second round uses the cached statement
		execute(t, connection, "DELETE FROM items")
		execute(t, connection, "INSERT INTO items VALUES ($1,$2,$3,$4,$5,$6)", 7, "it's $1", true, []byte{0, 1, 255}, 2.5, at)
		var (
			id    int64
			name  string
			done  bool
			data  []byte
			price float64
			when  time.Time
			null  *string
		)
		row := connection.QueryRow(testContext(t), "SELECT *, NULL FROM items WHERE id = $1", 7)
		if err := row.Scan(&id, &name, &done, &data, &price, &when, &null); err != nil {
			t.Fatal(err)
		}
		if id != 7 || name != "it's $1" || !done || !bytes.Equal(data, []byte{0, 1, 255}) || price != 2.5 || !when.Equal(at) || null != nil {
			t.Fatalf("got %v %q %v %v %v %v %v", id, name, done, data, price, when, null)
		}
	}
	execute(t, connection, "UPDATE items SET done = TRUE")
	if got := queryInt(t, connection, "SELECT count(*) FROM items WHERE done = $1 AND data <> $2 LIMIT $3", true, []byte("a"), 1); got != 1 {
		t.Errorf("boolean and bytea parameters: %d", got)
	}
	if got := queryInt(t, connection, "SELECT count(*) FROM items WHERE id > $1", 1); got != 1 {
		t.Errorf("count: %d", got)
	}
	if got := queryInt(t, connection, "SELECT id + $1 FROM items WHERE name LIKE 'it%'", 3); got != 10 {
		t.Errorf("sum: %d", got)
	}
	if got := queryInt(t, connection, "INSERT INTO items (id) VALUES ($1) RETURNING id", 8); got != 8 {
		t.Errorf("returning: %d", got)
	}
	if got := queryInt(t, connection, "SELECT $1::bigint", 5); got != 5 {
		t.Errorf("cast: %d", got)
	}
}

// Guards against wrong SQLSTATEs, by which callers and the proxy decide how to handle an error.
func TestErrorCodes(t *testing.T) {
	connection := connect(t, startServer(t, Settings{}), "")
	execute(t, connection, createItems)
	execute(t, connection, "INSERT INTO items (id) VALUES (1)")
	cases := map[string]struct{ sql, code string }{
		"unique violation": {"INSERT INTO items (id) VALUES (1)", "23505"},
		"missing table":    {"SELECT * FROM missing", "42P01"},
		"missing column":   {"SELECT missing FROM items", "42703"},
		"syntax error":     {"SELECT FROM WHERE", "42601"},
		"unknown setting":  {"SHOW no_such_setting", "42704"},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := connection.Exec(testContext(t), test.sql)
			wantCode(t, err, test.code)
			_, err = connection.Exec(testContext(t), test.sql, pgx.QueryExecModeSimpleProtocol)
			wantCode(t, err, test.code)
		})
	}
}

// Guards against a wrong transaction status, with which a proxy would reuse a connection inside a transaction.
func TestTransactionStatus(t *testing.T) {
	connection := connect(t, startServer(t, Settings{}), "")
	execute(t, connection, createItems)
	want := func(status byte) {
		t.Helper()
		if got := connection.PgConn().TxStatus(); got != status {
			t.Fatalf("status %c, want %c", got, status)
		}
	}
	execute(t, connection, "BEGIN")
	want('T')
	execute(t, connection, "INSERT INTO items (id) VALUES (1)")
	_, err := connection.Exec(testContext(t), "SELECT * FROM missing")
	wantCode(t, err, "42P01")
	want('E')
	_, err = connection.Exec(testContext(t), "SELECT id FROM items")
	wantCode(t, err, "25P02")
	tag, err := connection.Exec(testContext(t), "COMMIT")
	if err != nil || tag.String() != "ROLLBACK" {
		t.Fatalf("commit of a failed transaction: %v %v", tag, err)
	}
	want('I')
	if got := queryInt(t, connection, "SELECT count(*) FROM items"); got != 0 {
		t.Errorf("a rolled back row is visible")
	}
	// A multi-statement query is one transaction.
	_, err = connection.Exec(testContext(t), "INSERT INTO items (id) VALUES (2); SELECT * FROM missing", pgx.QueryExecModeSimpleProtocol)
	wantCode(t, err, "42P01")
	if got := queryInt(t, connection, "SELECT count(*) FROM items"); got != 0 {
		t.Errorf("a statement before the failed one took effect")
	}
}

// Guards against lost or reordered results of pipelined batches and against savepoints that keep statements after a
// rollback.
func TestBatchAndSavepoint(t *testing.T) {
	connection := connect(t, startServer(t, Settings{}), "")
	execute(t, connection, createItems)
	batch := &pgx.Batch{}
	for id := range 10 {
		batch.Queue("INSERT INTO items (id) VALUES ($1)", id)
	}
	batch.Queue("SELECT count(*) FROM items")
	results := connection.SendBatch(testContext(t), batch)
	for range 10 {
		if _, err := results.Exec(); err != nil {
			t.Fatal(err)
		}
	}
	var count int
	if err := results.QueryRow().Scan(&count); err != nil || count != 10 {
		t.Fatalf("got %d, %v", count, err)
	}
	if err := results.Close(); err != nil {
		t.Fatal(err)
	}
	err := pgx.BeginFunc(testContext(t), connection, func(outer pgx.Tx) error {
		if _, err := outer.Exec(testContext(t), "DELETE FROM items WHERE id = 0"); err != nil {
			return err
		}
		inner, err := outer.Begin(testContext(t))
		if err != nil {
			return err
		}
		_, err = inner.Exec(testContext(t), "INSERT INTO items (id) VALUES (5)")
		wantCode(t, err, "23505")
		return inner.Rollback(testContext(t))
	})
	if err != nil {
		t.Fatal(err)
	}
	if got := queryInt(t, connection, "SELECT count(*) FROM items"); got != 9 {
		t.Errorf("got %d rows, want 9", got)
	}
}

// Guards against settings that survive DISCARD ALL and against writes in read-only transactions.
func TestSettings(t *testing.T) {
	server := startServer(t, Settings{})
	connection := connect(t, server, "&options=-c%20default_transaction_read_only%3Don")
	show := func(name, want string) {
		t.Helper()
		var got string
		if err := connection.QueryRow(testContext(t), "SHOW "+name, pgx.QueryExecModeSimpleProtocol).Scan(&got); err != nil || got != want {
			t.Fatalf("%s is %q, %v, want %q", name, got, err, want)
		}
	}
	show("transaction_read_only", "on")
	_, err := connection.Exec(testContext(t), "CREATE TABLE t (id BIGINT)")
	wantCode(t, err, "25006")
	execute(t, connection, "SET default_transaction_read_only = off")
	execute(t, connection, "SET my.name TO 'it''s'")
	show("my.name", "it's")
	execute(t, connection, "CREATE TABLE t (id BIGINT)")
	execute(t, connection, "BEGIN READ ONLY")
	_, err = connection.Exec(testContext(t), "INSERT INTO t VALUES (1)")
	wantCode(t, err, "25006")
	execute(t, connection, "ROLLBACK")
	execute(t, connection, "DISCARD ALL")
	_, err = connection.Exec(testContext(t), "SHOW my.name", pgx.QueryExecModeSimpleProtocol)
	wantCode(t, err, "42704")
	show("transaction_read_only", "on")
}

// Guards against a cancel request that is ignored or closes the connection.
func TestCancel(t *testing.T) {
	connection := connect(t, startServer(t, Settings{}), "")
	done := make(chan error, 1)
	go func() {
		_, err := connection.Exec(context.Background(), "SELECT pg_sleep(30)")
		done <- err
	}()
	cancelled := make(chan error, 1)
	go func() {
		for {
			if err := connection.PgConn().CancelRequest(context.Background()); err != nil {
				cancelled <- err
				return
			}
			select {
			case err := <-done:
				cancelled <- err
				return
			case <-time.After(5 * time.Millisecond):
			}
		}
	}()
	wantCode(t, <-cancelled, "57014")
	execute(t, connection, "SELECT 1")
}

// Guards against a connection limit that counts connections of ControlUser or is not enforced.
func TestConnectionLimit(t *testing.T) {
	server := startServer(t, Settings{ConnectionLimit: 1, Password: "secret"})
	url := "@" + server.Address() + "/shop?sslmode=disable"
	_, err := pgx.Connect(testContext(t), "postgres://tester:wrong"+url)
	wantCode(t, err, "28P01")
	for index, user := range []string{"tester", ControlUser, "tester"} {
		connection, err := pgx.Connect(testContext(t), "postgres://"+user+":secret"+url)
		if index == 2 {
			wantCode(t, err, "53300")
			continue
		}
		if err != nil {
			t.Fatal(err)
		}
		defer connection.Close(context.Background())
	}
}
