package proxy

import (
	"errors"
	"fmt"
	"os"
	"runtime/debug"
	"sync/atomic"
	"time"

	"dotterelgw/core/catalog"
	"dotterelgw/core/ids"
	"dotterelgw/core/position"
	"dotterelgw/core/refusal"
	"dotterelgw/core/statement"
	"dotterelgw/io/clock"
)

const (
	// startTimeout bounds the time for a caller to send its start-up message.
	startTimeout = 3 * time.Second
	// catalogTimeout is how long a caller waits for the first configuration; callers give up after 2 s.
	catalogTimeout = 1500 * time.Millisecond
	// catalogPollInterval is the time between two checks for the first configuration.
	catalogPollInterval = 20 * time.Millisecond
	// defaultTimeout bounds a statement on routes without a timeout of their own.
	defaultTimeout = 2 * time.Second
)

// errEnded ends the request loop of a session that needs no further answer.
var errEnded = errors.New("session ended")

// session is one caller's connection.
type session struct {
	server       *Server
	caller       Caller
	route        ids.RouteName
	key          catalog.Key
	organisation ids.OrganisationID
	// version is the version of the configuration that the last request was checked against.
	version catalog.Version

	state       statement.TransactionState
	transaction *transaction
	names       names
	// own holds the session's last acknowledged writes.
	own ownWrites
	// routing describes where the last statement ran.
	routing routing
	// replied reports whether the caller has just been answered and cannot have sent another request yet. idleSince is the
	// time of the last answer.
	replied   bool
	idleSince time.Duration
	// ending reports whether the session ends after the answer to the current request.
	ending bool
	// opened is set once the start-up message has been read.
	opened atomic.Bool
}

// routing is the routing decision for a statement, kept for the log.
type routing struct {
	server   ids.BackendServerID
	group    ids.GroupID
	required position.GroupPosition
	attempts int
	// connection is the number of the connection to the server, 0 if a home holds it.
	connection int64
}

func newSession(server *Server, caller Caller) *session {
	return &session{server: server, caller: caller}
}

// run serves the session until it ends. It recovers panics, so that a fault in one session does not end the others.
func (session *session) run() {
	defer session.end()
	defer func() {
		if reason := recover(); reason != nil {
			session.server.EventLog.Event("session_panicked", "reason", fmt.Sprint(reason), "stack", string(debug.Stack()))
		}
	}()
	if !session.start() {
		return
	}
	for {
		if err := session.next(); err != nil {
			return
		}
	}
}

// end rolls an open transaction back and closes the caller's connection, which may take a moment; what the session keeps is dropped before.
func (session *session) end() {
	session.closeConnection()
	session.names = names{}
	session.caller.Close()
}

// start reads the caller's start-up message and reports whether the session was opened.
func (session *session) start() bool {
	route, key, err := session.caller.Start(time.Now().Add(startTimeout))
	if err != nil {
		if reply, ok := session.caller.ReplyTo(err); ok {
			session.server.EventLog.LimitedEvent("start_refused", "code", reply.Code, "err", err)
			session.reject(reply)
		}
		return false
	}
	session.route, session.key = route, key
	if !session.awaitCatalog() {
		session.reject(session.refusalReply(statement.Request{}, refuse(refusal.NotConfirmed, retryElsewhere, "no configuration yet"), statement.Idle))
		return false
	}
	if _, _, refused := session.authorise(); refused != nil && refused.Reason != refusal.NotConfirmed {
		session.reject(session.refusalReply(statement.Request{}, refused, statement.Idle))
		return false
	}
	session.idleSince = clock.Now()
	session.opened.Store(true)
	return session.caller.Accept() == nil
}

// reject refuses the session. An error is ignored, as the caller may be gone.
func (session *session) reject(reply statement.Reply) { _ = session.caller.Reject(reply) }

func (session *session) awaitCatalog() bool {
	for end := time.Now().Add(catalogTimeout); session.server.Directory.Catalog() == nil; time.Sleep(catalogPollInterval) {
		if time.Now().After(end) {
			return false
		}
	}
	return true
}

// authorise checks the session's route and key against the configuration in force.
func (session *session) authorise() (*catalog.Route, *catalog.Organisation, *refused) {
	current := session.server.Directory.Catalog()
	if age := session.server.Directory.CatalogAge(); age > session.server.MaxCatalogAge {
		return nil, nil, refuse(refusal.NotConfirmed, retryElsewhere, fmt.Sprintf("configuration %d was confirmed %v ago", current.Version, age))
	}
	session.version = current.Version
	route, ok := current.Routes[session.route]
	if !ok {
		return nil, nil, refuse(refusal.RouteUnknown, 0, fmt.Sprintf("configuration %d", current.Version))
	}
	organisation, ok := current.Keys[session.key]
	if !ok && !route.Keyless {
		return nil, nil, refuse(refusal.KeyUnknown, 0, fmt.Sprintf("configuration %d", current.Version))
	}
	if !ok {
		organisation = &catalog.Organisation{ID: anonymous}
	}
	session.organisation = organisation.ID
	return route, organisation, nil
}

