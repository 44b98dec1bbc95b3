package proxy

import (
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"dotterelgw/core/balance"
	"dotterelgw/core/catalog"
	"dotterelgw/core/ids"
	"dotterelgw/core/position"
	"dotterelgw/core/refusal"
	"dotterelgw/core/statement"
	"dotterelgw/io/clock"
	"dotterelgw/io/dbpool"
	"dotterelgw/io/monitor"
)

const (
	// stalenessMargin is subtracted from the staleness that a route accepts, to cover clock differences and the network
	// delay from the caller.
	stalenessMargin = 30 * time.Millisecond
	// maxFullPools is the number of servers with a full queue after which a read is refused.
	maxFullPools = 3
	// executionFraction is the fraction of a statement's timeout that is reserved for running it.
	executionFraction = 0.4
	// writeGrace is how long writes are still sent to a primary whose confirmation has expired: a primary that was
	// replaced acknowledges none. While a replacement is under way the primary counts as unconfirmed at once.
	writeGrace = 2 * time.Second
	// coldAdmissionValidity is how long a statement that was admitted to a cold server may wait for its connection. Later it would count in
	// another second than the one that its budget is for.
	coldAdmissionValidity = 50 * time.Millisecond
	// recheckInterval is the longest time between two checks of a group while a request waits for it.
	recheckInterval = 50 * time.Millisecond
)

// target is the server chosen for a statement, with the position that its log must have reached.
type target struct {
	server *monitor.Server
	conn   *dbpool.Conn
	after  position.GroupPosition
}

// attempts tracks the attempts of one statement to find a server that runs it.
type attempts struct {
	deadline time.Time
	excluded map[ids.BackendServerID]bool
	count    int
	// busy is the number of attempts that found no free slot.
	busy int
	// unusable is why the connection of the last attempt could not be used; nil if it could.
	unusable error
}

// exhausted returns the refusal of a statement that all its attempts did not run; code is that of the last answer.
func (attempts *attempts) exhausted(code statement.Code) *refused {
	if attempts.unusable != nil {
		return refuse(refusal.BackendLost, retrySoon, fmt.Sprintf("%d attempts: %v", attempts.count, attempts.unusable))
	}
	return refuse(refusal.QueueTimeout, retrySoon, fmt.Sprintf("%d attempts, last %s", attempts.count, code))
}

// used returns the number of attempts without those that found no free slot, which the pauses in between bound.
func (attempts *attempts) used() int { return attempts.count - attempts.busy }

// pause waits before a statement is retried on a server that had no free slot. It returns false if too little time is
// left.
func (attempts *attempts) pause() bool {
	pause := balance.BusyBackoff(attempts.busy, rand.Float64())
	attempts.busy++
	if !time.Now().Add(pause).Before(attempts.deadline) {
		return false
	}
	time.Sleep(pause)
	return true
}

func (attempts *attempts) exclude(server *monitor.Server) {
	if attempts.excluded == nil {
		attempts.excluded = make(map[ids.BackendServerID]bool)
	}
	attempts.excluded[server.ID()] = true
}

// acquire returns a connection to a server that may run the operation, waiting for one until the deadline.
func (session *session) acquire(operation *operation, attempts *attempts) (target, *refused) {
	group, refused := session.group(operation)
	if refused != nil {
		return target{}, refused
	}
	ctx, cancel := operation.acquireContext(attempts)
	defer cancel()
	tried := &triedServers{cold: make(map[ids.BackendServerID]bool)}
	for {
		changed := group.Changed()
		chosen, cause := session.choose(group, operation, attempts)
		next := awaitChange
		if chosen.server != nil {
			cause, next = session.acquireFrom(ctx, &chosen, operation, attempts, tried)
		}
		switch next {
		case acquired:
			return chosen, nil
		case tryAnother:
			continue
		case giveUp:
			return target{}, cause
		}
		if primaryUnavailable := session.primaryUnavailable(ctx, group, cause); primaryUnavailable != nil {
			return target{}, primaryUnavailable
		}
		if !waitForChange(ctx, changed) {
			return target{}, cause
		}
	}
}

// triedServers holds what one search for a server has found.
type triedServers struct {
	// cold holds the cold servers whose budgets were used up. The excluded servers are forgotten once no other can serve a read, these
	// are not.
	cold map[ids.BackendServerID]bool
	// full is the number of servers with a full queue.
	full int
}

