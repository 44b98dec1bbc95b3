package proxy

import (
	"errors"
	"time"

	"dotterelgw/core/statement"
	"dotterelgw/io/dbpool"
	"dotterelgw/io/monitor"
)

// isNotRun reports whether the error guarantees that a statement was not sent to its server.
func isNotRun(err error) bool {
	var notRun *dbpool.NotRunError
	return errors.As(err, &notRun)
}

// lacksSlot reports whether a home did not run a statement since the server has no room for it.
func lacksSlot(err error) bool {
	return isNotRun(err) && (errors.Is(err, dbpool.ErrQueueFull) || errors.Is(err, dbpool.ErrAcquireTimeout))
}

// recordLoss records that a statement got no answer. The loss of the VM to which it was handed over, memory that this VM lacks, or an answer
// to another call says nothing about whether the server can be reached.
func recordLoss(server *monitor.Server, sentAt time.Duration, err error) {
	if errors.Is(err, dbpool.ErrHomeLost) || errors.Is(err, dbpool.ErrNoMemory) || errors.Is(err, dbpool.ErrUnmatched) || isNotRun(err) {
		server.Abandoned()
		return
	}
	server.Failed(sentAt)
}

// handleNotRun prepares the next attempt after a statement was not sent to its server. It returns a refusal if there is none.
func (session *session) handleNotRun(operation *operation, attempts *attempts, target target, err error) *refused {
	if errors.Is(err, dbpool.ErrUnusable) {
		target.server.ConnectionUnusable()
	} else {
		target.server.Abandoned()
	}
	target.conn.Release(statement.FailedTransaction)
	if errors.Is(err, dbpool.ErrSetUpRefused) {
		session.server.EventLog.LimitedEvent("set_up_refused", "server", target.server.ID(), "organisation", session.organisation,
			"attempt", attempts.count, "err", err)
	}
	switch {
	case errors.Is(err, dbpool.ErrHomeUnavailable):
		// The next attempt takes another home or a connection of this VM.
		return nil
	case errors.Is(err, dbpool.ErrUnusable):
		// The next attempt takes another connection, and another server if there is one: this one may leave no connection usable.
		if !operation.primaryOnly() {
			attempts.exclude(target.server)
		}
		return nil
	case errors.Is(err, dbpool.ErrSuspended):
		// The home knows of an evacuation that this VM is about to learn of.
		if !operation.primaryOnly() {
			attempts.exclude(target.server)
		}
		if (operation.primaryOnly() || attempts.count > 0) && !attempts.pause() {
			return refuseSlot(err)
		}
		return nil
	case errors.Is(err, dbpool.ErrAcquireTimeout), operation.primaryOnly(), attempts.count >= maxFullPools:
		return refuseSlot(err)
	}
	attempts.exclude(target.server)
	return nil
}
