package control

import (
	"context"
	"fmt"
	"sync"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"dotterelgw/core/config"
	"dotterelgw/core/freshness"
	"dotterelgw/core/ids"
	"dotterelgw/core/member"
	"dotterelgw/io/peer/peerpb"
)

// maxPushedEntries is the largest number of entries that a heartbeat carries unasked. The peer pulls larger deltas.
const maxPushedEntries = 256

// maxConcurrentExchanges bounds the heartbeats that exchangeWithAll sends at a time.
const maxConcurrentExchanges = 64

// Exchange answers a heartbeat of a peer. It is the handler for io/peer.
func (controller *Controller) Exchange(_ context.Context, heartbeat *peerpb.Heartbeat) (*peerpb.Heartbeat, error) {
	sender := ids.VMID(heartbeat.GetVm())
	if !controller.peerAllowed(sender) {
		return nil, status.Error(codes.Unavailable, "partitioned")
	}
	controller.mutex.Lock()
	defer controller.mutex.Unlock()
	now := controller.clock.now()
	controller.recordHeartbeat(heartbeat, now)
	revision, digest := ids.Revision(heartbeat.GetRevision()), heartbeat.GetDigest()
	if revision > controller.entries.Revision() {
		changed, ok := controller.entries.ApplyIfDigestMatches(entriesFromProto(heartbeat.GetEntries()), revision, digest)
		if !ok {
			select {
			case controller.pullRequests <- sender:
			default: // the next tick exchanges heartbeats as well
			}
		}
		controller.publish(changed)
	}
	reply := controller.newHeartbeat(now)
	switch {
	case heartbeat.GetWantAll():
		reply.Entries = entriesToProto(controller.entries.Snapshot())
	case revision < controller.entries.Revision():
		reply.Entries = entriesToProto(controller.entries.Since(revision))
	}
	return reply, nil
}

// exchangeWith sends one heartbeat to the peer and applies the reply. It does nothing if one is in flight.
func (controller *Controller) exchangeWith(ctx context.Context, peer member.Member) {
	if !controller.peerAllowed(peer.ID) {
		return
	}
	controller.mutex.Lock()
	state := controller.stateOf(peer.ID)
	if state.inFlight {
		controller.mutex.Unlock()
		return
	}
	state.inFlight = true
	sent := controller.clock.now()
	request := controller.newHeartbeat(sent)
	request.WantAll = state.wantAll
	if state.revision > 0 && state.revision < controller.entries.Revision() {
		if delta := controller.entries.Since(state.revision); len(delta) <= maxPushedEntries {
			request.Entries = entriesToProto(delta)
		}
	}
	controller.mutex.Unlock()

	controller.metricSet.exchanges.Inc(1)
	reply, err := controller.sendHeartbeat(ctx, peer.Address, request)
	controller.mutex.Lock()
	defer controller.mutex.Unlock()
	state.inFlight = false
	if err != nil || !controller.peerAllowed(peer.ID) || ids.VMID(reply.GetVm()) != peer.ID {
		controller.metricSet.exchangesFailed.Inc(1)
		return
	}
	controller.applyReply(peer.ID, state, sent, request.GetWantAll(), reply)
}

func (controller *Controller) sendHeartbeat(ctx context.Context, address string, request *peerpb.Heartbeat) (*peerpb.Heartbeat, error) {
	ctx, cancel := context.WithTimeout(ctx, controller.clock.realTime(exchangeTimeout))
	defer cancel()
	client, err := controller.dialer.Peer(address)
	if err != nil {
		return nil, fmt.Errorf("exchange: %w", err)
	}
	reply, err := client.Exchange(ctx, request)
	if err != nil {
		return nil, fmt.Errorf("exchange with %s: %w", address, err)
	}
	return reply, nil
}

// applyReply applies a peer's reply. The reply holds every entry after the revision of the request, so it is complete
// for this VM, whose revision only rises. The caller holds the mutex.
func (controller *Controller) applyReply(peer ids.VMID, state *peerState, sent time.Duration, all bool, reply *peerpb.Heartbeat) {
	revision := ids.Revision(reply.GetRevision())
	controller.recordHeartbeat(reply, controller.clock.now())
	changed := controller.entries.ApplyComplete(entriesFromProto(reply.GetEntries()), revision)
	digestDiffers := controller.entries.Revision() == revision && controller.entries.Digest() != reply.GetDigest()
	if digestDiffers {
		controller.metricSet.digestMismatches.Inc(1)
		_ = controller.logger.Log("msg", "entries differ at equal revision", "peer", peer, "revision", revision, "full", all)
	}
	state.wantAll = digestDiffers
	if milliseconds := reply.GetConfirmedAgeMs(); milliseconds >= 0 && !digestDiffers {
		controller.tracker.ConfirmPeer(sent, time.Duration(milliseconds)*time.Millisecond)
	}
	controller.tracker.RecordAnswer(peer, freshness.Answer{
		Sent: sent, Revision: revision,
		Voting:        reply.GetState() == peerpb.VMState_VM_STATE_LIVE || reply.GetState() == peerpb.VMState_VM_STATE_LEAVING,
		PlatformHeard: reply.GetPlatformReachable() || reply.GetPlatformHeard(),
	})
	controller.publish(changed)
}

