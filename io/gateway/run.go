package gateway

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"dotterelgw/core/config"
	"dotterelgw/core/statemachine"
)

const (
	// shutdownTimeout bounds the shutdown of the administration API.
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
	// The components run until the drain is complete, because the remaining sessions need the configuration, the limits and
	// the group states.
	componentsCtx, cancelComponents := context.WithCancel(context.WithoutCancel(ctx))
	defer cancelComponents()
	start("control", func() error { return gateway.controller.Run(componentsCtx) })
	start("limiter", func() error { return gateway.limiter.Run(componentsCtx) })
	start("orderer", func() error { return gateway.failover.Run(componentsCtx) })
	start("servers", func() error { return gateway.allotter.run(componentsCtx) })
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
	cancelComponents()
	running.Wait()
	return failure
}

// newLifecycle returns the lifecycle of the process with its actions.
func (gateway *Gateway) newLifecycle() (*lifecycle, error) {
	return newLifecycle(map[statemachine.Action]func(){
		actionAnnounceLeaving: func() {
			gateway.controller.Drain()
			close(gateway.drain)
		},
		actionCloseListener:    func() { _ = gateway.listeners.caller.Close() },
		actionEndSessions:      gateway.endSessions,
		actionCloseConnections: gateway.closeConnections,
	})
}

func (gateway *Gateway) fire(event statemachine.Event) {
	if err := gateway.lifecycle.fire(event); err != nil {
		level.Error(gateway.logger).Log("msg", "lifecycle event failed", "event", event, "err", err)
	}
}

// stop waits until the load balancer has noticed the drain, ends the sessions, and closes the connections to other
// processes.
func (gateway *Gateway) stop() {
	level.Info(gateway.logger).Log("msg", "draining", "sessions", gateway.sessions.Sessions())
	time.Sleep(gateway.settings.Drain.Delay())
	gateway.fire(eventBalancerInformed)
	gateway.fire(eventSessionsEnded)
	level.Info(gateway.logger).Log("msg", "stopped")
}

// endSessions waits for the sessions to end within the grace period and closes the remaining ones.
func (gateway *Gateway) endSessions() {
	grace, cancel := context.WithTimeout(context.Background(), gateway.settings.Drain.Grace())
	defer cancel()
	if err := gateway.sessions.Drain(grace); err != nil {
		level.Warn(gateway.logger).Log("msg", "sessions closed after the grace period", "err", err)
	}
}

// closeConnections shuts down the administration API and closes the connections to other processes.
func (gateway *Gateway) closeConnections() {
	shutdown, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if err := gateway.admin.Shutdown(shutdown); err != nil {
		level.Warn(gateway.logger).Log("msg", "shutting down the administration API failed", "err", err)
	}
	gateway.peers.Close()
	gateway.groups.Close()
	gateway.pools.Close()
	_ = gateway.dialer.Close()
	_ = gateway.store.Close()
}

// apply passes a changed configuration entry to the components that depend on it.
func (gateway *Gateway) apply(entry config.Entry) {
	if organisation, ok := config.ParseContractKey(entry.Key); ok {
		gateway.sessions.RecheckContracts(organisation)
		return
	}
	if _, ok := config.ParseGroupKey(entry.Key); ok {
		record, err := config.Decode[config.GroupRecord](entry)
		if err != nil {
			level.Error(gateway.logger).Log("msg", "invalid group record", "key", entry.Key, "err", err)
			return
		}
		gateway.groups.Apply(record)
		gateway.failover.Apply(record)
		gateway.allotter.setRecord(record)
		return
	}
	if group, ok := config.ParseTermKey(entry.Key); ok {
		record, err := config.Decode[config.TermRecord](entry)
		if err != nil {
			level.Error(gateway.logger).Log("msg", "invalid term record", "key", entry.Key, "err", err)
			return
		}
		gateway.groups.ApplyTerm(group, record)
		gateway.failover.ApplyTerm(group, record, entry.Revision)
	}
}
