package promoter

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"dotterelgw/core/catalog"
	"dotterelgw/core/handover"
	"dotterelgw/core/ids"
	"dotterelgw/core/leader"
	"dotterelgw/core/membership"
	"dotterelgw/core/statement"
	"dotterelgw/io/clock"
	"dotterelgw/io/dbpool"
	"dotterelgw/io/monitor"
)

const (
	// promoteTimeout bounds one order to promote.
	promoteTimeout = 700 * time.Millisecond
	// takeoverTimeout is how long a promoted server may take to act as primary; it usually takes 600 ms.
	takeoverTimeout = 3 * time.Second
	// takeoverPollInterval is the time between two checks whether the promoted server acts as primary.
	takeoverPollInterval = 60 * time.Millisecond
	// refreshTimeout bounds the reading of registrations during a replacement. A store slowed down by a factor of 60
	// answers within 240 ms.
	refreshTimeout = 600 * time.Millisecond
	// retryPause is the pause after a failed attempt.
	retryPause = 150 * time.Millisecond
	// unconfirmedTime is how long a server counts as a member that has never answered and whose registration nobody has to renew. The
	// registration of a server that crashed after its start is gone within 3.6 s, and is dropped 2.5 s later; one that stays without a
	// renewal is not of a server.
	unconfirmedTime = 8 * time.Second
)

// replace carries out one attempt to replace the group's primary.
func (promoter *Promoter) replace(ctx context.Context, group *monitor.Group, watched *groupWatch, reason handover.Reason) {
	// A server that registers after this point counts as joined.
	registrationsKnown := promoter.refresh(ctx)
	token, _ := promoter.duty.current()
	record, known := promoter.members.record(token, group.ID())
	if !known {
		promoter.eventLog.LimitedEvent("replacement_given_up", "group", group.ID(), "reason", "members_unknown")
		clock.Sleep(ctx, retryPause)
		return
	}
	if pending := promoter.earlierOrderPending(token, group.ID(), watched); pending > 0 {
		promoter.eventLog.LimitedEvent("replacement_given_up", "group", group.ID(), "reason", "order_pending", "pending_ms", pending.Milliseconds())
		clock.Sleep(ctx, pending)
		return
	}
	members := groupMembers(group)
	servers := group.Servers()
	old := findServer(servers, handover.Primary(members))
	// A server paused for this term receives again from the primary of the term.
	term := promoter.fences.noteTerm(group.ID(), handover.NewestTerm(members)) + 1
	overdue := watched.wait.IsOverdue(clock.Now())
	// An outdated primary does not lead, and may step down in any case.
	leads := watched.CurrentPrimary(members) != nil && responds(old)
	if leads && reason == handover.Absent {
		// The primary is back.
		return
	}
	unlisted := promoter.unlisted.set(token, group.ID(), record, servers)
	if silent := silentMembers(group, servers, record, promoter.unlisted.answering(unlisted)); leads && !handover.MayStepDown(len(silent), overdue) {
		watched.wait.Update(clock.Now(), true, registrationsKnown)
		promoter.eventLog.LimitedEvent("replacement_given_up", "group", group.ID(), "reason", "members_silent", "primary", old.ID(),
			"silent", membersText(silent), "waited_ms", watched.wait.For(clock.Now()).Milliseconds())
		promoter.abandon(ctx, group, watched, term)
		return
	}
	promoter.eventLog.Event("replacement_begun", "group", group.ID(), "reason", reason, "primary", idOf(old), "term", term)
	fenceResult, heardUnlisted, unheard := promoter.fence(group, servers, unlisted, old, term, record)
	fenceResult.Overdue = overdue
	if watched.order.PendingFor(clock.Now()) > 0 {
		fenceResult.Ordered = watched.order.Server
	}
	successor, ok := fenceResult.Successor()
	if !ok {
		watched.wait.Update(clock.Now(), len(fenceResult.Others) > 0, registrationsKnown)
		promoter.eventLog.Event("replacement_given_up", "group", group.ID(), "reason", reason, "stepped_down", fenceResult.SteppedDown,
			"answered", len(fenceResult.Others), "unheard", membersText(unheard), "unlisted_ahead", fenceResult.UnlistedAhead(), "waited_ms", watched.wait.For(clock.Now()).Milliseconds())
		promoter.abandon(ctx, group, watched, term)
		return
	}
	watched.fenced = true
	window, safetyChecks, err := promoter.checkSafety(ctx, group, servers, heardUnlisted, fenceResult, term)
	successor, cause := fenceResult.Confirm(successor, safetyChecks)
	if err != nil {
		cause = "fence_not_stored"
	}
	if handover.IsReachedByOthers(cause) {
		// Another VM reaches the members that this one has been waiting for. The wait begins anew.
		promoter.duty.leave()
	}
	if cause != "" {
		waits := handover.IsIncomplete(cause) || overdue && !handover.IsReachedByOthers(cause)
		watched.wait.Update(clock.Now(), waits, registrationsKnown)
		promoter.eventLog.Event("replacement_given_up", "group", group.ID(), "reason", cause, "successor", successor.ID,
			"position", successor.Received.Log, "acknowledged", safetyChecks.Acknowledged.Log)
		promoter.abandon(ctx, group, watched, term)
		return
	}
	if watched.order.ConflictsWith(successor.ID, clock.Now()) {
		promoter.eventLog.Event("replacement_given_up", "group", group.ID(), "reason", "order_pending", "successor", successor.ID,
			"ordered", watched.order.Server)
		clock.Sleep(ctx, watched.order.PendingFor(clock.Now()))
		return
	}
	if fenceResult.Overdue {
		promoter.eventLog.Event("members_given_up", "group", group.ID(), "successor", successor.ID, "position", successor.Received.Log,
			"acknowledged", safetyChecks.Acknowledged.Log, "unheard", membersText(unheard))
	}
	// From here on replicas stay paused: a pause ends when the server learns of the primary of the new term, and until
	// then an old primary that can still reach the server gets no acknowledgement from it.
	if !promoter.promote(ctx, group, watched, successor, window) {
		return
	}
	watched.order, watched.fenced, watched.wait = handover.Order{}, false, membership.Wait{}
	if old != nil && !fenceResult.SteppedDown && old.ID() != successor.ID {
		go promoter.stepDown(group, old, term, &handover.FenceResult{})
	}
	promoter.announce(ctx, group, term, successor.Received)
	promoter.fences.setNewestTerm(group.ID(), handover.NewestTerm(groupMembers(group)))
	promoter.fences.clear(ctx, group.ID())
}