// nextStep is what follows the try to acquire a connection to a server.
type nextStep uint8

const (
	// acquired means that the connection was acquired.
	acquired nextStep = iota
	// tryAnother means that another server is tried at once.
	tryAnother
	// awaitChange means that a change of the group may help.
	awaitChange
	// giveUp means that the operation is refused.
	giveUp
)

// acquireFrom acquires a connection to the chosen server. Unless it succeeds, it returns the cause and what to do next.
func (session *session) acquireFrom(ctx context.Context, chosen *target, operation *operation, attempts *attempts, tried *triedServers) (*refused, nextStep) {
	server := chosen.server
	if !session.server.admitsTo(server) {
		if operation.primaryOnly() || tried.cold[server.ID()] {
			return refuseCold(server), giveUp
		}
		tried.cold[server.ID()] = true
		attempts.exclude(server)
		return refuseCold(server), tryAnother
	}
	asked := time.Now()
	conn, err := server.Acquire(ctx, operation.poolRequest(), attempts.deadline)
	if err == nil && time.Since(asked) > coldAdmissionValidity && !session.server.admitsTo(server) {
		conn.Release(statement.Idle)
		return refuseCold(server), giveUp
	}
	if err == nil {
		chosen.conn = conn
		return nil, acquired
	}
	session.server.Groups.AcquireFailed(server, err)
	if errors.Is(err, dbpool.ErrQueueFull) {
		if tried.full++; operation.primaryOnly() || tried.full >= maxFullPools {
			return refuseSlot(err), giveUp
		}
		attempts.exclude(server)
		return refuseSlot(err), tryAnother
	}
	if !errors.Is(err, dbpool.ErrAcquireTimeout) && !operation.writes {
		attempts.exclude(server)
	}
	return refuseSlot(err), awaitChange
}

// group returns the database group of the operation, or why none of its servers can run it.
func (session *session) group(operation *operation) (*monitor.Group, *refused) {
	group := session.server.Groups.Group(operation.route.Group)
	if group == nil {
		return nil, refuse(refusal.NoPrimary, retryPrimary, "no server is registered")
	}
	group.MarkUsed()
	if group.EntirelyClosed() {
		return nil, refuse(refusal.ZoneEvacuated, retryEvacuated, "all servers are in evacuated zones")
	}
	return group, nil
}

// poolRequest returns the request for a connection, or for a slot of the server, for a statement of the operation.
func (operation *operation) poolRequest() dbpool.Request {
	return dbpool.Request{
		Organisation: operation.organisation.ID, Priority: operation.route.Priority, Arrived: operation.arrived,
		Objective: operation.route.Objective, PrimaryOnly: operation.primaryOnly(),
	}
}

// acquireContext returns the context in which a statement of the operation waits for its server. It reserves time for running the
// statement: one that is cancelled right after it was sent may have run for nothing or leave its outcome unknown.
func (operation *operation) acquireContext(attempts *attempts) (context.Context, context.CancelFunc) {
	reserved := time.Duration(float64(operation.timeout()) * executionFraction)
	return context.WithDeadline(context.Background(), attempts.deadline.Add(-reserved))
}

// refuseSlot returns the refusal for a statement that got no connection or no slot of its server.
func refuseSlot(err error) *refused {
	var full *dbpool.QueueFullError
	switch {
	case errors.As(err, &full) && full.RoomIn > 0:
		return refuse(refusal.QueueFull, full.RoomIn, err.Error())
	case errors.Is(err, dbpool.ErrQueueFull):
		return refuse(refusal.QueueFull, retrySoon, err.Error())
	}
	return refuse(refusal.QueueTimeout, retrySoon, err.Error())
}

// refuseCold returns the refusal for a statement that a cold server can't take now.
func refuseCold(server *monitor.Server) *refused {
	return refuse(refusal.ServerCold, retryCold, string(server.ID())+" has just started")
}

// admitsTo reports whether a statement may be sent to the server, which is false if it is cold and has had enough for now.
func (server *Server) admitsTo(target *monitor.Server) bool {
	return server.Cold == nil || server.Cold.Admit(target.ID())
}

