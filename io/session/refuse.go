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

// rollbackTimeout bounds the rollback of a transaction whose caller has disconnected or was refused.
const rollbackTimeout = 2 * time.Second

// Response returns the ErrorResponse that is sent to the caller for the refusal.
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

// endsConnection reports whether a refusal for the reason ends the connection.
func endsConnection(reason refusal.Reason) bool {
	switch reason {
	case refusal.KeyWithdrawn, refusal.ContractWithdrawn, refusal.Stopping, refusal.RouteUnknown, refusal.OrganisationMismatch,
		refusal.ProtocolError, refusal.MessageTooLarge:
		return true
	}
	return false
}

// appendRefusal records the refusal and appends it to the pending answer.
func (session *Session) appendRefusal(refused *refusal.Refusal, severity string) {
	if session.scratch == nil {
		session.scratch = scratchPool.Get().(*scratch)
	}
	refused = session.server.Recorder.Record(refused, session.caller)
	session.scratch.out, _ = Response(refused, severity).Encode(session.scratch.out)
}

// refuseFatal answers with the refusal and ends the session.
func (session *Session) refuseFatal(refused *refusal.Refusal) error {
	if session.txStatus != wire.Idle && refused.Outcome == refusal.NotRun {
		refused = refused.WithOutcome(refusal.RolledBack)
	}
	session.appendRefusal(refused, "FATAL")
	return errClosed
}

// sqlStateCanceled is the SQLSTATE query_canceled.
const sqlStateCanceled = "57014"

// answerCanceled answers a request that the caller canceled before it was sent. Such a request has opened no transaction.
func (session *Session) answerCanceled() {
	session.revertStatements(0)
	session.scratch.out, _ = (&pgproto3.ErrorResponse{
		Severity: "ERROR", SeverityUnlocalized: "ERROR", Code: sqlStateCanceled,
		Message: "canceling statement due to user request",
	}).Encode(session.scratch.out)
	if session.request.answersReady() {
		session.scratch.out = wire.AppendReady(session.scratch.out, session.txStatus)
	} else {
		session.skipping = true
	}
}

// refuse answers the request with the refusal and rolls back an open transaction. Callers that pipeline expect an error to
// abort the transaction, so a COMMIT sent after it must not commit part of the transaction.
func (session *Session) refuse(refused *refusal.Refusal) error {
	if endsConnection(refused.Reason) {
		return session.refuseFatal(refused)
	}
	if session.scratch != nil {
		session.revertStatements(0)
	}
	pinned := session.pinned
	if session.txStatus != wire.Idle || session.awaitingSync {
		if refused.Outcome == refusal.NotRun {
			refused = refused.WithOutcome(refusal.RolledBack)
		}
		session.rollback()
		switch {
		case refused.Outcome == refusal.Unknown:
			// The lost request was to end the transaction and may have done so; a report that it was rolled back could be wrong.
			session.txStatus = wire.Idle
		case session.txStatus != wire.Idle:
			session.aborted, session.txStatus = true, wire.FailedTransaction
		}
	}
	if pinned && session.backend == nil {
		// The settings of the session were lost with its connection and cannot be restored.
		return session.refuseFatal(refused)
	}
	session.appendRefusal(refused, "ERROR")
	if session.request.answersReady() || session.request.simple {
		session.scratch.out = wire.AppendReady(session.scratch.out, session.txStatus)
	} else {
		session.skipping = true
	}
	return nil
}

// rollback rolls back the transaction on the backend server. It releases the connection, unless the session is pinned to it
// and the rollback succeeded.
func (session *Session) rollback() {
	awaitingSync := session.awaitingSync
	session.awaitingSync = false
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
	if awaitingSync || conn.PendingReady() != 0 || conn.Buffered() != 0 {
		conn.SetBroken()
		return
	}
	if _, err := conn.Send(wire.AppendQuery(nil, "ROLLBACK"), 1); err != nil {
		return
	}
	for conn.PendingReady() > 0 {
		if _, err := conn.Next(rollbackTimeout); err != nil {
			conn.SetBroken()
			return
		}
	}
}

// release returns the backend connection to its pool.
func (session *Session) release() {
	session.mutex.Lock()
	conn := session.backend
	session.backend = nil
	session.mutex.Unlock()
	if conn != nil {
		session.server.Pools.Release(conn)
	}
}

// applyContracts checks the session against the contracts in force and updates its contract, revision and route.
func (session *Session) applyContracts() *refusal.Refusal {
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
	route, refused := permittedRoute(own, owner, session.caller)
	if refused != nil {
		return refused
	}
	if route.Group != session.route.Group {
		session.changeGroup(route.Group)
	}
	if route.Database == "" {
		route.Database = ids.DatabaseName(session.caller.Owner)
	}
	session.contract, session.revision, session.route = own, max(revision, ownerRevision), route
	session.readOnly = session.caller.ReadOnly || route.Access == contract.Read
	return nil
}

// checkContracts performs the checks of applyContracts without changing the session. Other goroutines may call it.
func (session *Session) checkContracts() *refusal.Refusal {
	own, _, ok := session.server.Control.Contract(session.caller.Organisation)
	if !ok {
		return refusal.New(refusal.ContractWithdrawn, string(session.caller.Organisation))
	}
	owner, _, ok := session.server.Control.Contract(session.caller.Owner)
	if !ok {
		return refusal.New(refusal.RouteUnknown, string(session.caller.Owner))
	}
	_, refused := permittedRoute(own, owner, session.caller)
	return refused
}

// permittedRoute returns the caller's route if the contracts still contain the key and permit the route.
func permittedRoute(own, owner *contract.Contract, caller Caller) (contract.Route, *refusal.Refusal) {
	key, ok := own.Key(caller.Key)
	if !ok || !key.WithdrawnAt.IsZero() {
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

// openToken verifies the caller's session token and takes over its positions.
func (session *Session) openToken() *refusal.Refusal {
	if session.caller.Token == "" || session.server.TokenSigner == nil {
		return nil
	}
	tokenPositions, err := session.server.TokenSigner.Verify(session.caller.Organisation, session.caller.Token)
	if err != nil {
		return refusal.New(refusal.TokenInvalid, err.Error())
	}
	session.tokenPositions = tokenPositions
	session.observed = session.observedByToken(session.route.Group)
	return nil
}

// appendToken appends a session token with the session's positions, of which that in the group has changed, if the caller wants one.
func (session *Session) appendToken(dst []byte, changed ids.GroupID) []byte {
	if !session.caller.WantsToken || session.server.TokenSigner == nil {
		return dst
	}
	own := position.In(changed, session.observedIn(changed))
	found := false
	for index := range session.tokenPositions {
		if group, _ := session.tokenPositions[index].Parts(); group == changed {
			session.tokenPositions[index], found = own, true
		}
	}
	if !found {
		session.tokenPositions = append(session.tokenPositions, own)
	}
	token := session.server.TokenSigner.Sign(session.caller.Organisation, session.tokenPositions...)
	dst, _ = (&pgproto3.ParameterStatus{Name: "dotterel.token", Value: token}).Encode(dst)
	return dst
}
