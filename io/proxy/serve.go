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
	if session.state == statement.Failed && kind != statement.Rollback && kind != statement.Commit {
		return session.malformed(request, "the transaction failed; only its end is accepted")
	}
	switch kind {
	case statement.Set, statement.Prepare, statement.Deallocate:
		return session.remember(request)
	case statement.Begin, statement.BeginReadOnly:
		return session.begin(request, arrived)
	case statement.Commit:
		return session.commit(request, arrived)
	case statement.Rollback:
		return session.rollback(request)
	case statement.Read, statement.Write, statement.Execute:
		if session.transaction != nil {
			return session.runInside(request, arrived)
		}
		return session.runAlone(request, arrived)
	}
	return session.malformed(request, "no such statement")
}

func (session *session) malformed(request statement.Request, note string) statement.Reply {
	return session.answer(request, refuse(refusal.ProtocolError, 0, note), session.state)
}

// remember keeps what belongs to the session: backend servers learn of it when a statement needs it.
func (session *session) remember(request statement.Request) statement.Reply {
	asked := request.Statement
	switch asked.Kind {
	case statement.Set:
		if _, known := session.values[asked.Name]; !known && len(session.values) >= maxNames {
			return session.malformed(request, "too many session values")
		}
		session.values = with(session.values, asked.Name, asked.Value)
	case statement.Prepare:
		if _, known := session.prepared[asked.Name]; !known && len(session.prepared) >= maxNames {
			return session.malformed(request, "too many prepared statements")
		}
		session.prepared = with(session.prepared, asked.Name, asked.Shape)
	case statement.Deallocate:
		delete(session.prepared, asked.Name)
	}
	return statement.Reply{State: session.state}
}

// with sets a key of a map that may be nil.
func with[V any](held map[string]V, key string, value V) map[string]V {
	if held == nil {
		held = make(map[string]V)
	}
	held[key] = value
	return held
}

// operation is what the statements of one operation have in common.
type operation struct {
	route        *catalog.Route
	organisation *catalog.Organisation
	// arrived is the time at which the operation's first request arrived.
	arrived time.Duration
	// writes states that only the primary may run the statements.
	writes bool
	// reads states that statements may read.
	reads bool
	// fenced states that the group's primary acknowledges a write only once a replica holds it.
	fenced bool
}

// acknowledge notes a write before its success goes to the caller: for the session's own reads, and for whoever replaces the
// primary. A write that a replacement may have dropped is refused with an open outcome.
func (session *session) acknowledge(server *monitor.Server, deadline time.Time, at position.Position) *refused {
	if !server.Acknowledge(deadline, at) {
		return refuse(refusal.PrimaryReplaced, 0, fmt.Sprintf("%s had written %d.%d", server.ID(), at.Term, at.Log))
	}
	session.written, session.writtenAt = at, clock.Now()
	return nil
}

// admit checks route, key and rate at the begin of an operation.
func (session *session) admit(arrived time.Duration) (operation, *refused) {
	route, organisation, refused := session.authorise()
	if refused != nil {
		return operation{}, refused
	}
	if ok, after := session.server.Limiter.Admit(organisation); !ok {
		return operation{}, refuse(refusal.RateExceeded, after, fmt.Sprintf("rate %g/s and burst %g over all VMs", organisation.Rate, organisation.Burst))
	}
	group := session.server.Directory.Catalog().Groups[route.Group]
	fenced := group != nil && group.SyncReplicas > 0
	return operation{route: route, organisation: organisation, arrived: arrived, fenced: fenced}, nil
}

// timeout returns the time that one statement of the operation may take.
func (operation *operation) timeout() time.Duration {
	if operation.route.Timeout > 0 {
		return operation.route.Timeout
	}
	return defaultTimeout
}
