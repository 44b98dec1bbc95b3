package node

import (
	"context"
	"time"

	"dotterelgw/core/ids"
	"dotterelgw/core/member"
	"dotterelgw/core/relay"
	"dotterelgw/io/clock"
	"dotterelgw/io/fleet"
)

// settleTime is the time after the start in which other VMs that start as well register, which takes a few calls to the store.
const settleTime = 500 * time.Millisecond

// identify returns the identifiers of the VMs.
func identify(vms []fleet.VM) []ids.VMID {
	identifiers := make([]ids.VMID, 0, len(vms))
	for _, vm := range vms {
		identifiers = append(identifiers, vm.ID)
	}
	return identifiers
}

// settle chooses this VM's part in passing on records once the VMs that start with it have registered.
func (node *Node) settle(ctx context.Context) {
	clock.Sleep(ctx, settleTime)
	node.settled.Store(true)
	node.chooseRole(identify(node.fleet.VMs()))
}

// chooseRole chooses this VM's part among the VMs.
func (node *Node) chooseRole(vms []ids.VMID) {
	role := relay.Choose(node.current().VM, vms)
	if held := node.role.Swap(&role); !held.Known || held.Relay != role.Relay {
		node.decisions.Event("relay_role", "relay", role.Relay, "sources", len(role.Sources), "vms", len(vms))
	}
}

// observers returns the VMs that observe the backend servers for the others: the one that replaces primaries, which asks
// them anyway, then one that all VMs agree on.
func (node *Node) observers() []ids.VMID {
	var observers []ids.VMID
	if holder := node.promoter.Holder(); holder != "" {
		observers = append(observers, holder)
	}
	var members []member.Member
	for _, vm := range node.fleet.VMs() {
		members = append(members, member.Member{ID: vm.ID})
	}
	for _, second := range member.Top("observer", 1, members) {
		observers = append(observers, second.ID)
	}
	return observers
}
