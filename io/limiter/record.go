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
	// recordInterval is the time between two comparisons of the share record with the live VMs.
	recordInterval = 500 * time.Millisecond
	// settleTime is how long the set of live VMs must stay the same before the record follows it, so that VMs that
	// start together move shares once. A VM counts as lost only after 2 s without a heartbeat.
	settleTime = time.Second
	// proposeTimeout bounds the write of a record.
	proposeTimeout = 2 * time.Second
)

// recordKeeper remembers since when the live VMs have been what they are.
type recordKeeper struct {
	live  []ids.VMID
	since time.Duration
}

// keepRecord writes a new share record when the live VMs have changed for good. The first live VM does it; a second one
// that does it as well loses the compare-and-swap.
func (limiter *limiter) keepRecord(ctx context.Context) {
	live := limiter.fleet.LiveVMs()
	now := limiter.now()
	if !slices.Equal(live, limiter.records.live) {
		limiter.records = recordKeeper{live: live, since: now}
	}
	if len(live) == 0 || live[0] != limiter.self || !limiter.control.Admitting() {
		return
	}
	entry, found := limiter.control.Entry(config.SharesKey)
	var record limit.Record
	if found {
		if err := json.Unmarshal(entry.Value, &record); err != nil {
			level.Error(limiter.logger).Log("msg", "share record is malformed", "err", err)
		}
	}
	if slices.Equal(record.VMs, live) || now-limiter.records.since < settleTime {
		return
	}
	if err := limiter.writeRecord(ctx, entry.Revision, limit.Record{Epoch: record.Epoch + 1, VMs: live}); err != nil {
		level.Warn(limiter.logger).Log("msg", "share record was not written", "err", err)
	}
}

func (limiter *limiter) writeRecord(ctx context.Context, expected ids.Revision, record limit.Record) error {
	value, err := json.Marshal(record)
	if err != nil {
		return fmt.Errorf("encoding the share record: %w", err)
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	if _, err := limiter.control.Propose(ctx, config.SharesKey, expected, value); err != nil {
		return fmt.Errorf("writing share record %d: %w", record.Epoch, err)
	}
	level.Info(limiter.logger).Log("msg", "share record written", "epoch", record.Epoch, "vms", len(record.VMs))
	return nil
}
