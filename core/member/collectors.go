package member

import (
	"slices"

	"dotterelgw/core/ids"
)

const (
	// MaxVMsWithoutCollectors is the largest fleet, in VMs, without collectors; up to this size a few VMs can answer all others.
	MaxVMsWithoutCollectors = 40
	// minCollectors is the minimum number of collectors in an availability zone, so that one still answers after the other
	// fails.
	minCollectors = 2
	// membersPerCollector is the number of VMs in an availability zone per collector above minCollectors.
	membersPerCollector = 40
)

// Collectors returns the VMs that fetch data on behalf of all VMs of the availability zone, so that the few VMs of the fleet
// that have the data are not queried by every VM. A fleet of up to MaxVMsWithoutCollectors VMs has no collectors.
func Collectors(zone ids.AvailabilityZone, members []Member) []ids.VMID {
	if len(members) <= MaxVMsWithoutCollectors {
		return nil
	}
	neighbours := slices.DeleteFunc(slices.Clone(members), func(vm Member) bool { return vm.Zone != zone })
	return VMIDs(Top("collector", minCollectors+len(neighbours)/membersPerCollector, neighbours))
}

// VMIDs returns the VM identifiers of the members, in the same order.
func VMIDs(members []Member) []ids.VMID {
	identifiers := make([]ids.VMID, 0, len(members))
	for _, vm := range members {
		identifiers = append(identifiers, vm.ID)
	}
	return identifiers
}
