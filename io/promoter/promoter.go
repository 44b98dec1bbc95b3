package promoter

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"dotterelgw/core/catalog"
	"dotterelgw/core/handover"
	"dotterelgw/core/ids"
	"dotterelgw/core/leader"
	"dotterelgw/core/member"
	"dotterelgw/core/membership"
	"dotterelgw/core/position"
	"dotterelgw/io/clock"
	"dotterelgw/io/dbpool"
	"dotterelgw/io/fleet"
	"dotterelgw/io/mesh"
	"dotterelgw/io/monitor"
	"dotterelgw/io/observe"
)

const (
	// evaluateInterval is the time between two evaluations of the groups.
	evaluateInterval = 100 * time.Millisecond
	// maxMemberPolls is the number of servers that are polled at once in one evaluation of all groups because they are new. The first
	// holder of the duty learns of all servers at the same time.
	maxMemberPolls = 30
	// settleTime is how long replicas that a replacement left paused are left alone, because the promotion that was ordered,
	// maybe by an earlier holder of the duty, may still take effect.
	settleTime = handover.OrderEffectTime
)

// ErrNotSent reports that an order to promote was not sent, so that it can't take effect.
var ErrNotSent = errors.New("the order was not sent")

// Platform promotes backend servers.
type Platform interface {
	// Promote orders that the server become the primary of the group. It has no effect if the server already is. The error wraps
	// ErrNotSent if no connection could be opened.
	Promote(ctx context.Context, group ids.GroupID, server ids.BackendServerID, token Token) error
}

// Directory reads the registrations of backend servers.
type Directory interface {
	// Refresh reads the registrations now.
	Refresh(ctx context.Context) error
}

// Groups supplies the database groups.
type Groups interface {
	// Groups returns all groups.
	Groups() []*monitor.Group
	// Fence fences primaries of the group of terms before the given one, and returns the position of the last write acknowledged.
	Fence(id ids.GroupID, term ids.Term) position.Position
	// SendControl sends a control statement to the server and records the state in its answer.
	SendControl(server *monitor.Server, call dbpool.Call) (leader.Status, error)
	// NewUnlistedServer returns a process that is not registered.
	NewUnlistedServer(info catalog.Server) *monitor.UnlistedServer
}

// Registry tells which VMs are registered in the store.
type Registry interface {
	// IsRegistered reports whether this VM is listed.
	IsRegistered() bool
	// List lists the registered VMs by a call to the store.
	List(ctx context.Context) ([]ids.VMID, error)
}

// Option changes a setting of the promoter.
type Option func(*Promoter)

// WithRegistry has the promoter wait for all VMs that are registered, also for those that it has not heard of otherwise.
func WithRegistry(registry Registry) Option {
	return func(promoter *Promoter) { promoter.registry = registry }
}

// Promoter replaces primaries while this VM holds the duty.
type Promoter struct {
	duty      *duty
	members   *members
	unlisted  *unlistedMembers
	fences    *storedFences
	groups    Groups
	directory Directory
	platform  Platform
	mesh      *mesh.Mesh
	registry  Registry
	eventLog  *observe.EventLog

	// assuranceSoughtAt is the time of the last reading of the fences for an assurance; seekingAssurance is set while it goes on.
	assuranceSoughtAt time.Duration
	seekingAssurance  atomic.Bool
	// retiring is the token with which this VM held the duty when its process was told to end; 0 if it wasn't, or didn't hold it.
	retiring atomic.Int64
	// unsentSince is the boot time in nanoseconds since which no order could be sent; 0 if the last one was sent.
	unsentSince atomic.Int64

	mutex   sync.Mutex
	watches map[ids.GroupID]*groupWatch
	acks    map[uint64]map[ids.VMID]acknowledgement
	number  uint64
	// fenceTokens holds the token of the latest VM that has fenced the primary of each group.
	fenceTokens map[ids.GroupID]Token
}

// groupWatch is the state of one group.
type groupWatch struct {
	handover.FailureDetector
	// running reports whether a replacement or its clean-up is in progress.
	running bool
	// pausedSince is the time since which a replica has been seen paused without a replacement in progress; 0 if none
	// is.
	pausedSince time.Duration
	// order is the last order to promote that may not have taken effect yet. Only the running work changes it.
	order handover.Order
	// fenced reports whether the VMs were asked to fence the primary and have not been released. Only the running work changes it, and
	// evaluate when this VM has taken the duty anew, as another one may have fenced the primary since.
	fenced bool
	// obstacle is why a primary in an evacuated availability zone was last kept. Only evaluate changes it.
	obstacle handover.Obstacle
	// token is that of the duty for which the group was last evaluated.
	token Token
	// wait measures how long a promotion has waited for members. Only the running work changes it, and evaluate while there is none.
	wait membership.Wait
}

