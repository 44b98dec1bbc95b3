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

// replicaShares measures the share of reads served by replicas at several replay lags. For comparison it runs the same load
// with all statements on the primary.
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
	spec, err := loadProfile("seixal", shareDuration, shareWarmup)
	if err != nil {
		return err
	}
	spec.Fleet.LagMS = lagMS
	for index := range spec.Organisations {
		spec.Organisations[index].Contract.Access = access
	}
	measured, recorded, err := suite.runOnNewFleet(ctx, spec)
	if err != nil {
		return err
	}
	table.experiment = fmt.Sprintf("lag %d ms", lagMS)
	if access == "auto" {
		addReplicaShare(table, "reads served by replicas", target, measured)
	} else {
		table.experiment += ", primary only"
		table.addInfo("reads served by replicas", formatPercent(measured.Replica.Share))
	}
	table.addInfo("read latency p50 / p99", formatLatency(measured.Total.Reads))
	table.addInfo("write latency p50 / p99", formatLatency(measured.Total.Writes))
	table.addViolations(brokenGuarantees(measured, recorded))
	return nil
}
