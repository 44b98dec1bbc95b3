package proxy

import (
	"context"
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
	// ageMargin is subtracted from the age that a route accepts, for clocks and for the way from the caller.
	ageMargin = 30 * time.Millisecond
	// maxCrowded is the number of servers without room after which a read is refused.
	maxCrowded = 3
	// runPart is the part of a statement's time that is kept for running it.
	runPart = 0.4
	// writeGrace is the time after the end of certainty about the primary in which writes are still sent to it: a primary
	// that was replaced acknowledges none. A primary that is being replaced counts as uncertain at once.
	writeGrace = 2 * time.Second
	// recheck is the longest time between two looks at a group while a request waits for it.
	recheck = 50 * time.Millisecond
)

// target is a server with what a read must ask of it.
type target struct {
	server *monitor.Server
	conn   *dbpool.Conn
	after  position.Position
}

// attempts is the state of the search for a server over the attempts of one statement.
type attempts struct {
	deadline time.Time
	excluded map[ids.BackendServerID]bool
	count    int
	// busy is the number of times that no slot was free.
	busy int
}

// used returns the number of attempts but for those that only found no slot, which their pauses bound.
func (attempts *attempts) used() int { return attempts.count - attempts.busy }

// pause waits before the statement is sent again to a server that had no slot; false if its time does not suffice.
func (attempts *attempts) pause() bool {
	pause := balance.BusyPause(attempts.busy, rand.Float64())
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
	group := session.server.Groups.Group(operation.route.Group)
	if group == nil {
		return target{}, refuse(refusal.NoPrimary, retryPrimary, "no server is registered")
	}
	group.Use()
	// What is sent needs time to run: a statement that is broken off at once may have run in vain, or in doubt.
	ctx, cancel := context.WithDeadline(context.Background(), attempts.deadline.Add(-time.Duration(float64(operation.timeout())*runPart)))
	defer cancel()
	for crowded := 0; ; {
		changed := group.Changed()
		chosen, missing := session.choose(group, operation, attempts)
		if chosen.server != nil {
			conn, err := chosen.server.Pool.Acquire(ctx, poolRequest(operation.organisation.ID, operation.route))
			if err == nil {
				chosen.conn = conn
				return chosen, nil
			}
			session.server.Groups.NoConnection(chosen.server, err)
			missing = refuse(refusal.QueueTimeout, retrySoon, err.Error())
			if errors.Is(err, dbpool.ErrCrowded) {
				if crowded++; operation.onPrimary() || crowded >= maxCrowded {
					return target{}, refuse(refusal.QueueFull, retrySoon, err.Error())
				}
				attempts.exclude(chosen.server)
				continue
			}
			if !errors.Is(err, dbpool.ErrNoConnection) && !operation.writes {
				attempts.exclude(chosen.server)
			}
		}
		if hopeless := session.hopeless(ctx, group, missing); hopeless != nil {
			return target{}, hopeless
		}
		if !wait(ctx, changed) {
			return target{}, missing
		}
	}
}

// hopeless returns the refusal of a request that waits for a primary which is not expected in time, nil if waiting may help.
func (session *session) hopeless(ctx context.Context, group *monitor.Group, missing *refused) *refused {
	if missing.Reason != refusal.NoPrimary && missing.Reason != refusal.StaleRoute {
		return nil
	}
	expected := group.ExpectedBack()
	if deadline, ok := ctx.Deadline(); !ok || expected <= time.Until(deadline) {
		return nil
	}
	return refuse(missing.Reason, expected, missing.Note)
}

// wait returns at a change or after a short time; false when the context has ended.
func wait(ctx context.Context, changed <-chan struct{}) bool {
	timer := time.NewTimer(recheck)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
	}
	return ctx.Err() == nil
}

// choose returns the server for the operation's next statement, or why there is none now.
func (session *session) choose(group *monitor.Group, operation *operation, attempts *attempts) (target, *refused) {
	leader, term, known := group.Leader()
	if known && !leader.Usable() {
		known = false
	}
	certain := group.CertainUntil()
	if operation.writes {
		if !known || certain < operation.needsCertainty(clock.Now()) {
			return target{}, refuse(refusal.NoPrimary, retryPrimary, uncertain(term, certain))
		}
		return target{server: leader}, nil
	}
	if operation.route.Consistency == catalog.Primary {
		if !known || certain < operation.arrived {
			return target{}, refuse(refusal.NoPrimary, retryPrimary, uncertain(term, certain))
		}
		return target{server: leader}, nil
	}
	return session.chooseRead(group, operation, attempts, known && certain >= operation.oldest() && session.written.Term <= term)
}

