package promoter

import (
	"context"
	"time"

	"dotterelgw/core/ids"
	"dotterelgw/core/leader"
	"dotterelgw/core/position"
	"dotterelgw/io/clock"
	"dotterelgw/io/mesh"
	"dotterelgw/io/monitor"
)

// The kinds of datagrams.
const (
	// kindFence tells that a primary is being replaced.
	kindFence mesh.Kind = "fence"
	// kindFenced acknowledges kindFence.
	kindFenced mesh.Kind = "fenced"
	// kindReleased tells that nobody was promoted after a fence.
	kindReleased mesh.Kind = "released"
	// kindLeader tells that a primary was replaced.
	kindLeader mesh.Kind = "leader"
)

const (
	// ackInterval is the time between two notices to VMs that have not acknowledged a fence.
	ackInterval = 25 * time.Millisecond
	// ackIntervalPerVM is the least time between two notices for each VM that is waited for, so that the answers of a large fleet
	// can be read before it is asked again.
	ackIntervalPerVM = 400 * time.Microsecond
	// ackCheck is the time between two looks at who has answered.
	ackCheck = 8 * time.Millisecond
)

// notice names the group whose primary is replaced.
type notice struct {
	Group ids.GroupID `cbor:"group"`
	// Number tells the acknowledgements of several notices apart.
	Number uint64 `cbor:"number"`
	// Term is the term of the successor.
	Term ids.Term `cbor:"term"`
	// StartTerm and StartLog are the end of the log that the successor begins with; they belong to kindLeader.
	StartTerm ids.Term        `cbor:"start_term"`
	StartLog  ids.LogPosition `cbor:"start_log"`
}

// agreement acknowledges a notice.
type agreement struct {
	// Number is that of the notice.
	Number uint64 `cbor:"number"`
	// Term and Log are the position of the last write that the VM acknowledged to a caller.
	Term ids.Term        `cbor:"term"`
	Log  ids.LogPosition `cbor:"log"`
}

// awaitFence returns once no VM relies on the old primary any more: each has acknowledged, or the lease of its last
// observation before the fence has run out. It returns the position of the last write that any of those which answered has
// acknowledged, and the number of those that did not answer.
func (promoter *Promoter) awaitFence(ctx context.Context, group *monitor.Group, term ids.Term) (acknowledged position.Position, unanswered int) {
	began := clock.Now()
	acknowledged = group.Fence(term)
	promoter.mutex.Lock()
	promoter.number++
	number := promoter.number
	acks := make(map[ids.VMID]position.Position)
	promoter.acks[number] = acks
	promoter.mutex.Unlock()
	missing := promoter.mesh.Peers()
	for clock.Now() < began+leader.LeaseDuration && len(missing) > 0 && ctx.Err() == nil {
		for _, peer := range missing {
			mesh.Send(promoter.mesh, peer, kindFence, notice{Group: group.ID(), Number: number, Term: term})
		}
		missing = promoter.awaitAnswers(ctx, number, max(ackInterval, ackIntervalPerVM*time.Duration(len(missing))))
	}
	promoter.mutex.Lock()
	for _, at := range acks {
		if acknowledged.Less(at) {
			acknowledged = at
		}
	}
	delete(promoter.acks, number)
	promoter.mutex.Unlock()
	promoter.decisions.Event("fence_acknowledged", "group", group.ID(), "missing", len(missing), "waited_ms", (clock.Now() - began).Milliseconds(),
		"acknowledged_term", acknowledged.Term, "acknowledged", acknowledged.Log)
	return acknowledged, len(missing)
}

// awaitAnswers waits for the time, or until all VMs have answered, and returns those that have not.
func (promoter *Promoter) awaitAnswers(ctx context.Context, number uint64, patience time.Duration) []ids.VMID {
	for end := clock.Now() + patience; ; {
		clock.Sleep(ctx, ackCheck)
		missing := promoter.unacknowledged(number)
		if len(missing) == 0 || clock.Now() >= end || ctx.Err() != nil {
			return missing
		}
	}
}

func (promoter *Promoter) unacknowledged(number uint64) []ids.VMID {
	var missing []ids.VMID
	peers := promoter.mesh.Peers()
	promoter.mutex.Lock()
	defer promoter.mutex.Unlock()
	for _, peer := range peers {
		if _, ok := promoter.acks[number][peer]; !ok {
			missing = append(missing, peer)
		}
	}
	return missing
}

// fenced answers another VM that replaces a primary: until the replacement has ended this VM relies on no earlier primary.
func (promoter *Promoter) fenced(sender ids.VMID, message notice) {
	answer := agreement{Number: message.Number}
	if group := promoter.group(message.Group); group != nil {
		last := group.Fence(message.Term)
		answer.Term, answer.Log = last.Term, last.Log
	}
	mesh.Send(promoter.mesh, sender, kindFenced, answer)
}

func (promoter *Promoter) acknowledged(sender ids.VMID, message agreement) {
	promoter.mutex.Lock()
	defer promoter.mutex.Unlock()
	if acks, ok := promoter.acks[message.Number]; ok {
		acks[sender] = position.Position{Term: message.Term, Log: message.Log}
	}
}

// announce tells all VMs that the group has a new primary, which begins with the log up to start.
func (promoter *Promoter) announce(ctx context.Context, group *monitor.Group, term ids.Term, start position.Position) {
	group.Lead(term, start)
	group.RequestPoll()
	promoter.broadcast(ctx, kindLeader, notice{Group: group.ID(), Term: term, StartTerm: start.Term, StartLog: start.Log})
}

// release tells all VMs that nobody was promoted after the fence.
func (promoter *Promoter) release(ctx context.Context, group *monitor.Group, term ids.Term) {
	group.Release(term)
	promoter.broadcast(ctx, kindReleased, notice{Group: group.ID(), Term: term})
}

// broadcasts is the number of times that a notice is sent, as datagrams may be lost; a VM that gets none waits for the end of
// its promise.
const broadcasts = 3

func (promoter *Promoter) broadcast(ctx context.Context, kind mesh.Kind, message notice) {
	for range broadcasts {
		for _, peer := range promoter.mesh.Peers() {
			mesh.Send(promoter.mesh, peer, kind, message)
		}
		clock.Sleep(ctx, ackInterval)
	}
}

// replaced has the state of the group's servers asked for at once.
func (promoter *Promoter) replaced(_ ids.VMID, message notice) {
	if group := promoter.group(message.Group); group != nil {
		group.Lead(message.Term, position.Position{Term: message.StartTerm, Log: message.StartLog})
		group.RequestPoll()
	}
}

func (promoter *Promoter) released(_ ids.VMID, message notice) {
	if group := promoter.group(message.Group); group != nil {
		group.Release(message.Term)
	}
}

func (promoter *Promoter) group(id ids.GroupID) *monitor.Group {
	for _, group := range promoter.groups.Groups() {
		if group.ID() == id {
			return group
		}
	}
	return nil
}
