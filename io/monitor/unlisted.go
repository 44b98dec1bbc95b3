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

// ErrEnded reports that nothing of a process is left at its address: nobody listens there, or another server does.
var ErrEnded = errors.New("nothing of the process is left at its address")

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

// SendControl sends a control statement to the process. The error wraps ErrEnded if the process has ended.
func (unlisted *UnlistedServer) SendControl(call dbpool.Call) (leader.Status, error) {
	monitor := unlisted.monitor
	ctx, cancel := context.WithTimeout(monitor.ctx, pollTimeout)
	defer cancel()
	conn, err := unlisted.pool.Acquire(ctx, dbpool.Request{Organisation: monitor.anyOrganisation(), Priority: -1, Any: true})
	if err != nil {
		if showsEnd(err) {
			return leader.Status{}, fmt.Errorf("%s: %w: %w", unlisted.info.ID, ErrEnded, err)
		}
		return leader.Status{}, fmt.Errorf("control statement to %s, which is not registered: %w", unlisted.info.ID, err)
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

// showsEnd reports whether the failure to open a connection shows that the process has ended.
func showsEnd(err error) bool {
	var refused *dbpool.RefusedError
	return errors.Is(err, syscall.ECONNREFUSED) || errors.As(err, &refused) && refused.Code == statement.Misrouted
}
