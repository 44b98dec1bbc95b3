package session

import (
	"context"
	"errors"
	"fmt"
	"time"

	"dotterelgw/core/contract"
	"dotterelgw/core/ids"
	"dotterelgw/core/refusal"
	"dotterelgw/core/retry"
	"dotterelgw/core/route"
	"dotterelgw/io/backend"
	"dotterelgw/io/backend/wire"
)

const (
	// primaryTimeout bounds the time that a request waits for a primary before it runs. A failover takes 3 s.
	primaryTimeout = 5 * time.Second
	// connectedRateWait bounds the wait for the rate limiter while a backend connection is held. It covers a round trip to
	// a VM that holds part of the rate.
	connectedRateWait = 20 * time.Millisecond
	// viewPollInterval is the interval at which a waiting request checks the view of the group.
	viewPollInterval = 10 * time.Millisecond
	// reconnectPause is the pause before a request retries a primary that did not accept a connection.
	reconnectPause = 200 * time.Millisecond
)

// attemptResult is the result of an attempt to run a request. Its zero value means that the caller got the answer.
type attemptResult struct {
	// closed is not nil if the session has to end.
	closed error
	// canceled reports whether the caller canceled the request before it was sent.
	canceled bool
	// refused is not nil if the request was refused without being run.
	refused *refusal.Refusal
	// failed is not nil if the server gave no answer that can be forwarded; err is the cause.
	failed *retry.Attempt
	err    error
}

// runRequest runs the request, retries it where that is safe, and answers it.
func (session *Session) runRequest() error {
	if session.aborted {
		return session.runAborted()
	}
	if refused := session.admit(); refused != nil {
		return session.refuse(refused)
	}
	budget := session.server.budget(session.route.Group)
	budget.Request()
	session.forwarded = false
	answerStart := len(session.scratch.out)
	deadline := session.server.Now() + primaryTimeout
	for {
		result := session.tryOnce(deadline)
		switch {
		case result.closed != nil:
			return result.closed
		case result.canceled:
			session.answerCanceled()
			return nil
		case result.refused != nil:
			return session.refuse(result.refused)
		case result.failed == nil:
			return nil
		}
		attempt := result.failed
		if !session.forwarded {
			session.scratch.out = session.scratch.out[:answerStart]
		}
		term := uint64(0)
		if view := session.server.Groups.View(session.route.Group); view != nil {
			term = uint64(view.Term)
		}
		reason, ok := retry.Decide(*attempt)
		if ok && session.signals.Load()&signalStop == 0 && !(session.pinned && session.backend == nil) && (!retry.Budgeted(reason) || budget.Take()) {
			if timedOut := session.prepareRetry(reason, attempt, term, deadline); timedOut != nil {
				return session.refuse(timedOut)
			}
			session.server.retries[reason].Inc(1)
			continue
		}
		return session.answerFailure(attempt, result.err)
	}
}

// prepareRetry waits until a retry for the reason can succeed. It returns a refusal if the deadline passes before.
func (session *Session) prepareRetry(reason retry.Reason, attempt *retry.Attempt, term uint64, deadline time.Duration) *refusal.Refusal {
	if session.server.Now() >= deadline {
		return refusal.New(refusal.NoPrimary, "no primary took the request in time")
	}
	switch reason {
	case retry.ReplicaReadOnly:
		session.request.primaryOnly = true
	case retry.PrimaryFenced:
		if !session.awaitPrimary(term, deadline) {
			return refusal.New(refusal.NoPrimary, "the primary was replaced and no other is known yet")
		}
	case retry.NotSent:
		if attempt.Primary {
			session.awaitPrimary(term, min(deadline, session.server.Now()+reconnectPause))
		}
	}
	return nil
}

// awaitPrimary waits until the view of the group has a primary of a higher term. It returns false if the deadline has
// passed, the request was canceled or the session has to end.
func (session *Session) awaitPrimary(term uint64, deadline time.Duration) bool {
	for {
		if view := session.server.Groups.View(session.route.Group); view != nil && uint64(view.Term) > term && view.Primary >= 0 {
			return true
		}
		if !session.waitPollInterval(deadline) {
			return false
		}
	}
}

// waitPollInterval waits for viewPollInterval. It returns false if the deadline has passed, the request was canceled or the
// session has to end.
func (session *Session) waitPollInterval(deadline time.Duration) bool {
	if session.server.Now() >= deadline || session.signals.Load()&signalStop != 0 || session.canceled.Load() {
		return false
	}
	timer := time.NewTimer(viewPollInterval)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-session.ctx.Done():
		return false
	}
}

