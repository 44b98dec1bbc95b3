package proof

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"

	"dotterelgw/core/ids"
	"dotterelgw/standin/fleet"
)

// connectWith opens a session on the VM with the key.
func (environment *environment) connectWith(vm ids.VMID, key fleet.Key) (*pgx.Conn, error) {
	ctx, cancel := context.WithTimeout(environment.ctx, answerBound)
	defer cancel()
	return pgx.Connect(ctx, environment.DSN(vm, acme, key, "main"))
}

// Guards against a VM that is cut off alone and goes on with a key that was withdrawn on the other side, or admits
// anything without a confirmed configuration, or does not come back.
func TestIsolatedVMStopsAdmitting(t *testing.T) {
	environment := startWith(t, ample, func(options *fleet.Options) { options.VMs, options.Links = 4, true })
	withdrawn := environment.key
	kept, err := environment.GiveKey(environment.ctx, acme)
	environment.must(err)
	keptSession, err := environment.connectWith("vm4", kept)
	environment.must(err)
	t.Cleanup(func() { _ = keptSession.Close(context.Background()) })
	withdrawnSession := environment.mustConnect("vm4")
	for _, conn := range []*pgx.Conn{keptSession, withdrawnSession} {
		environment.within(testTimeout, "vm4 admits", func() bool { return environment.exec(conn, "SELECT 1") == nil })
	}

	environment.must(environment.Isolate("vm4"))
	isolated := time.Now()
	_, err = environment.ControlAt(environment.ctx, "vm1", "key", "withdraw", string(acme), string(withdrawn.ID))
	environment.must(err)
	accepted := time.Now()
	for name, test := range map[string]struct {
		conn  *pgx.Conn
		since time.Time
	}{"withdrawn": {withdrawnSession, accepted}, "kept": {keptSession, isolated}} {
		environment.expectRefusal(name, test.conn, test.since)
	}
	if conn, err := environment.connectWith("vm4", withdrawn); err == nil {
		_ = conn.Close(environment.ctx)
		t.Error("the isolated VM accepted the withdrawn key")
	}
	for _, vm := range []ids.VMID{"vm1", "vm2", "vm3"} {
		conn, err := environment.connectWith(vm, kept)
		environment.must(err)
		if err := environment.exec(conn, "SELECT 1"); err != nil {
			t.Errorf("%s refuses while another VM is isolated: %v", vm, err)
		}
		_ = conn.Close(environment.ctx)
	}

	environment.must(environment.Heal())
	environment.within(withdrawalBound, "vm4 admits again", func() bool { return environment.exec(keptSession, "SELECT 1") == nil })
	if err := environment.exec(withdrawnSession, "SELECT 1"); err == nil {
		t.Error("the withdrawn key was admitted after healing")
	}
	if conn, err := environment.connectWith("vm4", withdrawn); err == nil {
		_ = conn.Close(environment.ctx)
		t.Error("the withdrawn key was accepted after healing")
	}
}

// expectRefusal sends statements until one is refused because the VM cannot confirm its configuration, which must happen
// within the bound. Before that, statements may exceed the part of the rate that the VM holds itself.
func (environment *environment) expectRefusal(name string, conn *pgx.Conn, since time.Time) {
	environment.t.Helper()
	accepted := 0
	environment.within(2*withdrawalBound, name+" key: refused with 57P03", func() bool {
		sent := time.Now()
		err := environment.exec(conn, "SELECT 1")
		if err == nil {
			accepted++
			if used := sent.Sub(since); used > withdrawalBound {
				environment.t.Fatalf("%s key: a statement was accepted %s after the cut", name, used)
			}
		} else if state := sqlState(err); state != "57P03" && state != "53400" {
			environment.t.Fatalf("%s key: %v, want SQLSTATE 57P03", name, err)
		}
		return sqlState(err) == "57P03"
	})
	environment.t.Logf("%s key: %d statements accepted after the cut, refused %s after it", name, accepted, time.Since(since))
}

// movePause is the pause between two sessions that move to the old side; a primary is replaced about 1 s before a VM
// that is cut off stops admitting.
const movePause = 50 * time.Millisecond

// Guards against writes that a replaced primary acknowledges behind a partition, against acknowledged writes that the
// promotion loses, and against a session that moves to the old side and reads stale data there.
func TestPrimaryPartitionedWithVM(t *testing.T) {
	environment := startWith(t, ample, func(options *fleet.Options) { options.Links = true })
	terms := environment.terms()
	before := terms.await("g1", "steady", 0)
	ledger := environment.writeThrough("vm1", "vm2", "vm3")
	newSide, err := environment.connect("vm1")
	environment.must(err)
	t.Cleanup(func() { _ = newSide.Close(context.Background()) })

	environment.must(environment.Isolate("vm3"))
	environment.switches("g1-b", partitioned("vm3"))
	environment.switches("g1-c", partitioned("vm3"))
	environment.switches("g1-a", partitioned("replication", "vm1", "vm2"))
	cut := time.Now()
	ledger.expectGap(cut, gapBound)
	if after := terms.await("g1", "steady", 0); after.Term == before.Term || after.Primary == "g1-a" {
		t.Errorf("the primary is %s of term %d after the partition", after.Primary, after.Term)
	}

	var moves sync.WaitGroup
	for began := time.Now(); time.Since(began) < gapBound; time.Sleep(movePause) {
		written := ledger.write(environment.ctx, newSide, "vm1")
		if written.outcome == acknowledged {
			moves.Go(func() { ledger.readOnOldSide(written.id) })
		}
	}
	moves.Wait()
	for _, write := range ledger.all() {
		if write.vm == "vm3" && write.outcome == acknowledged && write.sent.After(cut) {
			t.Errorf("write %d was acknowledged on the old side, sent %s after the cut", write.id, write.sent.Sub(cut))
		}
	}

	environment.must(environment.Heal())
	for _, server := range []ids.BackendServerID{"g1-a", "g1-b", "g1-c"} {
		environment.switches(server, partitioned())
	}
	healed := time.Now()
	environment.within(promotionBound, "a write through vm3 after healing", func() bool { return !ledger.acknowledgedBy("vm3", healed).IsZero() })
	ledger.check("vm3")
}

// readOnOldSide moves a session that wrote the row to the VM on the old side. It may get a refusal, but no answer.
func (ledger *ledger) readOnOldSide(id int64) {
	conn, err := ledger.connectWith("vm3", ledger.key)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close(context.Background()) }()
	if count, err := ledger.count(conn, "SELECT count(*) FROM ledger WHERE id = $1", id); err == nil {
		ledger.t.Errorf("a session that moved to the old side read %d rows of its write %d instead of a refusal", count, id)
	}
}
