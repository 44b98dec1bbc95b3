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
	// patience bounds the time for which a request that was not run waits for a primary; a change of primary takes 3 s.
	patience = 5 * time.Second
	// heldWait bounds the wait for the rate while a backend connection is held; it covers a round trip to a holder.
	heldWait = 20 * time.Millisecond
	// viewPoll is the interval at which a waiting request looks at the group's view.
	viewPoll = 10 * time.Millisecond
	// reconnectPause is the pause before a request tries a server again that did not accept a connection.
	reconnectPause = 200 * time.Millisecond
)

// ending states how an attempt to run a request ended.
type ending struct {
	// closed is not nil when the session ends.
	closed error
	// canceled states that the caller canceled the request before it was sent.
	canceled bool
	// refused is not nil when the request was not run.
	refused *refusal.Refusal
	// failed is not nil when the server gave no answer that the caller may have.
	failed *retry.Attempt
	err    error
}

// run runs the request, repeating it where that is safe, and answers it.
func (session *Session) run() error {
	if session.aborted {
		return session.runAborted()
	}
	if refused := session.admit(); refused != nil {
		return session.refuse(refused)
	}
	budget := session.server.budget(session.route.Group)
	budget.Request()
	session.forwarded = false
	mark := len(session.scratch.out)
	deadline := session.server.Now() + patience
	for {
		ended := session.attempt(deadline)
		switch {
		case ended.closed != nil:
			return ended.closed
		case ended.canceled:
			session.answerCanceled()
			return nil
		case ended.refused != nil:
			return session.refuse(ended.refused)
		case ended.failed == nil:
			return nil
		}
		attempt := ended.failed
		if !session.forwarded {
			session.scratch.out = session.scratch.out[:mark]
		}
		term := uint64(0)
		if view := session.server.Groups.View(session.route.Group); view != nil {
			term = uint64(view.Term)
		}
		reason, ok := retry.Decide(*attempt)
		if ok && session.stop.Load()&stopNow == 0 && !(session.pinned && session.backend == nil) && (!retry.Budgeted(reason) || budget.Take()) {
			if wait := session.pause(reason, attempt, term, deadline); wait != nil {
				return session.refuse(wait)
			}
			session.server.retries[reason].Inc(1)
			continue
		}
		return session.fail(attempt, ended.err)
	}
}

// pause waits until a repeat for the reason can succeed.
func (session *Session) pause(reason retry.Reason, attempt *retry.Attempt, term uint64, deadline time.Duration) *refusal.Refusal {
	if session.server.Now() >= deadline {
		return refusal.New(refusal.NoPrimary, "no primary took the request in time")
	}
	switch reason {
	case retry.ReplicaReadOnly:
		session.request.primaryOnly = true
	case retry.PrimaryFenced:
		if !session.waitTerm(term, deadline) {
			return refusal.New(refusal.NoPrimary, "the primary was replaced and no other is known yet")
		}
	case retry.NotSent:
		if attempt.Primary {
			session.waitTerm(term, min(deadline, session.server.Now()+reconnectPause))
		}
	}
	return nil
}

// waitTerm waits until the view of the group has a primary of a later term; it returns false at the deadline.
func (session *Session) waitTerm(term uint64, deadline time.Duration) bool {
	for {
		if view := session.server.Groups.View(session.route.Group); view != nil && uint64(view.Term) > term && view.Primary >= 0 {
			return true
		}
		if !session.sleep(deadline) {
			return false
		}
	}
}

// sleep waits for one poll interval; it returns false at the deadline or when the session is to end.
func (session *Session) sleep(deadline time.Duration) bool {
	if session.server.Now() >= deadline || session.stop.Load()&stopNow != 0 || session.canceled.Load() {
		return false
	}
	timer := time.NewTimer(viewPoll)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-session.ctx.Done():
		return false
	}
}

