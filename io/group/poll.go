package group

import (
	"context"
	"time"

	"dotterelgw/core/failover"
)

const (
	// usedInterval is the time between status requests while this VM uses the group. It grows with the time since the
	// last use, up to idleInterval: a fleet in which every VM uses many groups now and then would otherwise spend its
	// servers' time on status requests.
	usedInterval = 100 * time.Millisecond
	idleInterval = time.Second
	// barrierRetry and failedRetry keep repeated requests for those that wait from using up the servers.
	barrierRetry = 20 * time.Millisecond
	failedRetry  = 20 * time.Millisecond
	// confirmPause is the least pause before a replica that had not received a write is asked again; it doubles up to
	// confirmPauseMax. The first value is near a round trip between zones.
	confirmPause    = 200 * time.Microsecond
	confirmPauseMax = 4 * time.Millisecond
)

// poke makes the poller send a status request as soon as the one in flight has ended.
func (server *server) poke() {
	select {
	case server.wake <- struct{}{}:
	default:
	}
}

// poll sends the status requests of one server, one at a time.
func (group *group) poll(ctx context.Context, server *server) {
	defer group.groups.running.Done()
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
		sample := group.begin()
		var err error
		connection, err = group.probe(ctx, connection, server, sample)
		if ctx.Err() != nil {
			return
		}
		timer.Reset(group.sampled(server, sample, err))
	}
}

// begin numbers a status request that is about to be sent.
func (group *group) begin() *sample {
	group.mutex.Lock()
	defer group.mutex.Unlock()
	group.asked++
	group.groups.counters.requests.Inc(1)
	return &sample{asked: group.asked, sent: group.groups.now()}
}

// probe sends one status request, on a new connection if the last one failed.
func (group *group) probe(ctx context.Context, open *connection, server *server, sample *sample) (*connection, error) {
	ctx, cancel := context.WithTimeout(ctx, failover.ProbeTimeout)
	defer cancel()
	var err error
	if open == nil {
		if open, err = group.groups.login.connect(ctx, group.groups.dial, server.record.Address); err != nil {
			return nil, err
		}
	}
	if sample.status, err = open.status(ctx); err != nil {
		open.close()
		return nil, err
	}
	return open, nil
}

// sampled takes in the result of a status request and returns the pause until the next one.
func (group *group) sampled(server *server, sample *sample, err error) time.Duration {
	group.mutex.Lock()
	defer group.mutex.Unlock()
	now := group.groups.now()
	group.used.Store(false)
	if err != nil {
		if server.reachable || server.sample == nil {
			_ = group.groups.logger.Log("msg", "no status", "group", group.record.Group, "server", server.record.ID, "err", err)
		}
		server.reachable = false
		server.watch.Failed()
		group.groups.counters.failures.Inc(1)
	} else {
		sample.status.Server = server.record.ID
		server.reachable = true
		if sample.status.Leaving && !server.leaving() {
			server.leftAt = now
		}
		server.sample = sample
		server.watch.Answered(now, sample.status)
		if sample.status.Accepts() {
			group.ages.sampled(sample)
		}
	}
	var answering []failover.Status
	for _, one := range group.servers {
		if one.reachable && one.sample != nil {
			answering = append(answering, one.sample.status)
		}
	}
	group.replication.Observe(now, len(group.servers), answering)
	group.evaluateLocked()
	return group.pauseLocked(server, now-sample.sent, now, err)
}

// pauseLocked returns the time until the next status request to the server.
func (group *group) pauseLocked(server *server, elapsed, now time.Duration, err error) time.Duration {
	idle := now - group.lastUse
	waiting := len(group.barriers)+len(group.writes) > 0
	if idle >= group.groups.unusedAfter && !group.watched && !waiting {
		group.stopLocked()
		return 0
	}
	switch {
	case waiting && err != nil:
		return failedRetry
	case len(group.writes) > 0:
		server.pause = min(max(2*server.pause, confirmPause), confirmPauseMax)
		return server.pause
	case waiting:
		return barrierRetry
	}
	interval := min(max(idle, usedInterval), idleInterval)
	if group.watched {
		interval = min(interval, failover.ProbeInterval)
	}
	return max(interval-elapsed, 0)
}
