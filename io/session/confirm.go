package session

import (
	"github.com/juju/errors"

	"dotterelgw/core/position"
	"dotterelgw/core/refusal"
	"dotterelgw/core/retry"
	"dotterelgw/io/backend/wire"
)

// completeRequest confirms that the changes of the request are durable and appends the rest of the answer.
func (session *Session) completeRequest(attempt *retry.Attempt, status byte, at position.Position, asksPosition bool) attemptResult {
	server, group := session.backend.Server(), session.backendGroup
	confirm := status == wire.Idle && session.primary && session.answer.completed
	if confirm && !asksPosition {
		// The request ended a transaction although no statement in it was recognised as doing so.
		var err error
		if _, err = session.backend.Send(wire.AppendQuery(nil, positionQuery), 1); err == nil {
			at, err = session.readPosition(status)
		}
		if err != nil {
			return session.connectionLost(attempt, err)
		}
	}
	session.txStatus = status
	if session.answer.unpin {
		session.pinned = false
	}
	if status == wire.Idle {
		clear(session.portals)
		if !session.pinned {
			session.release()
		}
	}
	scratch := session.scratch
	if confirm {
		if err := session.server.Groups.Confirm(session.ctx, group, server, at); err != nil {
			scratch.withheld = scratch.withheld[:0]
			session.observed.known = false
			var refused *refusal.Refusal
			if !errors.As(err, &refused) {
				refused = refusal.New(refusal.OutcomeUnknown, err.Error())
			}
			session.appendRefusal(refused, "ERROR")
			session.skipping = !session.request.answersReady()
			session.appendReady(status)
			return attemptResult{}
		}
		if group != session.route.Group || !session.keepsPosition(at) {
			session.observe(group, at)
		}
	}
	scratch.out = append(scratch.out, scratch.withheld...)
	scratch.withheld = scratch.withheld[:0]
	if confirm {
		scratch.out = session.appendToken(scratch.out, group)
	}
	session.appendReady(status)
	return attemptResult{}
}

// appendReady appends ReadyForQuery to the answer if the request ends with it.
func (session *Session) appendReady(status byte) {
	if session.request.answersReady() {
		session.scratch.out = wire.AppendReady(session.scratch.out, status)
	}
}

// keepsPosition reports whether the request certainly wrote nothing, so that the session keeps its position. After a read
// on the primary, the primary's newer position would exclude lagging replicas although they have replayed everything that
// the session wrote.
func (session *Session) keepsPosition(at position.Position) bool {
	readOnly := session.readOnly && !session.readOnlyLifted
	return session.observed.known && (readOnly || session.answer.comparesPosition && session.answer.positionBefore == at)
}
