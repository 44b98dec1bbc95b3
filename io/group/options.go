package group

import (
	"context"
	"net"
	"time"

	"github.com/go-kit/log"

	"dotterelgw/core/ids"
)

type dialFunc func(ctx context.Context, address string) (net.Conn, error)

// Option changes the defaults of New.
type Option func(*Groups)

// WithLogin sets the credentials of the control connections.
func WithLogin(login Login) Option { return func(groups *Groups) { groups.login = login } }

// WithDial replaces the function that opens TCP connections.
func WithDial(dial func(ctx context.Context, address string) (net.Conn, error)) Option {
	return func(groups *Groups) { groups.dial = dial }
}

// WithBusyConnections sets the function that returns the number of this VM's busy connections to a server.
func WithBusyConnections(busyConnections func(ids.BackendServerID) int) Option {
	return func(groups *Groups) { groups.busyConnections = busyConnections }
}

// WithClock replaces the clock, which returns the time since process start.
func WithClock(now func() time.Duration) Option { return func(groups *Groups) { groups.now = now } }

// WithLogger sets the logger.
func WithLogger(logger log.Logger) Option { return func(groups *Groups) { groups.logger = logger } }

// WithTimeouts replaces the timeouts of Barrier and Confirm.
func WithTimeouts(barrier, confirm time.Duration) Option {
	return func(groups *Groups) { groups.barrierTimeout, groups.confirmTimeout = barrier, confirm }
}

// WithIdleTimeout replaces the time after which an unused group is no longer polled.
func WithIdleTimeout(timeout time.Duration) Option {
	return func(groups *Groups) { groups.idleTimeout = timeout }
}
