package admin

import (
	"cmp"
	"slices"
)

// queue is a FIFO queue of records, ordered by sequence number.
type queue struct {
	head  int // index of the oldest record in items
	items []sequencedRecord
}

type sequencedRecord struct {
	sequence uint64
	record   Record
}

func (queue *queue) size() int { return len(queue.items) - queue.head }

// oldest returns the oldest record. The queue must not be empty.
func (queue *queue) oldest() *Record { return &queue.items[queue.head].record }

// add appends a record. It first moves the records to the start once more than half of the slice is unused.
func (queue *queue) add(sequence uint64, record Record) {
	if queue.head > len(queue.items)/2 {
		kept := copy(queue.items, queue.items[queue.head:])
		clear(queue.items[kept:])
		queue.items, queue.head = queue.items[:kept], 0
	}
	queue.items = append(queue.items, sequencedRecord{sequence: sequence, record: record})
}

// drop removes the oldest record. The queue must not be empty.
func (queue *queue) drop() {
	queue.items[queue.head] = sequencedRecord{}
	queue.head++
}

// find returns the record with the sequence number by binary search.
func (queue *queue) find(sequence uint64) (Record, bool) {
	items := queue.items[queue.head:]
	position, ok := slices.BinarySearchFunc(items, sequence, func(item sequencedRecord, sequence uint64) int {
		return cmp.Compare(item.sequence, sequence)
	})
	if !ok {
		return Record{}, false
	}
	return items[position].record, true
}
