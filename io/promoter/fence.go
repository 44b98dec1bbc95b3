package promoter

import (
	"context"
	"time"

	"dotterelgw/core/handover"
	"dotterelgw/core/ids"
	"dotterelgw/core/leader"
	"dotterelgw/core/position"
	"dotterelgw/io/clock"
	"dotterelgw/io/mesh"
	"dotterelgw/io/monitor"
)

// Kinds of datagrams.
const (
	// kindFence announces that a primary is being replaced.
	kindFence mesh.Kind = "fence"
	// kindFenceAck acknowledges kindFence.
	kindFenceAck mesh.Kind = "fenced"
	// kindReleased announces that no server was promoted after a fence.
	kindReleased mesh.Kind = "released"
	// kindNewPrimary announces that a primary was replaced.
	kindNewPrimary mesh.Kind = "leader"
)

const (
	// noticeInterval is the time between two notices to VMs that have not acknowledged a fence.
	noticeInterval = 25 * time.Millisecond
	// noticeIntervalPerVM is the minimum time between two notices for each outstanding acknowledgement, so that the
	// answers of a large fleet can be read before it is notified again.
	noticeIntervalPerVM = 400 * time.Microsecond
	// ackPollInterval is the time between two checks for outstanding acknowledgements.
	ackPollInterval = 8 * time.Millisecond
)

// notice is sent about the replacement of a group's primary.
type notice struct {
	Group ids.GroupID `cbor:"group"`
	// Number matches acknowledgements to notices.
	Number uint64 `cbor:"number"`
	// Term is the term of the successor.
	Term ids.Term `cbor:"term"`
	// Token is that of the VM that replaces the primary; VMs of earlier versions leave it out.
	Token Token `cbor:"token,omitempty"`
	// StartTerm and StartLog are the end of the log that the successor starts with. They are set for kindNewPrimary.
	StartTerm ids.Term        `cbor:"start_term"`
	StartLog  ids.LogPosition `cbor:"start_log"`
}

// fenceAck acknowledges a notice.
type fenceAck struct {
	// Number is that of the notice.
	Number uint64 `cbor:"number"`
	// Term and Log are the position of the last write that the VM acknowledged to a caller.
	Term ids.Term        `cbor:"term"`
	Log  ids.LogPosition `cbor:"log"`
	// Served states whether the VM had a lease of the old primary until it was fenced.
	Served bool `cbor:"served,omitempty"`
}

// acknowledgement is what a VM tells when it acknowledges a fence.
type acknowledgement struct {
	// last is the position of the last write that it acknowledged to a caller.
	last position.Position
	// served states whether it had a lease of the old primary until then.
	served bool
}

// awaitFence returns once no VM relies on the old primary any more: each VM has acknowledged the fence, or the lease of
// its last observation before the fence has expired. It returns the time for which an order is allowed, which begins with
// the fence, and what the VMs that answered told.
func (promoter *Promoter) awaitFence(ctx context.Context, group *monitor.Group, term ids.Term) (window handover.OrderWindow, safetyChecks handover.SafetyChecks) {
	began := clock.Now()
	window.BegunAt = began
	safetyChecks.Acknowledged = group.Fence(term)
	token := promoter.duty.lastToken()
	promoter.raiseFenceToken(group.ID(), token)
	promoter.mutex.Lock()
	promoter.number++
	number := promoter.number
	acks := make(map[ids.VMID]acknowledgement)
	promoter.acks[number] = acks
	promoter.mutex.Unlock()
	asked := promoter.mesh.Peers()
	missing := asked
	for clock.Now() < began+leader.LeaseDuration && len(missing) > 0 && ctx.Err() == nil {
		for _, peer := range missing {
			mesh.Send(promoter.mesh, peer, kindFence, notice{Group: group.ID(), Number: number, Term: term, Token: token})
		}
		missing = promoter.awaitAcks(ctx, number, max(noticeInterval, noticeIntervalPerVM*time.Duration(len(missing))))
	}
	promoter.mutex.Lock()
	for _, ack := range acks {
		if safetyChecks.Acknowledged.Less(ack.last) {
			safetyChecks.Acknowledged = ack.last
		}
		safetyChecks.Served = safetyChecks.Served || ack.served
	}
	delete(promoter.acks, number)
	promoter.mutex.Unlock()
	promoter.eventLog.Event("fence_acknowledged", "group", group.ID(), "asked", len(asked), "asked_vms", vmsText(asked), "missing", len(missing), "missing_vms", vmsText(missing),
		"waited_ms", (clock.Now() - began).Milliseconds(), "acknowledged_term", safetyChecks.Acknowledged.Term,
		"acknowledged", safetyChecks.Acknowledged.Log, "served", safetyChecks.Served)
	safetyChecks.Unanswered = len(missing)
	return window, safetyChecks
}

