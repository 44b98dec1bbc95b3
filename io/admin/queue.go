package admin

import (
	"cmp"
	"slices"
)

// queue holds records in the order of their sequence numbers.
type queue struct {
	head  int // index of the oldest record in items
	items []numbered
}

type numbered struct {
	sequence uint64
	record   Record
}

func (queue *queue) size() int { return len(queue.items) - queue.head }

// oldest returns the oldest record of a queue that is not empty.
func (queue *queue) oldest() *Record { return &queue.items[queue.head].record }

// add appends a record and reuses the space of dropped ones once they are half of the queue.
func (queue *queue) add(sequence uint64, record Record) {
	if queue.head > len(queue.items)/2 {
		kept := copy(queue.items, queue.items[queue.head:])
		clear(queue.items[kept:])
		queue.items, queue.head = queue.items[:kept], 0
	}
	queue.items = append(queue.items, numbered{sequence: sequence, record: record})
}

// drop removes the oldest record of a queue that is not empty.
func (queue *queue) drop() {
	queue.items[queue.head] = numbered{}
	queue.head++
}

func (queue *queue) find(sequence uint64) (Record, bool) {
	items := queue.items[queue.head:]
	place, ok := slices.BinarySearchFunc(items, sequence, func(item numbered, sequence uint64) int {
		return cmp.Compare(item.sequence, sequence)
	})
	if !ok {
		return Record{}, false
	}
	return items[place].record, true
}