// primaryUnavailable returns a refusal if the request waits for a primary that is not expected before its deadline, nil
// if waiting may help.
func (session *session) primaryUnavailable(ctx context.Context, group *monitor.Group, cause *refused) *refused {
	switch cause.Reason {
	case refusal.NoPrimary, refusal.StaleRoute, refusal.ZoneEvacuated:
	default:
		return nil
	}
	expected := group.RecoveryEstimate()
	if cause.Reason == refusal.ZoneEvacuated {
		expected = group.EvacuationEstimate()
	}
	if deadline, ok := ctx.Deadline(); !ok || expected <= time.Until(deadline) {
		return nil
	}
	return refuse(cause.Reason, expected, cause.Note)
}

// waitForChange returns at the next change or after recheckInterval. It returns false once the context has ended.
func waitForChange(ctx context.Context, changed <-chan struct{}) bool {
	timer := time.NewTimer(recheckInterval)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
	}
	return ctx.Err() == nil
}

// choose returns the server for the operation's next statement, or the reason why there is none now.
func (session *session) choose(group *monitor.Group, operation *operation, attempts *attempts) (target, *refused) {
	leader, term, known := group.Primary()
	closed := known && leader.Closed()
	if known && !leader.Usable() {
		known = false
	}
	certain := group.LeaseExpiry()
	if closed && operation.primaryOnly() {
		return target{}, refuse(refusal.ZoneEvacuated, max(group.EvacuationEstimate(), retryPrimary), string(leader.ID())+" is the primary, in an evacuated zone")
	}
	if operation.writes {
		if !known || certain < operation.requiredConfirmation(clock.Now()) {
			return target{}, refuse(refusal.NoPrimary, retryPrimary, describeConfirmation(term, certain))
		}
		return target{server: leader}, nil
	}
	if operation.route.Consistency == catalog.PrimaryReads {
		if !known || certain < operation.arrived {
			return target{}, refuse(refusal.NoPrimary, retryPrimary, describeConfirmation(term, certain))
		}
		return target{server: leader}, nil
	}
	return session.chooseRead(group, operation, attempts, session.mayReadPrimary(group, operation))
}

// mayReadPrimary reports whether the primary is confirmed for reads of the operation.
func (session *session) mayReadPrimary(group *monitor.Group, operation *operation) bool {
	leader, term, known := group.Primary()
	return known && leader.Usable() && group.LeaseExpiry() >= operation.freshnessBound() && session.knowsNoLaterTerm(group, term)
}

// knowsNoLaterTerm reports whether the session has written nothing in the group in a later term, in which another primary leads.
func (session *session) knowsNoLaterTerm(group *monitor.Group, term ids.Term) bool {
	_, own := session.own.in(group.ID()).at.Parts()
	return own.Term <= term
}

// describeConfirmation describes until when the primary was or is confirmed.
func describeConfirmation(term ids.Term, certain time.Duration) string {
	if certain == 0 {
		return fmt.Sprintf("term %d, not confirmed", term)
	}
	if left := certain - clock.Now(); left > 0 {
		return fmt.Sprintf("term %d, silent, confirmed for another %v", term, left.Round(time.Millisecond))
	}
	return fmt.Sprintf("term %d, confirmed until %v ago", term, (clock.Now() - certain).Round(time.Millisecond))
}

// requiredConfirmation returns the time until which the primary must be confirmed for the operation to run on it. A
// transaction may read, and a primary that was replaced without noticing lacks the writes of its successor. A single
// write requires no current confirmation if a replaced primary cannot acknowledge anything; it only falls under
// writeGrace.
func (operation *operation) requiredConfirmation(now time.Duration) time.Duration {
	switch {
	case !operation.reads && operation.synchronous:
		return now - writeGrace
	case operation.route.Consistency == catalog.PrimaryReads || !operation.synchronous:
		return operation.arrived
	}
	return operation.freshnessBound()
}

// primaryOnly reports whether only the primary may run the operation.
func (operation *operation) primaryOnly() bool {
	return operation.writes || operation.route.Consistency == catalog.PrimaryReads
}

// freshnessBound returns the time before which all acknowledged writes must be visible to the operation.
func (operation *operation) freshnessBound() time.Duration {
	return operation.arrived - max(operation.route.MaxStaleness-stalenessMargin, 0)
}

