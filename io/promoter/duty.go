package promoter

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"dotterelgw/core/config"
	"dotterelgw/core/handover"
	"dotterelgw/core/ids"
	"dotterelgw/io/clock"
	"dotterelgw/io/fleet"
	"dotterelgw/io/observe"
	"dotterelgw/io/platform"
)

const (
	// DutyKeyPrefix is the key prefix of the duty.
	DutyKeyPrefix = "dotterelgw/duty/"
	dutyKey       = DutyKeyPrefix + "promotion"
	// dutyEraKey is the key of the latest era of the store in which a holder of the duty has ordered.
	dutyEraKey = "dotterelgw/duty_era"
	// dutyTTL is the TTL of the lease, after which the duty of a lost holder is free.
	dutyTTL = 1500 * time.Millisecond
	// dutyRenewInterval is the time between two renewals of the lease.
	dutyRenewInterval = 400 * time.Millisecond
	// dutyMargin is the time before the end of the lease at which the holder stops ordering promotions.
	dutyMargin = 300 * time.Millisecond
	// dutyRetryPause is the pause after a failed call to the store.
	dutyRetryPause = 150 * time.Millisecond
	// dutyRecheckInterval is the longest time for which the first candidates wait before they check the store again.
	dutyRecheckInterval = 15 * time.Second
	// lateRecheckInterval is the same for all other VMs, which learn of a vacancy from relays.
	lateRecheckInterval = 10 * time.Minute
)

// Token is a fencing token: it increases with every new holder of the duty.
type Token int64

// duty is this VM's state of the promotion duty.
type duty struct {
	self     ids.VMID
	store    fleet.Store
	eventLog *observe.EventLog
	// expiresAt is the boot time in nanoseconds until which this VM holds the duty.
	expiresAt atomic.Int64
	// waitUntil is the boot time in nanoseconds before which this VM orders nothing, since a holder of an earlier era may.
	waitUntil atomic.Int64
	token     atomic.Int64
	// takenAt is the boot time in nanoseconds at which this VM took the duty.
	takenAt atomic.Int64
	// eraSettled states whether dutyEraKey names the era of the token.
	eraSettled bool
	// knownEra is the latest era of the store that this VM knows, since the boot time knownSince.
	mutex      sync.Mutex
	knownEra   ids.Era
	knownSince time.Duration
	// holder is the VM that was last seen to hold the duty.
	holder atomic.Value
	// vacant receives a value when the duty may be free.
	vacant chan struct{}
	// handOver receives a value when this VM should leave the duty to another one.
	handOver chan struct{}
	// handedOverAt is the boot time in nanoseconds at which this VM last did so; 0 if it never did.
	handedOverAt atomic.Int64
	// rank returns this VM's rank among the candidates, 0 for the first.
	rank func() int
}

func newDuty(self ids.VMID, store fleet.Store, rank func() int, eventLog *observe.EventLog) *duty {
	return &duty{self: self, store: store, rank: rank, eventLog: eventLog, vacant: make(chan struct{}, 1), handOver: make(chan struct{}, 1)}
}

// current returns the token and the time left in which it may be used; none is left if this VM does not hold the duty, or has to wait
// for the end of an earlier lease.
func (duty *duty) current() (token Token, left time.Duration) {
	now := clock.Now()
	if now >= time.Duration(duty.waitUntil.Load()) {
		left = time.Duration(duty.expiresAt.Load()) - now - dutyMargin
	}
	return Token(duty.token.Load()), left
}

// lastToken returns the token of this VM's last turn as holder.
func (duty *duty) lastToken() Token { return Token(duty.token.Load()) }

// held returns the token and whether this VM holds the duty, even if it still has to wait for the end of an earlier lease.
func (duty *duty) held() (token Token, held bool) {
	return Token(duty.token.Load()), clock.Now() < time.Duration(duty.expiresAt.Load())-dutyMargin
}

// earlierOrder stands for the orders of earlier holders of the duty, the last of which may have been sent just before this VM took it.
func (duty *duty) earlierOrder() handover.Order {
	return handover.Order{SentAt: time.Duration(duty.takenAt.Load())}
}

// lastHolder returns the VM that was last seen to hold the duty, or an empty identifier.
func (duty *duty) lastHolder() ids.VMID {
	holder, _ := duty.holder.Load().(ids.VMID)
	return holder
}

