package monitor

import (
	"context"
	"slices"
	"time"

	"dotterelgw/core/ids"
	"dotterelgw/core/observer"
	"dotterelgw/io/clock"
	"dotterelgw/io/mesh"
)

const (
	// askInterval is the time between two questions of a VM for the state of the groups that it uses.
	askInterval = 400 * time.Millisecond
	// collectInterval is the time between two questions of a VM that passes the answers on.
	collectInterval = 200 * time.Millisecond
	// unknownInterval is the time between two questions while nothing is known of a group that is used.
	unknownInterval = 30 * time.Millisecond
	// answerTimeout is the time after which the next VM is asked; a late answer is still taken.
	answerTimeout = 60 * time.Millisecond
	// othersMemory is the time after a question of another VM in which its wish is remembered.
	othersMemory = 2 * time.Second
	// collectorDelay and askerDelay are the times after a change at which collectors and the others ask, so that each tier finds
	// the news with the one before it.
	collectorDelay = 20 * time.Millisecond
	askerDelay     = 45 * time.Millisecond
)

// Sharing holds what sharing observations with other VMs needs.
type Sharing struct {
	// Mesh carries the datagrams.
	Mesh *mesh.Mesh
	// Self is this VM.
	Self ids.VMID
	// Holder returns the VM that replaces primaries, empty if none is known.
	Holder func() ids.VMID
}

// Share lets VMs ask each other for observations, so that not every VM asks every server.
func (monitor *Monitor) Share(sharing Sharing) {
	monitor.sharing = sharing
	mesh.Handle(sharing.Mesh, kindAsk, monitor.answer)
	mesh.Handle(sharing.Mesh, kindShare, monitor.receive)
	mesh.Handle(sharing.Mesh, kindSuspect, monitor.suspected)
}

// Run asks other VMs for observations of the groups in use until the context ends.
func (monitor *Monitor) Run(ctx context.Context) {
	timer := time.NewTimer(askInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-monitor.hurry:
			clock.Sleep(ctx, monitor.hurryDelay())
		case <-timer.C:
		}
		timer.Reset(monitor.askOthers())
	}
}

// hurryDelay returns how long this VM waits after a change before it asks.
func (monitor *Monitor) hurryDelay() time.Duration {
	plan := monitor.plan.Load()
	switch {
	case plan.Collects():
		return collectorDelay
	case len(plan.Collectors()) > 0:
		return askerDelay
	}
	return 0
}

// askOthers asks for the state of the groups that this VM wants, and returns the time until the next question. Without any answer
// the observations become stale and this VM asks the servers itself.
func (monitor *Monitor) askOthers() time.Duration {
	interval := askInterval
	var wanted []ids.GroupID
	for _, group := range monitor.Groups() {
		collected := group.collected()
		if collected {
			interval = collectInterval
		}
		if collected || group.inUse() {
			wanted = append(wanted, group.id)
		}
	}
	if len(wanted) == 0 {
		return interval
	}
	plan := monitor.plan.Load()
	if !monitor.askCollectors(plan, wanted) {
		monitor.askObservers(plan, wanted)
	}
	if monitor.unknown(wanted) {
		return unknownInterval
	}
	return interval
}

// unknown states whether one of the groups has just come into use and nothing is known of its primary.
func (monitor *Monitor) unknown(wanted []ids.GroupID) bool {
	return slices.ContainsFunc(wanted, func(id ids.GroupID) bool {
		group := monitor.Group(id)
		return group != nil && group.unknown()
	})
}

// askCollectors asks the collectors of this VM's availability zone in turn; false if none answers or there are none.
func (monitor *Monitor) askCollectors(plan *observer.Plan, wanted []ids.GroupID) bool {
	collectors := plan.Collectors()
	monitor.turn++
	for index := range min(len(collectors), collectorTries) {
		collector := collectors[(monitor.turn+index)%len(collectors)]
		if len(monitor.ask(map[ids.VMID][]ids.GroupID{collector: wanted}, false)) == 0 {
			return true
		}
	}
	return false
}

// collectorTries is the number of collectors that are asked before the observers are.
const collectorTries = 2

// askObservers asks the observers of each group, and the next ones of those groups for which there was no answer.
func (monitor *Monitor) askObservers(plan *observer.Plan, wanted []ids.GroupID) {
	holder := monitor.sharing.Holder()
	for choice := 0; len(wanted) > 0; choice++ {
		questions := make(map[ids.VMID][]ids.GroupID)
		for _, id := range wanted {
			observers := plan.Observers(id, holder)
			switch {
			case choice >= len(observers):
			case observers[choice] == monitor.sharing.Self:
				monitor.observe(id)
			default:
				questions[observers[choice]] = append(questions[observers[choice]], id)
			}
		}
		wanted = monitor.ask(questions, true)
	}
}

// observe has this VM observe the group for others.
func (monitor *Monitor) observe(id ids.GroupID) {
	if group := monitor.Group(id); group != nil {
		group.observeForOthers()
	}
}

// answer tells another VM what this one knows, and goes on observing or collecting it.
func (monitor *Monitor) answer(sender ids.VMID, question shareRequest) {
	reply := shareReply{Number: question.Number}
	for _, id := range question.Groups {
		group := monitor.Group(id)
		if group == nil {
			continue
		}
		if question.Observe {
			group.observeForOthers()
		} else {
			group.collectForOthers()
		}
		reply.Groups = append(reply.Groups, group.share(clock.Now()))
		if len(reply.Groups) == groupsPerReply {
			mesh.Send(monitor.sharing.Mesh, sender, kindShare, reply)
			reply.Groups = nil
		}
	}
	reply.Last = true
	mesh.Send(monitor.sharing.Mesh, sender, kindShare, reply)
}

// receive takes the observations of another VM. Their age counts from the sending of the question, so that a late answer makes
// them older, never newer.
func (monitor *Monitor) receive(_ ids.VMID, reply shareReply) {
	asked, known := monitor.asked.sentAt(reply.Number)
	if !known {
		return
	}
	for _, shared := range reply.Groups {
		if group := monitor.Group(shared.Group); group != nil {
			group.learn(shared, asked)
		}
	}
	if reply.Last {
		monitor.asked.answered(reply.Number)
	}
}

// suspect tells the VM that replaces primaries that a server which this VM observes did not answer.
func (monitor *Monitor) suspect(group *Group) {
	if holder := monitor.holder(); holder != "" && holder != monitor.sharing.Self {
		mesh.Send(monitor.sharing.Mesh, holder, kindSuspect, suspicion{Group: group.id})
	}
}

// holder returns the VM that replaces primaries, empty if none is known.
func (monitor *Monitor) holder() ids.VMID {
	if monitor.sharing.Holder == nil {
		return ""
	}
	return monitor.sharing.Holder()
}

// suspected has this VM look at a group itself.
func (monitor *Monitor) suspected(_ ids.VMID, suspicion suspicion) {
	if group := monitor.Group(suspicion.Group); group != nil {
		group.poll()
	}
}
