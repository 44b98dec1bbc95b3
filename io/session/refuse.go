package session

import (
	"fmt"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"dotterelgw/core/contract"
	"dotterelgw/core/ids"
	"dotterelgw/core/position"
	"dotterelgw/core/refusal"
	"dotterelgw/io/backend/wire"
)

// rollbackTimeout bounds the rollback of a transaction whose caller is gone or refused.
const rollbackTimeout = 2 * time.Second

// Response returns the error that a caller gets for the refusal.
func Response(refused *refusal.Refusal, severity string) *pgproto3.ErrorResponse {
	kind, _ := refusal.Lookup(refused.Reason)
	detail := fmt.Sprintf("refusal %s: %s; clause: %s; outcome: %s", refused.ID, refused.Reason, kind.Clause, refused.Outcome)
	if refused.Note != "" {
		detail += "; " + refused.Note
	}
	return &pgproto3.ErrorResponse{
		Severity: severity, SeverityUnlocalized: severity, Code: kind.SQLState,
		Message: kind.Message, Detail: detail, Hint: kind.Hint,
	}
}

// ends states which refusals end the connection.
func ends(reason refusal.Reason) bool {
	switch reason {
	case refusal.KeyWithdrawn, refusal.ContractWithdrawn, refusal.Stopping, refusal.RouteUnknown, refusal.OrganisationMismatch,
		refusal.ProtocolError, refusal.MessageTooLarge:
		return true
	}
	return false
}

// append adds the refusal to the pending answer.
func (session *Session) append(refused *refusal.Refusal, severity string) {
	if session.scratch == nil {
		session.scratch = scratches.Get().(*scratch)
	}
	refused = session.server.Recorder.Record(refused, session.caller)
	session.scratch.out, _ = Response(refused, severity).Encode(session.scratch.out)
}

// refuseFatal answers with the refusal and ends the session.
func (session *Session) refuseFatal(refused *refusal.Refusal) error {
	if session.tx != wire.Idle && refused.Outcome == refusal.NotRun {
		refused = refused.WithOutcome(refusal.RolledBack)
	}
	session.append(refused, "FATAL")
	return errClosed
}

// sqlStateCanceled is query_canceled.
const sqlStateCanceled = "57014"

// answerCanceled answers a request that its caller canceled before it was sent. It opened no transaction.
func (session *Session) answerCanceled() {
	session.undo(0)
	session.scratch.out, _ = (&pgproto3.ErrorResponse{
		Severity: "ERROR", SeverityUnlocalized: "ERROR", Code: sqlStateCanceled,
		Message: "canceling statement due to user request",
	}).Encode(session.scratch.out)
	if session.request.sync {
		session.scratch.out = wire.AppendReady(session.scratch.out, session.tx)
	} else {
		session.skipping = true
	}
}

// refuse answers the request with the refusal. An open transaction is rolled back: callers that pipeline take an
// error to end it, so a later COMMIT must not keep a part of it.
func (session *Session) refuse(refused *refusal.Refusal) error {
	if ends(refused.Reason) {
		return session.refuseFatal(refused)
	}
	if session.scratch != nil {
		session.undo(0)
	}
	pinned := session.pinned
	if session.tx != wire.Idle || session.partial {
		if refused.Outcome == refusal.NotRun {
			refused = refused.WithOutcome(refusal.RolledBack)
		}
		session.rollback()
		switch {
		case refused.Outcome == refusal.Unknown:
			// The lost request was to end the transaction; saying that it was rolled back now could be wrong.
			session.tx = wire.Idle
		case session.tx != wire.Idle:
			session.aborted, session.tx = true, wire.Failed
		}
	}
	if pinned && session.backend == nil {
		// The settings of the session were lost with its connection and cannot be re-created.
		return session.refuseFatal(refused)
	}
	session.append(refused, "ERROR")
	if session.request.sync || session.request.simple {
		session.scratch.out = wire.AppendReady(session.scratch.out, session.tx)
	} else {
		session.skipping = true
	}
	return nil
}

