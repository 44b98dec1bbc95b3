package proxy

import (
	"fmt"
	"time"

	"dotterelgw/core/catalog"
	"dotterelgw/core/position"
	"dotterelgw/core/refusal"
	"dotterelgw/core/statement"
	"dotterelgw/io/clock"
	"dotterelgw/io/monitor"
)

// serve runs one request and returns the answer.
func (session *session) serve(request statement.Request, arrived time.Duration) statement.Reply {
	kind := request.Statement.Kind
	if session.state == statement.FailedTransaction && kind != statement.Rollback && kind != statement.Commit {
		return session.malformed(request, "the transaction has failed; only commit or rollback is accepted")
	}
	switch kind {
	case statement.Set, statement.Prepare, statement.Deallocate:
		return session.updateSession(request)
	case statement.Begin, statement.BeginReadOnly:
		return session.begin(request, arrived)
	case statement.Commit:
		return session.commit(request, arrived)
	case statement.Rollback:
		return session.rollback(request)
	case statement.Read, statement.Write, statement.Execute:
		if session.transaction != nil {
			return session.runInTransaction(request, arrived)
		}
		return session.runAutocommit(request, arrived)
	}
	return session.malformed(request, "no such statement")
}

// malformed refuses a request that the protocol doesn't allow. An open transaction fails, so that a commit that was sent ahead doesn't keep
// the part of it that was understood.
func (session *session) malformed(request statement.Request, note string) statement.Reply {
	if session.state == statement.InTransaction {
		session.failTransaction(refusal.ProtocolError)
	}
	return session.refusalReply(request, refuse(refusal.ProtocolError, 0, note), session.state)
}

// operation holds what the statements of one operation have in common: a transaction or a single statement.
type operation struct {
	route        *catalog.Route
	organisation *catalog.Organisation
	// arrived is the time at which the operation's first request arrived.
	arrived time.Duration
	// writes reports whether only the primary may run the statements.
	writes bool
	// reads reports whether the operation may contain reads.
	reads bool
	// synchronous reports whether the group's primary acknowledges a write only once a replica holds it.
	synchronous bool
}

// acknowledge records a write on the server before its success is sent to the caller, for read-your-writes and for the VM that
// replaces the primary. A write that a replacement may have lost is refused with an unknown outcome.
func (session *session) acknowledge(server *monitor.Server, deadline time.Time, at position.Position) *refused {
	if !server.Acknowledge(deadline, at) {
		return refuse(refusal.PrimaryReplaced, 0, fmt.Sprintf("%s had written %d.%d", server.ID(), at.Term, at.Log))
	}
	session.own.record(position.In(server.Info().Group, at), clock.Now())
	return nil
}

// admit checks route, key and rate limit at the start of an operation.
func (session *session) admit(arrived time.Duration) (operation, *refused) {
	route, organisation, refused := session.authorise()
	if refused != nil {
		return operation{}, refused
	}
	if ok, after := session.server.Limiter.Admit(organisation); !ok {
		return operation{}, refuse(refusal.RateExceeded, after, "")
	}
	return session.operation(route, organisation, arrived), nil
}

// operation returns an operation on the route that arrived at the time.
func (session *session) operation(route *catalog.Route, organisation *catalog.Organisation, arrived time.Duration) operation {
	group := session.server.Directory.Catalog().Groups[route.Group]
	synchronous := group != nil && group.SyncReplicas > 0
	return operation{route: route, organisation: organisation, arrived: arrived, synchronous: synchronous}
}

// timeout returns the timeout of one statement of the operation.
func (operation *operation) timeout() time.Duration {
	if operation.route.Timeout > 0 {
		return operation.route.Timeout
	}
	return defaultTimeout
}
