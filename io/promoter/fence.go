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
	// kindLeader tells that a primary was replaced.
	kindLeader mesh.Kind = "leader"
)

// ackInterval is the time between two calls to VMs that have not acknowledged a fence.
const ackInterval = 25 * time.Millisecond

// notice names the group whose primary is replaced.
type notice struct {
	Group ids.GroupID `cbor:"group"`
	// Number tells the acknowledgements of several notices apart.
	Number uint64 `cbor:"number"`
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
// observation before the fence has run out. It returns the position of the last write that any of them acknowledged.
func (promoter *Promoter) awaitFence(ctx context.Context, group *monitor.Group) position.Position {
	began := clock.Now()
	group.Revoke()
	promoter.mutex.Lock()
	promoter.number++
	number := promoter.number
	acks := make(map[ids.VMID]position.Position)
	promoter.acks[number] = acks
	promoter.mutex.Unlock()
	missing := promoter.mesh.Peers()
	for clock.Now() < began+leader.LeaseDuration && len(missing) > 0 && ctx.Err() == nil {
		for _, peer := range missing {
			mesh.Send(promoter.mesh, peer, kindFence, notice{Group: group.ID(), Number: number})
		}
		sleep(ctx, ackInterval)
		missing = promoter.unacknowledged(number)
	}
	acknowledged := group.LastAcknowledged()
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
	return acknowledged
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

// fenced answers another VM that replaces a primary: from now on this VM confirms the primary anew before it relies on it.
func (promoter *Promoter) fenced(sender ids.VMID, message notice) {
	answer := agreement{Number: message.Number}
	if group := promoter.group(message.Group); group != nil {
		group.Revoke()
		last := group.LastAcknowledged()
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

// announce tells the other VMs that the group has a new primary.
func (promoter *Promoter) announce(group *monitor.Group) {
	group.Hurry()
	for _, peer := range promoter.mesh.Peers() {
		mesh.Send(promoter.mesh, peer, kindLeader, notice{Group: group.ID()})
	}
}

// replaced has the state of the group's servers asked for at once.
func (promoter *Promoter) replaced(_ ids.VMID, message notice) {
	if group := promoter.group(message.Group); group != nil {
		group.Hurry()
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
