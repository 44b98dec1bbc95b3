package proof

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"

	"dotterelgw/core/ids"
	"dotterelgw/standin/fleet"
)

// unknownState is the SQLSTATE for an outcome that cannot be known.
const unknownState = "08007"

// Guards against a lost answer that is reported as success or as not run, or whose write is repeated.
func TestAnswerLostAfterCommit(t *testing.T) {
	environment := start(t, 3, 0, ample)
	ledger := environment.newLedger()
	for name, run := range map[string]func(conn *pgx.Conn, id int64) error{
		"extended query": func(conn *pgx.Conn, id int64) error {
			return environment.exec(conn, "INSERT INTO ledger VALUES ($1)", id)
		},
		"simple query": func(conn *pgx.Conn, id int64) error {
			return environment.exec(conn, fmt.Sprintf("INSERT INTO ledger VALUES (%d)", id), pgx.QueryExecModeSimpleProtocol)
		},
		"transaction": func(conn *pgx.Conn, id int64) error {
			return pgx.BeginFunc(environment.ctx, conn, func(tx pgx.Tx) error {
				_, err := tx.Exec(environment.ctx, "INSERT INTO ledger VALUES ($1)", id)
				return err
			})
		},
		"pipeline": func(conn *pgx.Conn, id int64) error {
			batch := &pgx.Batch{}
			batch.Queue("SELECT 1")
			batch.Queue("INSERT INTO ledger VALUES ($1)", id)
			return conn.SendBatch(environment.ctx, batch).Close()
		},
	} {
		for number := range environment.Size() {
			vm := fleet.VMID(number + 1)
			conn := environment.mustConnect(vm)
			id := ledger.next.Add(1)
			environment.switches("g1-a", map[string]any{"lose_answer_after_commit": 1})
			err := run(conn, id)
			if sqlState(err) != unknownState {
				t.Errorf("%s through %s: %v, want SQLSTATE %s", name, vm, err, unknownState)
			}
			if state := environment.state("g1-a"); state.LoseAnswerAfterCommit != 0 {
				t.Errorf("%s through %s: no answer was lost", name, vm)
			}
			count, err := environment.count(environment.mustConnect(vm), "SELECT count(*) FROM ledger WHERE id = $1", id)
			if err != nil || count != 1 {
				t.Errorf("%s through %s: the row is present %d times (%v), want the one that was committed", name, vm, count, err)
			}
		}
	}
}

// switchState is the part of a database's switches that tests read.
type switchState struct {
	LoseAnswerAfterCommit int `json:"lose_answer_after_commit"`
	CrossedAnswer         int `json:"crossed_answer"`
}

// state reads the switches of a database.
func (environment *environment) state(server ids.BackendServerID) switchState {
	environment.t.Helper()
	url := "http://" + environment.Databases[server].Addresses["switches"] + "/switches"
	request, err := http.NewRequestWithContext(environment.ctx, http.MethodGet, url, nil)
	environment.must(err)
	response, err := http.DefaultClient.Do(request)
	environment.must(err)
	defer func() { _ = response.Body.Close() }()
	var state switchState
	environment.must(json.NewDecoder(response.Body).Decode(&state))
	return state
}

const (
	// echoCallers exceeds the number of slots of all databases, so that connections pass from one caller to another.
	echoCallers = 30
	// echoDuration is how long the callers send queries; each sends about 30 while answers are late.
	echoDuration = 2 * time.Second
	// lateAnswer exceeds abandonTimeout, so that queries with that timeout are abandoned.
	lateAnswer     = 60 * time.Millisecond
	abandonTimeout = 30 * time.Millisecond
	// crossEvery is the time between two answers that each database delivers twice.
	crossEvery = 20 * time.Millisecond
)

// Guards against an answer delivered to the wrong caller because the server sent it twice, or late, after the caller had
// abandoned the query.
func TestAnswersReachOnlyTheirCallers(t *testing.T) {
	t.Parallel()
	for name, test := range map[string]struct {
		late    time.Duration
		crossed bool
	}{
		"late":    {late: lateAnswer},
		"crossed": {crossed: true},
		"both":    {late: lateAnswer, crossed: true},
	} {
		t.Run(name, func(t *testing.T) {
			environment := start(t, 3, 0, ample)
			for server := range environment.Databases {
				environment.switches(server, map[string]any{"late_answer_ms": test.late.Milliseconds()})
			}
			var answered atomic.Int64
			var callers sync.WaitGroup
			stop, cancel := context.WithTimeout(environment.ctx, echoDuration)
			defer cancel()
			for caller := range echoCallers {
				callers.Go(func() { environment.echo(stop, caller, &answered) })
			}
			crossed := 0
			if test.crossed {
				crossed = environment.crossUntil(stop.Done())
			}
			callers.Wait()
			t.Logf("%d answers, %d crossed", answered.Load(), crossed)
			if answered.Load() < echoCallers || test.crossed && crossed < echoCallers {
				t.Errorf("the test saw too little: %d answers, %d crossed", answered.Load(), crossed)
			}
		})
	}
}

// crossUntil repeatedly makes each database deliver an answer twice until done is closed, and returns how often it did.
func (environment *environment) crossUntil(done <-chan struct{}) int {
	crossed := 0
	for {
		for server := range environment.Databases {
			if environment.state(server).CrossedAnswer == 0 {
				crossed++
				environment.switches(server, map[string]any{"crossed_answer": 1})
			}
		}
		select {
		case <-done:
			return crossed - len(environment.Databases) // the last ones may not have happened
		case <-time.After(crossEvery):
		}
	}
}

// echo queries values that are unique to the caller. Every second query is abandoned early. Half of the callers use the
// simple query protocol, in which all answers have the same shape.
func (environment *environment) echo(stop context.Context, caller int, answered *atomic.Int64) {
	vm, mode := fleet.VMID(1+caller%3), pgx.QueryExecModeCacheStatement
	if caller%2 == 1 {
		mode = pgx.QueryExecModeSimpleProtocol
	}
	var conn *pgx.Conn
	defer func() {
		if conn != nil {
			_ = conn.Close(context.Background())
		}
	}()
	for round := 0; stop.Err() == nil; round++ {
		if conn == nil || conn.IsClosed() {
			var err error
			if conn, err = environment.connect(vm); err != nil {
				environment.t.Errorf("connecting to %s: %v", vm, err)
				return
			}
		}
		ctx, cancel := environment.ctx, context.CancelFunc(func() {})
		if round%2 == 1 {
			ctx, cancel = context.WithTimeout(ctx, abandonTimeout)
		}
		want, got := fmt.Sprintf("caller %d, round %d", caller, round), ""
		err := conn.QueryRow(ctx, "SELECT $1::text", mode, want).Scan(&got)
		cancel()
		if err == nil {
			answered.Add(1)
			if got != want {
				environment.t.Errorf("%s got the answer for %q", want, got)
			}
		}
	}
}
