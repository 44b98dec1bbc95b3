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
	// pollAllAfter is the age of the confirmation above which a relay of a large fleet exchanges heartbeats with all VMs.
	// The others get the result within two heartbeat periods, which keeps them below the admission limit.
	pollAllAfter = 700 * time.Millisecond
	// pollAllStagger is added to pollAllAfter per rank of the relay, so that usually only one relay polls.
	pollAllStagger = 150 * time.Millisecond
)

// setWatching starts or ends the watch of the service, depending on whether this VM is a relay.
func (controller *Controller) setWatching(ctx context.Context, relay bool) {
	switch {
	case relay && controller.stopWatch == nil:
		ctx, controller.stopWatch = context.WithCancel(ctx)
		from := controller.Revision()
		if from > 0 {
			from++
		}
		events := platform.Follow(ctx, controller.store, config.Prefix, from)
		controller.spawn(func() {
			for event := range events {
				controller.applyWatchEvent(event)
			}
		})
		_ = controller.logger.Log("msg", "relay started watching the key-value service", "from", from)
	case !relay && controller.stopWatch != nil:
		controller.stopWatch()
		controller.stopWatch = nil
		_ = controller.logger.Log("msg", "no longer a relay, stopped watching the key-value service")
	}
}

// applyWatchEvent applies one event of the watch. Only the answer to a progress request confirms the configuration, as of
// the time at which the request was sent.
func (controller *Controller) applyWatchEvent(event platform.WatchEvent) {
	controller.mutex.Lock()
	defer controller.mutex.Unlock()
	if event.Err != nil {
		_ = controller.logger.Log("msg", "watch of the key-value service ended", "err", event.Err)
		return
	}
	changed := controller.entries.ApplyComplete(event.Entries, event.Revision)
	if !event.RequestedAt.IsZero() {
		controller.serviceConfirmed = controller.clock.now()
		controller.tracker.ConfirmService(controller.clock.offset(event.RequestedAt))
	}
	controller.publish(changed)
}

// shouldPollAll reports whether this relay of a large fleet exchanges heartbeats with all VMs, because neither it nor a
// peer reaches the service and the confirmation is getting old. The caller holds the mutex.
func (controller *Controller) shouldPollAll(now time.Duration) bool {
	view := controller.view
	if view.IsMesh() || !view.IsRelay() || controller.serviceReachable(now) || view.PlatformHeard(now, reachableWindow) {
		return false
	}
	age, known := controller.tracker.Age(now)
	partners := append(view.HeartbeatTargets(), controller.self)
	rank := slices.IndexFunc(member.Top("stand-in", len(partners), partners), func(ranked member.Member) bool {
		return ranked.ID == controller.self.ID
	})
	return !known || age > pollAllAfter+time.Duration(rank)*pollAllStagger
}

// refreshVMList reads the VM list and updates the view. If reading fails, the last list stays in use.
func (controller *Controller) refreshVMList(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, controller.clock.realTime(vmListPeriod))
	defer cancel()
	vms, err := controller.list.List(ctx)
	if err != nil {
		if ctx.Err() == nil {
			_ = controller.logger.Log("msg", "reading the VM list failed", "err", err)
		}
		return
	}
	var proxies []member.Member
	var proxyIDs []ids.VMID
	leaving := map[ids.BackendServerID]struct{}{}
	listedLeaving := false
	for _, vm := range vms {
		switch vm.Role {
		case platform.RoleProxy:
			id := ids.VMID(vm.ID)
			proxies = append(proxies, member.Member{ID: id, Address: vm.Address, Zone: vm.AvailabilityZone, Leaving: vm.Leaving})
			proxyIDs = append(proxyIDs, id)
			listedLeaving = listedLeaving || id == controller.self.ID && vm.Leaving
		case platform.RoleBackendServer:
			if vm.Leaving {
				leaving[ids.BackendServerID(vm.ID)] = struct{}{}
			}
		}
	}
	controller.leaving.Store(&leaving)
	controller.mutex.Lock()
	defer controller.mutex.Unlock()
	controller.listedLeaving = listedLeaving
	controller.view.SetList(proxies)
	controller.tracker.SetList(proxyIDs, controller.clock.now())
	for id, state := range controller.peers {
		if !state.inFlight && !slices.Contains(proxyIDs, id) {
			delete(controller.peers, id)
		}
	}
	controller.publish(nil)
	controller.publishMembers(controller.clock.now())
}
