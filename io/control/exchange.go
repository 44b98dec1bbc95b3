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

// pushLimit is the number of entries above which a delta waits until the peer asks for it.
const pushLimit = 256

// askLimit is the number of questions that one round sends at a time.
const askLimit = 64

// Exchange answers a heartbeat; it is the handler for io/peer.
func (controller *Controller) Exchange(_ context.Context, said *peerpb.Heartbeat) (*peerpb.Heartbeat, error) {
	sender := ids.VMID(said.GetVm())
	if !controller.reach(sender) {
		return nil, status.Error(codes.Unavailable, "partitioned")
	}
	controller.mutex.Lock()
	defer controller.mutex.Unlock()
	now := controller.clock.now()
	controller.hear(said, now)
	revision, digest := ids.Revision(said.GetRevision()), said.GetDigest()
	if revision > controller.entries.Revision() {
		changed, ok := controller.entries.ApplyMatching(fromWire(said.GetEntries()), revision, digest)
		if !ok {
			select {
			case controller.kick <- sender:
			default: // the next period pulls as well
			}
		}
		controller.publish(changed)
	}
	reply := controller.heartbeat(now)
	switch {
	case said.GetWantAll():
		reply.Entries = toWire(controller.entries.Snapshot())
	case revision < controller.entries.Revision():
		reply.Entries = toWire(controller.entries.Since(revision))
	}
	return reply, nil
}

// ask sends one heartbeat to the peer unless one is under way, and applies the answer.
func (controller *Controller) ask(ctx context.Context, partner member.Member) {
	if !controller.reach(partner.ID) {
		return
	}
	controller.mutex.Lock()
	state := controller.peer(partner.ID)
	if state.pending {
		controller.mutex.Unlock()
		return
	}
	state.pending = true
	sent := controller.clock.now()
	question := controller.heartbeat(sent)
	question.WantAll = state.wantAll
	if state.revision > 0 && state.revision < controller.entries.Revision() {
		if delta := controller.entries.Since(state.revision); len(delta) <= pushLimit {
			question.Entries = toWire(delta)
		}
	}
	controller.mutex.Unlock()

	controller.measures.asked.Inc(1)
	answer, err := controller.call(ctx, partner.Address, question)
	controller.mutex.Lock()
	defer controller.mutex.Unlock()
	state.pending = false
	if err != nil || !controller.reach(partner.ID) || ids.VMID(answer.GetVm()) != partner.ID {
		controller.measures.failed.Inc(1)
		return
	}
	controller.apply(partner.ID, state, sent, question.GetWantAll(), answer)
}

func (controller *Controller) call(ctx context.Context, address string, question *peerpb.Heartbeat) (*peerpb.Heartbeat, error) {
	ctx, cancel := context.WithTimeout(ctx, controller.clock.real(exchangeTimeout))
	defer cancel()
	client, err := controller.dialer.Peer(address)
	if err != nil {
		return nil, fmt.Errorf("exchange: %w", err)
	}
	answer, err := client.Exchange(ctx, question)
	if err != nil {
		return nil, fmt.Errorf("exchange with %s: %w", address, err)
	}
	return answer, nil
}

// apply takes over a peer's answer. The answer holds every entry after the revision of the question, so it is complete
// for this VM, whose revision only rises. The caller holds the mutex.
func (controller *Controller) apply(peer ids.VMID, state *peerState, sent time.Duration, all bool, answer *peerpb.Heartbeat) {
	revision := ids.Revision(answer.GetRevision())
	controller.hear(answer, controller.clock.now())
	changed := controller.entries.ApplyComplete(fromWire(answer.GetEntries()), revision)
	differs := controller.entries.Revision() == revision && controller.entries.Digest() != answer.GetDigest()
	if differs {
		controller.measures.differed.Inc(1)
		_ = controller.logger.Log("msg", "entries differ at equal revision", "peer", peer, "revision", revision, "full", all)
	}
	state.wantAll = differs
	if milliseconds := answer.GetConfirmedAgeMs(); milliseconds >= 0 && !differs {
		controller.freshness.ConfirmPeer(sent, time.Duration(milliseconds)*time.Millisecond)
	}
	controller.freshness.Hear(peer, freshness.Answer{
		Sent: sent, Revision: revision,
		Voting:        answer.GetState() == peerpb.VMState_VM_STATE_LIVE || answer.GetState() == peerpb.VMState_VM_STATE_LEAVING,
		PlatformHeard: answer.GetPlatformReachable() || answer.GetPlatformHeard(),
	})
	controller.publish(changed)
}