// earlierOrderPending returns for how long an order of an earlier holder of the duty may still take effect: one stores a fence before it
// orders, and clears it afterwards. Before the fences are known, it returns a short time.
func (promoter *Promoter) earlierOrderPending(token Token, group ids.GroupID, watched *groupWatch) time.Duration {
	term, known := promoter.fences.termFor(token, group)
	switch {
	case watched.fenced:
		return 0
	case !known:
		return retryPause
	case term > 0:
		return promoter.duty.earlierOrder().PendingFor(clock.Now())
	}
	return 0
}

// abandon ends an attempt without a promotion: it makes paused servers receive again, and releases the VMs if they were fenced.
// While an order may still take effect it does neither; the next attempt or cleanUp follows.
func (promoter *Promoter) abandon(ctx context.Context, group *monitor.Group, watched *groupWatch, term ids.Term) {
	defer clock.Sleep(ctx, retryPause)
	now := clock.Now()
	if pending := max(watched.order.PendingFor(now), promoter.duty.earlierOrder().PendingFor(now)); pending > 0 {
		promoter.eventLog.Event("order_pending", "group", group.ID(), "server", watched.order.Server, "pending_ms", pending.Milliseconds())
		return
	}
	if watched.fenced {
		promoter.unfence(ctx, group, watched, term)
		return
	}
	watched.order = handover.Order{}
	promoter.resume(group, term)
}

// unfence releases all VMs, those that start included, and makes paused servers receive again. Without the duty it does nothing.
func (promoter *Promoter) unfence(ctx context.Context, group *monitor.Group, watched *groupWatch, term ids.Term) {
	if !promoter.OnDuty() {
		return
	}
	watched.order, watched.fenced = handover.Order{}, false
	promoter.fences.clear(ctx, group.ID())
	promoter.release(ctx, group, term)
	promoter.resume(group, term)
}

// findServer returns the server of the member, nil if there is none.
func findServer(servers []*monitor.Server, member *handover.Member) *monitor.Server {
	for _, server := range servers {
		if member != nil && server.ID() == member.ID {
			return server
		}
	}
	return nil
}

func idOf(server *monitor.Server) ids.BackendServerID {
	if server == nil {
		return ""
	}
	return server.ID()
}

// responds reports whether there is such a server and it responds.
func responds(server *monitor.Server) bool { return server != nil && server.SilentFor() == 0 }

// silentMembers returns the members that do not respond. Of those that are not registered, the ones given do.
func silentMembers(group *monitor.Group, servers []*monitor.Server, record membership.Record, unlisted []membership.Member) []membership.Member {
	responding := slices.Clone(unlisted)
	for _, server := range servers {
		if _, observed := group.Observed(server.ID()); observed && responds(server) {
			responding = append(responding, identityOf(server))
		}
	}
	return record.Union(registeredMembers(group, servers)).Unheard(responding)
}

