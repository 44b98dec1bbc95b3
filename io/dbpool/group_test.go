package dbpool_test

import (
	"errors"
	"testing"
	"time"

	"dotterelgw/core/catalog"
	"dotterelgw/core/ids"
	"dotterelgw/core/position"
	"dotterelgw/core/statement"
	"dotterelgw/io/dbpool"
)

// Guards against a statement that runs on a server whose log was compared with a position of another group.
func TestPositionOfAnotherGroupIsNotSent(t *testing.T) {
	backend := &server{limit: 1}
	conn := mustAcquire(t, dbpool.New(catalog.Server{ID: "s", Group: "g1"}, backend, 1), "one")
	for group, want := range map[ids.GroupID]error{"g1": nil, "g2": position.ErrOtherGroup} {
		backend.lastCalls = nil
		after := position.In(group, position.Position{Term: 1, Log: 7})
		_, err := conn.Run(time.Now().Add(time.Second), nil, dbpool.Call{Kind: statement.Read, MinPosition: after})
		var notRun *dbpool.NotRunError
		if !errors.Is(err, want) || want != nil && (!errors.As(err, &notRun) || len(backend.lastCalls) > 0) {
			t.Errorf("position of %s: %v, %d calls sent", group, err, len(backend.lastCalls))
		}
	}
}