// hear records the sender of a heartbeat in the membership view. The caller holds the mutex.
func (controller *Controller) hear(said *peerpb.Heartbeat, now time.Duration) {
	sender := ids.VMID(said.GetVm())
	state := controller.peer(sender)
	// A restarted peer starts again at a low revision, so this may fall.
	state.revision = ids.Revision(said.GetRevision())
	heard := member.Heard{
		Member: member.Member{ID: sender, Address: said.GetAddress(), Zone: ids.AvailabilityZone(said.GetAvailabilityZone())},
		State:  member.Starting, Reachable: said.GetPlatformReachable(),
	}
	switch said.GetState() {
	case peerpb.VMState_VM_STATE_LIVE:
		heard.State = member.Live
	case peerpb.VMState_VM_STATE_LEAVING:
		heard.State = member.Leaving
	}
	for _, silent := range said.GetSilent() {
		heard.Silent = append(heard.Silent, ids.VMID(silent))
	}
	if controller.view.Hear(heard, now) {
		controller.publishMembers(now)
	}
}

// heartbeat describes this VM without entries. The caller holds the mutex.
func (controller *Controller) heartbeat(now time.Duration) *peerpb.Heartbeat {
	said := &peerpb.Heartbeat{
		Vm: string(controller.self.ID), AvailabilityZone: string(controller.self.Zone), Address: controller.self.Address,
		State:             peerpb.VMState_VM_STATE_STARTING,
		Revision:          int64(controller.entries.Revision()),
		Digest:            controller.entries.Digest(),
		ConfirmedAgeMs:    age(controller.freshness.Age(now)),
		PlatformReachable: controller.reachable(now),
		PlatformHeard:     controller.view.PlatformHeard(now, reachableWindow),
	}
	switch controller.state() {
	case member.Live:
		said.State = peerpb.VMState_VM_STATE_LIVE
	case member.Leaving:
		said.State = peerpb.VMState_VM_STATE_LEAVING
	}
	for _, silent := range controller.view.Silent() {
		said.Silent = append(said.Silent, string(silent))
	}
	return said
}

// askAll asks the VMs in parallel and returns when all have answered or done, called with the mutex held, is true.
func (controller *Controller) askAll(ctx context.Context, vms []member.Member, done func() bool) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var round sync.WaitGroup
	slots := make(chan struct{}, askLimit)
	finished := make(chan struct{})
	answered := make(chan struct{}, len(vms))
	for _, vm := range vms {
		round.Add(1)
		go func() {
			defer round.Done()
			slots <- struct{}{}
			defer func() { <-slots }()
			controller.ask(ctx, vm)
			answered <- struct{}{}
		}()
	}
	go func() {
		round.Wait()
		close(finished)
	}()
	for {
		controller.mutex.Lock()
		enough := done()
		controller.mutex.Unlock()
		if enough {
			return
		}
		select {
		case <-answered:
		case <-finished:
			return
		case <-ctx.Done():
			return
		}
	}
}

// peer returns the state kept of the peer. The caller holds the mutex.
func (controller *Controller) peer(id ids.VMID) *peerState {
	state, ok := controller.peers[id]
	if !ok {
		state = &peerState{}
		controller.peers[id] = state
	}
	return state
}

func toWire(entries []config.Entry) []*peerpb.Entry {
	wire := make([]*peerpb.Entry, len(entries))
	for i, entry := range entries {
		wire[i] = &peerpb.Entry{Key: entry.Key, Value: entry.Value, Revision: int64(entry.Revision)}
	}
	return wire
}

func fromWire(wire []*peerpb.Entry) []config.Entry {
	entries := make([]config.Entry, len(wire))
	for i, entry := range wire {
		entries[i] = config.Entry{Key: entry.GetKey(), Value: entry.GetValue(), Revision: ids.Revision(entry.GetRevision())}
	}
	return entries
}
