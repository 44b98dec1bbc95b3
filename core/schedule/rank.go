package schedule

import (
	"math"
	"time"

	"dotterelgw/core/ids"
)

const (
	// levels is the number of priorities that are told apart; the last one holds all beyond.
	levels = 8
	// ranksPerLevel is the number of ranks of one priority: what only the primary can run goes before the rest, and what can still
	// meet its objective before what can't.
	ranksPerLevel = 4
	// continuing is the rank of statements of open transactions.
	continuing = 0
	// starving is the rank of entries that would not be served in time in the order of their urgency. It is served last, but for
	// the part of the server that is kept for it.
	starving = 1 + levels*ranksPerLevel
	// rankCount is the number of ranks. One that is lower is served first.
	rankCount = starving + 1
	// objectiveMargin is the number of expected times of work that must be left for an entry to count as able to meet its
	// objective, as the work varies.
	objectiveMargin = 2
)

// item is an entry in the queue.
type item struct {
	Entry
	sequence uint64
	rank     int
	waiting  bool
	// changesAt is when the rank changes; 0 if it never does.
	changesAt time.Duration
}

// work returns the expected work in nanoseconds.
func (item *item) work() float64 { return float64(max(item.Work, 1)) }

// order returns the place of the item among those of its organisation.
func (item *item) order() key {
	due := item.Arrived + item.Objective
	if item.Objective == 0 {
		due = item.Deadline
	}
	return key{float64(due), item.sequence}
}

// latestStart returns the time by which the item must start to run within its deadline.
func (item *item) latestStart() time.Duration {
	if item.Deadline == 0 {
		return math.MaxInt64
	}
	return item.Deadline - item.Work
}

// lateFrom returns the time from which the item can't be expected to meet its objective.
func (item *item) lateFrom() time.Duration {
	if item.Objective == 0 {
		return math.MaxInt64
	}
	return item.Arrived + item.Objective - objectiveMargin*item.Work
}

// rankAt returns the rank of the item at the time, and when it changes next; 0 if never.
func (item *item) rankAt(now time.Duration) (rank int, changesAt time.Duration) {
	if item.Continues {
		return continuing, 0
	}
	rank = 1 + levelOf(item.Priority)*ranksPerLevel
	if !item.PrimaryOnly {
		rank += 2
	}
	switch {
	case now >= item.lateFrom():
		return rank + 1, 0
	case item.Objective == 0:
		return rank, 0
	}
	return rank, item.lateFrom()
}

// levelOf returns the priority within the number of priorities that are told apart.
func levelOf(priority int) int { return min(max(priority, 0), levels-1) }

// rank holds the waiting items of equal urgency. Its organisations share the server by start-time fair queueing.
type rank struct {
	flows map[ids.OrganisationID]*flow
	// byStart and byFinish hold the flows with waiting items, by the virtual time at which their next item starts and at which
	// their last one ends.
	byStart, byFinish tree[*flow]
	// deadlines holds the items by their latest start.
	deadlines tree[*item]
	// virtualTime is the start of the last item served, in nanoseconds of work at weight 1.
	virtualTime float64
	// sweepAt is the number of flows at which those without a claim are dropped.
	sweepAt int
}

// flow holds the waiting items of one organisation.
type flow struct {
	sequence uint64
	weight   float64
	// start is the virtual time at which the next item starts. It is kept while nothing waits, so that an organisation whose
	// items are few at a time still pays for its work.
	start float64
	items tree[*item]
}

// minSweep is the smallest number of flows of a rank at which unused ones are looked for.
const minSweep = 64

func (flow *flow) startKey() key { return key{flow.start, flow.sequence} }

func (flow *flow) finishKey() key {
	return key{flow.start + flow.items.total().work/flow.weight, flow.sequence}
}

func (rank *rank) empty() bool { return rank.byStart.empty() }

// work returns the expected work of all waiting items.
func (rank *rank) work() float64 { return rank.byFinish.total().work }

// attach adds the flow to the flows with waiting items, if it has any.
func (rank *rank) attach(flow *flow) {
	if flow.items.empty() {
		return
	}
	rank.byStart.insert(flow.startKey(), sums{}, flow)
	rank.byFinish.insert(flow.finishKey(), sums{flow.items.total().work, flow.weight, flow.weight * flow.start}, flow)
}

// detach takes the flow out before it changes.
func (rank *rank) detach(flow *flow) {
	if flow.items.empty() {
		return
	}
	rank.byStart.remove(flow.startKey())
	rank.byFinish.remove(flow.finishKey())
}

func (rank *rank) add(item *item, weight float64) {
	target, ok := rank.flows[item.Organisation]
	if !ok {
		target = rank.addFlow(item)
	}
	rank.detach(target)
	if target.items.empty() {
		target.start = max(target.start, rank.virtualTime)
	}
	target.weight = weight
	target.items.insert(item.order(), sums{work: item.work()}, item)
	rank.attach(target)
	rank.deadlines.insert(item.deadlineKey(), sums{}, item)
}

func (item *item) deadlineKey() key { return key{float64(item.latestStart()), item.sequence} }

func (rank *rank) addFlow(item *item) *flow {
	if rank.flows == nil {
		rank.flows = make(map[ids.OrganisationID]*flow)
	}
	if len(rank.flows) >= max(rank.sweepAt, minSweep) {
		rank.dropUnused()
		rank.sweepAt = 2 * len(rank.flows)
	}
	added := &flow{sequence: item.sequence}
	rank.flows[item.Organisation] = added
	return added
}

// dropUnused drops the flows that would start at the virtual time anyway.
func (rank *rank) dropUnused() {
	for organisation, flow := range rank.flows {
		if flow.items.empty() && flow.start <= rank.virtualTime {
			delete(rank.flows, organisation)
		}
	}
}

func (rank *rank) remove(item *item) {
	flow := rank.flows[item.Organisation]
	rank.detach(flow)
	flow.items.remove(item.order())
	rank.attach(flow)
	rank.deadlines.remove(item.deadlineKey())
}

// next returns the item to serve. The rank must not be empty.
func (rank *rank) next() *item {
	_, flow := rank.byStart.first()
	_, item := flow.items.first()
	return item
}

// last returns the item that is expected to be served last. The rank must not be empty.
func (rank *rank) last() *item {
	_, flow := rank.byFinish.last()
	_, item := flow.items.last()
	return item
}

// serve removes the item and charges its organisation.
func (rank *rank) serve(item *item) {
	flow := rank.flows[item.Organisation]
	rank.detach(flow)
	rank.virtualTime = max(rank.virtualTime, flow.start)
	flow.start += item.work() / flow.weight
	flow.items.remove(item.order())
	rank.attach(flow)
	rank.deadlines.remove(item.deadlineKey())
}

// ahead returns the expected work that this rank serves before the item, which may or may not wait in it.
func (rank *rank) ahead(item *item, weight float64) float64 {
	start, own := rank.virtualTime, 0.0
	if flow, ok := rank.flows[item.Organisation]; ok {
		start = max(start, flow.start)
		if !flow.items.empty() {
			start, own, weight = flow.start, flow.items.before(item.order()).work, flow.weight
		}
	}
	// By the virtual time at which the item starts, a flow has been served entirely or from its start until then.
	virtual := start + own/weight
	served := rank.byFinish.before(key{virtual, math.MaxUint64})
	partly := rank.byFinish.total().minus(served)
	return max(served.work+virtual*partly.weight-partly.offset, own)
}