// New returns a promoter that does nothing until Run.
func New(self ids.VMID, store fleet.EraStore, groups Groups, directory Directory, platform Platform, network *mesh.Mesh, eventLog *observe.EventLog, options ...Option) *Promoter {
	rank := func() int { return rankOf(self, network.Peers()) }
	promoter := &Promoter{
		duty: newDuty(self, store, rank, eventLog), members: newMembers(store, eventLog), unlisted: newUnlistedMembers(groups, newReach(network, groups), eventLog), fences: newStoredFences(store, eventLog), groups: groups, directory: directory, platform: platform, mesh: network, eventLog: eventLog,
		watches: make(map[ids.GroupID]*groupWatch), acks: make(map[uint64]map[ids.VMID]acknowledgement), fenceTokens: make(map[ids.GroupID]Token),
	}
	for _, option := range options {
		option(promoter)
	}
	mesh.Handle(network, kindFence, promoter.handleFence)
	mesh.Handle(network, kindFenceAck, promoter.handleAck)
	mesh.Handle(network, kindReleased, promoter.handleRelease)
	mesh.Handle(network, kindNewPrimary, promoter.handleNewPrimary)
	return promoter
}

// rankOf returns the rank of the VM among the candidates for the duty.
func rankOf(self ids.VMID, peers []ids.VMID) int {
	members := []member.Member{{ID: self}}
	for _, peer := range peers {
		members = append(members, member.Member{ID: peer})
	}
	rank, _ := member.Rank("duty", self, members)
	return rank
}

// Holder returns the VM that was last seen to hold the duty, or an empty identifier.
func (promoter *Promoter) Holder() ids.VMID { return promoter.duty.lastHolder() }

// OnDuty reports whether this VM holds the duty and may replace primaries.
func (promoter *Promoter) OnDuty() bool {
	_, left := promoter.duty.current()
	return left > 0
}

// Run evaluates the groups until the context ends.
func (promoter *Promoter) Run(ctx context.Context) {
	var group sync.WaitGroup
	group.Go(func() { promoter.duty.run(ctx) })
	group.Go(func() {
		for ctx.Err() == nil {
			clock.Sleep(ctx, evaluateInterval)
			if token, held := promoter.duty.held(); held {
				promoter.evaluateAll(ctx, token)
			}
			promoter.seekAssurance(ctx)
		}
	})
	group.Wait()
}

// evaluateAll starts replacements where they are needed, and keeps the members of all groups up to date.
func (promoter *Promoter) evaluateAll(ctx context.Context, token Token) {
	polls := maxMemberPolls
	for _, group := range promoter.groups.Groups() {
		if promoter.OnDuty() {
			promoter.evaluate(ctx, token, group)
			promoter.assure(token, group)
		}
		polls -= promoter.updateMembers(ctx, token, group, polls)
	}
	promoter.members.sync(ctx, token)
	promoter.fences.sync(ctx, token)
	promoter.leaveIfRetiring(token)
}

// updateMembers brings the members of the group up to date. New servers are polled at once, so that they join before their logs matter,
// and so are those of a group whose record was just found to be missing. It polls maxPolls servers at most and returns their number. Members
// that are not registered are asked, too.
func (promoter *Promoter) updateMembers(ctx context.Context, token Token, group *monitor.Group, maxPolls int) (polls int) {
	recordMissing := promoter.members.justFoundMissing(token, group.ID())
	for _, server := range group.Servers() {
		_, observed := group.Observed(server.ID())
		isNew := !observed && server.KnownFor() < unconfirmedTime
		if (isNew || recordMissing) && polls < maxPolls {
			server.PollNow()
			polls++
		}
	}
	if promoter.fences.isLoaded(token) {
		unlisted := promoter.unlistedOf(token, group)
		promoter.unlisted.poll(ctx, unlisted)
		servers := append(registeredServers(group), promoter.unlisted.servers(unlisted)...)
		promoter.members.update(token, group.ID(), withoutOutdated(servers, promoter.fences.noteTerm(group.ID(), 0)))
	}
	return polls
}

