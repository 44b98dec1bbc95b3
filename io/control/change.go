package control

import (
	"context"
	"sync"

	"dotterelgw/core/config"
)

// changes delivers entries to the registered functions in order, outside the controller's mutex.
type changes struct {
	ready chan struct{}

	// delivery serialises calls of the functions; it is taken before the controller's mutex.
	delivery  sync.Mutex
	functions []subscriber

	mutex   sync.Mutex
	pending []config.Entry
	next    uint64 // number of the first pending entry
}

type subscriber struct {
	function func(config.Entry)
	from     uint64
}

// OnChange implements Control.OnChange.
func (controller *Controller) OnChange(function func(config.Entry)) {
	changes := &controller.changes
	changes.delivery.Lock()
	defer changes.delivery.Unlock()
	controller.mutex.Lock()
	entries := controller.entries.Snapshot()
	changes.mutex.Lock()
	from := changes.next + uint64(len(changes.pending))
	changes.mutex.Unlock()
	controller.mutex.Unlock()
	for _, entry := range entries {
		function(entry)
	}
	changes.functions = append(changes.functions, subscriber{function: function, from: from})
}

func (changes *changes) add(entries []config.Entry) {
	if len(entries) == 0 {
		return
	}
	changes.mutex.Lock()
	changes.pending = append(changes.pending, entries...)
	changes.mutex.Unlock()
	select {
	case changes.ready <- struct{}{}:
	default:
	}
}

// deliver runs until the context ends.
func (changes *changes) deliver(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-changes.ready:
			changes.flush()
		}
	}
}

func (changes *changes) flush() {
	changes.delivery.Lock()
	defer changes.delivery.Unlock()
	changes.mutex.Lock()
	entries, first := changes.pending, changes.next
	changes.pending, changes.next = nil, first+uint64(len(entries))
	changes.mutex.Unlock()
	for i, entry := range entries {
		for _, subscriber := range changes.functions {
			if first+uint64(i) >= subscriber.from {
				subscriber.function(entry)
			}
		}
	}
}