// fail answers a request that may not be repeated with what is known of its outcome.
func (session *Session) fail(attempt *retry.Attempt, err error) error {
	note := ""
	if err != nil {
		note = err.Error()
	}
	ending := session.request.sync && (session.tx == wire.Idle || session.request.class.commits)
	var refused *refusal.Refusal
	switch {
	case attempt.SQLState != "":
		refused = refusal.New(refusal.BackendLost, note)
	case attempt.InTransaction && !ending, attempt.ReadOnly && attempt.Sent:
		refused = refusal.New(refusal.BackendLost, note).WithOutcome(refusal.RolledBack)
	case !attempt.Sent && !attempt.InTransaction:
		refused = refusal.New(refusal.BackendLost, note)
	case !attempt.Sent:
		refused = refusal.New(refusal.BackendLost, note).WithOutcome(refusal.RolledBack)
	default:
		session.positionKnown = false
		refused = refusal.New(refusal.OutcomeUnknown, note)
	}
	if session.stop.Load()&stopNow != 0 {
		return session.refuseFatal(refusal.New(refusal.Stopping, note).WithOutcome(refused.Outcome))
	}
	return session.refuse(refused)
}

// admit checks that the request may run at all; nothing was sent yet.
func (session *Session) admit() *refusal.Refusal {
	if refused := session.entitled(); refused != nil {
		return refused
	}
	if session.request.class.unsupported {
		return refusal.New(refusal.Unsupported, "COPY, LISTEN, UNLISTEN and NOTIFY")
	}
	if session.request.class.readWrite && session.route.Access == contract.Read {
		// The primary may serve the route's reads, so a caller must not lift the setting that keeps it from writing there.
		return refusal.New(refusal.Unsupported, "the route takes reads only")
	}
	session.lifted = session.lifted || session.request.class.readWrite
	for range session.request.statements {
		if !session.server.Limiter.Admit(session.caller.Organisation) && !session.waitForRate() {
			return refusal.New(refusal.RateExceeded, fmt.Sprintf("rate %g/s, burst %g", session.contract.Rate, session.contract.Burst))
		}
	}
	return nil
}

// waitForRate waits for a statement of the organisation's rate, only briefly while a backend connection is held: an
// organisation over its rate must not keep scarce connections from the others.
func (session *Session) waitForRate() bool {
	ctx := session.ctx
	if session.backend != nil {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, heldWait)
		defer cancel()
	}
	return session.server.Limiter.Wait(ctx, session.caller.Organisation)
}

// entitled checks the caller's key and route and that this VM is up to date.
func (session *Session) entitled() *refusal.Refusal {
	// The confirmation is looked at first: a contract that was read before it may be older than it.
	admitting := session.server.Control.Admitting()
	if refused := session.review(); refused != nil {
		return refused
	}
	if !admitting {
		return refusal.New(refusal.NotConfirmed, "")
	}
	return nil
}

// attempt runs the request once.
func (session *Session) attempt(deadline time.Duration) ending {
	attempt := &retry.Attempt{InTransaction: session.tx != wire.Idle || session.partial, Idempotent: session.caller.Idempotent}
	if session.backend != nil && !attempt.InTransaction {
		// The session is pinned; its settings cannot follow it to another server.
		if err := session.tick(); err != nil {
			session.release()
			return ending{refused: refusal.New(refusal.BackendLost, err.Error())}
		}
	}
	if session.backend == nil {
		session.setWaiting(true)
		refused := session.connect(attempt, deadline)
		canceled := session.setWaiting(false)
		if refused != nil {
			if canceled {
				return ending{canceled: true}
			}
			if refused.Reason == refusal.BackendLost {
				return ending{failed: attempt, err: errors.New(refused.Note)}
			}
			return ending{refused: refused}
		}
	}
	attempt.Primary = session.primary
	// The request may have waited: it must not run on a withdrawn key or an outdated configuration.
	if refused := session.entitled(); refused != nil {
		return ending{refused: refused}
	}
	// Connections to replicas are opened read-only, so this holds even if the replica was promoted meanwhile.
	attempt.ReadOnly = !session.primary || session.readOnly && !session.lifted && !session.request.class.commits
	return session.exchange(attempt)
}