// unlistedOf returns the members of the group that are not registered.
func (promoter *Promoter) unlistedOf(token Token, group *monitor.Group) []*unlistedMember {
	record, _ := promoter.members.record(token, group.ID())
	return promoter.unlisted.set(token, group.ID(), record, group.Servers())
}

// evaluate starts a replacement if the group needs one.
func (promoter *Promoter) evaluate(ctx context.Context, token Token, group *monitor.Group) {
	promoter.mutex.Lock()
	defer promoter.mutex.Unlock()
	watched, ok := promoter.watches[group.ID()]
	if !ok {
		watched = &groupWatch{}
		promoter.watches[group.ID()] = watched
	}
	if watched.running || promoter.isRetiring(token) {
		return
	}
	if watched.token != token {
		watched.token, watched.fenced = token, false
	}
	now := clock.Now()
	members := groupMembers(group)
	watched.RequireTerm(promoter.fences.noteTerm(group.ID(), handover.NewestTerm(members)))
	reason := watched.ReplacementReason(now, members)
	if reason == "" {
		promoter.noteObstacle(watched, group, watched.EvacuationObstacle(members))
		watched.wait = membership.Wait{}
		promoter.cleanUp(ctx, now, watched, group, members)
		return
	}
	watched.pausedSince = 0
	promoter.startWork(watched, func() { promoter.replace(ctx, group, watched, reason) })
}

// startWork runs the work on the group in the background. At most one runs per group, since an order to resume receiving
// must not overtake a pause. The mutex must be held.
func (promoter *Promoter) startWork(watched *groupWatch, work func()) {
	watched.running = true
	go func() {
		work()
		promoter.mutex.Lock()
		defer promoter.mutex.Unlock()
		watched.running = false
	}()
}

// cleanUp resumes replicas left paused by a replacement that did not complete, and releases the VMs.
func (promoter *Promoter) cleanUp(ctx context.Context, now time.Duration, watched *groupWatch, group *monitor.Group, members []handover.Member) {
	term, left := handover.OrphanedPause(members)
	if stored := promoter.fences.term(group.ID()); stored > 0 && handover.Primary(members) != nil {
		// A holder of the duty before this one has left its fence, which VMs that start would hold.
		term, left = max(term, stored), true
	}
	switch {
	case !left:
		watched.pausedSince = 0
	case watched.pausedSince == 0:
		watched.pausedSince = now
	case now-watched.pausedSince > settleTime:
		watched.pausedSince = now
		promoter.startWork(watched, func() {
			promoter.unfence(ctx, group, watched, term)
		})
	}
}

// groupMembers returns what is known of the group's servers.
func groupMembers(group *monitor.Group) []handover.Member {
	var members []handover.Member
	for _, server := range group.Servers() {
		observed, known := group.Observed(server.ID())
		members = append(members, memberOf(server, observed, known))
	}
	return members
}

// withoutOutdated returns the servers, of which none counts as primary that acts as one in a term before the newest: its log tells nothing
// of what has been acknowledged since.
func withoutOutdated(servers []membership.Server, newest ids.Term) []membership.Server {
	for _, server := range servers {
		newest = max(newest, server.Term)
	}
	for index := range servers {
		servers[index].Primary = servers[index].Primary && servers[index].Term >= newest
	}
	return servers
}

// registeredServers returns the registered servers of the group.
func registeredServers(group *monitor.Group) []membership.Server {
	var servers []membership.Server
	for _, server := range group.Servers() {
		observed, known := group.Observed(server.ID())
		servers = append(servers, membership.Server{
			Member: identityOf(server), Renewed: server.Info().Renewed, Observed: known, Silent: server.SilentFor() > 0, Primary: observed.Role == catalog.RolePrimary,
			Term: observed.Term, Received: observed.Received, ObservedAt: observed.SentAt,
		})
	}
	return servers
}

// identityOf returns the process of the server.
func identityOf(server *monitor.Server) membership.Member {
	info := server.Info()
	return membership.Member{ID: info.ID, StartedMS: info.StartedMS, Address: info.Address}
}

func memberOf(server *monitor.Server, observed leader.Observation, known bool) handover.Member {
	info := server.Info()
	return handover.Member{
		ID: info.ID, SilentFor: server.SilentFor(), Registered: info.Role, Leaving: info.Leaving, Evacuated: server.EvacuationRequested(), Cold: server.IsCold(), Observed: known, Role: observed.Role, Term: observed.Term,
		Received: observed.Received, PausedTerm: observed.PausedTerm, ObservedAt: observed.SentAt,
	}
}
