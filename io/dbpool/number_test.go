package dbpool_test

import (
	"testing"

	"dotterelgw/core/catalog"
	"dotterelgw/core/statement"
	"dotterelgw/io/dbpool"
)

// Guards against two connections that lines of the log can't tell apart, and against a connection whose number changes.
func TestConnectionsHaveNumbers(t *testing.T) {
	pool := dbpool.New(catalog.Server{ID: "s1"}, &server{limit: 2}, 2)
	one, two := mustAcquire(t, pool, "a"), mustAcquire(t, pool, "a")
	number := two.Number()
	two.Release(statement.Idle)
	if again := mustAcquire(t, pool, "a"); one.Number() == number || again.Number() != number || number == 0 {
		t.Errorf("numbers %d, %d and %d", one.Number(), number, again.Number())
	}
	if held := dbpool.NewConn(catalog.Server{ID: "s1"}, "a", nil).Number(); held != 0 {
		t.Errorf("number %d of a connection that another VM holds", held)
	}
}
