package handover_test

import (
	"testing"
	"time"

	"dotterelgw/core/catalog"
	"dotterelgw/core/handover"
	"dotterelgw/core/ids"
	"dotterelgw/core/leader"
	"dotterelgw/core/membership"
)

// Guards against a VM that is assured by the primary and a replica while the holder of the duty gives both up as lost. Only the holder can't
// reach them: after 30 s it promotes the third server, and the VM, which is cut off from the holder, acknowledges writes all the while.
func TestMembersGivenUpByTheHolderOnly(t *testing.T) {
	const interval = 400 * time.Millisecond
	registered := []catalog.Server{{ID: "primary"}, {ID: "replica"}, {ID: "last"}}
	now := time.Minute
	vm := leader.NewTracker()
	vm.SetServers(now, registered)
	vm.Assure(now)
	var wait membership.Wait
	for ; ; now += interval {
		vm.Observe("primary", leader.Observation{Status: leader.Status{Role: catalog.RolePrimary, Term: 1}, SentAt: now})
		vm.Observe("replica", leader.Observation{Status: leader.Status{Role: catalog.RoleReplica, Term: 1}, SentAt: now})
		fenceResult := handover.FenceResult{
			Paused: true, Others: []handover.Member{{ID: "last", Observed: true, PausedTerm: 2}}, Unheard: 2, Overdue: wait.IsOverdue(now),
		}
		successor, ok := fenceResult.Successor()
		wait.Update(now, !ok, true)
		if !ok {
			continue
		}
		if _, cause := fenceResult.Confirm(successor, handover.SafetyChecks{Unanswered: 1, Listed: true}); cause != "" {
			t.Fatalf("%s is not promoted: %s", successor.ID, cause)
		}
		break
	}
	// The holder has waited for the VM before it orders the promotion.
	now += leader.LeaseDuration
	for _, id := range []ids.BackendServerID{"primary", "replica"} {
		observed, _ := vm.Observed(id)
		observed.SentAt = now
		vm.Observe(id, observed)
	}
	if vm.LeaseExpiry() > now {
		t.Errorf("the VM relies on the old primary %v after it was given up", leader.LeaseDuration)
	}
}