// fence prevents the old primary from acknowledging writes: either it steps down, or no other server receives from it
// any more. A silent primary is asked to step down too, since it may only be hard to reach. It also returns the members that answered
// without being registered, and those whose logs remain unknown.
func (promoter *Promoter) fence(group *monitor.Group, servers []*monitor.Server, unlisted []*unlistedMember, old *monitor.Server, term ids.Term, record membership.Record) (fenceResult handover.FenceResult, heardUnlisted []*unlistedMember, unheard []membership.Member) {
	var stepped sync.WaitGroup
	needsPauses := true
	if old != nil {
		observed, known := group.Observed(old.ID())
		fenceResult.Old = memberOf(old, observed, known)
		stepped.Go(func() { promoter.stepDown(group, old, term, &fenceResult) })
		if responds(old) {
			stepped.Wait()
			needsPauses = !fenceResult.SteppedDown
		}
	}
	stored := record
	record = record.Union(registeredMembers(group, servers))
	var answered []membership.Member
	ask := func(call dbpool.Call) {
		var calls sync.WaitGroup
		calls.Go(func() { heardUnlisted, fenceResult.Unlisted = promoter.unlisted.fence(unlisted, call) })
		fenceResult.Others, answered = promoter.askOthers(servers, old, call)
		calls.Wait()
		for _, member := range heardUnlisted {
			answered = append(answered, member.Member)
		}
	}
	if !needsPauses {
		ask(dbpool.Call{Kind: statement.Status})
		// A member that is unheard may be a primary of a newer term, whose writes the others must not help to acknowledge.
		needsPauses = len(record.Unheard(append(answered, identityOf(old)))) > 0
	}
	if needsPauses {
		ask(dbpool.Call{Kind: statement.Pause, Term: term})
		fenceResult.Paused = true
	}
	stepped.Wait()
	if fenceResult.SteppedDown {
		answered = append(answered, identityOf(old))
	}
	unheard = record.Unheard(answered)
	fenceResult.Unheard = len(unheard)
	promoter.eventLog.Event("members_heard", "group", group.ID(), "term", term, "stepped_down", fenceResult.SteppedDown,
		"registered", registeredText(servers), "members", membersText(stored.Members), "heard", membersText(answered), "unheard", membersText(unheard))
	return fenceResult, heardUnlisted, unheard
}

// askOthers sends the call to all servers but the old primary. It returns the state and the identity of those that answered, and that
// paused if the call is to pause.
func (promoter *Promoter) askOthers(servers []*monitor.Server, old *monitor.Server, call dbpool.Call) (others []handover.Member, answered []membership.Member) {
	var mutex sync.Mutex
	var calls sync.WaitGroup
	for _, server := range servers {
		if server == old {
			continue
		}
		calls.Go(func() {
			status, err := promoter.groups.SendControl(server, call)
			mutex.Lock()
			defer mutex.Unlock()
			if err != nil || call.Kind == statement.Pause && status.PausedTerm < call.Term {
				promoter.eventLog.Event("server_not_fenced", "group", server.Info().Group, "server", server.ID(), "term", call.Term, "err", err)
				return
			}
			others = append(others, memberOf(server, leader.Observation{Status: status}, true))
			answered = append(answered, identityOf(server))
		})
	}
	calls.Wait()
	return others, answered
}

// registeredMembers returns the registered servers that count as members of the group: those that have answered or renew their
// registration, and new ones, which may just not have been asked.
func registeredMembers(group *monitor.Group, servers []*monitor.Server) membership.Record {
	var record membership.Record
	for _, server := range servers {
		if _, observed := group.Observed(server.ID()); observed || server.Info().Renewed || server.KnownFor() < unconfirmedTime {
			record.Members = append(record.Members, identityOf(server))
		}
	}
	return record
}

// stepDown asks the old primary to act as a replica.
func (promoter *Promoter) stepDown(group *monitor.Group, old *monitor.Server, term ids.Term, fenceResult *handover.FenceResult) {
	status, err := promoter.groups.SendControl(old, dbpool.Call{Kind: statement.StepDown, Term: term})
	fenceResult.SteppedDown = err == nil && status.Role == catalog.RoleReplica
	fenceResult.Final = status.Received
	promoter.eventLog.Event("primary_asked_to_step_down", "group", group.ID(), "server", old.ID(), "term", term,
		"stepped_down", fenceResult.SteppedDown, "position", status.Received.Log, "err", err)
}

