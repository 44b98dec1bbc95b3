package promoter

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"dotterelgw/core/catalog"
	"dotterelgw/core/handover"
	"dotterelgw/core/ids"
	"dotterelgw/core/leader"
	"dotterelgw/core/statement"
	"dotterelgw/io/clock"
	"dotterelgw/io/dbpool"
	"dotterelgw/io/monitor"
)

// checkSafety fences the old primary on all VMs, those that start included, and makes the checks without which nothing may be promoted.
// The error is set if the fence could not be stored.
func (promoter *Promoter) checkSafety(ctx context.Context, group *monitor.Group, servers []*monitor.Server, fenceResult handover.FenceResult, term ids.Term) (window handover.OrderWindow, safetyChecks handover.SafetyChecks, err error) {
	stored := make(chan storedFence, 1)
	go func() { stored <- promoter.storeFence(ctx, group.ID(), term) }()
	window, safetyChecks.Acknowledged, safetyChecks.Unanswered = promoter.awaitFence(ctx, group, term)
	fence := <-stored
	if fence.err != nil {
		promoter.eventLog.LimitedEvent("fence_not_stored", "group", group.ID(), "term", term, "err", fence.err)
	}
	safetyChecks.Unanswered += fence.unknownVMs
	if safetyChecks.Unanswered > 0 {
		// A VM that did not answer may have read the store just before the fence was there, and relies on that for a lease.
		clock.Sleep(ctx, max(fence.at+leader.LeaseDuration-clock.Now(), 0))
	}
	safetyChecks.Listed = promoter.refresh(ctx)
	safetyChecks.Joined = joined(servers, group.Servers())
	safetyChecks.Unfenced = fenceResult.Paused && !promoter.stillFenced(group, servers, fenceResult.Others, term) ||
		fenceResult.SteppedDown && safetyChecks.Unanswered > 0 && !promoter.stillSteppedDown(servers, fenceResult)
	return window, safetyChecks, fence.err
}

// storedFence is the result of storing a fence.
type storedFence struct {
	// at is the time by which it was stored.
	at time.Duration
	// unknownVMs is the number of VMs that had registered by then and are not among the peers: they have just started, and may have read
	// the fences before.
	unknownVMs int
	err        error
}

// storeFence stores the fence of the group and looks for VMs that have registered meanwhile.
func (promoter *Promoter) storeFence(ctx context.Context, group ids.GroupID, term ids.Term) storedFence {
	err := promoter.fences.set(ctx, group, term)
	fence := storedFence{at: clock.Now(), err: err}
	if err != nil || promoter.registry == nil {
		return fence
	}
	ctx, cancel := context.WithTimeout(ctx, refreshTimeout)
	defer cancel()
	registered, err := promoter.registry.List(ctx)
	if err != nil {
		fence.err = fmt.Errorf("looking for VMs that have just started: %w", err)
		return fence
	}
	unknown := unknownVMs(registered, promoter.mesh.Peers(), promoter.duty.self)
	if fence.unknownVMs = len(unknown); fence.unknownVMs > 0 {
		promoter.eventLog.Event("vms_unknown", "group", group, "term", term, "vms", len(unknown), "first", unknown[0])
	}
	return fence
}

// stillSteppedDown reports whether the old primary still acts as a replica. One that restarted may lead again, and a VM that was not
// fenced may have acknowledged its writes since.
func (promoter *Promoter) stillSteppedDown(servers []*monitor.Server, fenceResult handover.FenceResult) bool {
	status, err := promoter.groups.SendControl(findServer(servers, &fenceResult.Old), dbpool.Call{Kind: statement.Status})
	return err == nil && status.Role == catalog.RoleReplica
}

// stillFenced reports whether the paused servers are still paused. A server that restarted receives again, and so does
// one that was reached late by a resume of an earlier attempt.
func (promoter *Promoter) stillFenced(group *monitor.Group, servers []*monitor.Server, paused []handover.Member, term ids.Term) bool {
	fenced := true
	var mutex sync.Mutex
	var calls sync.WaitGroup
	for index := range paused {
		server := findServer(servers, &paused[index])
		calls.Go(func() {
			status, err := promoter.groups.SendControl(server, dbpool.Call{Kind: statement.Status})
			if err == nil && status.PausedTerm >= term {
				return
			}
			promoter.eventLog.Event("server_not_fenced", "group", group.ID(), "server", server.ID(), "term", term,
				"paused", status.PausedTerm, "err", err)
			mutex.Lock()
			defer mutex.Unlock()
			fenced = false
		})
	}
	calls.Wait()
	return fenced
}

// refresh reads the registrations again, so that a server that has just joined is counted. It reports whether that succeeded.
func (promoter *Promoter) refresh(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, refreshTimeout)
	defer cancel()
	if err := promoter.directory.Refresh(ctx); err != nil {
		promoter.eventLog.Event("registrations_unknown", "err", err)
		return false
	}
	return true
}

// joined reports whether there are servers now that there were not before.
func joined(before, now []*monitor.Server) bool {
	for _, server := range now {
		if !slices.Contains(before, server) {
			return true
		}
	}
	return false
}
