package suite

import (
	"context"
	"errors"
	"fmt"
	"time"
)

const (
	shareDuration = 12 * time.Second
	shareWarmup   = 2 * time.Second
)

// replicaShares measures the share of reads that replicas serve at several lags, and the same load with every statement
// sent to the primary.
func (suite *Suite) replicaShares(ctx context.Context, table table) error {
	var failed []error
	for _, at := range []struct {
		lagMS  int
		target float64
	}{{0, 0.95}, {50, 0.9}, {500, 0.6}} {
		for _, access := range []string{"auto", "read_write"} {
			if err := suite.replicaShare(ctx, table, at.lagMS, access, at.target); err != nil {
				failed = append(failed, fmt.Errorf("lag %d ms, %s: %w", at.lagMS, access, err))
			}
		}
	}
	return errors.Join(failed...)
}

func (suite *Suite) replicaShare(ctx context.Context, table table, lagMS int, access string, target float64) error {
	described, err := load("seixal", shareDuration, shareWarmup)
	if err != nil {
		return err
	}
	described.Fleet.LagMS = lagMS
	for index := range described.Organisations {
		described.Organisations[index].Contract.Access = access
	}
	measured, recorded, err := suite.play(ctx, described)
	if err != nil {
		return err
	}
	table.experiment = fmt.Sprintf("lag %d ms", lagMS)
	if access == "auto" {
		addShare(table, "reads served by replicas", target, measured)
	} else {
		table.experiment += ", primary only"
		table.note("reads served by replicas", percent(measured.Replica.Share))
	}
	table.note("read latency p50 / p99", latency(measured.Total.Reads))
	table.note("write latency p50 / p99", latency(measured.Total.Writes))
	table.violate(broken(measured, recorded))
	return nil
}
