package gateway

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"dotterelgw/core/chart"
	"dotterelgw/core/config"
)

const (
	// shutdownTimeout bounds the end of the administration API.
	shutdownTimeout = 2 * time.Second
)

// Run serves until the context ends or a drain is complete.
func (gateway *Gateway) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	gateway.controller.OnChange(gateway.apply)
	var running sync.WaitGroup
	failures := make(chan error, 8)
	start := func(name string, run func() error) {
		running.Go(func() {
			if err := run(); err != nil && ctx.Err() == nil && !errors.Is(err, net.ErrClosed) {
				failures <- fmt.Errorf("%s: %w", name, err)
			}
		})
	}
	// The parts outlive the drain: sessions that finish still need configuration, limits and group states.
	parts, stopParts := context.WithCancel(context.WithoutCancel(ctx))
	defer stopParts()
	start("control", func() error { return gateway.controller.Run(parts) })
	start("limiter", func() error { return gateway.limiter.Run(parts) })
	start("orderer", func() error { return gateway.orderer.Run(parts) })
	start("servers", func() error { return gateway.servers.run(parts) })
	start("peers", func() error { return gateway.peers.Serve(gateway.listeners.peer) })
	start("admin", func() error { return gateway.admin.Serve(gateway.listeners.admin) })
	start("frontend", func() error { return gateway.frontend.Serve(gateway.listeners.caller) })

	var failure error
	select {
	case <-ctx.Done():
		gateway.Drain()
	case <-gateway.drain:
	case failure = <-failures:
		gateway.Drain()
	}
	gateway.stop()
	stopParts()
	running.Wait()
	return failure
}

// newLife binds the actions of the process's chart.
func (gateway *Gateway) newLife() (*life, error) {
	return newLife(map[chart.Action]func(){
		actionAnnounceLeaving: func() {
			gateway.controller.Drain()
			close(gateway.drain)
		},
		actionCloseListener:    func() { _ = gateway.listeners.caller.Close() },
		actionEndSessions:      gateway.endSessions,
		actionCloseConnections: gateway.closeConnections,
	})
}

func (gateway *Gateway) fire(event chart.Event) {
	if err := gateway.life.fire(event); err != nil {
		level.Error(gateway.logger).Log("msg", "event not known", "event", event, "err", err)
	}
}

// stop lets the balancer notice, ends the sessions, and closes the connections to other processes.
func (gateway *Gateway) stop() {
	level.Info(gateway.logger).Log("msg", "draining", "sessions", gateway.sessions.Sessions())
	time.Sleep(gateway.settings.Drain.Delay())
	gateway.fire(eventBalancerInformed)
	gateway.fire(eventSessionsEnded)
	level.Info(gateway.logger).Log("msg", "stopped")
}

// endSessions waits for the sessions during the grace period and cuts the rest.
func (gateway *Gateway) endSessions() {
	grace, cancel := context.WithTimeout(context.Background(), gateway.settings.Drain.Grace())
	defer cancel()
	if err := gateway.sessions.Drain(grace); err != nil {
		level.Warn(gateway.logger).Log("msg", "sessions were cut", "err", err)
	}
}

func (gateway *Gateway) closeConnections() {
	shutdown, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if err := gateway.admin.Shutdown(shutdown); err != nil {
		level.Warn(gateway.logger).Log("msg", "administration API did not end in time", "err", err)
	}
	gateway.peers.Close()
	gateway.groups.Close()
	gateway.pools.Close()
	_ = gateway.dialer.Close()
	_ = gateway.store.Close()
}

// apply hands a changed configuration entry to the parts that follow it.
func (gateway *Gateway) apply(entry config.Entry) {
	if organisation, ok := config.ContractOf(entry.Key); ok {
		gateway.sessions.Revoke(organisation)
		return
	}
	if _, ok := config.GroupOf(entry.Key); ok {
		record, err := config.Decode[config.GroupRecord](entry)
		if err != nil {
			level.Error(gateway.logger).Log("msg", "group record is malformed", "key", entry.Key, "err", err)
			return
		}
		gateway.groups.Apply(record)
		gateway.orderer.Apply(record)
		gateway.servers.keep(record)
		return
	}
	if group, ok := config.TermOf(entry.Key); ok {
		record, err := config.Decode[config.TermRecord](entry)
		if err != nil {
			level.Error(gateway.logger).Log("msg", "term record is malformed", "key", entry.Key, "err", err)
			return
		}
		gateway.groups.ApplyTerm(group, record)
		gateway.orderer.ApplyTerm(group, record, entry.Revision)
	}
}