// uncertain describes how old the certainty about the primary is.
func uncertain(term ids.Term, certain time.Duration) string {
	if certain == 0 {
		return fmt.Sprintf("term %d, not confirmed", term)
	}
	if left := certain - clock.Now(); left > 0 {
		return fmt.Sprintf("term %d, silent, confirmed for another %v", term, left.Round(time.Millisecond))
	}
	return fmt.Sprintf("term %d, confirmed until %v ago", term, (clock.Now() - certain).Round(time.Millisecond))
}

// needsCertainty returns the time up to which the primary must be certain for the operation to run there. A transaction may
// read, and a primary that was replaced without knowing it misses writes of its successor. A single write needs none if
// a primary that was replaced can acknowledge nothing.
func (operation *operation) needsCertainty(now time.Duration) time.Duration {
	switch {
	case !operation.reads && operation.fenced:
		return now - writeGrace
	case operation.route.Consistency == catalog.Primary || !operation.fenced:
		return operation.arrived
	}
	return operation.oldest()
}

// onPrimary states whether only the primary may run the operation.
func (operation *operation) onPrimary() bool {
	return operation.writes || operation.route.Consistency == catalog.Primary
}

// oldest returns the time before which every acknowledged write must be seen.
func (operation *operation) oldest() time.Duration {
	return operation.arrived - max(operation.route.MaxAge-ageMargin, 0)
}

// chooseRead returns the server for a read that may miss recent writes of others.
func (session *session) chooseRead(group *monitor.Group, operation *operation, attempts *attempts, primary bool) (target, *refused) {
	now := clock.Now()
	floor, ok := group.Floor(operation.oldest())
	if !ok && !primary {
		return target{}, refuse(refusal.StaleRoute, retrySoon, "no recent position of the primary is known")
	}
	request := monitor.ReadRequest{
		Organisation: operation.organisation.ID, Position: floor, Age: now - operation.oldest(), Primary: primary, Excluded: attempts.excluded,
	}
	if operation.route.Consistency == catalog.ReadYourWrites && request.Position.Less(session.written) {
		request.Position, request.Age = session.written, now-session.writtenAt
	}
	if !ok {
		// Only the primary is known to hold enough.
		leader, _, known := group.Leader()
		if !known {
			return target{}, refuse(refusal.NoPrimary, retryPrimary, "the primary has just gone")
		}
		return target{server: leader}, nil
	}
	server := group.ChooseRead(request)
	if server == nil && len(attempts.excluded) > 0 {
		attempts.excluded = nil
		request.Excluded = nil
		server = group.ChooseRead(request)
	}
	if server == nil {
		return target{}, refuse(refusal.StaleRoute, retrySoon, fmt.Sprintf("no server has reached %d.%d", request.Position.Term, request.Position.Log))
	}
	return target{server: server, after: request.Position}, nil
}

// serverName returns the name of a prepared statement at backend servers. Sessions that prepare the same shape share it.
func serverName(shape statement.Shape) string {
	name := []byte("r_")
	if shape.Writes {
		name = []byte("w_")
	}
	for _, char := range []byte(shape.Text) {
		if char >= '0' && char <= '9' || char >= 'a' && char <= 'z' || char >= 'A' && char <= 'Z' {
			name = append(name, char)
			continue
		}
		name = fmt.Appendf(name, "_%02x", char)
	}
	return string(name)
}

// call returns the call that forwards the statement, and the shape that it needs if it is prepared.
func (session *session) call(request statement.Request) (call dbpool.Call, name string, shape statement.Shape) {
	asked := request.Statement
	call = dbpool.Call{ID: request.ID, Kind: asked.Kind, Text: asked.Text}
	if asked.Kind != statement.Execute {
		return call, "", statement.Shape{}
	}
	shape = session.prepared[asked.Name]
	name = serverName(shape)
	call.Name, call.Value = name, asked.Value
	return call, name, shape
}

// writes states whether the statement changes an item; false for a name that is not prepared.
func (session *session) writes(asked statement.Statement) (writes, known bool) {
	if asked.Kind != statement.Execute {
		return asked.Kind == statement.Write, true
	}
	shape, known := session.prepared[asked.Name]
	return shape.Writes, known
}
