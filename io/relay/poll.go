package relay

import (
	"context"
	"time"

	"dotterelgw/core/config"
	"dotterelgw/core/ids"
	"dotterelgw/core/relay"
	"dotterelgw/io/clock"
	"dotterelgw/io/mesh"
	"dotterelgw/io/platform"
)

// The kinds of messages. The earlier kinds ask_records and tell_records carried revisions without an era, which a VM of an earlier
// version would compare with those of today.
const (
	kindRequest  mesh.Kind = "request_records"
	kindResponse mesh.Kind = "records"
)

const (
	// maxResponseBytes bounds the keys and values of one response. What does not fit follows with the next response, so that many
	// VMs that lack many records do not saturate the link of the VM they poll.
	maxResponseBytes = 6 << 10
	// maxRelayedBytes bounds a compressed record that exceeds a response and is sent in a response of its own to any VM. Larger
	// ones are read from the service: the links of VMs carry 20 Mbit/s, and many VMs poll each collector at once.
	maxRelayedBytes = 16 << 10
	// maxLargeBytes bounds a compressed record that is sent to a VM that cannot reach the service.
	maxLargeBytes = 400 << 10
	// largeBytesPerSecond limits the rate at which a VM sends records larger than maxRelayedBytes.
	largeBytesPerSecond = 128 << 10
)

// request asks another VM for the changes of some topics.
type request struct {
	// SentUS is the send time in microseconds on the clock of the requesting VM; the response repeats it.
	SentUS int64          `cbor:"asked_us"`
	Topics []topicRequest `cbor:"topics"`
	// WatchService asks the receiver to watch the service as a relay.
	WatchService bool `cbor:"relay"`
}

// topicRequest asks for the changes of one prefix.
type topicRequest struct {
	Prefix string       `cbor:"prefix"`
	After  ids.Revision `cbor:"after"`
	// KeyCount is the number of keys at the revision After.
	KeyCount int `cbor:"keys"`
	// ServiceUnreachable states that the service does not answer the requesting VM.
	ServiceUnreachable bool `cbor:"turned_away,omitempty"`
}

// response answers a request.
type response struct {
	SentUS int64           `cbor:"asked_us"`
	Topics []topicResponse `cbor:"topics"`
}

// topicResponse holds the changes of one prefix.
type topicResponse struct {
	Prefix string `cbor:"prefix"`
	// After is the revision after which Entries begins.
	After ids.Revision `cbor:"after"`
	// HistoryKnown states that the sender knows every change after the requested revision.
	HistoryKnown bool `cbor:"known"`
	// Revision is the revision up to which Entries holds every change.
	Revision ids.Revision `cbor:"up_to"`
	Entries  []record     `cbor:"entries"`
	// Complete states that Entries holds every change that the sender knows.
	Complete bool `cbor:"whole"`
	// AgeUS is the time in microseconds since the service had no further change.
	AgeUS int64 `cbor:"age_us"`
}

// topicUpdate is the part of a response that concerns one topic, decoded for its watch.
type topicUpdate struct {
	// after is the revision after which the entries of the event begin.
	after                  ids.Revision
	historyKnown, complete bool
	event                  platform.WatchEvent
}

// Run polls other VMs until the context ends.
func (store *Store) Run(ctx context.Context) {
	for ctx.Err() == nil {
		pause := pollInterval
		if store.role().Collector {
			pause = collectorPollInterval
		}
		clock.Sleep(ctx, pause)
		store.poll()
	}
}

// poll sends a request to the next source. A relay requests only the topics whose watch of the service has become stale.
func (store *Store) poll() {
	role := store.role()
	if len(role.Sources) == 0 {
		return
	}
	request := request{SentUS: clock.Now().Microseconds(), WatchService: role.FromRelays}
	for _, topic := range store.topics {
		if role.Relay && !topic.stale() {
			continue
		}
		topic.mutex.Lock()
		request.Topics = append(request.Topics, topic.request())
		topic.mutex.Unlock()
	}
	if len(request.Topics) == 0 {
		return
	}
	store.mutex.Lock()
	store.nextSource++
	source := role.Sources[store.nextSource%len(role.Sources)]
	store.mutex.Unlock()
	mesh.Send(store.mesh, source, kindRequest, request)
}

