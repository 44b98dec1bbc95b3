package control

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"dotterelgw/core/config"
	"dotterelgw/core/ids"
	"dotterelgw/core/member"
	"dotterelgw/io/platform"
)

const (
	// proposeTimeout bounds a proposal, including the wait for a majority.
	proposeTimeout = 5 * time.Second
	// callTimeout bounds one call to the service. After a timeout the key is read back.
	callTimeout = time.Second
	// readBackInterval is the delay between attempts to find out the outcome of a compare-and-swap.
	readBackInterval = 100 * time.Millisecond
	// acknowledgeInterval is the delay between rounds of heartbeats until a majority holds a change.
	acknowledgeInterval = 50 * time.Millisecond
	// catchUpAfter is the time after which a proposing VM reads all entries from the service, because no relay has sent
	// it the entries that precede its own change.
	catchUpAfter = 500 * time.Millisecond
)

// Propose implements Control.Propose.
func (controller *Controller) Propose(ctx context.Context, key string, expected ids.Revision, value []byte) (ids.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, controller.clock.realTime(proposeTimeout))
	defer cancel()
	if !controller.majorityReachable(ctx) {
		return 0, fmt.Errorf("propose %s: not stored: %w", key, ErrNoMajority)
	}
	revision, err := controller.compareAndSwap(ctx, key, expected, value)
	if err != nil {
		return 0, fmt.Errorf("propose %s: %w", key, err)
	}
	controller.mutex.Lock()
	entry := config.Entry{Key: key, Value: slices.Clone(value), Revision: revision}
	changed, applied := controller.entries.ApplyOutOfOrder(entry)
	if applied && changed == nil {
		// An entry before this one is still missing. The contract takes effect here at once, while OnChange functions
		// get the entry after its predecessors.
		controller.publishContracts([]config.Entry{entry})
	}
	controller.publish(changed)
	controller.mutex.Unlock()
	if !controller.waitAcknowledged(ctx, revision) {
		return revision, fmt.Errorf("propose %s: stored at revision %d: %w", key, revision, ErrNoMajority)
	}
	return revision, nil
}

// majorityReachable reports whether more than half of the VMs answer this VM. It sends heartbeats to all of them unless
// recent answers suffice.
func (controller *Controller) majorityReachable(ctx context.Context) bool {
	reachable := func() bool { return controller.tracker.HasMajority(controller.clock.now()) }
	controller.mutex.Lock()
	enough, others := reachable(), controller.others()
	controller.mutex.Unlock()
	if enough {
		return true
	}
	controller.exchangeWithAll(ctx, others, reachable)
	controller.mutex.Lock()
	defer controller.mutex.Unlock()
	return reachable()
}

// compareAndSwap stores the value. If the answer is lost, it reads the key back:
//   - The proposed value at a newer revision means success.
//   - The expected revision means that the attempt may still take effect. The same compare-and-swap is repeated, of
//     which at most one attempt can succeed.
//   - Anything else may be a success that was overwritten, so the outcome is unknown.
func (controller *Controller) compareAndSwap(ctx context.Context, key string, expected ids.Revision, value []byte) (ids.Revision, error) {
	answerLost := false
	for {
		call, cancel := context.WithTimeout(ctx, controller.clock.realTime(callTimeout))
		revision, swapped, err := controller.store.CompareAndSwap(call, key, expected, value)
		cancel()
		if err == nil && swapped {
			return revision, nil
		}
		if err != nil && !errors.Is(err, platform.ErrOutcomeUnknown) && !answerLost {
			return 0, fmt.Errorf("not stored: %w", err)
		}
		answerLost = answerLost || err != nil
		call, cancel = context.WithTimeout(ctx, controller.clock.realTime(callTimeout))
		current, found, readErr := controller.store.Get(call, key)
		cancel()
		switch {
		case readErr == nil && found && current.Revision > expected && bytes.Equal(current.Value, value):
			return current.Revision, nil
		case readErr == nil && current.Revision != expected && !answerLost:
			return 0, &ConflictError{Key: key, Expected: expected, Current: current}
		case readErr == nil && current.Revision != expected:
			return 0, fmt.Errorf("%w: revision %d holds another value", ErrUnknownOutcome, current.Revision)
		}
		select {
		case <-time.After(controller.clock.realTime(readBackInterval)):
		case <-ctx.Done():
			return 0, fmt.Errorf("%w: %w", ErrUnknownOutcome, errors.Join(err, readErr, ctx.Err()))
		}
	}
}

// waitAcknowledged waits until more than half of the VMs have confirmed that they hold the revision. It returns false
// if the context ends first.
func (controller *Controller) waitAcknowledged(ctx context.Context, revision ids.Revision) bool {
	accepted := func() bool {
		return controller.tracker.Accepted(revision, controller.entries.Revision(), controller.clock.now())
	}
	started, caughtUp := controller.clock.now(), false
	for {
		controller.mutex.Lock()
		done, others := accepted(), controller.others()
		behind := controller.entries.Revision() < revision
		controller.mutex.Unlock()
		if done {
			return true
		}
		if behind && !caughtUp && controller.clock.now()-started > catchUpAfter {
			caughtUp = true
			controller.catchUp(ctx)
		}
		controller.exchangeWithAll(ctx, others, accepted)
		controller.mutex.Lock()
		done = accepted()
		controller.mutex.Unlock()
		if done {
			return true
		}
		select {
		case <-time.After(controller.clock.realTime(acknowledgeInterval)):
		case <-ctx.Done():
			return false
		}
	}
}

// catchUp reads all entries from the service and applies them.
func (controller *Controller) catchUp(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, controller.clock.realTime(callTimeout))
	defer cancel()
	sent := controller.clock.now()
	entries, revision, err := controller.store.List(ctx, config.Prefix)
	if err != nil {
		_ = controller.logger.Log("msg", "listing entries from the key-value service failed", "err", err)
		return
	}
	controller.mutex.Lock()
	defer controller.mutex.Unlock()
	changed := controller.entries.ApplyComplete(entries, revision)
	controller.serviceConfirmed = controller.clock.now()
	controller.tracker.ConfirmService(sent)
	controller.publish(changed)
}

// UnconfirmedVMs implements Control.UnconfirmedVMs. VMs that do not answer count as missing, since nothing confirms that they
// hold the revision. A partitioned VM stops admitting within the admission limit in any case.
func (controller *Controller) UnconfirmedVMs(ctx context.Context, revision ids.Revision) ([]ids.VMID, error) {
	var others []member.Member
	missing := func() []ids.VMID {
		var missing []ids.VMID
		for _, vm := range controller.view.Listed() {
			held := controller.entries.Revision()
			if vm.ID != controller.self.ID {
				held = controller.stateOf(vm.ID).revision
			}
			if held < revision {
				missing = append(missing, vm.ID)
			}
		}
		return missing
	}
	controller.mutex.Lock()
	for _, vm := range controller.others() {
		if controller.stateOf(vm.ID).revision < revision {
			others = append(others, vm)
		}
	}
	controller.mutex.Unlock()
	controller.exchangeWithAll(ctx, others, func() bool { return len(missing()) == 0 })
	controller.mutex.Lock()
	defer controller.mutex.Unlock()
	names := missing()
	if len(names) > 0 && ctx.Err() != nil {
		return names, fmt.Errorf("revision %d in force: %w", revision, ctx.Err())
	}
	return names, nil
}
