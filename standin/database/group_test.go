package database

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"

	"dotterelgw/core/ids"
)

// Guards against replicas that miss records, replay them too early or accept writes.
func TestReplicationWithLag(t *testing.T) {
	servers := startGroup(t)
	writer := connect(t, servers[0], "")
	reader := connect(t, servers[1], "")
	execute(t, writer, "CREATE TABLE t (id BIGINT, data BYTEA)")
	eventually(t, "replayed", func() bool { return servers[1].Status().Replayed == 1 })
	servers[1].Change(func(state *Switches) { state.FrozenReplay = true })
	execute(t, writer, "INSERT INTO t VALUES ($1, $2)", 1, []byte("x"))
	execute(t, writer, "INSERT INTO t VALUES (2, NULL)")
	eventually(t, "received", func() bool { return servers[1].Status().Received == 3 })
	if got := queryInt(t, reader, "SELECT count(*) FROM t"); got != 0 {
		t.Errorf("%d rows are visible before replay", got)
	}
	servers[1].Change(func(state *Switches) { state.FrozenReplay, state.LagMS = false, 1 })
	eventually(t, "replayed", func() bool { return servers[1].Status().Replayed == 3 })
	if got := queryInt(t, reader, "SELECT count(*) FROM t WHERE id = 2 OR data = $1", []byte("x")); got != 2 {
		t.Errorf("got %d rows, want 2", got)
	}
	_, err := reader.Exec(testContext(t), "INSERT INTO t VALUES (3, NULL)")
	wantCode(t, err, "25006")
	_, err = writer.Exec(testContext(t), "UPDATE t SET id = 9 WHERE id = 9")
	if err != nil || servers[0].Status().Written != 3 {
		t.Errorf("an update without effect moved the position: %v, %+v", err, servers[0].Status())
	}
}

// Guards against a commit that takes effect after the server was fenced.
func TestFenceBeatsCommit(t *testing.T) {
	servers := startGroup(t)
	writer := connect(t, servers[0], "")
	control := connect(t, servers[0], "")
	execute(t, writer, "CREATE TABLE t (id BIGINT)")
	execute(t, writer, "BEGIN")
	execute(t, writer, "INSERT INTO t VALUES (1)")
	status := runControl(t, control, "SELECT * FROM group_fence('%d')", 5)
	if status.PromisedTerm != 5 || status.Term != 1 || status.Role != Primary || status.Written != 1 {
		t.Fatalf("status %+v", status)
	}
	_, err := writer.Exec(testContext(t), "COMMIT")
	wantCode(t, err, "25006")
	_, err = writer.Exec(testContext(t), "INSERT INTO t VALUES (2)")
	wantCode(t, err, "25006")
	_, err = control.Exec(testContext(t), "SELECT * FROM group_fence('4')")
	wantCode(t, err, "55000")
	_, err = control.Exec(testContext(t), "SELECT * FROM group_promote('4', '1')")
	wantCode(t, err, "55000")
	if got := queryInt(t, writer, "SELECT count(*) FROM t"); got != 0 || servers[0].Status().Written != 1 {
		t.Fatalf("the fenced server holds %d rows, status %+v", got, servers[0].Status())
	}
}

// Guards against a replaced primary that keeps records that the new primary does not have.
func TestPromoteAndFollowWithDivergence(t *testing.T) {
	servers := startGroup(t)
	writer := connect(t, servers[0], "")
	execute(t, writer, "CREATE TABLE t (id BIGINT)")
	execute(t, writer, "INSERT INTO t VALUES (1)")
	for _, replica := range servers[1:] {
		eventually(t, "replayed", func() bool { return replica.Status().Replayed == 2 })
	}
	servers[0].Change(func(state *Switches) { state.Partitioned = []string{"replication"} })
	execute(t, writer, "INSERT INTO t VALUES (100)") // reaches no replica

	second, third := connect(t, servers[1], ""), connect(t, servers[2], "")
	runControl(t, second, "SELECT * FROM group_fence('2')")
	runControl(t, third, "SELECT * FROM group_fence('2')")
	for range 2 { // promotion is idempotent
		status := runControl(t, second, "SELECT * FROM group_promote('2', '2')")
		if status.Role != Primary || status.Term != 2 {
			t.Fatalf("status %+v", status)
		}
	}
	execute(t, second, "INSERT INTO t VALUES (2)")
	runControl(t, third, "SELECT * FROM group_follow('2', '%s', '2')", servers[1].Address())
	servers[0].Change(func(state *Switches) { state.Partitioned = nil })
	control := connect(t, servers[0], "&user="+ControlUser)
	runControl(t, control, "SELECT * FROM group_follow('2', '%s', '2')", servers[1].Address())
	for _, server := range servers {
		eventually(t, "replayed", func() bool { return server.Status().Replayed == 3 && server.Status().LogTerm == 2 })
		if got := queryInt(t, connect(t, server, ""), "SELECT sum(id) FROM t"); got != 3 {
			t.Errorf("%s holds a sum of %d, want 3", server.ID(), got)
		}
	}
	if _, err := writer.Exec(testContext(t), "SELECT 1"); err == nil {
		t.Error("a connection survived the demotion of its server")
	}
	for index, record := range servers[0].Records() {
		if want := servers[1].Records()[index]; record.Term != want.Term || record.Position != ids.LogPosition(index+1) {
			t.Errorf("record %d: %+v, want %+v", index, record, want)
		}
	}
}

// Guards against control functions that block on the writer lock.
func TestControlWhileWriterLockIsHeld(t *testing.T) {
	servers := startGroup(t)
	writer, other := connect(t, servers[0], ""), connect(t, servers[0], "")
	execute(t, writer, "CREATE TABLE t (id BIGINT)")
	execute(t, writer, "BEGIN")
	execute(t, writer, "INSERT INTO t VALUES (1)")
	var term, position int
	err := other.QueryRow(testContext(t), "SELECT * FROM group_position()").Scan(&term, &position)
	if err != nil || term != 1 || position != 1 {
		t.Fatalf("term %d position %d, %v", term, position, err)
	}
	execute(t, writer, "SELECT * FROM group_status()")
	execute(t, writer, "COMMIT")
	if got := servers[0].Status(); got.Written != 2 || got.Replayed != 2 {
		t.Errorf("status %+v", got)
	}
}

// Guards against a race between fencing and commits in which a record is appended after the server was fenced.
func TestFenceUnderLoad(t *testing.T) {
	server := startServer(t, Settings{})
	setup := connect(t, server, "")
	execute(t, setup, "CREATE TABLE t (id BIGINT)")
	var acknowledged atomic.Int64
	var writers sync.WaitGroup
	for range 4 {
		connection := connect(t, server, "")
		writers.Go(func() {
			for {
				if _, err := connection.Exec(context.Background(), "INSERT INTO t VALUES (1)"); err != nil {
					wantCode(t, err, "25006")
					return
				}
				acknowledged.Add(1)
			}
		})
	}
	eventually(t, "writes", func() bool { return acknowledged.Load() > 20 })
	status := runControl(t, setup, "SELECT * FROM group_fence('2')")
	writers.Wait()
	rows := int64(queryInt(t, setup, "SELECT count(*) FROM t"))
	if end := server.Status().Written; end != status.Written || rows != acknowledged.Load() || rows != int64(end)-1 {
		t.Errorf("fenced at %d, ends at %d, %d rows, %d acknowledged", status.Written, end, rows, acknowledged.Load())
	}
}
