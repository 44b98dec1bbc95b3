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
	// proposeTimeout bounds a proposal whose context has no deadline.
	proposeTimeout = 5 * time.Second
	// callTimeout bounds one call to the service; a lost answer is settled by asking again.
	callTimeout = time.Second
	// settlePause is the pause before the next attempt to settle a lost answer.
	settlePause = 100 * time.Millisecond
	// acknowledgePause is the pause between rounds of questions until a majority holds a change.
	acknowledgePause = 50 * time.Millisecond
	// catchUpAfter is the time after which a proposing VM reads the service itself, because no relay has sent it the
	// entries before its own change.
	catchUpAfter = 500 * time.Millisecond
)

// Propose implements Control.Propose.
func (controller *Controller) Propose(ctx context.Context, key string, expected ids.Revision, value []byte) (ids.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, controller.clock.real(proposeTimeout))
	defer cancel()
	if !controller.hearsMajority(ctx) {
		return 0, fmt.Errorf("propose %s: not stored: %w", key, ErrNoMajority)
	}
	revision, err := controller.swap(ctx, key, expected, value)
	if err != nil {
		return 0, fmt.Errorf("propose %s: %w", key, err)
	}
	controller.mutex.Lock()
	entry := config.Entry{Key: key, Value: slices.Clone(value), Revision: revision}
	changed, applied := controller.entries.ApplyAhead(entry)
	if applied && changed == nil {
		// The entry counts at once here, but OnChange gets it with its predecessors.
		controller.publishContracts([]config.Entry{entry})
	}
	controller.publish(changed)
	controller.mutex.Unlock()
	if !controller.acknowledged(ctx, revision) {
		return revision, fmt.Errorf("propose %s: stored at revision %d: %w", key, revision, ErrNoMajority)
	}
	return revision, nil
}

// hearsMajority states whether this VM hears more than half of the VMs, asking them if it has not lately.
func (controller *Controller) hearsMajority(ctx context.Context) bool {
	heard := func() bool { return controller.freshness.HearsMajority(controller.clock.now()) }
	controller.mutex.Lock()
	enough, others := heard(), controller.others()
	controller.mutex.Unlock()
	if enough {
		return true
	}
	controller.askAll(ctx, others, heard)
	controller.mutex.Lock()
	defer controller.mutex.Unlock()
	return heard()
}

// swap stores the value. After a lost answer it reads the key back: the proposed value at a newer revision is success;
// the expected revision means that the attempt may still take effect, so the same swap is tried again, which at most
// one attempt can win; anything else cannot be told from an overwritten success.
func (controller *Controller) swap(ctx context.Context, key string, expected ids.Revision, value []byte) (ids.Revision, error) {
	lost := false
	for {
		call, cancel := context.WithTimeout(ctx, controller.clock.real(callTimeout))
		revision, swapped, err := controller.store.CompareAndSwap(call, key, expected, value)
		cancel()
		if err == nil && swapped {
			return revision, nil
		}
		if err != nil && !errors.Is(err, platform.ErrOutcomeUnknown) && !lost {
			return 0, fmt.Errorf("not stored: %w", err)
		}
		lost = lost || err != nil
		call, cancel = context.WithTimeout(ctx, controller.clock.real(callTimeout))
		current, found, readErr := controller.store.Get(call, key)
		cancel()
		switch {
		case readErr == nil && found && current.Revision > expected && bytes.Equal(current.Value, value):
			return current.Revision, nil
		case readErr == nil && current.Revision != expected && !lost:
			return 0, &ConflictError{Key: key, Expected: expected, Current: current}
		case readErr == nil && current.Revision != expected:
			return 0, fmt.Errorf("%w: revision %d holds another value", ErrUnknownOutcome, current.Revision)
		}
		select {
		case <-time.After(controller.clock.real(settlePause)):
		case <-ctx.Done():
			return 0, fmt.Errorf("%w: %w", ErrUnknownOutcome, errors.Join(err, readErr, ctx.Err()))
		}
	}
}

// acknowledged waits until more than half of the VMs have shown that they hold the revision.
func (controller *Controller) acknowledged(ctx context.Context, revision ids.Revision) bool {
	accepted := func() bool {
		return controller.freshness.Accepted(revision, controller.entries.Revision(), controller.clock.now())
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
		controller.askAll(ctx, others, accepted)
		controller.mutex.Lock()
		done = accepted()
		controller.mutex.Unlock()
		if done {
			return true
		}
		select {
		case <-time.After(controller.clock.real(acknowledgePause)):
		case <-ctx.Done():
			return false
		}
	}
}

// catchUp reads all entries from the service.
func (controller *Controller) catchUp(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, controller.clock.real(callTimeout))
	defer cancel()
	sent := controller.clock.now()
	entries, revision, err := controller.store.List(ctx, config.Prefix)
	if err != nil {
		_ = controller.logger.Log("msg", "service does not list entries", "err", err)
		return
	}
	controller.mutex.Lock()
	defer controller.mutex.Unlock()
	changed := controller.entries.ApplyComplete(entries, revision)
	controller.answered = controller.clock.now()
	controller.freshness.ConfirmService(sent)
	controller.publish(changed)
}

// InForce implements Control.InForce. VMs that do not answer are named, since nothing shows that they have the revision;
// a VM that is cut off stops admitting within the admission limit all the same.
func (controller *Controller) InForce(ctx context.Context, revision ids.Revision) ([]ids.VMID, error) {
	var others []member.Member
	missing := func() []ids.VMID {
		var missing []ids.VMID
		for _, vm := range controller.view.Listed() {
			held := controller.entries.Revision()
			if vm.ID != controller.self.ID {
				held = controller.peer(vm.ID).revision
			}
			if held < revision {
				missing = append(missing, vm.ID)
			}
		}
		return missing
	}
	controller.mutex.Lock()
	for _, vm := range controller.others() {
		if controller.peer(vm.ID).revision < revision {
			others = append(others, vm)
		}
	}
	controller.mutex.Unlock()
	controller.askAll(ctx, others, func() bool { return len(missing()) == 0 })
	controller.mutex.Lock()
	defer controller.mutex.Unlock()
	names := missing()
	if len(names) > 0 && ctx.Err() != nil {
		return names, fmt.Errorf("revision %d in force: %w", revision, ctx.Err())
	}
	return names, nil
}
