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

// WithLogin sets the identity of the control connections.
func WithLogin(login Login) Option { return func(groups *Groups) { groups.login = login } }

// WithDial replaces the function that opens TCP connections.
func WithDial(dial func(ctx context.Context, address string) (net.Conn, error)) Option {
	return func(groups *Groups) { groups.dial = dial }
}

// WithBusy sets the function that returns the number of this VM's busy connections to a server.
func WithBusy(busy func(ids.BackendServerID) int) Option {
	return func(groups *Groups) { groups.busy = busy }
}

// WithClock replaces the clock that gives the time since process start.
func WithClock(now func() time.Duration) Option { return func(groups *Groups) { groups.now = now } }

// WithLogger sets the logger.
func WithLogger(logger log.Logger) Option { return func(groups *Groups) { groups.logger = logger } }

// WithDeadlines replaces the deadlines of Barrier and Confirm.
func WithDeadlines(barrier, confirm time.Duration) Option {
	return func(groups *Groups) { groups.barrierDeadline, groups.confirmDeadline = barrier, confirm }
}

// WithUnusedAfter replaces the time after which the status polling of an unused group stops.
func WithUnusedAfter(unused time.Duration) Option {
	return func(groups *Groups) { groups.unusedAfter = unused }
}
