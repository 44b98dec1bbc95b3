package failover

import (
	"time"

	"dotterelgw/core/ids"
)

const (
	// ProbeInterval is the time between two probes of a watcher.
	ProbeInterval = 200 * time.Millisecond
	// ProbeTimeout is the time after which a probe counts as failed.
	ProbeTimeout = 400 * time.Millisecond
	// LostAfter is the silence after which a watcher reports a primary as lost; a stall under 1 s must not promote.
	LostAfter = 1200 * time.Millisecond
	// SuspectAfter is the silence after which a watcher asks the others.
	SuspectAfter = LostAfter * 2 / 3
)

// Evidence is what one watcher last saw of a server.
type Evidence struct {
	// Server names the server.
	Server ids.BackendServerID
	// Silent is the time without an answer, or without an answer as primary of the group's term.
	Silent time.Duration
	// Status is the last answer; the zero value for none.
	Status Status
}

// Watch gathers the evidence of one server from the results of probes.
type Watch struct {
	answered time.Duration
	failures int
	status   Status
}

// NewWatch returns a watch that begins at the time now.
func NewWatch(now time.Duration) Watch { return Watch{answered: now} }

// Answered records an answer received at the time now.
func (watch *Watch) Answered(now time.Duration, status Status) {
	watch.answered, watch.failures, watch.status = now, 0, status
}

// Failed records a probe that was not answered in time.
func (watch *Watch) Failed() { watch.failures++ }

// Evidence returns what the watch shows at the time now. Each failed probe vouches for at most ProbeTimeout of
// silence: a watcher that was paused itself must not report the length of its pause.
func (watch *Watch) Evidence(now time.Duration) Evidence {
	silent := min(now-watch.answered, time.Duration(watch.failures)*ProbeTimeout)
	return Evidence{Server: watch.status.Server, Silent: max(silent, 0), Status: watch.status}
}
