package session_test

import (
	"context"
	"testing"

	"github.com/jackc/pgx/v5"
)

// TestPgx guards against answers that pgx in its default configuration rejects. It covers named statements, pipelining and
// transactions.
func TestPgx(t *testing.T) {
	proxy := newProxy(t, 4)
	conn := proxy.connect("app", "")
	ctx := context.Background()
	var got string
	for range 3 {
		if err := conn.QueryRow(ctx, "SELECT 'x'").Scan(&got); err != nil || got != "x" {
			t.Fatalf("got %q, %v", got, err)
		}
	}
	batch := &pgx.Batch{}
	batch.Queue("INSERT a")
	batch.Queue("SELECT 'y'")
	if err := conn.SendBatch(ctx, batch).Close(); err != nil {
		t.Fatal(err)
	}
	tx, err := conn.Begin(ctx)
	if err != nil {
		t.Fatal(err)
	}
	if _, err = tx.Exec(ctx, "INSERT b"); err != nil {
		t.Fatal(err)
	}
	if err = tx.Commit(ctx); err != nil {
		t.Fatal(err)
	}
}