// awaitAcks waits for the timeout, or until all VMs have acknowledged, and returns those that have not.
func (promoter *Promoter) awaitAcks(ctx context.Context, number uint64, timeout time.Duration) []ids.VMID {
	for end := clock.Now() + timeout; ; {
		clock.Sleep(ctx, ackPollInterval)
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

// handleFence answers a VM that replaces a primary. Until the replacement has ended, this VM relies on no earlier
// primary.
func (promoter *Promoter) handleFence(sender ids.VMID, message notice) {
	promoter.raiseFenceToken(message.Group, message.Token)
	group := promoter.group(message.Group)
	served := group != nil && group.LeaseExpiry() > clock.Now()
	last := promoter.groups.Fence(message.Group, message.Term)
	mesh.Send(promoter.mesh, sender, kindFenceAck, fenceAck{Number: message.Number, Term: last.Term, Log: last.Log, Served: served})
}

// raiseFenceToken records the token of the latest VM that has fenced the primary of the group.
func (promoter *Promoter) raiseFenceToken(group ids.GroupID, token Token) {
	promoter.mutex.Lock()
	defer promoter.mutex.Unlock()
	promoter.fenceTokens[group] = max(promoter.fenceTokens[group], token)
}

// isOutdated reports whether the notice comes from a VM after which another one has fenced the primary. Both fences may be for the
// same term, so that the end of the first would end the second one too.
func (promoter *Promoter) isOutdated(message notice) bool {
	promoter.mutex.Lock()
	defer promoter.mutex.Unlock()
	return message.Token != 0 && message.Token < promoter.fenceTokens[message.Group]
}

func (promoter *Promoter) handleAck(sender ids.VMID, message fenceAck) {
	promoter.mutex.Lock()
	defer promoter.mutex.Unlock()
	if acks, ok := promoter.acks[message.Number]; ok {
		// The answer to a repeated notice comes from a VM that is fenced already.
		served := message.Served || acks[sender].served
		acks[sender] = acknowledgement{last: position.Position{Term: message.Term, Log: message.Log}, served: served}
	}
}

// announce tells all VMs that the group has a new primary whose log starts with the log up to start.
func (promoter *Promoter) announce(ctx context.Context, group *monitor.Group, term ids.Term, start position.Position) {
	message := notice{Group: group.ID(), Term: term, Token: promoter.duty.lastToken(), StartTerm: start.Term, StartLog: start.Log}
	if promoter.isOutdated(message) {
		return
	}
	group.PrimaryPromoted(term, start)
	group.RequestPoll()
	promoter.broadcast(ctx, kindNewPrimary, message)
}

// release tells all VMs that no server was promoted after the fence. Without the duty it does nothing, since the next holder may
// have fenced the primary again.
func (promoter *Promoter) release(ctx context.Context, group *monitor.Group, term ids.Term) {
	message := notice{Group: group.ID(), Term: term, Token: promoter.duty.lastToken()}
	if !promoter.OnDuty() || promoter.isOutdated(message) {
		return
	}
	group.Release(term)
	promoter.broadcast(ctx, kindReleased, message)
}

// broadcastAttempts is the number of times that a notice is sent, as datagrams may be lost. A VM that receives none of
// them waits until its fence expires.
const broadcastAttempts = 3

func (promoter *Promoter) broadcast(ctx context.Context, kind mesh.Kind, message notice) {
	for range broadcastAttempts {
		for _, peer := range promoter.mesh.Peers() {
			mesh.Send(promoter.mesh, peer, kind, message)
		}
		clock.Sleep(ctx, noticeInterval)
	}
}

// handleNewPrimary records the new primary and requests a poll of the group's servers.
func (promoter *Promoter) handleNewPrimary(_ ids.VMID, message notice) {
	if group := promoter.group(message.Group); group != nil && !promoter.isOutdated(message) {
		group.PrimaryPromoted(message.Term, position.Position{Term: message.StartTerm, Log: message.StartLog})
		group.RequestPoll()
	}
}

func (promoter *Promoter) handleRelease(_ ids.VMID, message notice) {
	if group := promoter.group(message.Group); group != nil && !promoter.isOutdated(message) {
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