// chooseRead returns the server for a read that may miss recent writes of other sessions.
func (session *session) chooseRead(group *monitor.Group, operation *operation, attempts *attempts, primary bool) (target, *refused) {
	now := clock.Now()
	floor, ok := group.MinReadPosition(operation.freshnessBound())
	if !ok && !primary {
		return target{}, refuse(refusal.StaleRoute, retrySoon, "no recent position of the primary is known")
	}
	request, err := session.readRequest(group, operation, attempts, floor, now, primary)
	if err != nil {
		return target{}, refuse(refusal.StaleRoute, retrySoon, err.Error())
	}
	if !ok {
		// Only the primary is known to hold the required writes.
		leader, _, known := group.Primary()
		if !known || leader.Closed() {
			return target{}, refuse(refusal.NoPrimary, retryPrimary, "the primary is no longer known")
		}
		return target{server: leader}, nil
	}
	server, err := group.ChooseRead(request)
	if err == nil && server == nil && len(attempts.excluded) > 0 {
		attempts.excluded = nil
		request.Excluded = nil
		server, err = group.ChooseRead(request)
	}
	if err != nil {
		return target{}, refuse(refusal.StaleRoute, retrySoon, err.Error())
	}
	if server == nil {
		return target{}, refuse(refusal.StaleRoute, retrySoon, fmt.Sprintf("no server has reached %s", request.Position))
	}
	return target{server: server, after: request.Position}, nil
}

// readRequest describes what a read requires of its server. Floor is the position that covers the writes which it must see. The error wraps
// position.ErrOtherGroup if the floor is not one of the group.
func (session *session) readRequest(group *monitor.Group, operation *operation, attempts *attempts, floor position.GroupPosition, now time.Duration, primary bool) (monitor.ReadRequest, error) {
	request := monitor.ReadRequest{
		Organisation: operation.organisation.ID, Position: floor, Age: now - operation.freshnessBound(), Primary: primary, Excluded: attempts.excluded,
	}
	if operation.route.Consistency != catalog.ReadYourWrites {
		return request, nil
	}
	own := session.own.in(group.ID())
	lacksOwn, err := floor.Less(own.at)
	if err != nil {
		return request, fmt.Errorf("comparing with the session's own write: %w", err)
	}
	if lacksOwn {
		request.Position, request.Age = own.at, now-own.acknowledgedAt
	}
	return request, nil
}

// maxEncodedShape is the length in bytes up to which a shape is encoded in the name of its statement on backend servers; a longer one
// is hashed.
const maxEncodedShape = 256

// serverStatementName returns the name of a prepared statement on backend servers. Sessions that prepare the same shape
// share it.
func serverStatementName(prepared statement.Prepared) string {
	name := []byte("r_")
	if prepared.Writes {
		name = []byte("w_")
	}
	if len(prepared.Text) > maxEncodedShape {
		// An encoded shape has no "__", as "_" is followed by two digits.
		return fmt.Sprintf("%s_%x", name, sha256.Sum256([]byte(prepared.Text)))
	}
	for _, char := range []byte(prepared.Text) {
		if char >= '0' && char <= '9' || char >= 'a' && char <= 'z' || char >= 'A' && char <= 'Z' {
			name = append(name, char)
			continue
		}
		name = fmt.Appendf(name, "_%02x", char)
	}
	return string(name)
}

// call returns the call that forwards the statement, and for Execute the name and shape of the prepared statement.
func (session *session) call(request statement.Request) (call dbpool.Call, name string, prepared statement.Prepared) {
	stmt := request.Statement
	call = dbpool.Call{ID: request.ID, Kind: stmt.Kind, Text: stmt.Text}
	if stmt.Kind != statement.Execute {
		return call, "", statement.Prepared{}
	}
	prepared = session.names.prepared[stmt.Name]
	name = serverStatementName(prepared)
	call.Name, call.Value = name, stmt.Value
	return call, name, prepared
}

// writes reports whether the statement modifies data; known is false if it names no prepared statement.
func (session *session) writes(stmt statement.Statement) (writes, known bool) {
	if stmt.Kind != statement.Execute {
		return stmt.Kind == statement.Write, true
	}
	prepared, known := session.names.prepared[stmt.Name]
	return prepared.Writes, known
}