// answerFailure answers a request that must not be retried with a refusal that states what is known of its outcome.
func (session *Session) answerFailure(attempt *retry.Attempt, err error) error {
	note := ""
	if err != nil {
		note = err.Error()
	}
	mayHaveCommitted := session.request.endsWithReady && (session.txStatus == wire.Idle || session.request.class.commits)
	var refused *refusal.Refusal
	switch {
	case attempt.SQLState != "":
		refused = refusal.New(refusal.BackendLost, note)
	case attempt.InTransaction && !mayHaveCommitted, attempt.ReadOnly && attempt.Sent:
		refused = refusal.New(refusal.BackendLost, note).WithOutcome(refusal.RolledBack)
	case !attempt.Sent && !attempt.InTransaction:
		refused = refusal.New(refusal.BackendLost, note)
	case !attempt.Sent:
		refused = refusal.New(refusal.BackendLost, note).WithOutcome(refusal.RolledBack)
	default:
		session.observed.known = false
		refused = refusal.New(refusal.OutcomeUnknown, note)
	}
	if session.signals.Load()&signalStop != 0 {
		return session.refuseFatal(refusal.New(refusal.Stopping, note).WithOutcome(refused.Outcome))
	}
	return session.refuse(refused)
}

// admit checks, before anything is sent, that the request may run.
func (session *Session) admit() *refusal.Refusal {
	if refused := session.authorise(); refused != nil {
		return refused
	}
	if session.request.class.unsupported {
		return refusal.New(refusal.Unsupported, "COPY, LISTEN, UNLISTEN and NOTIFY")
	}
	if session.request.class.readWrite && session.route.Access == contract.Read {
		// The primary may serve reads of the route, so a caller must not override the setting that prevents writes there.
		return refusal.New(refusal.Unsupported, "the route takes reads only")
	}
	session.readOnlyLifted = session.readOnlyLifted || session.request.class.readWrite
	for range session.request.statements {
		if !session.server.Limiter.Admit(session.caller.Organisation) && !session.waitForRate() {
			return refusal.New(refusal.RateExceeded, fmt.Sprintf("rate %g/s, burst %g", session.contract.Rate, session.contract.Burst))
		}
	}
	return nil
}

// waitForRate waits until the organisation's rate admits a statement. The wait is short while the session holds a backend
// connection, because an organisation over its rate must not keep scarce connections from others.
func (session *Session) waitForRate() bool {
	ctx := session.ctx
	if session.backend != nil {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, connectedRateWait)
		defer cancel()
	}
	return session.server.Limiter.Wait(ctx, session.caller.Organisation)
}

// authorise checks that the contracts permit the caller's key and route and that the configuration is confirmed.
func (session *Session) authorise() *refusal.Refusal {
	// The confirmation is checked before the contract is read: a contract read earlier could predate the confirmation.
	admitting := session.server.Control.Admitting()
	if refused := session.applyContracts(); refused != nil {
		return refused
	}
	if !admitting {
		return refusal.New(refusal.NotConfirmed, "")
	}
	return nil
}

// tryOnce runs the request once, on a connection that it acquires if the session has none.
func (session *Session) tryOnce(deadline time.Duration) attemptResult {
	attempt := &retry.Attempt{InTransaction: session.txStatus != wire.Idle || session.awaitingSync, Idempotent: session.caller.Idempotent}
	if session.backend != nil && !attempt.InTransaction {
		// The session is pinned: its settings cannot be moved to another server.
		if err := session.checkServer(); err != nil {
			session.release()
			return attemptResult{refused: refusal.New(refusal.BackendLost, err.Error())}
		}
	}
	if session.backend != nil && session.backend.HasSurplus() {
		// An answer that comes twice would be taken for the answer to this request.
		return session.connectionLost(attempt, fmt.Errorf("before the request was sent: %w", backend.ErrUnexpected))
	}
	if session.backend == nil {
		session.setWaiting(true)
		refused := session.connect(attempt, deadline)
		canceled := session.setWaiting(false)
		if refused != nil {
			if canceled {
				return attemptResult{canceled: true}
			}
			if refused.Reason == refusal.BackendLost {
				return attemptResult{failed: attempt, err: errors.New(refused.Note)}
			}
			return attemptResult{refused: refused}
		}
	}
	attempt.Primary = session.primary
	// Check again, because the request may have waited: it must not run with a withdrawn key or an outdated configuration.
	if refused := session.authorise(); refused != nil {
		return attemptResult{refused: refused}
	}
	// Connections to replicas are opened as read-only, so this holds even if the replica has been promoted since.
	attempt.ReadOnly = !session.primary || session.readOnly && !session.readOnlyLifted && !session.request.class.commits
	return session.exchange(attempt)
}

// mayUseReplica reports whether the request may run on a replica, and whether it may turn out there to be a write.
func (session *Session) mayUseReplica() (replica, speculative bool) {
	request := &session.request
	switch {
	case request.primaryOnly, request.class.readWrite:
		return false, false
	case session.readOnly, request.class.beginsReadOnly:
		return true, false
	case session.route.Access == contract.Auto && request.class.selectOnly && !request.class.pins:
		return true, true
	}
	return false, false
}

