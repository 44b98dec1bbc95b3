package promoter

import (
	"context"
	"sync"
	"time"

	"dotterelgw/core/handover"
	"dotterelgw/core/ids"
	"dotterelgw/core/leader"
	"dotterelgw/core/member"
	"dotterelgw/core/position"
	"dotterelgw/io/clock"
	"dotterelgw/io/dbpool"
	"dotterelgw/io/fleet"
	"dotterelgw/io/mesh"
	"dotterelgw/io/monitor"
	"dotterelgw/io/observe"
)

const (
	// judgeInterval is the time between two looks at the groups.
	judgeInterval = 100 * time.Millisecond
	// settleTime is how long a new holder of the duty leaves pauses of its predecessor alone, whose promotion may still
	// take effect.
	settleTime = 2 * time.Second
)

// Platform promotes backend servers.
type Platform interface {
	// Promote orders that the server lead the group. Orders for a server that leads already change nothing.
	Promote(ctx context.Context, group ids.GroupID, server ids.BackendServerID, token Token) error
}

// Directory reads the registrations of backend servers.
type Directory interface {
	// Refresh reads them now.
	Refresh(ctx context.Context) error
}

// Groups supplies the database groups.
type Groups interface {
	// Groups returns all groups.
	Groups() []*monitor.Group
	// Ask sends a control statement to the server and notes the state that it answers with.
	Ask(server *monitor.Server, call dbpool.Call) (leader.Status, error)
}

// Promoter replaces primaries while this VM has the duty.
type Promoter struct {
	duty      *duty
	groups    Groups
	directory Directory
	platform  Platform
	mesh      *mesh.Mesh
	decisions *observe.Decisions

	mutex   sync.Mutex
	watches map[ids.GroupID]*watch
	acks    map[uint64]map[ids.VMID]position.Position
	number  uint64
}

// watch is the state of one group.
type watch struct {
	handover.Watch
	// running states that a replacement or its cleaning up is under way.
	running bool
	// pausedSince is the time since which a replica was seen paused without a replacement; 0 while none is.
	pausedSince time.Duration
}

// New returns a promoter that does nothing until Run.
func New(self ids.VMID, store fleet.Store, groups Groups, directory Directory, platform Platform, network *mesh.Mesh, decisions *observe.Decisions) *Promoter {
	rank := func() int { return rankOf(self, network.Peers()) }
	promoter := &Promoter{
		duty: newDuty(self, store, rank, decisions), groups: groups, directory: directory, platform: platform, mesh: network, decisions: decisions,
		watches: make(map[ids.GroupID]*watch), acks: make(map[uint64]map[ids.VMID]position.Position),
	}
	mesh.Handle(network, kindFence, promoter.fenced)
	mesh.Handle(network, kindFenced, promoter.acknowledged)
	mesh.Handle(network, kindReleased, promoter.released)
	mesh.Handle(network, kindLeader, promoter.replaced)
	return promoter
}

// rankOf returns the place of the VM among the candidates for the duty.
func rankOf(self ids.VMID, peers []ids.VMID) int {
	members := []member.Member{{ID: self}}
	for _, peer := range peers {
		members = append(members, member.Member{ID: peer})
	}
	rank, _ := member.Rank("duty", self, members)
	return rank
}

// Holder returns the VM that was last seen to replace primaries, or an empty name.
func (promoter *Promoter) Holder() ids.VMID { return promoter.duty.seenHolder() }

// OnDuty states whether this VM replaces primaries now.
func (promoter *Promoter) OnDuty() bool {
	_, left := promoter.duty.held()
	return left > 0
}

// Run judges the groups until the context ends.
func (promoter *Promoter) Run(ctx context.Context) {
	var group sync.WaitGroup
	group.Go(func() { promoter.duty.run(ctx) })
	group.Go(func() {
		for ctx.Err() == nil {
			clock.Sleep(ctx, judgeInterval)
			if promoter.OnDuty() {
				for _, group := range promoter.groups.Groups() {
					promoter.judge(ctx, group)
				}
			}
		}
	})
	group.Wait()
}

// judge starts a replacement if the group needs one.
func (promoter *Promoter) judge(ctx context.Context, group *monitor.Group) {
	promoter.mutex.Lock()
	defer promoter.mutex.Unlock()
	watched, ok := promoter.watches[group.ID()]
	if !ok {
		watched = &watch{}
		promoter.watches[group.ID()] = watched
	}
	if watched.running {
		return
	}
	now := clock.Now()
	members := describe(group)
	reason := watched.Judge(now, members)
	if reason == "" {
		promoter.cleanUp(now, watched, group, members)
		return
	}
	watched.pausedSince = 0
	promoter.start(watched, func() { promoter.replace(ctx, group, reason) })
}

// start runs the work on the group beside the judging; only one runs at a time, since an order to receive again must not
// overtake a pause. The mutex is held.
func (promoter *Promoter) start(watched *watch, work func()) {
	watched.running = true
	go func() {
		work()
		promoter.mutex.Lock()
		defer promoter.mutex.Unlock()
		watched.running = false
	}()
}

// cleanUp ends pauses that a replacement left behind which did not come to its end.
func (promoter *Promoter) cleanUp(now time.Duration, watched *watch, group *monitor.Group, members []handover.Member) {
	term, left := handover.LeftPaused(members)
	switch {
	case !left:
		watched.pausedSince = 0
	case watched.pausedSince == 0:
		watched.pausedSince = now
	case now-watched.pausedSince > settleTime:
		watched.pausedSince = now
		promoter.start(watched, func() { promoter.resume(group, term) })
	}
}

// describe returns what is known of the group's servers.
func describe(group *monitor.Group) []handover.Member {
	var members []handover.Member
	for _, server := range group.Servers() {
		observed, known := group.Observed(server.ID())
		members = append(members, memberOf(server, observed, known))
	}
	return members
}

func memberOf(server *monitor.Server, observed leader.Observation, known bool) handover.Member {
	info := server.Info()
	return handover.Member{
		ID: info.ID, SilentFor: server.SilentFor(), Registered: info.Role, Leaving: info.Leaving, Observed: known, Role: observed.Role, Term: observed.Term,
		Received: observed.Received, Paused: observed.Paused, ObservedAt: observed.SentAt,
	}
}
