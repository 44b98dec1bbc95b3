package share

import "container/list"

// Queue serves the waiting items of keys in proportion to their weights; it is deterministic and not safe for concurrent use.
type Queue[K comparable, T any] struct {
	flows   map[K]*flow[K, T]
	order   []*flow[K, T]
	virtual float64
	length  int
}

type flow[K comparable, T any] struct {
	key    K
	weight float64
	// finish is the virtual time at which the flow has been served for everything that it got so far.
	finish float64
	items  list.List
}

// Ticket names a waiting item, so that it can be withdrawn.
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

// Push adds an item of the key; a weight that is not positive counts as 1.
func (queue *Queue[K, T]) Push(key K, weight float64, item T) Ticket[K] {
	if !(weight > 0) {
		weight = 1
	}
	waiting, ok := queue.flows[key]
	if !ok {
		waiting = &flow[K, T]{key: key}
		queue.flows[key] = waiting
		queue.order = append(queue.order, waiting)
	}
	if waiting.items.Len() == 0 {
		// A flow that had nothing waiting gets no credit for the time that it was absent.
		waiting.finish = max(waiting.finish, queue.virtual)
	}
	waiting.weight = weight
	queue.length++
	return Ticket[K]{key: key, element: waiting.items.PushBack(item)}
}

// Remove withdraws a waiting item; it returns false if the item was served or withdrawn before.
func (queue *Queue[K, T]) Remove(ticket Ticket[K]) bool {
	waiting, ok := queue.flows[ticket.key]
	if !ok || ticket.element == nil || ticket.element.Value == nil {
		return false
	}
	waiting.items.Remove(ticket.element)
	ticket.element.Value = nil
	queue.length--
	queue.forget()
	return true
}

// next returns the eligible flow with the smallest virtual finish time, and that time; ties go to the flow that came first.
func (queue *Queue[K, T]) next(eligible func(key K, item T) bool) (chosen *flow[K, T], next float64) {
	for _, candidate := range queue.order {
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

// Finish returns the virtual finish time that Pop would serve next, in services at weight 1; false when it finds nothing.
func (queue *Queue[K, T]) Finish(eligible func(key K, item T) bool) (float64, bool) {
	chosen, next := queue.next(eligible)
	return next, chosen != nil
}

// Pop serves the first item of the eligible flow with the smallest virtual finish time.
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
	// The virtual time is the start of the service in progress; it never decreases.
	queue.virtual = max(queue.virtual, chosen.finish)
	chosen.finish = next
	queue.forget()
	return item, true
}

// forget drops flows with nothing waiting whose service lies in the past; they would start at the virtual time anyway.
func (queue *Queue[K, T]) forget() {
	kept := queue.order[:0]
	for _, flow := range queue.order {
		if flow.items.Len() == 0 && (flow.finish <= queue.virtual || queue.length == 0) {
			delete(queue.flows, flow.key)
			continue
		}
		kept = append(kept, flow)
	}
	clear(queue.order[len(kept):])
	queue.order = kept
}

// Each calls visit for the waiting items, flow by flow, until it returns false.
func (queue *Queue[K, T]) Each(visit func(item T) bool) {
	for _, flow := range queue.order {
		for element := flow.items.Front(); element != nil; element = element.Next() {
			if !visit(element.Value.(T)) {
				return
			}
		}
	}
}
