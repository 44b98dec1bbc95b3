package orderer_test

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

// TestFailover guards the failover gap, the barrier and the acknowledgement on the side of a replaced primary, and
// the return of that primary without its unacknowledged records.
func TestFailover(t *testing.T) {
	fleet := start(t, nil)
	var acked []position.Position
	for range 20 {
		acked = append(acked, fleet.confirmed(t, fleet.groups[0], 5*time.Second))
	}
	within(t, 3*time.Second, "first term record", func() bool { return fleet.term(t).Step == failover.Steady })
	old := fleet.servers["a"]
	isolated := fleet.isolated(t, old.Address())

	old.Set(cutFromOthers)
	cut := time.Now()
	first := fleet.confirmed(t, fleet.groups[0], 8*time.Second)
	gap := time.Since(cut)
	t.Logf("gap %v", gap)
	if gap > 3*time.Second {
		t.Errorf("gap %v", gap)
	}
	record := fleet.term(t)
	if record.Primary == "a" || first.Term != 2 {
		t.Errorf("term record %+v, first write %v", record, first)
	}
	primary := fleet.servers[record.Primary]
	for _, want := range acked {
		if !kept(primary, want) {
			t.Errorf("the new primary lacks %v", want)
		}
	}

	isolated.View(groupID)
	if _, err := isolated.Barrier(context.Background(), groupID); reason(err) != refusal.StaleRoute {
		t.Errorf("barrier at the replaced primary: %v", err)
	}
	dropped, err := write(context.Background(), old.Address(), "vm4")
	if err != nil {
		t.Fatalf("the isolated primary takes writes: %v", err)
	}
	if err := isolated.Confirm(context.Background(), groupID, "a", dropped); reason(err) != refusal.OutcomeUnknown {
		t.Errorf("write at the replaced primary: %v", err)
	}

	old.Set(func(state *database.State) { state.Partitioned = nil })
	within(t, 5*time.Second, "the old primary follows without its unacknowledged records", func() bool {
		status := old.Status()
		return status.Role == database.Replica && status.Term == fleet.term(t).Term && !kept(old, dropped) && equalLogs(old, primary)
	})
}

// TestShortStall guards against a promotion that a stall under 1 s causes.
func TestShortStall(t *testing.T) {
	fleet := start(t, nil)
	fleet.confirmed(t, fleet.groups[0], 5*time.Second)
	within(t, 3*time.Second, "first term record", func() bool { return fleet.term(t).Step == failover.Steady })
	fleet.servers["a"].Set(func(state *database.State) { state.Frozen = true })
	stalled := time.Now()
	within(t, 2*time.Second, "the stall is over", func() bool { return time.Since(stalled) > 900*time.Millisecond })
	fleet.servers["a"].Set(func(state *database.State) { state.Frozen = false })
	wrote := fleet.confirmed(t, fleet.groups[0], 5*time.Second)
	within(t, 2*time.Second, "the watchers had time to order", func() bool { return time.Since(stalled) > 1800*time.Millisecond })
	if record := fleet.term(t); wrote.Term != 1 || record.Term != 1 {
		t.Errorf("write %v, record %+v", wrote, record)
	}
}

// TestLostAnswers guards against doubled and against stuck promotions when the service's answers are lost.
func TestLostAnswers(t *testing.T) {
	fleet := start(t, func(write int) bool { return write%2 == 0 })
	acked := fleet.confirmed(t, fleet.groups[0], 5*time.Second)
	within(t, 3*time.Second, "first term record", func() bool { return fleet.term(t).Step == failover.Steady })
	fleet.servers["a"].Set(func(state *database.State) { state.Frozen = true })
	fleet.confirmed(t, fleet.groups[0], 8*time.Second)
	within(t, 3*time.Second, "steady", func() bool { return fleet.term(t).Step == failover.Steady })
	record := fleet.term(t)
	if !kept(fleet.servers[record.Primary], acked) || record.Term != 2 {
		t.Errorf("record %+v", record)
	}
}

// TestLeavingPrimary guards the planned change: writes move on within 3 s, and no acknowledged one is lost.
func TestLeavingPrimary(t *testing.T) {
	fleet := start(t, nil)
	acked := fleet.confirmed(t, fleet.groups[0], 5*time.Second)
	within(t, 3*time.Second, "first term record", func() bool { return fleet.term(t).Step == failover.Steady })
	left := time.Now()
	for _, groups := range fleet.groups {
		groups.SetLeaving("a", true)
	}
	within(t, 3*time.Second, "another primary", func() bool {
		return fleet.confirmed(t, fleet.groups[0], 3*time.Second).Term == 2
	})
	t.Logf("planned change after %v", time.Since(left))
	record := fleet.term(t)
	if record.Primary == ids.BackendServerID("a") || !kept(fleet.servers[record.Primary], acked) {
		t.Errorf("record %+v", record)
	}
	within(t, 3*time.Second, "the old primary follows", func() bool {
		return fleet.servers["a"].Status().Role == database.Replica && equalLogs(fleet.servers["a"], fleet.servers[record.Primary])
	})
}
