package group

import (
	"context"
	"time"

	"dotterelgw/core/failover"
)

const (
	// minPollInterval is the time between status requests while this VM uses the group. The interval grows with the time
	// since the last use, up to maxPollInterval. Otherwise status requests would load the servers of a fleet in which
	// every VM uses many groups occasionally.
	minPollInterval = 100 * time.Millisecond
	maxPollInterval = time.Second
	// barrierRetryInterval and failureRetryInterval limit the load of repeated status requests while callers wait.
	barrierRetryInterval = 20 * time.Millisecond
	failureRetryInterval = 20 * time.Millisecond
	// minConfirmBackoff is the minimum pause before a replica that has not received a write is polled again, about a
	// round trip between availability zones. It doubles up to maxConfirmBackoff.
	minConfirmBackoff = 200 * time.Microsecond
	maxConfirmBackoff = 4 * time.Millisecond
)

// triggerPoll makes the poller send a status request as soon as the one in flight has completed.
func (server *server) triggerPoll() {
	select {
	case server.wake <- struct{}{}:
	default:
	}
}

// poll sends the status requests of one server, one at a time.
func (group *group) poll(ctx context.Context, server *server) {
	defer group.groups.pollers.Done()
	var connection *connection
	defer func() { connection.close() }()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-server.wake:
		case <-timer.C:
		}
		sample := group.newSample()
		var err error
		connection, err = group.probe(ctx, connection, server, sample)
		if ctx.Err() != nil {
			return
		}
		timer.Reset(group.recordResult(server, sample, err))
	}
}

// newSample assigns the sequence number and the time of a status request that is about to be sent.
func (group *group) newSample() *sample {
	group.mutex.Lock()
	defer group.mutex.Unlock()
	group.sequence++
	group.groups.counters.requests.Inc(1)
	return &sample{sequence: group.sequence, sent: group.groups.now()}
}

// probe sends one status request over the open connection, or over a new one if open is nil. It returns the connection
// to use next, nil after an error.
func (group *group) probe(ctx context.Context, open *connection, server *server, sample *sample) (*connection, error) {
	ctx, cancel := context.WithTimeout(ctx, failover.ProbeTimeout)
	defer cancel()
	var err error
	if open == nil {
		if open, err = group.groups.login.connect(ctx, group.groups.dial, server.record.Address); err != nil {
			return nil, err
		}
	}
	if sample.status, err = open.queryStatus(ctx); err != nil {
		open.close()
		return nil, err
	}
	return open, nil
}

// recordResult processes the result of a status request and returns the delay until the next one.
func (group *group) recordResult(server *server, sample *sample, err error) time.Duration {
	group.mutex.Lock()
	defer group.mutex.Unlock()
	now := group.groups.now()
	group.useRecorded.Store(false)
	if err != nil {
		if server.reachable || server.sample == nil {
			_ = group.groups.logger.Log("msg", "status request failed", "group", group.record.Group, "server", server.record.ID, "err", err)
		}
		server.reachable = false
		server.monitor.Failed()
		group.groups.counters.failures.Inc(1)
	} else {
		sample.status.Server = server.record.ID
		server.reachable = true
		if sample.status.Leaving && !server.leaving() {
			server.leavingSince = now
		}
		server.sample = sample
		server.monitor.Answered(now, sample.status)
		if sample.status.AcceptsWrites() {
			group.history.addPending(sample)
		}
	}
	var answering []failover.Status
	for _, one := range group.servers {
		if one.reachable && one.sample != nil {
			answering = append(answering, one.sample.status)
		}
	}
	group.replicationMonitor.Observe(now, len(group.servers), answering)
	group.evaluateLocked()
	return group.nextPollLocked(server, now-sample.sent, now, err)
}

// nextPollLocked returns the delay until the next status request to the server. It stops the polling if nothing needs
// the group any more.
func (group *group) nextPollLocked(server *server, elapsed, now time.Duration, err error) time.Duration {
	idle := now - group.lastUse
	waiting := len(group.barriers)+len(group.writes) > 0
	if idle >= group.groups.idleTimeout && !group.watched && !waiting {
		group.stopLocked()
		return 0
	}
	switch {
	case waiting && err != nil:
		return failureRetryInterval
	case len(group.writes) > 0:
		server.confirmBackoff = min(max(2*server.confirmBackoff, minConfirmBackoff), maxConfirmBackoff)
		return server.confirmBackoff
	case waiting:
		return barrierRetryInterval
	}
	interval := min(max(idle, minPollInterval), maxPollInterval)
	if group.watched {
		interval = min(interval, failover.ProbeInterval)
	}
	return max(interval-elapsed, 0)
}
