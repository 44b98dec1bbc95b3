package observer

import (
	"slices"

	"dotterelgw/core/ids"
	"dotterelgw/core/member"
)

const (
	// smallFleet is the number of VMs up to which one VM observes all groups and is asked by all others.
	smallFleet = 40
	// observers is the number of VMs that may observe a group: the second takes over when the first does not answer.
	observers = 2
	// vmsPerCollector is the number of VMs of an availability zone for each further collector.
	vmsPerCollector = 40
)

// Plan divides the work of observing the groups among the VMs. In a large fleet the state of each group is observed by a VM of
// its own, gathered by few collectors in each availability zone, and asked for there by the others, so that neither the
// requests to a server nor the questions to a VM grow with the fleet. The zero value is a plan without VMs.
type Plan struct {
	self ids.VMID
	vms  []member.Member
	// collectors holds the collectors of this VM's availability zone.
	collectors []ids.VMID
}

// NewPlan returns the plan of the VM. All VMs with the same view of the fleet agree on it.
func NewPlan(self member.Member, vms []member.Member) *Plan {
	plan := &Plan{self: self.ID, vms: vms}
	if len(vms) <= smallFleet {
		return plan
	}
	neighbours := slices.DeleteFunc(slices.Clone(vms), func(vm member.Member) bool { return vm.Zone != self.Zone })
	for _, collector := range member.Top("collector", 2+len(neighbours)/vmsPerCollector, neighbours) {
		plan.collectors = append(plan.collectors, collector.ID)
	}
	return plan
}

// VMs returns the number of VMs.
func (plan *Plan) VMs() int { return len(plan.vms) }

// Collects states whether this VM gathers the state of all groups for others.
func (plan *Plan) Collects() bool { return slices.Contains(plan.collectors, plan.self) }

// Collectors returns the VMs that this VM asks for the state of all groups; none if it asks the observers itself.
func (plan *Plan) Collectors() []ids.VMID {
	if plan.Collects() {
		return nil
	}
	return plan.collectors
}

// Observers returns the VMs that ask the servers of the group, best first. Holder is the VM that replaces primaries and asks
// all servers anyway, empty if there is none; in a small fleet it observes all groups.
func (plan *Plan) Observers(group ids.GroupID, holder ids.VMID) []ids.VMID {
	if len(plan.vms) > smallFleet {
		return identify(member.Top("observer/"+string(group), observers, plan.vms))
	}
	second := identify(member.Top("observer", 1, plan.vms))
	if holder == "" || slices.Contains(second, holder) {
		return second
	}
	return append([]ids.VMID{holder}, second...)
}

func identify(members []member.Member) []ids.VMID {
	identifiers := make([]ids.VMID, 0, len(members))
	for _, vm := range members {
		identifiers = append(identifiers, vm.ID)
	}
	return identifiers
}