// wantsReplica states whether the request may run on a replica, and whether that is only a try.
func (session *Session) wantsReplica() (replica, tentative bool) {
	request := &session.request
	switch {
	case request.primaryOnly, request.class.readWrite:
		return false, false
	case session.readOnly, request.class.beginsReadOnly:
		return true, false
	case session.route.Access == contract.Auto && request.class.selects:
		return true, true
	}
	return false, false
}

// connect acquires a connection to the server that is to run the request.
func (session *Session) connect(attempt *retry.Attempt, deadline time.Duration) *refusal.Refusal {
	server := session.server
	group := session.route.Group
	replica, tentative := session.wantsReplica()
	session.request.tentative = tentative
	// A route that accepts data of a stated age needs no position, so its reads go on while a group has no primary.
	aged := replica && session.route.MaxAge() > 0
	for {
		if !session.positionKnown && !aged {
			refused, retry := session.barrier(deadline)
			if refused != nil {
				return refused
			}
			if retry {
				continue
			}
		}
		view := server.Groups.View(group)
		index, ok := route.Choose(view, route.Request{
			ReadOnly: replica, Position: session.position, MaxAge: session.route.MaxAge(), Now: server.Now(), Zone: server.Zone,
		})
		if aged && !session.positionKnown && (!ok || index == view.Primary) {
			aged = false // no replica is young enough, so the session's position matters
			continue
		}
		if !ok {
			if session.sleep(deadline) {
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
			Server: chosen.ID, Address: chosen.Address, Database: session.route.Database, ReadOnly: !attempt.Primary, Watcher: session,
		})
		if err != nil {
			refused := session.acquireRefused(err, chosen)
			if session.canceled.Load() {
				return refused
			}
			if refused.Reason != refusal.BackendLost || attempt.InTransaction || session.stop.Load()&stopNow != 0 || server.Now() >= deadline {
				return refused
			}
			// Nothing was sent, so the request turns to another server, or waits for the primary or its successor. This
			// costs the servers one connection attempt for all that wait, so it does not draw on the budget of repeats.
			server.retries[retry.NotSent].Inc(1)
			if !attempt.Primary {
				replica, session.request.tentative, session.request.primaryOnly = false, false, true
				continue
			}
			session.waitTerm(uint64(view.Term), min(deadline, server.Now()+reconnectPause))
			continue
		}
		session.mutex.Lock()
		session.backend, session.primary = conn, attempt.Primary
		session.mutex.Unlock()
		if session.primary {
			server.routePrimary.Inc(1)
		} else {
			server.routeReplica.Inc(1)
		}
		return nil
	}
}

// Stale implements backend.Watcher.Stale.
func (session *Session) Stale(server ids.BackendServerID) bool {
	if session.stop.Load()&stopNow != 0 || session.canceled.Load() {
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

// barrier gets the session's position from a leadership barrier; retry states that it failed and may be tried again.
func (session *Session) barrier(deadline time.Duration) (refused *refusal.Refusal, retry bool) {
	at, err := session.server.Groups.Barrier(session.ctx, session.route.Group)
	switch {
	case err == nil:
		session.position, session.positionKnown = at, true
		return nil, false
	case !session.sleep(deadline) && errors.As(err, &refused):
		return refused, false
	case session.server.Now() >= deadline || session.ctx.Err() != nil:
		return refusal.New(refusal.NoPrimary, err.Error()), false
	default:
		return nil, true
	}
}

// acquireRefused returns the refusal and reports a server that cannot be reached.
func (session *Session) acquireRefused(err error, chosen *route.Server) *refusal.Refusal {
	var refused *refusal.Refusal
	if !errors.As(err, &refused) {
		refused = refusal.New(refusal.BackendLost, err.Error())
	}
	if refused.Reason == refusal.BackendLost && !session.Stale(chosen.ID) {
		session.server.Groups.Observe(session.route.Group, chosen.ID, err)
	}
	return refused
}