// run acquires the duty whenever it is free and renews it.
func (duty *duty) run(ctx context.Context) {
	go duty.watchKey(ctx)
	// The first listing shows whether the duty is free.
	duty.waitForVacancy(ctx)
	for ctx.Err() == nil {
		// Candidates try one after the other, so that not all VMs write to the store at once.
		clock.Sleep(ctx, handover.CandidateDelay(duty.rank())+handover.RetakeDelay(duty.sinceHandOver()))
		if duty.lastHolder() != "" {
			duty.waitForVacancy(ctx)
			continue
		}
		lease, err := duty.acquire(ctx)
		switch {
		case err != nil:
			duty.eventLog.LimitedEvent("duty_unavailable", "err", err)
			clock.Sleep(ctx, dutyRetryPause)
		case lease == platform.Lease{}:
			duty.waitForVacancy(ctx)
		default:
			duty.renew(ctx, lease)
		}
	}
}

// watchKey follows the key of the duty and signals its removal.
func (duty *duty) watchKey(ctx context.Context) {
	for event := range platform.Follow(ctx, duty.store, DutyKeyPrefix, 0) {
		if event.Err == nil {
			duty.learnEra(event.Revision.Era())
		}
		duty.applyKey(event)
	}
}

// applyKey records the holder that the event names and signals a removal of the key. Other keys under the prefix do not count.
func (duty *duty) applyKey(event platform.WatchEvent) {
	entries := slices.DeleteFunc(slices.Clone(event.Entries), func(entry config.Entry) bool { return entry.Key != dutyKey })
	removed := event.Listing && len(entries) == 0
	if removed {
		duty.holder.Store(ids.VMID(""))
	}
	for _, entry := range entries {
		duty.holder.Store(ids.VMID(entry.Value))
		removed = removed || entry.Value == nil
	}
	if !removed {
		return
	}
	select {
	case duty.vacant <- struct{}{}:
	default:
	}
}

// waitForVacancy returns when the duty may be free.
func (duty *duty) waitForVacancy(ctx context.Context) {
	for waited := dutyRecheckInterval; ; waited += dutyRecheckInterval {
		timer := time.NewTimer(dutyRecheckInterval)
		select {
		case <-duty.vacant:
			timer.Stop()
			return
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		}
		// The rank is evaluated only now, because no other VM is known when the first wait begins.
		if duty.rank() < firstCandidates || waited >= lateRecheckInterval {
			// Whatever was last seen, check the store itself.
			duty.holder.Store(ids.VMID(""))
			return
		}
	}
}

// firstCandidates is the number of VMs that check the duty at dutyRecheckInterval.
const firstCandidates = 3

// acquire tries to become the holder. It returns no lease if another VM holds the duty.
func (duty *duty) acquire(ctx context.Context) (platform.Lease, error) {
	_, found, err := duty.store.Get(ctx, dutyKey)
	if err != nil {
		return platform.Lease{}, fmt.Errorf("reading the duty key: %w", err)
	}
	if found {
		return platform.Lease{}, nil
	}
	sent := clock.Now()
	lease, ttl, err := duty.store.Grant(ctx, dutyTTL)
	if err != nil {
		return platform.Lease{}, fmt.Errorf("granting a lease for the duty: %w", err)
	}
	revision, stored, err := duty.store.CompareAndSwapLeased(ctx, dutyKey, 0, []byte(duty.self), lease)
	if err != nil || !stored {
		duty.revoke(ctx, lease)
	}
	if err != nil {
		return platform.Lease{}, fmt.Errorf("writing the duty key: %w", err)
	}
	if !stored {
		return platform.Lease{}, nil
	}
	duty.token.Store(int64(revision))
	duty.takenAt.Store(int64(clock.Now()))
	// A request of an earlier turn must not end this one.
	select {
	case <-duty.handOver:
	default:
	}
	wait := duty.waitForEarlierEra(ctx, revision.Era(), ttl)
	duty.expiresAt.Store(int64(sent + ttl))
	duty.eventLog.Event("duty_taken", "token", int64(revision), "revision", revision, "lease", lease, "wait_ms", wait.Milliseconds())
	return lease, nil
}

