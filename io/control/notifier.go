package control

import (
	"context"
	"sync"

	"dotterelgw/core/config"
)

// notifier calls the functions registered by OnChange with changed entries, in order and without the controller's mutex.
type notifier struct {
	wake chan struct{} // signals that entries are pending

	// deliveryMutex serialises calls of the subscribers. It is locked before the controller's mutex.
	deliveryMutex sync.Mutex
	subscribers   []subscriber

	mutex        sync.Mutex
	pending      []config.Entry
	firstPending uint64 // number of the first pending entry, counted from the start of the process
}

// subscriber is a registered function and the number of the first entry that it gets.
type subscriber struct {
	function func(config.Entry)
	from     uint64
}

// OnChange implements Control.OnChange.
func (controller *Controller) OnChange(function func(config.Entry)) {
	notifier := &controller.notifier
	notifier.deliveryMutex.Lock()
	defer notifier.deliveryMutex.Unlock()
	controller.mutex.Lock()
	entries := controller.entries.Snapshot()
	notifier.mutex.Lock()
	from := notifier.firstPending + uint64(len(notifier.pending))
	notifier.mutex.Unlock()
	controller.mutex.Unlock()
	for _, entry := range entries {
		function(entry)
	}
	notifier.subscribers = append(notifier.subscribers, subscriber{function: function, from: from})
}

// enqueue adds entries and wakes deliver. It may be called with the controller's mutex held.
func (notifier *notifier) enqueue(entries []config.Entry) {
	if len(entries) == 0 {
		return
	}
	notifier.mutex.Lock()
	notifier.pending = append(notifier.pending, entries...)
	notifier.mutex.Unlock()
	select {
	case notifier.wake <- struct{}{}:
	default:
	}
}

// deliver calls the subscribers with pending entries until the context ends.
func (notifier *notifier) deliver(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-notifier.wake:
			notifier.flush()
		}
	}
}

func (notifier *notifier) flush() {
	notifier.deliveryMutex.Lock()
	defer notifier.deliveryMutex.Unlock()
	notifier.mutex.Lock()
	entries, first := notifier.pending, notifier.firstPending
	notifier.pending, notifier.firstPending = nil, first+uint64(len(entries))
	notifier.mutex.Unlock()
	for i, entry := range entries {
		for _, subscriber := range notifier.subscribers {
			if first+uint64(i) >= subscriber.from {
				subscriber.function(entry)
			}
		}
	}
}
