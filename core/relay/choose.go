package relay

import (
	"slices"

	"dotterelgw/core/ids"
	"dotterelgw/core/member"
)

const (
	// sourcesPerVM is the number of relays that a VM queries in turn, and the minimum number of relays.
	sourcesPerVM = 2
	// vmsPerRelay is the number of VMs for each additional relay.
	vmsPerRelay = 200
)

// Role is the role of a VM in the distribution of records. A few relays watch the key-value service. In a large fleet, collectors
// in each availability zone query the relays, and the other VMs query the collectors of their zone. In a small fleet, the other
// VMs query the relays directly.
type Role struct {
	// Known reports whether the fleet is known. If not, the other fields are not valid.
	Known bool
	// Relay reports whether the VM watches the service on behalf of others.
	Relay bool
	// Collector reports whether the VM is a collector, which queries relays and is queried by other VMs.
	Collector bool
	// Sources holds the VMs that this VM queries. A relay queries them only while the service doesn't respond to it.
	Sources []ids.VMID
	// FromRelays reports whether the sources are queried as relays, which makes them watch the service.
	FromRelays bool
}

// Choose returns the role of the VM. It is deterministic: VMs with the same view of the fleet agree on relays and collectors.
func Choose(self member.Member, vms []member.Member) Role {
	relays := member.Top("relay", sourcesPerVM+len(vms)/vmsPerRelay, vms)
	others := slices.DeleteFunc(slices.Clone(relays), func(relay member.Member) bool { return relay.ID == self.ID })
	role := Role{Known: true, Relay: len(others) < len(relays), FromRelays: true}
	collectors := member.Collectors(self.Zone, vms)
	role.Collector = slices.Contains(collectors, self.ID)
	if len(collectors) > 0 && !role.Relay && !role.Collector {
		role.Sources, role.FromRelays = collectors, false
		return role
	}
	role.Sources = member.VMIDs(member.Top("relay of "+string(self.ID), sourcesPerVM, others))
	return role
}
