package promoter

import (
	"context"
	"slices"
	"sync"

	"dotterelgw/core/handover"
	"dotterelgw/core/ids"
	"dotterelgw/core/statement"
	"dotterelgw/io/dbpool"
	"dotterelgw/io/monitor"
)

// checkSafety fences the old primary on all VMs, those that start included, and makes the checks without which nothing may be promoted.
// The error is set if the fence could not be stored.
func (promoter *Promoter) checkSafety(ctx context.Context, group *monitor.Group, servers []*monitor.Server, fenceResult handover.FenceResult, term ids.Term) (window handover.OrderWindow, safetyChecks handover.SafetyChecks, err error) {
	stored := make(chan error, 1)
	go func() { stored <- promoter.fences.set(ctx, group.ID(), term) }()
	window, safetyChecks.Acknowledged, safetyChecks.Unanswered = promoter.awaitFence(ctx, group, term)
	safetyChecks.Listed = promoter.refresh(ctx)
	safetyChecks.Joined = joined(servers, group.Servers())
	safetyChecks.Unfenced = fenceResult.Paused && !promoter.stillFenced(servers, fenceResult.Others, term)
	if err = <-stored; err != nil {
		promoter.eventLog.LimitedEvent("fence_not_stored", "group", group.ID(), "term", term, "err", err)
	}
	return window, safetyChecks, err
}

// stillFenced reports whether the paused servers are still paused. A server that restarted receives again, and so does
// one that was reached late by a resume of an earlier attempt.
func (promoter *Promoter) stillFenced(servers []*monitor.Server, paused []handover.Member, term ids.Term) bool {
	fenced := true
	var mutex sync.Mutex
	var calls sync.WaitGroup
	for index := range paused {
		server := findServer(servers, &paused[index])
		calls.Go(func() {
			status, err := promoter.groups.SendControl(server, dbpool.Call{Kind: statement.Status})
			mutex.Lock()
			defer mutex.Unlock()
			fenced = fenced && err == nil && status.PausedTerm >= term
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
