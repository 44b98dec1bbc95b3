package observer

import (
	"slices"

	"dotterelgw/core/ids"
	"dotterelgw/core/member"
)

// observers is the number of VMs that may observe a group. The second takes over if the first does not respond.
const observers = 2

// Plan assigns the observation of the groups to VMs. In a large fleet each group is assigned to one VM, which polls the servers
// of the group. A few collectors in each availability zone fetch the state of all groups from these observers, and the other VMs
// fetch it from the collectors of their zone. So neither the requests to a server nor those to a VM grow with the fleet. The zero
// value is a plan without VMs.
type Plan struct {
	self ids.VMID
	vms  []member.Member
	// collectors are those of this VM's availability zone.
	collectors []ids.VMID
}

// NewPlan returns the plan of the VM. It is deterministic: VMs with the same view of the fleet agree on the assignment.
func NewPlan(self member.Member, vms []member.Member) *Plan {
	return &Plan{self: self.ID, vms: vms, collectors: member.Collectors(self.Zone, vms)}
}

// VMs returns the number of VMs in the plan.
func (plan *Plan) VMs() int { return len(plan.vms) }

// IsCollector reports whether this VM is a collector, which fetches the state of all groups for others.
func (plan *Plan) IsCollector() bool { return slices.Contains(plan.collectors, plan.self) }

// Collectors returns the VMs from which this VM fetches the state of all groups, or none if it queries the observers itself.
func (plan *Plan) Collectors() []ids.VMID {
	if plan.IsCollector() {
		return nil
	}
	return plan.collectors
}

// Observers returns the VMs that poll the servers of the group, in order of preference. Holder is the VM that performs failovers,
// empty if there is none. It polls all servers anyway, so in a small fleet it observes all groups.
func (plan *Plan) Observers(group ids.GroupID, holder ids.VMID) []ids.VMID {
	if len(plan.vms) > member.MaxVMsWithoutCollectors {
		return member.VMIDs(member.Top("observer/"+string(group), observers, plan.vms))
	}
	ranked := member.VMIDs(member.Top("observer", 1, plan.vms))
	if holder == "" || slices.Contains(ranked, holder) {
		return ranked
	}
	return append([]ids.VMID{holder}, ranked...)
}