// learnEra records that the store is in the era, and returns since when this VM knows.
func (duty *duty) learnEra(era ids.Era) (since time.Duration) {
	duty.mutex.Lock()
	defer duty.mutex.Unlock()
	if era > duty.knownEra || duty.knownSince == 0 {
		duty.knownEra, duty.knownSince = era, clock.Now()
	}
	return duty.knownSince
}

// waitForEarlierEra has this VM wait until a lease of an earlier era has ended, unless the duty was used in this one before, and
// returns how long. A restored store has lost the lease, but its holder orders until it learns of that, or for the rest of the time to
// live; it has renewed it last before this VM learned of the era.
func (duty *duty) waitForEarlierEra(ctx context.Context, era ids.Era, ttl time.Duration) (wait time.Duration) {
	record, _, err := duty.store.Get(ctx, dutyEraKey)
	if err != nil {
		duty.eventLog.LimitedEvent("duty_era_unknown", "err", err)
	}
	duty.eraSettled = err == nil && string(record.Value) == formatEra(era)
	now := clock.Now()
	if !duty.eraSettled {
		wait = max(duty.learnEra(era)+ttl-now, 0)
	}
	duty.waitUntil.Store(int64(now + wait))
	return wait
}

// settleEra records the era of the token once the wait for earlier leases is over, so that later holders need not wait.
func (duty *duty) settleEra(ctx context.Context) {
	if duty.eraSettled || clock.Now() < time.Duration(duty.waitUntil.Load()) {
		return
	}
	// A store that is slow must not keep this VM from renewing the lease.
	ctx, cancel := context.WithTimeout(ctx, dutyRenewInterval)
	defer cancel()
	record, _, err := duty.store.Get(ctx, dutyEraKey)
	if err == nil {
		era := ids.Revision(duty.token.Load()).Era()
		_, duty.eraSettled, err = duty.store.CompareAndSwap(ctx, dutyEraKey, record.Revision, []byte(formatEra(era)))
	}
	if err != nil {
		duty.eventLog.LimitedEvent("duty_era_unknown", "err", err)
	}
}

func formatEra(era ids.Era) string { return strconv.FormatInt(int64(era), 10) }

// renew renews the lease until it ends.
func (duty *duty) renew(ctx context.Context, lease platform.Lease) {
	for ctx.Err() == nil {
		if duty.awaitRenewal(ctx) {
			break
		}
		sent := clock.Now()
		ttl, err := duty.store.KeepAlive(ctx, lease)
		if err == nil {
			duty.expiresAt.Store(int64(sent + ttl))
			duty.settleEra(ctx)
			continue
		}
		if errors.Is(err, platform.ErrLeaseEnded) || clock.Now() > time.Duration(duty.expiresAt.Load()) {
			duty.expiresAt.Store(0)
			duty.eventLog.Event("duty_lost", "token", duty.token.Load(), "err", err)
			return
		}
	}
	duty.expiresAt.Store(0)
	duty.revoke(context.WithoutCancel(ctx), lease)
}

// awaitRenewal waits until the lease is to be renewed, and reports whether this VM leaves the duty to another one instead.
func (duty *duty) awaitRenewal(ctx context.Context) (handsOver bool) {
	timer := time.NewTimer(dutyRenewInterval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-duty.handOver:
		duty.handedOverAt.Store(int64(clock.Now()))
		duty.eventLog.Event("duty_handed_over", "token", duty.token.Load())
		return true
	}
	return false
}

// sinceHandOver returns the time since this VM last left the duty to another one, or false if it never did.
func (duty *duty) sinceHandOver() (since time.Duration, did bool) {
	at := time.Duration(duty.handedOverAt.Load())
	return clock.Now() - at, at != 0
}

// deferToOthers makes this VM a later candidate for the duty than all others for some seconds.
func (duty *duty) deferToOthers() { duty.handedOverAt.Store(int64(clock.Now())) }

// leave makes this VM leave the duty to another one soon.
func (duty *duty) leave() {
	select {
	case duty.handOver <- struct{}{}:
	default:
	}
}

// revoke ends a lease, and with it a key whose write was not confirmed. If that fails, the lease expires by itself.
func (duty *duty) revoke(ctx context.Context, lease platform.Lease) {
	if err := duty.store.Revoke(ctx, lease); err != nil {
		duty.eventLog.LimitedEvent("lease_not_revoked", "lease", lease, "err", err)
	}
}
