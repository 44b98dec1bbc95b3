package member

import (
	"slices"

	"dotterelgw/core/ids"
)

const (
	// SmallFleet is the largest fleet, in VMs, without collectors; up to this size a few VMs can answer all others.
	SmallFleet = 40
	// minCollectors is the minimum number of collectors in an availability zone, so that one still answers after the other
	// fails.
	minCollectors = 2
	// membersPerCollector is the number of VMs in an availability zone per collector above minCollectors.
	membersPerCollector = 40
)

// Collectors returns the VMs that fetch data on behalf of all VMs of the availability zone, so that the few VMs of the fleet
// that have the data are not queried by every VM. A fleet of up to SmallFleet VMs has no collectors.
func Collectors(zone ids.AvailabilityZone, members []Member) []ids.VMID {
	if len(members) <= SmallFleet {
		return nil
	}
	neighbours := slices.DeleteFunc(slices.Clone(members), func(vm Member) bool { return vm.Zone != zone })
	return Identify(Top("collector", minCollectors+len(neighbours)/membersPerCollector, neighbours))
}

// Identify returns the VM identifiers of the members, in the same order.
func Identify(members []Member) []ids.VMID {
	identifiers := make([]ids.VMID, 0, len(members))
	for _, vm := range members {
		identifiers = append(identifiers, vm.ID)
	}
	return identifiers
}
