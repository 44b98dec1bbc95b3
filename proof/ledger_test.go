package proof

import (
	"context"
	"regexp"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jackc/pgx/v5"

	"dotterelgw/core/ids"
)

// outcome is what the caller of a write was told.
type outcome string

const (
	acknowledged outcome = "acknowledged"
	notRun       outcome = "not run"
	unknown      outcome = "unknown"
)

const (
	// writersPerVM keeps a write in flight on every VM while another one waits.
	writersPerVM = 2
	// writePause keeps the number of rows small; a gap is measured in hundreds of milliseconds.
	writePause = 5 * time.Millisecond
	// answerBound is the time after which a write in flight at the end of a test is abandoned; it exceeds the
	// time for which a proxy waits for a write's durability.
	answerBound = 8 * time.Second
	// connectBound ends an attempt to connect through a VM that does not answer.
	connectBound = 2 * time.Second
)

// statedOutcome finds the outcome in the detail of a refusal.
var statedOutcome = regexp.MustCompile(`outcome: (not run|rolled back)`)

// write is one write as its caller saw it.
type write struct {
	id             int64
	vm             ids.VMID
	sent, answered time.Time
	outcome        outcome
	err            error
}

// ledger records writes of unique rows and their reported outcomes. The table ledger allows duplicates, so that repeated
// writes are found.
type ledger struct {
	*environment
	next    atomic.Int64
	stopped atomic.Bool
	cancel  context.CancelFunc
	running sync.WaitGroup

	mutex  sync.Mutex
	writes []write
}

// newLedger creates the table.
func (environment *environment) newLedger() *ledger {
	environment.t.Helper()
	environment.must(environment.exec(environment.mustConnect("vm1"), "CREATE TABLE ledger (id BIGINT)"))
	return &ledger{environment: environment, cancel: func() {}}
}

// writeThrough starts a ledger with writers on the VMs, each of which sends one write after another, and waits until
// each VM has acknowledged one.
func (environment *environment) writeThrough(vms ...ids.VMID) *ledger {
	environment.t.Helper()
	ledger := environment.newLedger()
	var ctx context.Context
	ctx, ledger.cancel = context.WithCancel(environment.ctx)
	environment.t.Cleanup(ledger.cancel)
	began := time.Now()
	for _, vm := range vms {
		for range writersPerVM {
			ledger.running.Go(func() { ledger.writer(ctx, vm) })
		}
	}
	for _, vm := range vms {
		environment.within(testTimeout, "a first write through "+string(vm), func() bool { return !ledger.acknowledgedBy(vm, began).IsZero() })
	}
	return ledger
}

func (ledger *ledger) writer(ctx context.Context, vm ids.VMID) {
	for !ledger.stopped.Load() && ctx.Err() == nil {
		attempt, cancel := context.WithTimeout(ctx, connectBound)
		conn, err := pgx.Connect(attempt, ledger.DSN(vm, acme, ledger.key, "main"))
		cancel()
		if err != nil {
			time.Sleep(pollPause)
			continue
		}
		for !ledger.stopped.Load() && !conn.IsClosed() {
			ledger.write(ctx, conn, vm)
			time.Sleep(writePause)
		}
		_ = conn.Close(ctx)
	}
}

// write sends one write and records its reported outcome.
func (ledger *ledger) write(ctx context.Context, conn *pgx.Conn, vm ids.VMID) write {
	done := write{id: ledger.next.Add(1), vm: vm, sent: time.Now()}
	_, done.err = conn.Exec(ctx, "INSERT INTO ledger VALUES ($1)", done.id)
	done.answered, done.outcome = time.Now(), outcomeOf(done.err)
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	ledger.writes = append(ledger.writes, done)
	return done
}

// outcomeOf returns the outcome that an answer reports. It is notRun only if a refusal states so explicitly.
func outcomeOf(err error) outcome {
	switch {
	case err == nil:
		return acknowledged
	case statedOutcome.MatchString(detail(err)):
		return notRun
	default:
		return unknown
	}
}

// all returns the writes that were answered.
func (ledger *ledger) all() []write {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	return append([]write(nil), ledger.writes...)
}

// acknowledgedBy returns when the VM, or any VM if none is named, acknowledged a write that was sent after the time; the
// zero time for never.
func (ledger *ledger) acknowledgedBy(vm ids.VMID, after time.Time) time.Time {
	var first time.Time
	for _, write := range ledger.all() {
		if write.outcome == acknowledged && (vm == "" || write.vm == vm) && write.sent.After(after) && (first.IsZero() || write.answered.Before(first)) {
			first = write.answered
		}
	}
	return first
}

// stop ends the writers; writes in flight are cancelled after answerBound.
func (ledger *ledger) stop() {
	ledger.stopped.Store(true)
	timer := time.AfterFunc(answerBound, ledger.cancel)
	defer timer.Stop()
	ledger.running.Wait()
}

// check stops the writers and compares what their callers were told with the rows as the VM reads them.
func (ledger *ledger) check(vm ids.VMID) {
	ledger.t.Helper()
	ledger.stop()
	rows, err := ledger.mustConnect(vm).Query(ledger.ctx, "SELECT id FROM ledger")
	ledger.must(err)
	present, err := pgx.CollectRows(rows, pgx.RowTo[int64])
	ledger.must(err)
	times := make(map[int64]int, len(present))
	for _, id := range present {
		times[id]++
	}
	counts := make(map[outcome]int)
	for _, write := range ledger.all() {
		counts[write.outcome]++
		switch found := times[write.id]; {
		case found > 1:
			ledger.t.Errorf("write %d through %s is present %d times", write.id, write.vm, found)
		case write.outcome == acknowledged && found == 0:
			ledger.t.Errorf("write %d, acknowledged by %s, is lost", write.id, write.vm)
		case write.outcome == notRun && found > 0:
			ledger.t.Errorf("write %d is present, but %s answered: %s", write.id, write.vm, detail(write.err))
		}
	}
	ledger.t.Logf("writes: %v", counts)
}
