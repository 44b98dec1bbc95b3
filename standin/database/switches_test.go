package database

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgproto3"
)

// Guards against a POST that resets switches that it does not name, or accepts unknown ones.
func TestSwitchesOverHTTP(t *testing.T) {
	server := startServer(t, Settings{})
	control := httptest.NewServer(server.SwitchesHandler())
	defer control.Close()
	post := func(body string) int {
		answer, err := http.Post(control.URL+"/switches", "application/json", strings.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		answer.Body.Close()
		return answer.StatusCode
	}
	if post(`{"lag_ms": 50, "partitioned": ["vm1"]}`) != 200 || post(`{"leaving": true}`) != 200 || post(`{"lag": 1}`) != 400 {
		t.Fatal("wrong status codes")
	}
	if got := server.CurrentSwitches(); got.LagMS != 50 || len(got.Partitioned) != 1 || !got.Leaving {
		t.Errorf("state %+v", got)
	}
	if status := runControl(t, connect(t, server, ""), "SELECT * FROM group_status()"); !status.Leaving {
		t.Errorf("status %+v", status)
	}
}

// Guards against a response that is dropped without the commit taking effect, or that is sent all the same.
func TestLoseAnswerAfterCommit(t *testing.T) {
	server := startServer(t, Settings{})
	connection := connect(t, server, "")
	execute(t, connection, "CREATE TABLE t (id BIGINT)")
	server.Change(func(state *Switches) { state.LoseAnswerAfterCommit = 1 })
	if _, err := connection.Exec(testContext(t), "INSERT INTO t VALUES (1)"); err == nil {
		t.Fatal("the answer arrived")
	}
	if got := queryInt(t, connect(t, server, ""), "SELECT count(*) FROM t"); got != 1 || server.CurrentSwitches().LoseAnswerAfterCommit != 0 {
		t.Errorf("got %d rows, want 1", got)
	}
}

// Guards against a partition that affects peers that it does not name, and against a frozen server that responds.
func TestPartitionAndFreeze(t *testing.T) {
	server := startServer(t, Settings{})
	first, second := connect(t, server, "&application_name=vm1"), connect(t, server, "&application_name=vm2")
	blocked := func(connection *pgx.Conn) chan error {
		done := make(chan error, 1)
		go func() {
			_, err := connection.Exec(context.Background(), "SELECT 1")
			done <- err
		}()
		return done
	}
	server.Change(func(state *Switches) { state.Partitioned = []string{"vm1"} })
	answer := blocked(first)
	execute(t, second, "SELECT 1")
	server.Change(func(state *Switches) { state.Partitioned, state.Frozen = nil, true })
	other := blocked(second)
	select {
	case <-answer:
		t.Error("the partitioned client got an answer")
	case <-other:
		t.Error("the frozen server answered")
	case <-time.After(20 * time.Millisecond):
	}
	server.Change(func(state *Switches) { state.Frozen = false })
	if err := <-answer; err != nil {
		t.Error(err)
	}
	if err := <-other; err != nil {
		t.Error(err)
	}
	server.Change(func(state *Switches) { state.Kill = true })
	if _, err := first.Exec(testContext(t), "SELECT 1"); err == nil {
		t.Error("a connection survived kill")
	}
	server.Change(func(state *Switches) { state.RejectConnections = true })
	_, err := pgx.Connect(testContext(t), "postgres://tester@"+server.Address()+"/shop?sslmode=disable")
	wantCode(t, err, "57P03")
}

// Guards against a duplicated response that is incomplete, and against a capture that misses bytes of the client.
func TestCrossedAnswerAndCapture(t *testing.T) {
	var received lockedBuffer
	server := startServer(t, Settings{}, WithCapture(&received), WithMemoryAnswers())
	connection, err := net.Dial("tcp", server.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer connection.Close()
	client := pgproto3.NewFrontend(connection, connection)
	client.Send(&pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: map[string]string{"user": "seixal"}})
	server.Change(func(state *Switches) { state.CrossedAnswer = 1 })
	client.Send(&pgproto3.Query{String: "SELECT 1"})
	if err := client.Flush(); err != nil {
		t.Fatal(err)
	}
	rows, idle := 0, 0
	for idle < 3 { // once after start-up, twice after the answer
		message, err := client.Receive()
		if err != nil {
			t.Fatal(err)
		}
		switch message.(type) {
		case *pgproto3.DataRow:
			rows++
		case *pgproto3.ReadyForQuery:
			idle++
		}
	}
	if rows != 2 {
		t.Errorf("got %d rows, want 2", rows)
	}
	if text := received.String(); !strings.Contains(text, "seixal") || !strings.Contains(text, "SELECT 1") {
		t.Errorf("captured %q", text)
	}
}

type lockedBuffer struct {
	mutex  sync.Mutex
	buffer bytes.Buffer
}

func (locked *lockedBuffer) Write(data []byte) (int, error) {
	locked.mutex.Lock()
	defer locked.mutex.Unlock()
	return locked.buffer.Write(data)
}

func (locked *lockedBuffer) String() string {
	locked.mutex.Lock()
	defer locked.mutex.Unlock()
	return locked.buffer.String()
}

// Guards against portals that send more rows than requested, and against messages that are executed between an error and
// Sync.
func TestPortals(t *testing.T) {
	server := startServer(t, Settings{})
	execute(t, connect(t, server, ""), "CREATE TABLE t (id BIGINT); INSERT INTO t VALUES (1), (2), (3)", pgx.QueryExecModeSimpleProtocol)
	connection := connect(t, server, "")
	client := connection.PgConn().Frontend()
	client.Send(&pgproto3.Parse{Name: "s", Query: "SELECT id FROM t"})
	client.Send(&pgproto3.Bind{DestinationPortal: "p", PreparedStatement: "s"})
	client.Send(&pgproto3.Execute{Portal: "p", MaxRows: 2})
	client.Send(&pgproto3.Execute{Portal: "p"})
	client.Send(&pgproto3.Parse{Query: "SELECT FROM WHERE"})
	client.Send(&pgproto3.Parse{Query: "DELETE FROM t"})
	client.Send(&pgproto3.Bind{})
	client.Send(&pgproto3.Execute{})
	client.Send(&pgproto3.Sync{})
	if err := client.Flush(); err != nil {
		t.Fatal(err)
	}
	var got strings.Builder
	for {
		message, err := client.Receive()
		if err != nil {
			t.Fatal(err)
		}
		got.WriteString(strings.TrimPrefix(fmt.Sprintf("%T ", message), "*pgproto3."))
		if _, ok := message.(*pgproto3.ReadyForQuery); ok {
			break
		}
	}
	want := "ParseComplete BindComplete DataRow DataRow PortalSuspended DataRow CommandComplete ErrorResponse ReadyForQuery "
	if got.String() != want {
		t.Errorf("got  %s\nwant %s", got.String(), want)
	}
	if rows := queryInt(t, connect(t, server, ""), "SELECT count(*) FROM t"); rows != 3 {
		t.Errorf("%d rows are left of 3", rows)
	}
}

// Guards against a write based on a stale snapshot, against more concurrent statements than slots, and against
// concurrent writers that lose writes.
func TestSnapshotAndSlots(t *testing.T) {
	server := startServer(t, Settings{Slots: 1, ServiceTime: 5 * time.Millisecond})
	first, second := connect(t, server, ""), connect(t, server, "")
	execute(t, first, "CREATE TABLE t (id BIGINT)")
	execute(t, first, "BEGIN")
	queryInt(t, first, "SELECT count(*) FROM t")
	execute(t, second, "INSERT INTO t VALUES (1)")
	_, err := first.Exec(testContext(t), "INSERT INTO t VALUES (2)")
	wantCode(t, err, "40001")
	execute(t, first, "ROLLBACK")
	began := time.Now()
	var group sync.WaitGroup
	for _, connection := range []*pgx.Conn{first, second} {
		group.Go(func() {
			for range 3 {
				execute(t, connection, "INSERT INTO t VALUES (3)")
			}
		})
	}
	group.Wait()
	if elapsed := time.Since(began); elapsed < 30*time.Millisecond {
		t.Errorf("6 statements of 5 ms on one slot took %s", elapsed)
	}
	if got := queryInt(t, first, "SELECT count(*) FROM t"); got != 7 {
		t.Errorf("got %d rows, want 7", got)
	}
}
