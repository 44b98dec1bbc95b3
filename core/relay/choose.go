package relay

import (
	"slices"

	"dotterelgw/core/ids"
	"dotterelgw/core/member"
)

const (
	// sources is the number of relays that a VM asks in turn, so that the loss of one is made up for by the next question.
	sources = 2
	// vmsPerRelay is the number of VMs for which there is one relay more: with 2.5 questions a second of each VM, a relay answers
	// at most 500 a second.
	vmsPerRelay = 200
)

// Role is the part of a VM in passing on records.
type Role struct {
	// Known states that the VM knows the fleet, so that the fields below hold.
	Known bool
	// Relay states that the VM watches the service for others.
	Relay bool
	// Sources holds the relays that the VM asks; a relay asks others only while the service does not answer it.
	Sources []ids.VMID
}

// Choose returns the role of the VM. All VMs with the same view of the fleet agree on which VMs are relays.
func Choose(self ids.VMID, vms []ids.VMID) Role {
	members := make([]member.Member, 0, len(vms))
	for _, vm := range vms {
		members = append(members, member.Member{ID: vm})
	}
	relays := member.Top("relay", sources+len(vms)/vmsPerRelay, members)
	others := slices.DeleteFunc(slices.Clone(relays), func(relay member.Member) bool { return relay.ID == self })
	role := Role{Known: true, Relay: len(others) < len(relays)}
	for _, relay := range member.Top("relay of "+string(self), sources, others) {
		role.Sources = append(role.Sources, relay.ID)
	}
	return role
}
