package proof

import (
	"context"
	"errors"
	"slices"
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
// anything without a confirmed configuration, or does not come back. It is also cut off when packets pass in one
// direction only, since then no question is answered; it may learn of the withdrawal if they reach it.
func TestIsolatedVMStopsAdmitting(t *testing.T) {
	t.Parallel()
	others := []ids.VMID{"vm1", "vm2", "vm3"}
	for name, test := range map[string]struct {
		cut       func(*environment, ids.VMID) error // between vm4 and another VM
		withdrawn []string                           // the SQLSTATEs with which the withdrawn key may be refused
	}{
		"both directions": {func(environment *environment, other ids.VMID) error {
			return errors.Join(environment.Cut("vm4", other), environment.Cut(other, "vm4"))
		}, []string{"57P03"}},
		"it hears nothing": {func(environment *environment, other ids.VMID) error {
			return environment.Cut(other, "vm4")
		}, []string{"57P03"}},
		"nothing hears it": {func(environment *environment, other ids.VMID) error {
			return environment.Cut("vm4", other)
		}, []string{"57P03", "28000"}},
	} {
		t.Run(name, func(t *testing.T) {
			environment := startWith(t, ample, func(options *fleet.Options) { options.VMs, options.Links = 4, true })
			withdrawn := environment.key
			kept, err := environment.CreateKey(environment.ctx, acme)
			environment.must(err)
			withdrawnSession, keptSession := environment.mustConnect("vm4"), environment.mustConnectWith("vm4", kept)
			for _, conn := range []*pgx.Conn{keptSession, withdrawnSession} {
				environment.within(testTimeout, "vm4 admits", func() bool { return environment.exec(conn, "SELECT 1") == nil })
			}

			environment.must(environment.CutPlatform("vm4"))
			for _, other := range others {
				environment.must(test.cut(environment, other))
			}
			isolated := time.Now()
			_, err = environment.ControlAt(environment.ctx, "vm1", "key", "withdraw", string(acme), string(withdrawn.ID))
			environment.must(err)
			accepted := time.Now()
			environment.expectRefusal("withdrawn", withdrawnSession, accepted, test.withdrawn...)
			environment.expectRefusal("kept", keptSession, isolated, "57P03")
			environment.expectNoEntry("vm4", withdrawn)
			for _, vm := range others {
				if err := environment.exec(environment.mustConnectWith(vm, kept), "SELECT 1"); err != nil {
					t.Errorf("%s refuses while another VM is isolated: %v", vm, err)
				}
			}

			environment.must(environment.Heal())
			environment.within(withdrawalBound, "vm4 admits again", func() bool { return environment.exec(keptSession, "SELECT 1") == nil })
			if err := environment.exec(withdrawnSession, "SELECT 1"); err == nil {
				t.Error("the withdrawn key was admitted after healing")
			}
			environment.expectNoEntry("vm4", withdrawn)
		})
	}
}

// mustConnectWith opens a session on the VM with the key.
func (environment *environment) mustConnectWith(vm ids.VMID, key fleet.Key) *pgx.Conn {
	environment.t.Helper()
	conn, err := environment.connectWith(vm, key)
	environment.must(err)
	environment.t.Cleanup(func() { _ = conn.Close(context.Background()) })
	return conn
}

// expectNoEntry tries to connect to the VM with a withdrawn key.
func (environment *environment) expectNoEntry(vm ids.VMID, key fleet.Key) {
	environment.t.Helper()
	if conn, err := environment.connectWith(vm, key); err == nil {
		_ = conn.Close(environment.ctx)
		environment.t.Errorf("%s accepted the withdrawn key", vm)
	}
}

// expectRefusal sends statements until one is refused with one of the states, which must happen within the bound. Before
// that, statements may exceed the part of the rate that the VM holds itself.
func (environment *environment) expectRefusal(name string, conn *pgx.Conn, since time.Time, states ...string) {
	environment.t.Helper()
	accepted, state := 0, ""
	environment.within(2*withdrawalBound, name+" key: refused", func() bool {
		sent := time.Now()
		err := environment.exec(conn, "SELECT 1")
		state = sqlState(err)
		if err == nil {
			accepted++
			if used := sent.Sub(since); used > withdrawalBound {
				environment.t.Fatalf("%s key: a statement was accepted %s after the cut", name, used)
			}
		} else if state != "53400" && !slices.Contains(states, state) {
			environment.t.Fatalf("%s key: %v, want SQLSTATE %s", name, err, states)
		}
		return slices.Contains(states, state)
	})
	environment.t.Logf("%s key: %d statements accepted after the cut, refused with %s %s after it", name, accepted, state, time.Since(since))
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
