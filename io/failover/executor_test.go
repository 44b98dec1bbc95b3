package failover_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"dotterelgw/core/failover"
	"dotterelgw/core/ids"
	"dotterelgw/core/position"
	"dotterelgw/core/refusal"
	"dotterelgw/standin/database"
)

func reason(err error) refusal.Reason {
	var refused *refusal.Refusal
	if errors.As(err, &refused) {
		return refused.Reason
	}
	return ""
}

// TestFailover guards against a failover of more than 3 s, against a barrier or a confirmed write at a replaced primary,
// and against unacknowledged records of that primary after it rejoins as a replica.
func TestFailover(t *testing.T) {
	fleet := start(t, nil)
	var acknowledged []position.Position
	for range 20 {
		acknowledged = append(acknowledged, fleet.writeConfirmed(t, fleet.groups[0], 5*time.Second))
	}
	within(t, 3*time.Second, "first term record", func() bool { return fleet.term(t).Step == failover.Steady })
	old := fleet.servers["a"]
	isolatedVM := fleet.isolatedVM(t, old.Address())

	old.Change(isolateServer)
	partitionedAt := time.Now()
	first := fleet.writeConfirmed(t, fleet.groups[0], 8*time.Second)
	gap := time.Since(partitionedAt)
	t.Logf("gap %v", gap)
	if gap > 3*time.Second {
		t.Errorf("gap %v", gap)
	}
	record := fleet.term(t)
	if record.Primary == "a" || first.Term != 2 {
		t.Errorf("term record %+v, first write %v", record, first)
	}
	primary := fleet.servers[record.Primary]
	for _, want := range acknowledged {
		if !hasRecord(primary, want) {
			t.Errorf("the new primary lacks %v", want)
		}
	}

	isolatedVM.View(groupID)
	if _, err := isolatedVM.Barrier(context.Background(), groupID); reason(err) != refusal.StaleRoute {
		t.Errorf("barrier at the replaced primary: %v", err)
	}
	dropped, err := write(context.Background(), old.Address(), "vm4")
	if err != nil {
		t.Fatalf("write at the isolated primary: %v", err)
	}
	if err := isolatedVM.Confirm(context.Background(), groupID, "a", dropped); reason(err) != refusal.OutcomeUnknown {
		t.Errorf("write at the replaced primary: %v", err)
	}

	old.Change(func(state *database.Switches) { state.Partitioned = nil })
	within(t, 5*time.Second, "the old primary follows without its unacknowledged records", func() bool {
		status := old.Status()
		return status.Role == database.Replica && status.Term == fleet.term(t).Term && !hasRecord(old, dropped) && equalLogs(old, primary)
	})
}

// TestShortStall guards against a promotion because the primary stalls for less than 1 s.
func TestShortStall(t *testing.T) {
	fleet := start(t, nil)
	fleet.writeConfirmed(t, fleet.groups[0], 5*time.Second)
	within(t, 3*time.Second, "first term record", func() bool { return fleet.term(t).Step == failover.Steady })
	fleet.servers["a"].Change(func(state *database.Switches) { state.Frozen = true })
	stalled := time.Now()
	within(t, 2*time.Second, "the stall is over", func() bool { return time.Since(stalled) > 900*time.Millisecond })
	fleet.servers["a"].Change(func(state *database.Switches) { state.Frozen = false })
	wrote := fleet.writeConfirmed(t, fleet.groups[0], 5*time.Second)
	within(t, 2*time.Second, "the watchers had time to start a promotion", func() bool { return time.Since(stalled) > 1800*time.Millisecond })
	if record := fleet.term(t); wrote.Term != 1 || record.Term != 1 {
		t.Errorf("write %v, record %+v", wrote, record)
	}
}

// TestLostAnswers guards against duplicate and against stalled promotions when answers of the key-value service are lost.
func TestLostAnswers(t *testing.T) {
	fleet := start(t, func(write int) bool { return write%2 == 0 })
	acknowledged := fleet.writeConfirmed(t, fleet.groups[0], 5*time.Second)
	within(t, 3*time.Second, "first term record", func() bool { return fleet.term(t).Step == failover.Steady })
	fleet.servers["a"].Change(func(state *database.Switches) { state.Frozen = true })
	fleet.writeConfirmed(t, fleet.groups[0], 8*time.Second)
	within(t, 3*time.Second, "steady", func() bool { return fleet.term(t).Step == failover.Steady })
	record := fleet.term(t)
	if !hasRecord(fleet.servers[record.Primary], acknowledged) || record.Term != 2 {
		t.Errorf("record %+v", record)
	}
}

// TestLeavingPrimary guards against a planned failover that takes more than 3 s or loses an acknowledged write.
func TestLeavingPrimary(t *testing.T) {
	fleet := start(t, nil)
	acknowledged := fleet.writeConfirmed(t, fleet.groups[0], 5*time.Second)
	within(t, 3*time.Second, "first term record", func() bool { return fleet.term(t).Step == failover.Steady })
	left := time.Now()
	for _, groups := range fleet.groups {
		groups.SetLeaving("a", true)
	}
	within(t, 3*time.Second, "another primary", func() bool {
		return fleet.writeConfirmed(t, fleet.groups[0], 3*time.Second).Term == 2
	})
	t.Logf("planned failover after %v", time.Since(left))
	record := fleet.term(t)
	if record.Primary == ids.BackendServerID("a") || !hasRecord(fleet.servers[record.Primary], acknowledged) {
		t.Errorf("record %+v", record)
	}
	within(t, 3*time.Second, "the old primary follows", func() bool {
		return fleet.servers["a"].Status().Role == database.Replica && equalLogs(fleet.servers["a"], fleet.servers[record.Primary])
	})
}
