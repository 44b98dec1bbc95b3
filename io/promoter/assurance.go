package promoter

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"dotterelgw/core/handover"
	"dotterelgw/core/ids"
	"dotterelgw/io/clock"
	"dotterelgw/io/monitor"
)

// assuranceInterval is the time between two readings of the fences by a VM that no other VM assures.
const assuranceInterval = 500 * time.Millisecond

const (
	// registrationWait is how long a VM that starts waits for its registration before it reads the fences.
	registrationWait = 200 * time.Millisecond
	// registrationPoll is the time between two checks.
	registrationPoll = 5 * time.Millisecond
)

// assure records that no order to promote a server of the group is pending, if no fence is stored. Other VMs learn of it from this one.
func (promoter *Promoter) assure(token Token, group *monitor.Group) {
	now := clock.Now()
	promoter.mutex.Lock()
	watched := promoter.watches[group.ID()]
	replacing := watched == nil || watched.running || watched.order.PendingFor(now) > 0
	promoter.mutex.Unlock()
	term, known := promoter.fences.termFor(token, group.ID())
	if !replacing && known && term == 0 && promoter.OnDuty() {
		group.Assure(now)
	}
}

// seekAssurance reads the stored fences in the background if requests will soon have to wait for an assurance. A VM that is not
// registered can't rely on them, as the holder of the duty does not wait for it.
func (promoter *Promoter) seekAssurance(ctx context.Context) {
	now := clock.Now()
	if now-promoter.assuranceSoughtAt < assuranceInterval || promoter.registry == nil || !promoter.registry.IsRegistered() {
		return
	}
	groups := promoter.groups.Groups()
	if !slices.ContainsFunc(groups, (*monitor.Group).NeedsAssurance) || !promoter.seekingAssurance.CompareAndSwap(false, true) {
		return
	}
	promoter.assuranceSoughtAt = now
	go func() {
		defer promoter.seekingAssurance.Store(false)
		fences, err := promoter.readFences(ctx)
		if err != nil {
			promoter.eventLog.LimitedEvent("fences_unknown", "err", err)
			return
		}
		for _, group := range groups {
			if fences[group.ID()].Term == 0 {
				group.Assure(now)
			}
		}
	}()
}

// readFences returns the fences of all groups that have one in the store.
func (promoter *Promoter) readFences(ctx context.Context) (map[ids.GroupID]monitor.StoredFence, error) {
	entries, _, err := promoter.fences.store.List(ctx, FencesPrefix)
	if err != nil {
		return nil, fmt.Errorf("listing the fences: %w", err)
	}
	fences := make(map[ids.GroupID]monitor.StoredFence)
	for _, entry := range entries {
		record, err := decodeFence(entry.Value)
		if err != nil {
			promoter.eventLog.LimitedEvent("fence_faulty", "key", entry.Key, "revision", entry.Revision, "err", err)
		}
		fences[ids.GroupID(strings.TrimPrefix(entry.Key, FencesPrefix))] = monitor.StoredFence(record)
	}
	return fences, nil
}

// FencesAtStart returns the stored fences and the time at which they were read, 0 if this VM was not registered then, so that the holder
// of the duty may not wait for it. It retries until it succeeds, or until fences that were stored before the process started have
// expired.
func (promoter *Promoter) FencesAtStart(ctx context.Context) (fences map[ids.GroupID]monitor.StoredFence, readAt time.Duration) {
	began := clock.Now()
	for promoter.registry != nil && !promoter.registry.IsRegistered() && clock.Now()-began < registrationWait {
		clock.Sleep(ctx, registrationPoll)
	}
	for ; ctx.Err() == nil && clock.Now()-began < handover.FenceDuration; clock.Sleep(ctx, retryPause) {
		if promoter.registry != nil && promoter.registry.IsRegistered() {
			readAt = clock.Now()
		}
		fences, err := promoter.readFences(ctx)
		if err == nil {
			return fences, readAt
		}
		promoter.eventLog.LimitedEvent("fences_unknown", "err", err)
	}
	return nil, 0
}

// unknownVMs returns the registered VMs that are neither peers nor this VM itself.
func unknownVMs(registered, peers []ids.VMID, self ids.VMID) []ids.VMID {
	return slices.DeleteFunc(slices.Clone(registered), func(vm ids.VMID) bool { return vm == self || slices.Contains(peers, vm) })
}
