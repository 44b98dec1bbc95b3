package fairqueue

import "container/list"

// Queue serves waiting items in proportion to the weights of their keys. It is deterministic and not safe for concurrent use.
type Queue[K comparable, T any] struct {
	flows map[K]*flow[K, T]
	// flowOrder holds the flows in order of creation, which decides ties.
	flowOrder []*flow[K, T]
	// virtualTime is the start of the service in progress, in services at weight 1.
	virtualTime float64
	length      int
}

// flow holds the waiting items of one key, first in first out.
type flow[K comparable, T any] struct {
	key    K
	weight float64
	// finish is the virtual finish time of the last item served, or the virtual time at which the flow last became active if that
	// is later.
	finish float64
	items  list.List
}

// Ticket identifies a waiting item for Remove.
type Ticket[K comparable] struct {
	key     K
	element *list.Element
}

// New returns an empty queue.
func New[K comparable, T any]() *Queue[K, T] {
	return &Queue[K, T]{flows: make(map[K]*flow[K, T])}
}

// Len returns the number of waiting items.
func (queue *Queue[K, T]) Len() int { return queue.length }

// Waiting returns the number of waiting items of the key.
func (queue *Queue[K, T]) Waiting(key K) int {
	if flow, ok := queue.flows[key]; ok {
		return flow.items.Len()
	}
	return 0
}

// Push appends an item to the flow of the key and sets the flow's weight. A weight that is not positive counts as 1.
func (queue *Queue[K, T]) Push(key K, weight float64, item T) Ticket[K] {
	if !(weight > 0) {
		weight = 1
	}
	target, ok := queue.flows[key]
	if !ok {
		target = &flow[K, T]{key: key}
		queue.flows[key] = target
		queue.flowOrder = append(queue.flowOrder, target)
	}
	if target.items.Len() == 0 {
		// A flow without waiting items earns no credit for the time that it was idle.
		target.finish = max(target.finish, queue.virtualTime)
	}
	target.weight = weight
	queue.length++
	return Ticket[K]{key: key, element: target.items.PushBack(item)}
}

// Remove removes a waiting item. It returns false if the item was served or removed before.
func (queue *Queue[K, T]) Remove(ticket Ticket[K]) bool {
	target, ok := queue.flows[ticket.key]
	if !ok || ticket.element == nil || ticket.element.Value == nil {
		return false
	}
	target.items.Remove(ticket.element)
	ticket.element.Value = nil
	queue.length--
	queue.prune()
	return true
}

// next returns the flow whose first item is eligible and has the smallest virtual finish time, and that time. Ties go to the flow
// that was created first. A nil function makes all items eligible.
func (queue *Queue[K, T]) next(eligible func(key K, item T) bool) (chosen *flow[K, T], next float64) {
	for _, candidate := range queue.flowOrder {
		front := candidate.items.Front()
		if front == nil {
			continue
		}
		finish := candidate.finish + 1/candidate.weight
		if chosen != nil && finish >= next {
			continue
		}
		if eligible == nil || eligible(candidate.key, front.Value.(T)) {
			chosen, next = candidate, finish
		}
	}
	return chosen, next
}

// Finish returns the virtual finish time of the item that Pop would return, in services at weight 1, or false if there is none.
func (queue *Queue[K, T]) Finish(eligible func(key K, item T) bool) (float64, bool) {
	chosen, next := queue.next(eligible)
	return next, chosen != nil
}

// Pop removes and returns the eligible first item of a flow that has the smallest virtual finish time.
func (queue *Queue[K, T]) Pop(eligible func(key K, item T) bool) (item T, ok bool) {
	chosen, next := queue.next(eligible)
	if chosen == nil {
		return item, false
	}
	front := chosen.items.Front()
	item = front.Value.(T)
	chosen.items.Remove(front)
	front.Value = nil
	queue.length--
	// The virtual time never decreases.
	queue.virtualTime = max(queue.virtualTime, chosen.finish)
	chosen.finish = next
	queue.prune()
	return item, true
}

// prune drops flows that have no waiting items and whose finish time has passed: they would start at the virtual time anyway. An
// empty queue drops all flows.
func (queue *Queue[K, T]) prune() {
	kept := queue.flowOrder[:0]
	for _, flow := range queue.flowOrder {
		if flow.items.Len() == 0 && (flow.finish <= queue.virtualTime || queue.length == 0) {
			delete(queue.flows, flow.key)
			continue
		}
		kept = append(kept, flow)
	}
	clear(queue.flowOrder[len(kept):])
	queue.flowOrder = kept
}

// Each calls visit for the waiting items, flow by flow, until visit returns false.
func (queue *Queue[K, T]) Each(visit func(item T) bool) {
	for _, flow := range queue.flowOrder {
		for element := flow.items.Front(); element != nil; element = element.Next() {
			if !visit(element.Value.(T)) {
				return
			}
		}
	}
}
