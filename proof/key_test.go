package proof

import (
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"

	"dotterelgw/core/ids"
	"dotterelgw/standin/fleet"
)

// withdrawalBound is the time after which a withdrawn key must not work any more; see docs/design.md, section 1.1.
const withdrawalBound = 5 * time.Second

// Guards against a withdrawn key that still works on open connections, including inside a transaction.
func TestWithdrawnKeyStopsOpenSessions(t *testing.T) {
	environment := start(t, 4, 0, ample)
	environment.must(environment.exec(environment.mustConnect("vm1"), "CREATE TABLE items (id BIGINT)"))
	inTransaction := environment.mustConnect("vm1")
	tx, err := inTransaction.Begin(environment.ctx)
	environment.must(err)
	_, err = tx.Exec(environment.ctx, "INSERT INTO items VALUES (1)")
	environment.must(err)
	last := environment.withdrawUnderLoad()
	t.Logf("last statement accepted %s after the withdrawal", last)
	if last > withdrawalBound {
		t.Errorf("a statement was accepted %s after the withdrawal", last)
	}
	if err := tx.Commit(environment.ctx); err == nil {
		t.Error("a transaction of the withdrawn key was committed")
	}
	environment.expectRows("items", 0)
}

// expectRows gives a new key and counts the rows of the table with it.
func (environment *environment) expectRows(table string, want int) {
	environment.t.Helper()
	var err error
	environment.key, err = environment.CreateKey(environment.ctx, acme)
	environment.must(err)
	count, err := environment.count(environment.mustConnect("vm1"), "SELECT count(*) FROM "+table)
	environment.must(err)
	if count != want {
		environment.t.Errorf("%d rows in %s, want %d", count, table, want)
	}
}

// withdrawUnderLoad withdraws the key while a session on each VM sends statements, and returns the time from the
// withdrawal's acceptance to the last statement accepted.
func (environment *environment) withdrawUnderLoad() time.Duration {
	environment.t.Helper()
	var sessions sync.WaitGroup
	lasts := make([]time.Time, environment.Size())
	for number := range lasts {
		conn := environment.mustConnect(fleet.VMID(number + 1))
		sessions.Go(func() { lasts[number] = environment.lastAccepted(conn) })
	}
	_, err := environment.RunControl(environment.ctx, "key", "withdraw", string(acme), string(environment.key.ID))
	accepted := time.Now()
	environment.must(err)
	sessions.Wait()
	longest := time.Duration(0)
	for _, last := range lasts {
		longest = max(longest, last.Sub(accepted))
	}
	return longest
}

// lastAccepted sends statements until one is refused and returns when the last accepted one was sent.
func (environment *environment) lastAccepted(conn *pgx.Conn) time.Time {
	for {
		sent := time.Now()
		if err := environment.exec(conn, "SELECT 1"); err != nil {
			return sent
		}
	}
}

// Guards against a VM that was paused during a withdrawal and accepts the key after it resumes.
func TestPausedVMForgetsWithdrawnKey(t *testing.T) {
	environment := start(t, 4, 0, ample)
	conn := environment.mustConnect("vm4")
	environment.must(environment.exec(conn, "SELECT 1"))
	environment.must(environment.VM("vm4").Pause())
	_, err := environment.RunControl(environment.ctx, "key", "withdraw", string(acme), string(environment.key.ID))
	environment.must(err)
	time.Sleep(withdrawalBound) // the bound within which the key may still work
	environment.must(environment.VM("vm4").Resume())
	if err := environment.exec(conn, "SELECT 1"); err == nil {
		t.Error("the withdrawn key was admitted by the VM that was paused")
	}
}

// Guards against an outage of the key-value service that stops traffic.
func TestOutageOfTheServiceStopsNothing(t *testing.T) {
	environment := start(t, 4, 0, ample)
	conn := environment.mustConnect("vm4")
	environment.must(environment.SetSwitches(environment.ctx, environment.Platform, map[string]any{"outage": true}))
	begin := time.Now()
	for time.Since(begin) < 2*withdrawalBound {
		if err := environment.exec(conn, "SELECT 1"); err != nil {
			t.Fatalf("refused %s into an outage of the service: %v", time.Since(begin), err)
		}
		time.Sleep(10 * time.Millisecond)
	}
	environment.must(environment.SetSwitches(environment.ctx, environment.Platform, map[string]any{"outage": false}))
}

// Guards against an accepted contract that reverts when a VM is killed and started again, or when the answer of the
// service is lost after the change took effect.
func TestAcceptedChangeNeverReverts(t *testing.T) {
	environment := start(t, 3, 0, ample)
	for round := range 3 {
		rate := float64(1000 * (round + 1))
		environment.must(environment.SetSwitches(environment.ctx, environment.Platform, map[string]any{"lose_answers": 1}))
		environment.applyRate(rate)
		vm := 1 + round%3
		environment.VM(fleet.VMID(vm)).Kill()
		environment.must(environment.StartVM(environment.ctx, vm))
		environment.expectRate(fleet.VMID(vm), rate)
	}
}

// applyRate changes the rate of the contract in force; its keys stay.
func (environment *environment) applyRate(rate float64) {
	environment.t.Helper()
	environment.must(environment.ApplyContract(environment.ctx, acme, fmt.Sprintf(contractText, rate, rate)))
}

func (environment *environment) expectRate(vm ids.VMID, rate float64) {
	environment.t.Helper()
	environment.must(environment.WaitReady(environment.ctx, vm))
	output, err := environment.ControlAt(environment.ctx, vm, "contract", "show", string(acme))
	environment.must(err)
	var contract struct {
		Rate float64 `json:"rate"`
	}
	environment.must(json.Unmarshal(output, &contract))
	if contract.Rate != rate {
		environment.t.Errorf("%s holds rate %g, want %g", vm, contract.Rate, rate)
	}
}
