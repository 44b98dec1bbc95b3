package proof

import (
	"database/sql"
	"testing"

	"github.com/jackc/pgx/v5/stdlib"

	"github.com/jackc/pgx/v5"
)

// Guards against a proxy that only serves pgx: a program that uses database/sql with its pool, prepared statements and
// transactions must work unchanged.
func TestDatabaseSQL(t *testing.T) {
	environment := start(t, 3, 0, ample)
	config, err := pgx.ParseConfig(environment.DSN("vm1", acme, environment.key, "main"))
	environment.must(err)
	database := stdlib.OpenDB(*config)
	t.Cleanup(func() { _ = database.Close() })
	_, err = database.ExecContext(environment.ctx, "CREATE TABLE items (id BIGINT PRIMARY KEY, name TEXT)")
	environment.must(err)
	transaction, err := database.BeginTx(environment.ctx, &sql.TxOptions{Isolation: sql.LevelSerializable})
	environment.must(err)
	insert, err := transaction.PrepareContext(environment.ctx, "INSERT INTO items VALUES ($1, $2)")
	environment.must(err)
	for id, name := range []string{"oak", "slate", "steel"} {
		_, err = insert.ExecContext(environment.ctx, id, name)
		environment.must(err)
	}
	environment.must(transaction.Commit())
	rows, err := database.QueryContext(environment.ctx, "SELECT name FROM items WHERE id > $1 ORDER BY id", 0)
	environment.must(err)
	defer func() { _ = rows.Close() }()
	var names []string
	for rows.Next() {
		var name string
		environment.must(rows.Scan(&name))
		names = append(names, name)
	}
	environment.must(rows.Err())
	if len(names) != 2 || names[0] != "slate" || names[1] != "steel" {
		t.Errorf("read %v", names)
	}
}

// Guards against pipelined batches whose answers are mixed up, and statements that are prepared on another connection.
func TestPipelinedBatches(t *testing.T) {
	environment := start(t, 3, 0, ample)
	conn := environment.mustConnect("vm1")
	environment.must(environment.exec(conn, "CREATE TABLE items (id BIGINT PRIMARY KEY)"))
	for round := range 20 {
		batch := &pgx.Batch{}
		for id := range 5 {
			batch.Queue("INSERT INTO items VALUES ($1)", 10*round+id)
		}
		batch.Queue("SELECT count(*) FROM items")
		results := conn.SendBatch(environment.ctx, batch)
		for range 5 {
			_, err := results.Exec()
			environment.must(err)
		}
		var count int
		environment.must(results.QueryRow().Scan(&count))
		environment.must(results.Close())
		if count != 5*(round+1) {
			t.Errorf("round %d: %d rows, want %d", round, count, 5*(round+1))
		}
	}
}
