package monitor

import (
	"context"
	"time"

	"dotterelgw/core/ids"
	"dotterelgw/io/clock"
	"dotterelgw/io/mesh"
)

const (
	// shareInterval is the time between two questions to the VM that observes a group.
	shareInterval = 400 * time.Millisecond
	// shareTimeout is the time after which the next VM is asked.
	shareTimeout = 60 * time.Millisecond
	// observeInterval is the time between two status requests of a VM that others ask.
	observeInterval = 300 * time.Millisecond
	// observerMemory is the time after a question in which a VM observes a group for others.
	observerMemory = 2 * time.Second
	// staleObservation is the age from which on a VM asks a server itself.
	staleObservation = 750 * time.Millisecond
)

// The kinds of datagrams.
const (
	kindAsk   mesh.Kind = "observe"
	kindShare mesh.Kind = "observed"
)

// shareRequest asks a VM for what it observed of the groups.
type shareRequest struct {
	// Number tells the answers to several requests apart.
	Number uint64        `cbor:"number"`
	Groups []ids.GroupID `cbor:"groups"`
}

// shareReply holds what a VM observed.
type shareReply struct {
	Number  uint64           `cbor:"number"`
	Servers []sharedObserved `cbor:"servers"`
}

// Observers returns the VMs to ask for observations, best first; this VM may be among them.
type Observers func() []ids.VMID

// Share lets VMs ask each other for observations, so that not every VM asks every server.
func (monitor *Monitor) Share(network *mesh.Mesh, self ids.VMID, observers Observers) {
	monitor.mesh, monitor.self, monitor.observers = network, self, observers
	mesh.Handle(network, kindAsk, monitor.answerShare)
	mesh.Handle(network, kindShare, monitor.receiveShare)
}

// Run asks other VMs for observations of the groups in use until the context ends.
func (monitor *Monitor) Run(ctx context.Context) {
	timer := time.NewTimer(shareInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-monitor.hurry:
		case <-timer.C:
		}
		monitor.askOthers()
		timer.Reset(shareInterval)
	}
}

// askOthers asks the best observer, and the next one if that does not answer. Without any answer the observations become
// stale and this VM asks the servers itself.
func (monitor *Monitor) askOthers() {
	var groups []ids.GroupID
	for _, group := range monitor.Groups() {
		if group.inUse() {
			groups = append(groups, group.id)
		}
	}
	if len(groups) == 0 {
		return
	}
	for _, observer := range monitor.observers() {
		if observer == monitor.self {
			for _, id := range groups {
				monitor.Group(id).observeForOthers()
			}
			return
		}
		answered := make(chan struct{})
		monitor.mutex.Lock()
		monitor.number++
		number := monitor.number
		monitor.asked = asked{number: number, sentAt: clock.Now(), answered: answered}
		monitor.mutex.Unlock()
		mesh.Send(monitor.mesh, observer, kindAsk, shareRequest{Number: number, Groups: groups})
		select {
		case <-answered:
			return
		case <-time.After(shareTimeout):
		}
	}
}

// asked is the question under way.
type asked struct {
	number   uint64
	sentAt   time.Duration
	answered chan struct{}
}

// answerShare tells another VM what this one observed, and goes on observing.
func (monitor *Monitor) answerShare(sender ids.VMID, request shareRequest) {
	reply := shareReply{Number: request.Number}
	for _, id := range request.Groups {
		group := monitor.Group(id)
		if group == nil {
			continue
		}
		group.observeForOthers()
		now := clock.Now()
		for _, server := range group.Servers() {
			observed, known := group.Observed(server.ID())
			if !known || now-observed.SentAt > staleObservation {
				continue
			}
			reply.Servers = append(reply.Servers, share(server, observed, now))
		}
	}
	mesh.Send(monitor.mesh, sender, kindShare, reply)
}

// receiveShare takes the observations of another VM. Their age counts from the sending of the question, so that a late
// answer makes them older, never newer.
func (monitor *Monitor) receiveShare(_ ids.VMID, reply shareReply) {
	monitor.mutex.Lock()
	asked := monitor.asked
	if asked.answered == nil || asked.number != reply.Number {
		monitor.mutex.Unlock()
		return
	}
	monitor.asked.answered = nil
	monitor.mutex.Unlock()
	for _, shared := range reply.Servers {
		server := monitor.server(shared.Server)
		if server == nil || server.Info().Born != shared.Born {
			continue
		}
		server.learn(shared.observation(asked.sentAt))
	}
	close(asked.answered)
}

// server returns the server with the identifier, nil for none.
func (monitor *Monitor) server(id ids.BackendServerID) *Server {
	for _, group := range monitor.Groups() {
		if server := group.server(id); server != nil {
			return server
		}
	}
	return nil
}