// handleRequest sends the requested changes to another VM. If the request asks for it, this VM watches the service for a while.
func (store *Store) handleRequest(sender ids.VMID, received request) {
	reply := response{SentUS: received.SentUS}
	remaining := maxResponseBytes
	for _, wanted := range received.Topics {
		topic, ok := store.topics[wanted.Prefix]
		if !ok {
			continue
		}
		changes, size, ok := topic.changesSince(wanted, remaining, received.WatchService)
		if !ok {
			continue
		}
		remaining -= size
		reply.Topics = append(reply.Topics, changes)
	}
	mesh.Send(store.mesh, sender, kindResponse, reply)
}

// changesSince returns the requested changes in at most maxBytes bytes, and their size. A single record that exceeds maxBytes is
// returned if mayRelay allows it. The result is false if this VM has not read the records yet.
func (topic *topic) changesSince(wanted topicRequest, maxBytes int, asRelay bool) (changes topicResponse, size int, ok bool) {
	topic.mutex.Lock()
	defer topic.mutex.Unlock()
	now := clock.Now()
	if asRelay {
		topic.requestedAt = now
	}
	if topic.changeLog.Revision() == 0 {
		return topicResponse{}, 0, false
	}
	wanted = wanted.continueFrom(topic.changeLog)
	changes = topicResponse{Prefix: topic.Prefix, After: wanted.After, AgeUS: (now - topic.changeLog.ConfirmedAt()).Microseconds()}
	all, known := topic.changeLog.Since(wanted.After, wanted.KeyCount)
	if !known {
		return changes, 0, true
	}
	changes.HistoryKnown = true
	if first := relay.FirstRevisionSize(all); first > maxBytes && maxBytes > 0 && topic.mayRelay(all[0], wanted.ServiceUnreachable, now) {
		maxBytes = first
	}
	part, upTo, complete := relay.Truncate(all, topic.changeLog.Revision(), maxBytes)
	changes.Revision, changes.Complete = upTo, complete
	for _, entry := range part {
		changes.Entries = append(changes.Entries, topic.compressed.record(entry))
		size += len(entry.Key) + len(entry.Value)
	}
	return changes, size, true
}

// mayRelay states whether a record that exceeds a response is sent. A large one goes only to a VM that cannot reach the service,
// at largeBytesPerSecond. The mutex is held.
func (topic *topic) mayRelay(entry config.Entry, serviceUnreachable bool, now time.Duration) bool {
	size := len(topic.compressed.record(entry).Value)
	if size <= maxRelayedBytes {
		return true
	}
	if !serviceUnreachable || size > maxLargeBytes || now < topic.nextLargeAt {
		return false
	}
	topic.nextLargeAt = now + time.Duration(size)*time.Second/largeBytesPerSecond
	return true
}

// handleResponse passes the changes of a relay to the watches. The age of a response counts from the sending of its request, so a
// delayed response makes the records look older, never newer.
func (store *Store) handleResponse(_ ids.VMID, reply response) {
	elapsed := clock.Now() - time.Duration(reply.SentUS)*time.Microsecond
	if elapsed < 0 {
		return
	}
	for _, changes := range reply.Topics {
		topic, ok := store.topics[changes.Prefix]
		if !ok {
			continue
		}
		event, err := changes.event(elapsed)
		if err != nil {
			store.eventLog.LimitedEvent("records_faulty", "prefix", changes.Prefix, "err", err)
			continue
		}
		topic.deliver(topicUpdate{after: changes.After, historyKnown: changes.HistoryKnown, complete: changes.Complete, event: event})
	}
}

// event returns the changes as an event; elapsed is the time since the request was sent.
func (changes topicResponse) event(elapsed time.Duration) (platform.WatchEvent, error) {
	event := platform.WatchEvent{Revision: changes.Revision}
	if changes.Complete {
		age := elapsed + time.Duration(max(changes.AgeUS, 0))*time.Microsecond
		event.RequestedAt = time.Now().Add(-age)
	}
	for _, record := range changes.Entries {
		entry, err := record.entry()
		if err != nil {
			return platform.WatchEvent{}, err
		}
		event.Entries = append(event.Entries, entry)
	}
	return event, nil
}

// deliver queues the update for the watch and replaces an older one that is still queued.
func (topic *topic) deliver(update topicUpdate) {
	topic.mutex.Lock()
	topic.respondedAt = clock.Now()
	topic.mutex.Unlock()
	for {
		select {
		case topic.updates <- update:
			return
		default:
		}
		select {
		case <-topic.updates:
		default:
		}
	}
}
