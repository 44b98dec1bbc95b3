package promoter

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"dotterelgw/core/handover"
	"dotterelgw/core/ids"
	"dotterelgw/io/clock"
	"dotterelgw/io/fleet"
	"dotterelgw/io/observe"
	"dotterelgw/io/platform"
)

const (
	// Prefix is the prefix of the key of the duty.
	Prefix  = "dotterelgw/duty/"
	dutyKey = Prefix + "promotion"
	// dutyTTL is the time for which the duty outlives its holder.
	dutyTTL = 1500 * time.Millisecond
	// dutyKeep is the time between two renewals.
	dutyKeep = 400 * time.Millisecond
	// dutyMargin is the time before the end of the lease from which on the holder orders nothing.
	dutyMargin = 300 * time.Millisecond
	// dutyRetry is the pause after a failed call.
	dutyRetry = 150 * time.Millisecond
	// dutyRecheck is the longest time for which the first candidates for the duty do not look at it.
	dutyRecheck = 15 * time.Second
	// lateRecheck is that time for all other VMs, which hear of a vacancy from relays.
	lateRecheck = 10 * time.Minute
)

// Token is a number that rises with every holder of the duty.
type Token int64

// duty is this VM's hold on the duty.
type duty struct {
	self      ids.VMID
	store     fleet.Store
	decisions *observe.Decisions
	// until is the boot time in nanoseconds up to which this VM has the duty.
	until atomic.Int64
	token atomic.Int64
	// holder is the VM that was last seen to have the duty.
	holder atomic.Value
	// vacant gets a value when the duty may be free.
	vacant chan struct{}
	// rank returns this VM's place among the candidates, 0 for the first.
	rank func() int
}

func newDuty(self ids.VMID, store fleet.Store, rank func() int, decisions *observe.Decisions) *duty {
	return &duty{self: self, store: store, rank: rank, decisions: decisions, vacant: make(chan struct{}, 1)}
}

// held returns the token and the time left in which it may be used.
func (duty *duty) held() (token Token, left time.Duration) {
	left = time.Duration(duty.until.Load()) - clock.Now() - dutyMargin
	return Token(duty.token.Load()), left
}

// seenHolder returns the VM that was last seen to have the duty, or an empty name.
func (duty *duty) seenHolder() ids.VMID {
	holder, _ := duty.holder.Load().(ids.VMID)
	return holder
}

// run takes the duty whenever it is free and keeps it.
func (duty *duty) run(ctx context.Context) {
	go duty.follow(ctx)
	// The first listing tells whether the duty is free.
	duty.wait(ctx)
	for ctx.Err() == nil {
		// The candidates come one after the other, so that not all VMs write to the store at once.
		clock.Sleep(ctx, handover.Candidacy(duty.rank()))
		if duty.seenHolder() != "" {
			duty.wait(ctx)
			continue
		}
		lease, err := duty.take(ctx)
		switch {
		case err != nil:
			duty.decisions.Request("duty_unavailable", "err", err)
			clock.Sleep(ctx, dutyRetry)
		case lease == 0:
			duty.wait(ctx)
		default:
			duty.keep(ctx, lease)
		}
	}
}

// follow tells when the key of the duty is removed.
func (duty *duty) follow(ctx context.Context) {
	for event := range platform.Follow(ctx, duty.store, Prefix, 0) {
		removed := event.Complete && len(event.Entries) == 0
		if removed {
			duty.holder.Store(ids.VMID(""))
		}
		for _, entry := range event.Entries {
			duty.holder.Store(ids.VMID(entry.Value))
			removed = removed || entry.Key == dutyKey && entry.Value == nil
		}
		if removed {
			select {
			case duty.vacant <- struct{}{}:
			default:
			}
		}
	}
}

// wait returns when the duty may be free.
func (duty *duty) wait(ctx context.Context) {
	for waited := dutyRecheck; ; waited += dutyRecheck {
		timer := time.NewTimer(dutyRecheck)
		select {
		case <-duty.vacant:
			timer.Stop()
			return
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		}
		// The rank is looked at now, since no other VM is known when the first wait begins.
		if duty.rank() < firstCandidates || waited >= lateRecheck {
			// The store itself is asked, whatever was seen last.
			duty.holder.Store(ids.VMID(""))
			return
		}
	}
}

// firstCandidates is the number of VMs that look at the duty often.
const firstCandidates = 3

// take tries to become the holder; it returns 0 if another VM is.
func (duty *duty) take(ctx context.Context) (platform.Lease, error) {
	_, found, err := duty.store.Get(ctx, dutyKey)
	if err != nil {
		return 0, fmt.Errorf("looking at the duty: %w", err)
	}
	if found {
		return 0, nil
	}
	sent := clock.Now()
	lease, ttl, err := duty.store.Grant(ctx, dutyTTL)
	if err != nil {
		return 0, fmt.Errorf("taking the duty: %w", err)
	}
	revision, stored, err := duty.store.CompareAndHold(ctx, dutyKey, 0, []byte(duty.self), lease)
	if err != nil || !stored {
		duty.revoke(ctx, lease)
	}
	if err != nil {
		return 0, fmt.Errorf("storing the duty: %w", err)
	}
	if !stored {
		return 0, nil
	}
	duty.token.Store(int64(revision))
	duty.until.Store(int64(sent + ttl))
	duty.decisions.Event("duty_taken", "token", revision, "lease", lease)
	return lease, nil
}

// keep renews the lease until it ends.
func (duty *duty) keep(ctx context.Context, lease platform.Lease) {
	for ctx.Err() == nil {
		clock.Sleep(ctx, dutyKeep)
		sent := clock.Now()
		ttl, err := duty.store.KeepAlive(ctx, lease)
		if err == nil {
			duty.until.Store(int64(sent + ttl))
			continue
		}
		if errors.Is(err, platform.ErrLeaseEnded) || clock.Now() > time.Duration(duty.until.Load()) {
			duty.until.Store(0)
			duty.decisions.Event("duty_lost", "token", duty.token.Load(), "err", err)
			return
		}
	}
	duty.until.Store(0)
	duty.revoke(context.WithoutCancel(ctx), lease)
}

// revoke ends a lease, and with it a key whose writing was not confirmed. If that fails it ends by itself.
func (duty *duty) revoke(ctx context.Context, lease platform.Lease) {
	if err := duty.store.Revoke(ctx, lease); err != nil {
		duty.decisions.Request("lease_not_revoked", "lease", lease, "err", err)
	}
}