// connect acquires a connection to the server that is to run the request.
func (session *Session) connect(attempt *retry.Attempt, deadline time.Duration) *refusal.Refusal {
	server := session.server
	group := session.route.Group
	replica, speculative := session.mayUseReplica()
	session.request.speculative = speculative
	// A route that accepts data up to a maximum age needs no position, so its reads continue while the group has no primary.
	boundedStaleness := replica && session.route.MaxStaleness() > 0
	for {
		if !session.observed.known && !boundedStaleness {
			refused, retry := session.readBarrier(deadline)
			if refused != nil {
				return refused
			}
			if retry {
				continue
			}
		}
		view := server.Groups.View(group)
		index, ok := route.Choose(view, route.Request{
			ReadOnly: replica, Position: session.observed.at, MaxStaleness: session.route.MaxStaleness(), Now: server.Now(), Zone: server.Zone,
		})
		if boundedStaleness && !session.observed.known && (!ok || index == view.Primary) {
			boundedStaleness = false // no replica is fresh enough, so the session's position is needed
			continue
		}
		if !ok {
			if session.waitPollInterval(deadline) {
				continue
			}
			if replica {
				return refusal.New(refusal.StaleRoute, string(group))
			}
			return refusal.New(refusal.NoPrimary, string(group))
		}
		attempt.Primary = index == view.Primary
		session.wantsPrimary = attempt.Primary
		chosen := &view.Servers[index]
		conn, err := server.Pools.Acquire(session.ctx, backend.Request{
			Organisation: session.caller.Organisation, Weight: session.contract.Weight, Limits: session.contract.Limits,
			Server: chosen.ID, Address: chosen.Address, Database: session.route.Database, ReadOnly: !attempt.Primary, WaitCondition: session,
		})
		if err != nil {
			refused := session.acquireFailed(err, chosen)
			if session.canceled.Load() {
				return refused
			}
			if refused.Reason != refusal.BackendLost || attempt.InTransaction || session.signals.Load()&signalStop != 0 || server.Now() >= deadline {
				return refused
			}
			// Nothing was sent, so a read is retried on the primary, and a request for the primary waits for it or its successor.
			// All waiting requests share one connection attempt, so this does not count against the retry budget.
			server.retries[retry.NotSent].Inc(1)
			if !attempt.Primary {
				replica, session.request.speculative, session.request.primaryOnly = false, false, true
				continue
			}
			session.awaitPrimary(uint64(view.Term), min(deadline, server.Now()+reconnectPause))
			continue
		}
		session.mutex.Lock()
		session.backend, session.backendGroup, session.primary = conn, group, attempt.Primary
		session.mutex.Unlock()
		if session.primary {
			server.routePrimary.Inc(1)
		} else {
			server.routeReplica.Inc(1)
		}
		return nil
	}
}

// StopWaiting implements backend.WaitCondition. It reports whether the session should no longer wait for a connection to the
// server.
func (session *Session) StopWaiting(server ids.BackendServerID) bool {
	if session.signals.Load()&signalStop != 0 || session.canceled.Load() {
		return true
	}
	view := session.server.Groups.View(session.route.Group)
	if view == nil {
		return false
	}
	for index := range view.Servers {
		if candidate := &view.Servers[index]; candidate.ID == server {
			replaced := session.wantsPrimary && view.Primary >= 0 && view.Primary != index
			return replaced || candidate.Leaving || !session.wantsPrimary && !candidate.Reachable
		}
	}
	return true
}

// readBarrier sets the session's position to that of a leadership barrier. retry reports whether the barrier failed and may
// be retried.
func (session *Session) readBarrier(deadline time.Duration) (refused *refusal.Refusal, retry bool) {
	at, err := session.server.Groups.Barrier(session.ctx, session.route.Group)
	switch {
	case err == nil:
		session.observed = observed{at: at, known: true}
		return nil, false
	case !session.waitPollInterval(deadline) && errors.As(err, &refused):
		return refused, false
	case session.server.Now() >= deadline || session.ctx.Err() != nil:
		return refusal.New(refusal.NoPrimary, err.Error()), false
	default:
		return nil, true
	}
}

// acquireFailed returns the refusal for an error of Acquire. It reports a server that cannot be reached.
func (session *Session) acquireFailed(err error, chosen *route.Server) *refusal.Refusal {
	var refused *refusal.Refusal
	if !errors.As(err, &refused) {
		refused = refusal.New(refusal.BackendLost, err.Error())
	}
	if refused.Reason == refusal.BackendLost && !session.StopWaiting(chosen.ID) {
		session.server.Groups.ReportError(session.route.Group, chosen.ID, err)
	}
	return refused
}
