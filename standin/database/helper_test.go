package database

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
)

// startServer runs a server until the end of the test.
func startServer(t testing.TB, settings Settings, options ...Option) *Server {
	t.Helper()
	if settings.ConnectTime == 0 {
		settings.ConnectTime = -1
	}
	server, err := New(settings, options...)
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan error, 1)
	go func() { done <- server.Run(context.Background()) }()
	t.Cleanup(func() {
		server.Close()
		if err := <-done; err != nil {
			t.Errorf("run: %v", err)
		}
	})
	return server
}

// startGroup runs a primary and two replicas until the end of the test.
func startGroup(t testing.TB) []*Server {
	t.Helper()
	servers, closeAll, err := StartGroup(context.Background(), Settings{ConnectTime: -1}, 3)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := closeAll(); err != nil {
			t.Errorf("run: %v", err)
		}
	})
	return servers
}

func testContext(t testing.TB) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	t.Cleanup(cancel)
	return ctx
}

func connect(t testing.TB, server *Server, parameters string) *pgx.Conn {
	t.Helper()
	connection, err := pgx.Connect(testContext(t), "postgres://tester@"+server.Address()+"/shop?sslmode=disable"+parameters)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = connection.Close(context.Background()) })
	return connection
}

func execute(t testing.TB, connection *pgx.Conn, sql string, arguments ...any) {
	t.Helper()
	if _, err := connection.Exec(testContext(t), sql, arguments...); err != nil {
		t.Fatalf("%s: %v", sql, err)
	}
}

func queryInt(t testing.TB, connection *pgx.Conn, sql string, arguments ...any) int {
	t.Helper()
	var number int
	if err := connection.QueryRow(testContext(t), sql, arguments...).Scan(&number); err != nil {
		t.Fatalf("%s: %v", sql, err)
	}
	return number
}

// wantCode fails the test unless the error carries the SQLSTATE.
func wantCode(t testing.TB, err error, code string) {
	t.Helper()
	var refused *pgconn.PgError
	if !errors.As(err, &refused) || refused.Code != code {
		t.Fatalf("got %v, want SQLSTATE %s", err, code)
	}
}

// eventually polls the condition and fails the test unless it holds within 5 s.
func eventually(t testing.TB, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(5 * time.Second); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("not reached within 5 s: %s", what)
		}
	}
}

// runControl executes a control statement and returns the status in its result.
func runControl(t testing.TB, connection *pgx.Conn, format string, arguments ...any) Status {
	t.Helper()
	var status Status
	err := connection.QueryRow(testContext(t), fmt.Sprintf(format, arguments...)).Scan(&status.ServerID, &status.Role, &status.Term,
		&status.PromisedTerm, &status.LogTerm, &status.Written, &status.Received, &status.Replayed, &status.Leaving)
	if err != nil {
		t.Fatalf("%s: %v", fmt.Sprintf(format, arguments...), err)
	}
	return status
}
