package node

import (
	"context"
	"sync"
	"time"

	"dotterelgw/core/ids"
	"dotterelgw/core/member"
	"dotterelgw/core/relay"
	"dotterelgw/io/clock"
	"dotterelgw/io/fleet"
)

// settleTime is the time after the start during which other VMs that start at the same time register. Registering takes
// a few calls to the store.
const settleTime = 500 * time.Millisecond

// join registers this VM, then follows the other VMs until the context ends. VMs that start together see those that
// registered before them, so that records are read from the store only once.
func (node *Node) join(ctx context.Context) {
	node.fleet.Register(ctx)
	var group sync.WaitGroup
	group.Go(func() { node.fleet.Run(ctx) })
	group.Go(func() { node.mesh.Run(ctx, node.records) })
	group.Go(func() { node.promoter.Run(ctx) })
	group.Go(func() { node.settle(ctx) })
	group.Wait()
}

// settle chooses this VM's relay role after settleTime, even if no other VM is known by then.
func (node *Node) settle(ctx context.Context) {
	clock.Sleep(ctx, settleTime)
	node.settled.Store(true)
	node.chooseRole(members(node.fleet.VMs()))
}

// chooseRole chooses this VM's relay role among the VMs.
func (node *Node) chooseRole(vms []member.Member) {
	settings := node.currentSettings()
	role := relay.Choose(member.Member{ID: settings.VM, Zone: settings.AvailabilityZone}, vms)
	if previous := node.role.Swap(&role); !previous.Known || previous.Relay != role.Relay || previous.Collector != role.Collector {
		node.eventLog.Event("relay_role", "relay", role.Relay, "collects", role.Collector, "sources", len(role.Sources), "vms", len(vms))
	}
}

// members converts the VMs for decisions that depend on their availability zones.
func members(vms []fleet.VM) []member.Member {
	members := make([]member.Member, 0, len(vms))
	for _, vm := range vms {
		members = append(members, member.Member{
			ID: vm.ID, Address: vm.Peer, Zone: vm.Zone, ProcessorShare: vm.ProcessorShare, ServesAsHome: vm.ServesAsHome,
		})
	}
	return members
}

// neighbours returns the VMs of the availability zone.
func neighbours(vms []member.Member, zone ids.AvailabilityZone) []ids.VMID {
	var neighbours []ids.VMID
	for _, vm := range vms {
		if vm.Zone == zone {
			neighbours = append(neighbours, vm.ID)
		}
	}
	return neighbours
}