// recordHeartbeat records the sender of a heartbeat in the membership view. The caller holds the mutex.
func (controller *Controller) recordHeartbeat(heartbeat *peerpb.Heartbeat, now time.Duration) {
	sender := ids.VMID(heartbeat.GetVm())
	state := controller.stateOf(sender)
	// The revision may decrease: a restarted peer begins at a low one.
	state.revision = ids.Revision(heartbeat.GetRevision())
	heard := member.Heartbeat{
		Member: member.Member{ID: sender, Address: heartbeat.GetAddress(), Zone: ids.AvailabilityZone(heartbeat.GetAvailabilityZone())},
		State:  member.Starting, Reachable: heartbeat.GetPlatformReachable(),
	}
	switch heartbeat.GetState() {
	case peerpb.VMState_VM_STATE_LIVE:
		heard.State = member.Live
	case peerpb.VMState_VM_STATE_LEAVING:
		heard.State = member.Leaving
	}
	for _, silent := range heartbeat.GetSilent() {
		heard.Silent = append(heard.Silent, ids.VMID(silent))
	}
	if controller.view.RecordHeartbeat(heard, now) {
		controller.publishMembers(now)
	}
}

// newHeartbeat returns a heartbeat with the state of this VM and no entries. The caller holds the mutex.
func (controller *Controller) newHeartbeat(now time.Duration) *peerpb.Heartbeat {
	heartbeat := &peerpb.Heartbeat{
		Vm: string(controller.self.ID), AvailabilityZone: string(controller.self.Zone), Address: controller.self.Address,
		State:             peerpb.VMState_VM_STATE_STARTING,
		Revision:          int64(controller.entries.Revision()),
		Digest:            controller.entries.Digest(),
		ConfirmedAgeMs:    confirmationAge(controller.tracker.Age(now)),
		PlatformReachable: controller.serviceReachable(now),
		PlatformHeard:     controller.view.PlatformHeard(now, reachableWindow),
	}
	switch controller.state() {
	case member.Live:
		heartbeat.State = peerpb.VMState_VM_STATE_LIVE
	case member.Leaving:
		heartbeat.State = peerpb.VMState_VM_STATE_LEAVING
	}
	for _, silent := range controller.view.Silent() {
		heartbeat.Silent = append(heartbeat.Silent, string(silent))
	}
	return heartbeat
}

// exchangeWithAll exchanges heartbeats with the VMs in parallel. It returns when all of them have replied or failed, or
// when done, called with the mutex held, returns true.
func (controller *Controller) exchangeWithAll(ctx context.Context, vms []member.Member, done func() bool) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var round sync.WaitGroup
	slots := make(chan struct{}, maxConcurrentExchanges)
	finished := make(chan struct{})
	replied := make(chan struct{}, len(vms))
	for _, vm := range vms {
		round.Add(1)
		go func() {
			defer round.Done()
			slots <- struct{}{}
			defer func() { <-slots }()
			controller.exchangeWith(ctx, vm)
			replied <- struct{}{}
		}()
	}
	go func() {
		round.Wait()
		close(finished)
	}()
	for {
		controller.mutex.Lock()
		finishedEarly := done()
		controller.mutex.Unlock()
		if finishedEarly {
			return
		}
		select {
		case <-replied:
		case <-finished:
			return
		case <-ctx.Done():
			return
		}
	}
}

// stateOf returns the state of the exchange with the peer and creates it if needed. The caller holds the mutex.
func (controller *Controller) stateOf(id ids.VMID) *peerState {
	state, ok := controller.peers[id]
	if !ok {
		state = &peerState{}
		controller.peers[id] = state
	}
	return state
}

func entriesToProto(entries []config.Entry) []*peerpb.Entry {
	wire := make([]*peerpb.Entry, len(entries))
	for i, entry := range entries {
		wire[i] = &peerpb.Entry{Key: entry.Key, Value: entry.Value, Revision: int64(entry.Revision)}
	}
	return wire
}

func entriesFromProto(wire []*peerpb.Entry) []config.Entry {
	entries := make([]config.Entry, len(wire))
	for i, entry := range wire {
		entries[i] = config.Entry{Key: entry.GetKey(), Value: entry.GetValue(), Revision: ids.Revision(entry.GetRevision())}
	}
	return entries
}
