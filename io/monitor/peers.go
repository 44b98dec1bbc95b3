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
	// queryInterval is the interval at which a VM queries the state of the groups that it uses.
	queryInterval = 400 * time.Millisecond
	// collectInterval is the interval at which a collector, which passes the answers on, queries them.
	collectInterval = 200 * time.Millisecond
	// unknownInterval is the query interval while the primary of a group in use is unknown.
	unknownInterval = 30 * time.Millisecond
	// answerTimeout is the time after which the next VM is queried. A late answer is still used.
	answerTimeout = 60 * time.Millisecond
	// peerInterestTTL is how long a query of another VM keeps this VM observing or collecting the group.
	peerInterestTTL = 2 * time.Second
	// collectorDelay and userDelay are the delays after a change before collectors and all other VMs query it. Each tier
	// queries after the one before it has received the news.
	collectorDelay = 20 * time.Millisecond
	userDelay      = 45 * time.Millisecond
)

// Sharing holds what sharing observations with other VMs requires.
type Sharing struct {
	// Mesh carries the datagrams.
	Mesh *mesh.Mesh
	// Self is this VM.
	Self ids.VMID
	// Holder returns the VM responsible for replacing primaries, empty if it is unknown.
	Holder func() ids.VMID
}

// Share enables VMs to query each other for observations, so that not every VM polls every server.
func (monitor *Monitor) Share(sharing Sharing) {
	monitor.sharing = sharing
	mesh.Handle(sharing.Mesh, kindQuery, monitor.handleQuery)
	mesh.Handle(sharing.Mesh, kindReply, monitor.handleReply)
	mesh.Handle(sharing.Mesh, kindSuspect, monitor.handleSuspicion)
}

// Run queries other VMs for observations of the groups in use until the context ends.
func (monitor *Monitor) Run(ctx context.Context) {
	timer := time.NewTimer(queryInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-monitor.wakeup:
			clock.Sleep(ctx, monitor.queryDelay())
		case <-timer.C:
		}
		timer.Reset(monitor.queryGroups())
	}
}

// queryDelay returns how long this VM waits after a change before it queries other VMs.
func (monitor *Monitor) queryDelay() time.Duration {
	plan := monitor.plan.Load()
	switch {
	case plan.IsCollector():
		return collectorDelay
	case len(plan.Collectors()) > 0:
		return userDelay
	}
	return 0
}

// queryGroups queries the state of the groups that this VM uses or collects, and returns the time until the next query.
// If nobody answers, the observations become stale and this VM polls the servers itself.
func (monitor *Monitor) queryGroups() time.Duration {
	interval := queryInterval
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
	if !monitor.queryCollectors(plan, wanted) {
		monitor.queryObservers(plan, wanted)
	}
	if monitor.primaryUnknown(wanted) {
		return unknownInterval
	}
	return interval
}

// primaryUnknown reports whether one of the groups has just come into use and nothing is known of its primary.
func (monitor *Monitor) primaryUnknown(wanted []ids.GroupID) bool {
	return slices.ContainsFunc(wanted, func(id ids.GroupID) bool {
		group := monitor.Group(id)
		return group != nil && group.primaryUnknown()
	})
}

// queryCollectors queries collectors of this VM's availability zone in turn; false if none answers or there are none.
func (monitor *Monitor) queryCollectors(plan *observer.Plan, wanted []ids.GroupID) bool {
	collectors := plan.Collectors()
	monitor.nextCollector++
	for index := range min(len(collectors), maxCollectorTries) {
		collector := collectors[(monitor.nextCollector+index)%len(collectors)]
		if len(monitor.queryPeers(map[ids.VMID][]ids.GroupID{collector: wanted}, false)) == 0 {
			return true
		}
	}
	return false
}

// maxCollectorTries is the number of collectors to query before falling back to the observers.
const maxCollectorTries = 2

// queryObservers queries the observers of each group, and the next observers of the groups that got no answer.
func (monitor *Monitor) queryObservers(plan *observer.Plan, wanted []ids.GroupID) {
	holder := monitor.sharing.Holder()
	for choice := 0; len(wanted) > 0; choice++ {
		queries := make(map[ids.VMID][]ids.GroupID)
		for _, id := range wanted {
			observers := plan.Observers(id, holder)
			switch {
			case choice >= len(observers):
			case observers[choice] == monitor.sharing.Self:
				monitor.observe(id)
			default:
				queries[observers[choice]] = append(queries[observers[choice]], id)
			}
		}
		wanted = monitor.queryPeers(queries, true)
	}
}

// observe makes this VM observe the group for others.
func (monitor *Monitor) observe(id ids.GroupID) {
	if group := monitor.Group(id); group != nil {
		group.observeForPeers()
	}
}

// handleQuery sends another VM what this one knows, and keeps observing or collecting the groups.
func (monitor *Monitor) handleQuery(sender ids.VMID, request queryRequest) {
	reply := queryReply{Number: request.Number}
	for _, id := range request.Groups {
		group := monitor.Group(id)
		if group == nil {
			continue
		}
		if request.Observe {
			group.observeForPeers()
		} else {
			group.collectForPeers()
		}
		now := clock.Now()
		reply.Groups = append(reply.Groups, group.encode(now))
		reply.AssuredUS = append(reply.AssuredUS, (now - group.assuredAt()).Microseconds())
		if len(reply.Groups) == groupsPerReply {
			mesh.Send(monitor.sharing.Mesh, sender, kindReply, reply)
			reply.Groups, reply.AssuredUS = nil, nil
		}
	}
	reply.Last = true
	mesh.Send(monitor.sharing.Mesh, sender, kindReply, reply)
}

// handleReply stores the observations of another VM. Their age counts from when the query was sent, so a late answer
// makes them older but never newer.
func (monitor *Monitor) handleReply(_ ids.VMID, reply queryReply) {
	sent, known := monitor.sent.sentAt(reply.Number)
	if !known {
		return
	}
	for index, shared := range reply.Groups {
		group := monitor.Group(shared.Group)
		if group == nil {
			continue
		}
		if index < len(reply.AssuredUS) {
			group.Assure(sent - time.Duration(max(reply.AssuredUS[index], 0))*time.Microsecond)
		}
		group.record(shared, sent)
	}
	if reply.Last {
		monitor.sent.answered(reply.Number)
	}
}

// reportSuspect tells the VM that replaces primaries that a server observed by this VM did not answer.
func (monitor *Monitor) reportSuspect(group *Group) {
	if holder := monitor.holder(); holder != "" && holder != monitor.sharing.Self {
		mesh.Send(monitor.sharing.Mesh, holder, kindSuspect, suspicion{Group: group.id})
	}
}

// holder returns the VM responsible for replacing primaries, empty if it is unknown.
func (monitor *Monitor) holder() ids.VMID {
	if monitor.sharing.Holder == nil {
		return ""
	}
	return monitor.sharing.Holder()
}

// handleSuspicion makes this VM poll the group itself.
func (monitor *Monitor) handleSuspicion(_ ids.VMID, suspicion suspicion) {
	if group := monitor.Group(suspicion.Group); group != nil {
		group.poll()
	}
}
