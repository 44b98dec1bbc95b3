package proof

import (
	"sync"
	"testing"
	"time"

	"dotterelgw/standin/fleet"
)

// Guards against a session that moves to another proxy and does not read its own write, with replicas lagging by 100 ms.
func TestReadYourWritesAfterMoving(t *testing.T) {
	environment := start(t, 3, 100*time.Millisecond, ample)
	setup := environment.mustConnect("vm1")
	environment.must(environment.exec(setup, "CREATE TABLE marks (session BIGINT, number BIGINT)"))
	var sessions sync.WaitGroup
	for session := range 4 {
		sessions.Go(func() {
			for number := range 15 {
				environment.writeThenMove(session, number)
			}
		})
	}
	sessions.Wait()
}

// writeThenMove writes on one VM and reads on the next one.
func (environment *environment) writeThenMove(session, number int) {
	t := environment.t
	writer, err := environment.connect(fleet.VMID(1 + (session+number)%3))
	if err != nil {
		t.Errorf("connecting: %v", err)
		return
	}
	err = environment.exec(writer, "INSERT INTO marks VALUES ($1, $2)", session, number)
	_ = writer.Close(environment.ctx)
	if err != nil {
		t.Errorf("writing: %v", err)
		return
	}
	reader, err := environment.connect(fleet.VMID(1 + (session+number+1)%3))
	if err != nil {
		t.Errorf("connecting after the move: %v", err)
		return
	}
	defer func() { _ = reader.Close(environment.ctx) }()
	count, err := environment.count(reader, "SELECT count(*) FROM marks WHERE session = $1", session)
	if err != nil || count != number+1 {
		t.Errorf("session %d reads %d of its %d writes (%v)", session, count, number+1, err)
	}
}

// Guards against a transaction that takes effect although its proxy was killed before the commit, and against a
// connection that another caller finds inside that transaction.
func TestProxyKilledInTransaction(t *testing.T) {
	environment := start(t, 3, 0, ample)
	conn := environment.mustConnect("vm1")
	environment.must(environment.exec(conn, "CREATE TABLE items (id BIGINT PRIMARY KEY)"))
	tx, err := conn.Begin(environment.ctx)
	environment.must(err)
	_, err = tx.Exec(environment.ctx, "INSERT INTO items VALUES (1)")
	environment.must(err)
	environment.VM("vm1").Kill()
	if err := tx.Commit(environment.ctx); err == nil {
		t.Error("the commit was acknowledged by a killed proxy")
	}
	other := environment.mustConnect("vm2")
	environment.must(environment.exec(other, "INSERT INTO items VALUES (2)"))
	count, err := environment.count(other, "SELECT count(*) FROM items")
	environment.must(err)
	if count != 1 {
		t.Errorf("%d rows, want the one that was acknowledged", count)
	}
}

// Guards against a planned stop that aborts an open transaction or accepts new connections.
func TestPlannedStopFinishesTransactions(t *testing.T) {
	environment := start(t, 3, 0, ample)
	conn := environment.mustConnect("vm1")
	environment.must(environment.exec(conn, "CREATE TABLE items (id BIGINT PRIMARY KEY)"))
	tx, err := conn.Begin(environment.ctx)
	environment.must(err)
	_, err = tx.Exec(environment.ctx, "INSERT INTO items VALUES (1)")
	environment.must(err)
	environment.must(environment.VM("vm1").Terminate())
	for environment.Ready(environment.ctx, "vm1") {
		time.Sleep(10 * time.Millisecond)
	}
	for { // until the listener is closed
		late, err := environment.connect("vm1")
		if err != nil {
			break
		}
		_ = late.Close(environment.ctx)
	}
	_, err = tx.Exec(environment.ctx, "INSERT INTO items VALUES (2)")
	environment.must(err)
	environment.must(tx.Commit(environment.ctx))
	<-environment.VM("vm1").Ended()
	count, err := environment.count(environment.mustConnect("vm2"), "SELECT count(*) FROM items")
	environment.must(err)
	if count != 2 {
		t.Errorf("%d rows, want 2", count)
	}
}
