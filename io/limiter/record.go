package limiter

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"dotterelgw/core/config"
	"dotterelgw/core/ids"
	"dotterelgw/core/limit"
)

const (
	// recordInterval is the interval at which the share record is compared with the live VMs.
	recordInterval = 500 * time.Millisecond
	// stablePeriod is how long the set of live VMs must stay unchanged before the record is updated, so that VMs that
	// start together cause one change of shares. A VM counts as lost only after 2 s without a heartbeat.
	stablePeriod = time.Second
	// proposeTimeout bounds writing a record.
	proposeTimeout = 2 * time.Second
)

// membership is a set of live VMs and the time since which it has been unchanged.
type membership struct {
	live  []ids.VMID
	since time.Duration
}

// updateRecord writes a new share record when the set of live VMs has changed for stablePeriod. Only the first live VM
// does so. If two VMs consider themselves the first, one of them loses the compare-and-swap.
func (limiter *limiter) updateRecord(ctx context.Context) {
	live := limiter.fleet.LiveVMs()
	now := limiter.now()
	if !slices.Equal(live, limiter.lastMembership.live) {
		limiter.lastMembership = membership{live: live, since: now}
	}
	if len(live) == 0 || live[0] != limiter.self || !limiter.control.Admitting() {
		return
	}
	entry, found := limiter.control.Entry(config.SharesKey)
	var shareRecord limit.ShareRecord
	if found {
		if err := json.Unmarshal(entry.Value, &shareRecord); err != nil {
			level.Error(limiter.logger).Log("msg", "share record is malformed", "err", err)
		}
	}
	if slices.Equal(shareRecord.VMs, live) || now-limiter.lastMembership.since < stablePeriod {
		return
	}
	if err := limiter.writeRecord(ctx, entry.Revision, limit.ShareRecord{Epoch: shareRecord.Epoch + 1, VMs: live}); err != nil {
		level.Warn(limiter.logger).Log("msg", "writing the share record failed", "err", err)
	}
}

func (limiter *limiter) writeRecord(ctx context.Context, expected ids.Revision, shareRecord limit.ShareRecord) error {
	value, err := json.Marshal(shareRecord)
	if err != nil {
		return fmt.Errorf("encode share record: %w", err)
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	if _, err := limiter.control.Propose(ctx, config.SharesKey, expected, value); err != nil {
		return fmt.Errorf("write share record of epoch %d: %w", shareRecord.Epoch, err)
	}
	level.Info(limiter.logger).Log("msg", "share record written", "epoch", shareRecord.Epoch, "vms", len(shareRecord.VMs))
	return nil
}
