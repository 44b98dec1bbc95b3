package proof

import (
	"fmt"
	"strings"
	"testing"

	"github.com/jackc/pgx/v5"
)

// Guards against a route that serves another organisation's key although it is not open, and against an open one that
// does not, or that stays open after the contract closed it.
func TestOpenRoutes(t *testing.T) {
	environment := start(t, 3, 0, ample)
	owner := func(open string) string {
		text := strings.NewReplacer(`"acme"`, `"beta"`, `access = "auto"`, "access = \"auto\"\nopen = "+open)
		return text.Replace(fmt.Sprintf(contractText, ample.rate, ample.burst))
	}
	dsn := environment.DSN("vm1", acme, environment.key, "beta/main")
	connects := func() error {
		conn, err := pgx.Connect(environment.ctx, dsn)
		if err != nil {
			return err
		}
		defer func() { _ = conn.Close(environment.ctx) }()
		return environment.exec(conn, "SELECT 1")
	}
	environment.must(environment.ApplyContract(environment.ctx, "beta", owner("false")))
	if state := sqlState(connects()); state != "42501" {
		t.Errorf("a closed route answers with SQLSTATE %q, want 42501", state)
	}
	environment.must(environment.ApplyContract(environment.ctx, "beta", owner("true")))
	environment.must(connects())
	conn, err := pgx.Connect(environment.ctx, dsn)
	environment.must(err)
	defer func() { _ = conn.Close(environment.ctx) }()
	environment.must(environment.ApplyContract(environment.ctx, "beta", owner("false")))
	if err := environment.exec(conn, "SELECT 1"); err == nil {
		t.Error("an open session goes on after the route was closed")
	}
}