// anonymous is the organisation of callers without a key on open routes.
const anonymous ids.OrganisationID = "-"

// next serves one request.
func (session *session) next() error {
	if session.server.draining.Load() && session.state == statement.Idle && !session.caller.Pending() && session.mayClose() {
		return errEnded
	}
	session.replied = false
	request, err := session.caller.Next(session.deadline())
	if errors.Is(err, os.ErrDeadlineExceeded) {
		session.expire()
		return nil
	}
	if err != nil {
		return session.handleProtocolError(err)
	}
	arrived := clock.Now()
	reply := session.serve(request, arrived)
	if err := session.caller.Reply(reply); err != nil {
		return errEnded
	}
	session.replied, session.idleSince = true, clock.Now()
	session.recordServed(request, reply, arrived)
	if reply.Code == statement.KeyUnknown || session.ending {
		return errEnded
	}
	return nil
}

// minIdleTime is the idle time after which draining may close a session. Before that, the next request of a caller that
// sends many is likely to be on its way.
const minIdleTime = time.Second

// mayClose reports whether draining can close the session now without cutting off a request that is on its way.
func (session *session) mayClose() bool {
	return session.replied || clock.Now()-session.idleSince >= minIdleTime
}

// handleProtocolError answers a message that violates the protocol, if possible, and ends the session.
func (session *session) handleProtocolError(err error) error {
	if reply, ok := session.caller.ReplyTo(err); ok {
		reason := reasonOf(reply.Code)
		session.server.refusals[reason].Inc(1)
		session.server.EventLog.LimitedEvent("refused", "route", session.route, "organisation", session.organisation,
			"reason", reason, "outcome", refusal.NotRun, "err", err)
		reply.State = session.state
		_ = session.caller.Reply(reply)
	}
	return errEnded
}

// reasonOf returns the reason for which a message that did not arrive as a whole, or can't be parsed, is refused.
func reasonOf(code statement.Code) refusal.Reason {
	switch code {
	case statement.Busy:
		return refusal.MemoryShort
	case statement.TooLarge:
		return refusal.MessageTooLarge
	}
	return refusal.ProtocolError
}

// deadline returns the time until which the session waits for a request. The zero value means no deadline.
func (session *session) deadline() time.Time {
	transaction := session.transaction
	if transaction == nil || transaction.endReason != "" {
		return time.Time{}
	}
	var end time.Duration
	if transaction.idleLimit > 0 {
		end = transaction.lastActivity + transaction.idleLimit
	}
	if limit := time.Duration(session.server.transactionDeadline.Load()); limit > 0 && (end == 0 || limit < end) {
		end = limit
	}
	if closesAt, ok := transaction.closesAt(); ok && (end == 0 || closesAt < end) {
		end = closesAt
	}
	if end == 0 {
		return time.Time{}
	}
	return time.Now().Add(max(end-clock.Now(), 0))
}

// expire rolls back a transaction that exceeded its idle limit, the deadline of draining or that of an evacuation.
func (session *session) expire() {
	transaction := session.transaction
	if transaction == nil || transaction.endReason != "" {
		return
	}
	now := clock.Now()
	reason := session.endReason(transaction, now)
	if reason == "" {
		return
	}
	session.server.EventLog.LimitedEvent("transaction_ended", "route", session.route, "organisation", session.organisation,
		"reason", reason, "idle_ms", (now - transaction.lastActivity).Milliseconds())
	session.closeConnection()
	transaction.endReason = reason
	session.caller.RolledBack()
}

// endReason returns the reason for which the transaction must end now, empty if it may stay open.
func (session *session) endReason(transaction *transaction, now time.Duration) refusal.Reason {
	if transaction.idleLimit > 0 && now >= transaction.lastActivity+transaction.idleLimit {
		return refusal.TransactionLimit
	}
	if closesAt, ok := transaction.closesAt(); ok && now >= closesAt {
		return refusal.ZoneEvacuated
	}
	if limit := time.Duration(session.server.transactionDeadline.Load()); limit > 0 && now >= limit {
		return refusal.Stopping
	}
	return ""
}

// recordServed records the latency of an answer and logs where a successful statement ran.
func (session *session) recordServed(request statement.Request, reply statement.Reply, arrived time.Duration) {
	switch request.Statement.Kind {
	case statement.Read, statement.Write, statement.Execute, statement.Commit:
	default:
		return
	}
	took := clock.Now() - arrived
	session.server.latencies.of(request.Statement.Kind, reply.Code).Update(took.Microseconds())
	if reply.Code != statement.Complete {
		return
	}
	_, required := session.routing.required.Parts()
	_, own := session.own.in(session.routing.group).at.Parts()
	session.server.EventLog.LimitedEvent("served", "request", request.ID, "kind", request.Statement.Kind, "route", session.route,
		"organisation", session.organisation, "server", session.routing.server, "group", session.routing.group, "connection", session.routing.connection, "required_term", required.Term, "required", required.Log,
		"own_term", own.Term, "own", own.Log, "position", reply.Position.Log, "term", reply.Position.Term, "attempts", session.routing.attempts,
		"configuration", session.version, "took_ms", took.Milliseconds())
}
