package monitor

import (
	"context"
	"errors"
	"fmt"
	"syscall"
	"time"

	"dotterelgw/core/catalog"
	"dotterelgw/core/leader"
	"dotterelgw/core/statement"
	"dotterelgw/io/dbpool"
)

var (
	// ErrEnded reports that another server answers at the address of a process.
	ErrEnded = errors.New("another server is at the address of the process")
	// ErrRefused reports that connections to the address of a process are refused: nobody listens there, or the network says so.
	ErrRefused = errors.New("connections to the address of the process are refused")
)

// UnlistedServer is a server process without a registration. It gets control statements only.
type UnlistedServer struct {
	monitor *Monitor
	info    catalog.Server
	pool    *dbpool.Pool
}

// NewUnlistedServer returns the process that the registration described while there was one.
func (monitor *Monitor) NewUnlistedServer(info catalog.Server) *UnlistedServer {
	pool := newControlPool(info, monitor.dialer)
	pool.SetAnswerObserver(monitor.answers)
	return &UnlistedServer{monitor: monitor, info: info, pool: pool}
}

// Close closes the connection to the process.
func (unlisted *UnlistedServer) Close() { unlisted.pool.Close() }

// SendControl sends a control statement to the process. The error wraps ErrEnded, ErrRefused or ErrBusy where that is known.
func (unlisted *UnlistedServer) SendControl(call dbpool.Call) (leader.Status, error) {
	monitor := unlisted.monitor
	ctx, cancel := context.WithTimeout(monitor.ctx, pollTimeout)
	defer cancel()
	conn, err := unlisted.pool.Acquire(ctx, dbpool.Request{Organisation: monitor.anyOrganisation(), Priority: -1, Any: true})
	if err != nil {
		return leader.Status{}, fmt.Errorf("control statement to %s, which is not registered: %w", unlisted.info.ID, classify(err))
	}
	status, code, err := conn.Status(time.Now().Add(pollTimeout), call)
	if err != nil {
		conn.Break()
		conn.Release(statement.FailedTransaction)
		return leader.Status{}, fmt.Errorf("control statement to %s, which is not registered: %w", unlisted.info.ID, err)
	}
	conn.Release(statement.Idle)
	if code != statement.Complete {
		return leader.Status{}, ErrBusy
	}
	return status, nil
}

// classify adds to the failure to open a connection what it shows of the process.
func classify(err error) error {
	var refused *dbpool.RefusedError
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return fmt.Errorf("%w: %w", ErrRefused, err)
	case errors.As(err, &refused) && refused.Code == statement.Misrouted:
		return fmt.Errorf("%w: %w", ErrEnded, err)
	}
	return err
}
