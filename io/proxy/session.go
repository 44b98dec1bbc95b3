package proxy

import (
	"errors"
	"fmt"
	"os"
	"runtime/debug"
	"time"

	"dotterelgw/core/catalog"
	"dotterelgw/core/ids"
	"dotterelgw/core/position"
	"dotterelgw/core/refusal"
	"dotterelgw/core/statement"
	"dotterelgw/io/clock"
)

const (
	// startTimeout bounds the time in which a caller sends what it starts with.
	startTimeout = 3 * time.Second
	// catalogWait is how long a caller waits for the first configuration; callers give up after 2 s.
	catalogWait = 1500 * time.Millisecond
	// catalogPoll is the time between two looks for the first configuration.
	catalogPoll = 20 * time.Millisecond
	// maxNames bounds the session values and prepared statements of one session.
	maxNames = 256
	// defaultTimeout bounds a statement on routes that state no bound.
	defaultTimeout = 2 * time.Second
)

// errEnded ends the loop of a session whose caller got what it is to get.
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

	state       statement.State
	transaction *transaction
	values      map[string]string
	prepared    map[string]statement.Shape
	// written is the position of the session's last acknowledged write, and writtenAt the time of it.
	written   position.Position
	writtenAt time.Duration
	// routed is where the last statement ran.
	routed routed
	// replied states that the caller has just been answered and cannot have sent a further request; quietSince is the time of its
	// last answer.
	replied    bool
	quietSince time.Duration
}

// routed is the decision on where a statement runs, for the log.
type routed struct {
	server   ids.BackendServerID
	required position.Position
	attempts int
}

func newSession(server *Server, caller Caller) *session {
	return &session{server: server, caller: caller}
}

// run serves the session until it ends. A fault in one session must not end the others.
func (session *session) run() {
	defer session.caller.Close()
	defer session.abandon()
	defer func() {
		if reason := recover(); reason != nil {
			session.server.Decisions.Event("session_panicked", "reason", fmt.Sprint(reason), "stack", string(debug.Stack()))
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

// start reads what the caller starts with; false if there is no session.
func (session *session) start() bool {
	route, key, err := session.caller.Start(time.Now().Add(startTimeout))
	if err != nil {
		if reply, ok := session.caller.ReplyTo(err); ok {
			session.server.Decisions.Request("start_refused", "code", reply.Code, "err", err)
			session.reject(reply)
		}
		return false
	}
	session.route, session.key = route, key
	if !session.awaitCatalog() {
		session.reject(session.answer(statement.Request{}, refuse(refusal.NotConfirmed, retryElsewhere, "no configuration yet"), statement.Idle))
		return false
	}
	if _, _, refused := session.authorise(); refused != nil && refused.Reason != refusal.NotConfirmed {
		session.reject(session.answer(statement.Request{}, refused, statement.Idle))
		return false
	}
	session.quietSince = clock.Now()
	return session.caller.Accept() == nil
}

// reject ends a start-up; the caller may be gone, which leaves nothing to do.
func (session *session) reject(reply statement.Reply) { _ = session.caller.Reject(reply) }

func (session *session) awaitCatalog() bool {
	for end := time.Now().Add(catalogWait); session.server.Directory.Catalog() == nil; time.Sleep(catalogPoll) {
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
	if !ok && !route.Open {
		return nil, nil, refuse(refusal.KeyUnknown, 0, fmt.Sprintf("configuration %d", current.Version))
	}
	if !ok {
		organisation = &catalog.Organisation{ID: anonymous}
	}
	session.organisation = organisation.ID
	return route, organisation, nil
}

// anonymous stands for callers of open routes that show no key.
const anonymous ids.OrganisationID = "-"

// next serves one request.
func (session *session) next() error {
	if session.server.draining.Load() && session.state == statement.Idle && !session.caller.Pending() && session.mayEnd() {
		return errEnded
	}
	session.replied = false
	request, err := session.caller.Next(session.deadline())
	if errors.Is(err, os.ErrDeadlineExceeded) {
		session.expire()
		return nil
	}
	if err != nil {
		return session.broken(err)
	}
	arrived := clock.Now()
	reply := session.serve(request, arrived)
	if err := session.caller.Reply(reply); err != nil {
		return errEnded
	}
	session.replied, session.quietSince = true, clock.Now()
	session.measure(request, reply, arrived)
	if reply.Code == statement.KeyUnknown {
		return errEnded
	}
	return nil
}

// quietTime is the time without a request after which a session ends in a planned stop: the next request of a caller that sends many is
// likely to be on its way.
const quietTime = time.Second

// mayEnd states whether a planned stop may end the session now without cutting a request that is on its way.
func (session *session) mayEnd() bool {
	return session.replied || clock.Now()-session.quietSince >= quietTime
}

// broken answers a message that violates the protocol, if it can be answered, and ends the session.
func (session *session) broken(err error) error {
	if reply, ok := session.caller.ReplyTo(err); ok {
		session.server.refusals[refusal.ProtocolError].Inc(1)
		session.server.Decisions.Request("refused", "route", session.route, "organisation", session.organisation,
			"reason", refusal.ProtocolError, "outcome", refusal.NotRun, "err", err)
		reply.State = session.state
		_ = session.caller.Reply(reply)
	}
	return errEnded
}

// deadline returns the time up to which the session waits for a request; the zero value waits for ever.
func (session *session) deadline() time.Time {
	transaction := session.transaction
	if transaction == nil || transaction.ended != "" {
		return time.Time{}
	}
	var end time.Duration
	if transaction.idleLimit > 0 {
		end = transaction.touched + transaction.idleLimit
	}
	if limit := time.Duration(session.server.transactionsEnd.Load()); limit > 0 && (end == 0 || limit < end) {
		end = limit
	}
	if end == 0 {
		return time.Time{}
	}
	return time.Now().Add(max(end-clock.Now(), 0))
}

// expire rolls back a transaction whose caller was idle for too long or that outlasted the grace of a stop.
func (session *session) expire() {
	transaction := session.transaction
	if transaction == nil || transaction.ended != "" {
		return
	}
	now := clock.Now()
	idle := transaction.idleLimit > 0 && now >= transaction.touched+transaction.idleLimit
	limit := time.Duration(session.server.transactionsEnd.Load())
	if !idle && (limit == 0 || now < limit) {
		return
	}
	reason := refusal.TransactionLimit
	if !idle {
		reason = refusal.Stopping
	}
	session.server.Decisions.Request("transaction_ended", "route", session.route, "organisation", session.organisation,
		"reason", reason, "idle_ms", (now - transaction.touched).Milliseconds())
	session.abandon()
	transaction.ended = reason
}

// measure notes the latency of an answer and where it came from.
func (session *session) measure(request statement.Request, reply statement.Reply, arrived time.Duration) {
	switch request.Statement.Kind {
	case statement.Read, statement.Write, statement.Execute, statement.Commit:
	default:
		return
	}
	took := clock.Now() - arrived
	session.server.outcome(request.Statement.Kind.String(), reply.Code.String()).Update(took.Microseconds())
	if reply.Code != statement.Complete {
		return
	}
	session.server.Decisions.Request("served", "request", request.ID, "kind", request.Statement.Kind, "route", session.route,
		"organisation", session.organisation, "server", session.routed.server, "required", session.routed.required.Log,
		"position", reply.Position.Log, "term", reply.Position.Term, "attempts", session.routed.attempts,
		"configuration", session.version, "took_ms", took.Milliseconds())
}