// rollback ends the transaction at the backend server and gives the connection back.
func (session *Session) rollback() {
	partial := session.partial
	session.partial = false
	clear(session.portals)
	conn := session.backend
	if conn == nil {
		return
	}
	defer func() {
		if !session.pinned || conn.Status() != wire.Idle {
			session.pinned = false
			session.release()
		}
	}()
	if partial || conn.Due() != 0 || conn.Buffered() != 0 {
		conn.Break()
		return
	}
	if _, err := conn.Send(wire.AppendQuery(nil, "ROLLBACK"), 1); err != nil {
		return
	}
	for conn.Due() > 0 {
		if _, err := conn.Next(rollbackTimeout); err != nil {
			conn.Break()
			return
		}
	}
}

// release gives the backend connection back.
func (session *Session) release() {
	session.mutex.Lock()
	conn := session.backend
	session.backend = nil
	session.mutex.Unlock()
	if conn != nil {
		session.server.Pools.Release(conn)
	}
}

// review compares the session with the contracts in force and keeps what it needs of them.
func (session *Session) review() *refusal.Refusal {
	own, revision, ok := session.server.Control.Contract(session.caller.Organisation)
	if !ok {
		return refusal.New(refusal.ContractWithdrawn, string(session.caller.Organisation))
	}
	owner, ownerRevision := own, ids.Revision(0)
	if session.caller.Owner != session.caller.Organisation {
		if owner, ownerRevision, ok = session.server.Control.Contract(session.caller.Owner); !ok {
			return refusal.New(refusal.RouteUnknown, string(session.caller.Owner))
		}
	}
	if session.contract == own && session.revision == max(revision, ownerRevision) {
		return nil
	}
	route, refused := inForce(own, owner, session.caller)
	if refused != nil {
		return refused
	}
	if route.Group != session.route.Group {
		session.positionKnown = false
	}
	if route.Database == "" {
		route.Database = ids.DatabaseName(session.caller.Owner)
	}
	session.contract, session.revision, session.route = own, max(revision, ownerRevision), route
	session.readOnly = session.caller.ReadOnly || route.Access == contract.Read
	return nil
}

// revoked is review without any change to the session, for other goroutines.
func (session *Session) revoked() *refusal.Refusal {
	own, _, ok := session.server.Control.Contract(session.caller.Organisation)
	if !ok {
		return refusal.New(refusal.ContractWithdrawn, string(session.caller.Organisation))
	}
	owner, _, ok := session.server.Control.Contract(session.caller.Owner)
	if !ok {
		return refusal.New(refusal.RouteUnknown, string(session.caller.Owner))
	}
	_, refused := inForce(own, owner, session.caller)
	return refused
}

// inForce returns the route if the contracts still hold the caller's key and grant the route.
func inForce(own, owner *contract.Contract, caller Caller) (contract.Route, *refusal.Refusal) {
	key, ok := own.Key(caller.Key)
	if !ok || !key.Withdrawn.IsZero() {
		return contract.Route{}, refusal.New(refusal.KeyWithdrawn, string(caller.Key))
	}
	route, ok := owner.Route(caller.Route)
	if !ok {
		return contract.Route{}, refusal.New(refusal.RouteUnknown, string(caller.Route))
	}
	if caller.Owner != caller.Organisation && !route.Open {
		return contract.Route{}, refusal.New(refusal.OrganisationMismatch, string(caller.Route))
	}
	return route, nil
}

// openToken takes the positions of the caller's token.
func (session *Session) openToken() *refusal.Refusal {
	if session.caller.Token == "" || session.server.Sealer == nil {
		return nil
	}
	held, err := session.server.Sealer.Open(session.caller.Organisation, session.caller.Token)
	if err != nil {
		return refusal.New(refusal.TokenInvalid, err.Error())
	}
	session.held = held
	for _, one := range held {
		if one.Group == session.route.Group {
			session.position, session.positionKnown = one.Position, true
		}
	}
	return nil
}

// appendToken reports the session's positions to a caller that asked for them.
func (session *Session) appendToken(dst []byte) []byte {
	if !session.caller.WantsToken || session.server.Sealer == nil {
		return dst
	}
	own := position.Held{Group: session.route.Group, Position: session.position}
	found := false
	for index := range session.held {
		if session.held[index].Group == own.Group {
			session.held[index], found = own, true
		}
	}
	if !found {
		session.held = append(session.held, own)
	}
	token := session.server.Sealer.Seal(session.caller.Organisation, session.held...)
	dst, _ = (&pgproto3.ParameterStatus{Name: "dotterel.token", Value: token}).Encode(dst)
	return dst
}
