package promoter

import (
	"context"
	"fmt"
	"slices"
	"sync"

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
// The error is set if the fence could not be stored. The VMs are asked only after it is stored: one that has acknowledged the fence and
// restarts reads it then.
func (promoter *Promoter) checkSafety(ctx context.Context, group *monitor.Group, servers []*monitor.Server, unlisted []*unlistedMember, fenceResult handover.FenceResult, term ids.Term) (window handover.OrderWindow, safetyChecks handover.SafetyChecks, err error) {
	if err = promoter.fences.set(ctx, group.ID(), term); err != nil {
		promoter.eventLog.LimitedEvent("fence_not_stored", "group", group.ID(), "term", term, "err", err)
		return window, safetyChecks, err
	}
	listed := make(chan startedVMs, 1)
	go func() { listed <- promoter.findStartedVMs(ctx, group.ID()) }()
	window, safetyChecks = promoter.awaitFence(ctx, group, term)
	started := <-listed
	if started.err != nil {
		promoter.eventLog.LimitedEvent("vms_unknown", "group", group.ID(), "term", term, "err", started.err)
		return window, safetyChecks, started.err
	}
	if safetyChecks.Unanswered += started.count; started.count > 0 {
		// They may have read the store just before the fence was there, and rely on that for a lease.
		clock.Sleep(ctx, max(window.BegunAt+leader.LeaseDuration-clock.Now(), 0))
	}
	safetyChecks.Listed = promoter.refresh(ctx)
	safetyChecks.Joined = joined(servers, group.Servers())
	safetyChecks.Unfenced = fenceResult.Paused && !promoter.stillFenced(group, servers, fenceResult.Others, term) ||
		fenceResult.Paused && !promoter.unlisted.isPaused(unlisted, term) ||
		fenceResult.SteppedDown && safetyChecks.Unanswered > 0 && !promoter.stillSteppedDown(servers, fenceResult)
	return window, safetyChecks, nil
}

// startedVMs is the result of findStartedVMs.
type startedVMs struct {
	// count is the number of VMs that are registered but not among the peers.
	count int
	err   error
}

// findStartedVMs looks for VMs that have just started, of which this VM has not heard yet. They may have read the fences before this one
// was stored.
func (promoter *Promoter) findStartedVMs(ctx context.Context, group ids.GroupID) startedVMs {
	if promoter.registry == nil {
		return startedVMs{}
	}
	ctx, cancel := context.WithTimeout(ctx, refreshTimeout)
	defer cancel()
	registered, err := promoter.registry.List(ctx)
	if err != nil {
		return startedVMs{err: fmt.Errorf("looking for VMs that have just started: %w", err)}
	}
	unknown := unknownVMs(registered, promoter.mesh.Peers(), promoter.duty.self)
	if len(unknown) > 0 {
		promoter.eventLog.Event("vms_unknown", "group", group, "vms", len(unknown), "first", unknown[0])
	}
	return startedVMs{count: len(unknown)}
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
