package failover

import (
	"time"

	"dotterelgw/core/ids"
)

const (
	// ProbeInterval is the time between two probes of a server.
	ProbeInterval = 200 * time.Millisecond
	// ProbeTimeout is the time after which a probe counts as failed.
	ProbeTimeout = 400 * time.Millisecond
	// LostAfter is the silence after which a watcher reports a primary as lost. A stall shorter than 1 s must not cause a
	// promotion.
	LostAfter = 1200 * time.Millisecond
	// SuspectAfter is the silence after which a watcher queries the other watchers.
	SuspectAfter = LostAfter * 2 / 3
)

// Evidence is one watcher's last observation of a server.
type Evidence struct {
	// Server identifies the server.
	Server ids.BackendServerID
	// Silent is the time without a response, or for which a primary's replication has stalled if that is longer.
	Silent time.Duration
	// Status is the last response, the zero value if there was none.
	Status Status
}

// ProbeMonitor collects the evidence about one server from the results of probes.
type ProbeMonitor struct {
	answeredAt time.Duration
	failures   int
	status     Status
}

// NewProbeMonitor returns a monitor that starts at the time now.
func NewProbeMonitor(now time.Duration) ProbeMonitor { return ProbeMonitor{answeredAt: now} }

// Answered records a response received at the time now.
func (probeMonitor *ProbeMonitor) Answered(now time.Duration, status Status) {
	probeMonitor.answeredAt, probeMonitor.failures, probeMonitor.status = now, 0, status
}

// Failed records a probe that failed or timed out.
func (probeMonitor *ProbeMonitor) Failed() { probeMonitor.failures++ }

// Evidence returns the evidence at the time now. Each failed probe accounts for at most ProbeTimeout of silence, so that a
// watcher that was itself paused does not report its own pause as silence of the server.
func (probeMonitor *ProbeMonitor) Evidence(now time.Duration) Evidence {
	silent := min(now-probeMonitor.answeredAt, time.Duration(probeMonitor.failures)*ProbeTimeout)
	return Evidence{Server: probeMonitor.status.Server, Silent: max(silent, 0), Status: probeMonitor.status}
}
