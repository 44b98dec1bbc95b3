package control

import (
	"context"
	"slices"
	"time"

	"dotterelgw/core/config"
	"dotterelgw/core/ids"
	"dotterelgw/core/member"
	"dotterelgw/io/platform"
)

const (
	// standInAfter is the age of the confirmation above which a relay of a large fleet asks all VMs. Others get the
	// result within two heartbeat periods, which keeps them below the admission limit.
	standInAfter = 700 * time.Millisecond
	// standInStep staggers the relays by rank, so that usually one of them asks.
	standInStep = 150 * time.Millisecond
)

// watch starts or ends the watch of the service.
func (controller *Controller) watch(ctx context.Context, relay bool) {
	switch {
	case relay && controller.relay == nil:
		ctx, controller.relay = context.WithCancel(ctx)
		from := controller.Revision()
		if from > 0 {
			from++
		}
		events := platform.Follow(ctx, controller.store, config.Prefix, from)
		controller.start(func() {
			for event := range events {
				controller.follow(event)
			}
		})
		_ = controller.logger.Log("msg", "watching the service as relay", "from", from)
	case !relay && controller.relay != nil:
		controller.relay()
		controller.relay = nil
		_ = controller.logger.Log("msg", "no longer relay")
	}
}

// follow applies one event of the watch. Only the answer to a question confirms, and as of the time of the question.
func (controller *Controller) follow(event platform.WatchEvent) {
	controller.mutex.Lock()
	defer controller.mutex.Unlock()
	if event.Err != nil {
		_ = controller.logger.Log("msg", "watch of the service ended", "err", event.Err)
		return
	}
	changed := controller.entries.ApplyComplete(event.Entries, event.Revision)
	if !event.Asked.IsZero() {
		controller.answered = controller.clock.now()
		controller.freshness.ConfirmService(controller.clock.at(event.Asked))
	}
	controller.publish(changed)
}

// standsIn states whether this relay asks all VMs of a large fleet, since the service answers nobody. The caller holds
// the mutex.
func (controller *Controller) standsIn(now time.Duration) bool {
	view := controller.view
	if view.Mesh() || !view.IsRelay() || controller.reachable(now) || view.PlatformHeard(now, reachableWindow) {
		return false
	}
	old, known := controller.freshness.Age(now)
	partners := append(view.Partners(), controller.self)
	rank := slices.IndexFunc(member.Top("stand-in", len(partners), partners), func(ranked member.Member) bool {
		return ranked.ID == controller.self.ID
	})
	return !known || old > standInAfter+time.Duration(rank)*standInStep
}

// readList reads the VM list; the last list is kept if it does not answer.
func (controller *Controller) readList(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, controller.clock.real(listPeriod))
	defer cancel()
	vms, err := controller.list.List(ctx)
	if err != nil {
		if ctx.Err() == nil {
			_ = controller.logger.Log("msg", "VM list does not answer", "err", err)
		}
		return
	}
	var proxies []member.Member
	var names []ids.VMID
	leaving := map[ids.BackendServerID]struct{}{}
	listed := false
	for _, vm := range vms {
		switch vm.Role {
		case platform.RoleProxy:
			id := ids.VMID(vm.ID)
			proxies = append(proxies, member.Member{ID: id, Address: vm.Address, Zone: vm.AvailabilityZone, Leaving: vm.Leaving})
			names = append(names, id)
			listed = listed || id == controller.self.ID && vm.Leaving
		case platform.RoleBackendServer:
			if vm.Leaving {
				leaving[ids.BackendServerID(vm.ID)] = struct{}{}
			}
		}
	}
	controller.leaving.Store(&leaving)
	controller.mutex.Lock()
	defer controller.mutex.Unlock()
	controller.listed = listed
	controller.view.SetList(proxies)
	controller.freshness.SetList(names, controller.clock.now())
	for id, state := range controller.peers {
		if !state.pending && !slices.Contains(names, id) {
			delete(controller.peers, id)
		}
	}
	controller.publish(nil)
	controller.publishMembers(controller.clock.now())
}