// promote promotes the server and waits until it acts as primary. The order is repeated only for as long as the checks made before
// it hold; after that, the next attempt makes them again.
func (promoter *Promoter) promote(ctx context.Context, group *monitor.Group, watched *groupWatch, successor handover.Member, window handover.OrderWindow) bool {
	for ctx.Err() == nil {
		token, left := promoter.duty.current()
		sentAt := clock.Now()
		if cause := orderRefusal(left, window, sentAt); cause != "" {
			promoter.eventLog.Event("replacement_given_up", "group", group.ID(), "reason", cause, "successor", successor.ID,
				"checked_ms", (sentAt - window.BegunAt).Milliseconds())
			return false
		}
		call, cancel := context.WithTimeout(ctx, min(left, promoteTimeout))
		err := promoter.platform.Promote(call, group.ID(), successor.ID, token)
		cancel()
		if promoter.noteOrder(sentAt, err) {
			watched.order = handover.Order{Server: successor.ID, SentAt: sentAt}
		}
		promoter.eventLog.Event("promotion_ordered", "group", group.ID(), "server", successor.ID, "token", token,
			"position", successor.Received.Log, "checked_ms", (sentAt - window.BegunAt).Milliseconds(), "err", err)
		if promoter.awaitTakeover(ctx, group, successor.ID, err) {
			return true
		}
		if !reachable(group, successor.ID) {
			return false
		}
		clock.Sleep(ctx, retryPause)
	}
	return false
}

// noteOrder records whether an order was sent, and reports it. A VM that can't reach the promotion service leaves the duty to another.
func (promoter *Promoter) noteOrder(at time.Duration, err error) (sent bool) {
	if !errors.Is(err, ErrNotSent) {
		promoter.unsentSince.Store(0)
		return true
	}
	promoter.unsentSince.CompareAndSwap(0, int64(at))
	unsentFor := clock.Now() - time.Duration(promoter.unsentSince.Load())
	since, handedOver := promoter.duty.sinceHandOver()
	if handover.LeavesDuty(unsentFor, since, handedOver) && len(promoter.mesh.Peers()) > 0 {
		promoter.unsentSince.Store(0)
		promoter.duty.leave()
	}
	return false
}

// orderRefusal returns the reason for which no promotion may be ordered now, or an empty string if it may be. left is the time for
// which this VM holds the duty.
func orderRefusal(left time.Duration, window handover.OrderWindow, now time.Duration) string {
	switch {
	case left <= 0:
		return "duty_lost"
	case !window.Allows(now):
		return "checks_expired"
	}
	return ""
}

func reachable(group *monitor.Group, id ids.BackendServerID) bool {
	for _, server := range group.Servers() {
		if server.ID() == id {
			return server.Reachable()
		}
	}
	return false
}

// awaitTakeover waits until the server acts as primary. If the order failed, it waits only for takeoverPollInterval.
func (promoter *Promoter) awaitTakeover(ctx context.Context, group *monitor.Group, id ids.BackendServerID, promoteErr error) bool {
	end := clock.Now() + takeoverTimeout
	if promoteErr != nil {
		end = clock.Now() + takeoverPollInterval
	}
	for clock.Now() < end && ctx.Err() == nil {
		for _, server := range group.Servers() {
			if server.ID() != id {
				continue
			}
			status, err := promoter.groups.SendControl(server, dbpool.Call{Kind: statement.Status})
			if err == nil && status.Role == catalog.RolePrimary {
				promoter.eventLog.Event("promotion_done", "group", group.ID(), "server", id, "term", status.Term, "position", status.Received.Log,
					"registered", registeredText(group.Servers()))
				return true
			}
		}
		clock.Sleep(ctx, takeoverPollInterval)
	}
	return false
}

// resume makes the servers receive again that were paused up to the given term, which got no primary. Without the duty
// it does nothing, since the next holder may have paused them again.
func (promoter *Promoter) resume(group *monitor.Group, term ids.Term) {
	if !promoter.OnDuty() {
		return
	}
	var calls sync.WaitGroup
	for _, server := range group.Servers() {
		observed, known := group.Observed(server.ID())
		if !known || observed.PausedTerm == 0 || observed.PausedTerm > term {
			continue
		}
		calls.Go(func() {
			_, err := promoter.groups.SendControl(server, dbpool.Call{Kind: statement.Resume})
			promoter.eventLog.Event("server_resumed", "group", group.ID(), "server", server.ID(), "paused", observed.PausedTerm, "err", err)
		})
	}
	calls.Wait()
	promoter.unlisted.resume(group.ID(), term)
}
