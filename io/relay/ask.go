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

// The kinds of datagrams.
const (
	kindAsk  mesh.Kind = "ask_records"
	kindTell mesh.Kind = "tell_records"
)

const (
	// maxTold bounds the keys and values of one answer in bytes: what does not fit follows with the next answer, so that many VMs
	// that lack many records do not fill the link of the one that they ask.
	maxTold = 6 << 10
	// maxPassed bounds a record, as it is packed, that is longer than an answer and is told alone to whoever asks. Longer ones are
	// read from the service: the links of VMs carry 20 Mbit/s, and each collector is asked by many VMs at once.
	maxPassed = 16 << 10
	// maxLarge bounds a packed record that is told to a VM that the service turns away.
	maxLarge = 400 << 10
	// largeRate is the number of bytes a second of such records that a VM sends.
	largeRate = 128 << 10
)

// question asks for what changed.
type question struct {
	// AskedUS is the time of the question in microseconds on the clock of the VM that asks; the answer repeats it.
	AskedUS int64   `cbor:"asked_us"`
	Topics  []since `cbor:"topics"`
	// Relay has the VM that is asked watch the service.
	Relay bool `cbor:"relay"`
}

// since asks for the changes of one prefix.
type since struct {
	Prefix string       `cbor:"prefix"`
	After  ids.Revision `cbor:"after"`
	// Keys is the number of keys at that revision.
	Keys int `cbor:"keys"`
	// TurnedAway states that the service does not answer the VM that asks.
	TurnedAway bool `cbor:"turned_away,omitempty"`
}

// tidings answers a question.
type tidings struct {
	AskedUS int64     `cbor:"asked_us"`
	Topics  []changes `cbor:"topics"`
}

// changes is what changed of one prefix.
type changes struct {
	Prefix string `cbor:"prefix"`
	// Known states that the relay knows every change after the revision of the question.
	Known bool `cbor:"known"`
	// UpTo is the revision up to which Entries holds every change.
	UpTo    ids.Revision `cbor:"up_to"`
	Entries []record     `cbor:"entries"`
	// Whole states that no known change was left out.
	Whole bool `cbor:"whole"`
	// AgeUS is the time in microseconds since the service had no further change.
	AgeUS int64 `cbor:"age_us"`
}

// answered is the answer of a relay on one topic.
type answered struct {
	known, whole bool
	event        platform.WatchEvent
}

// Run asks other VMs until the context ends.
func (store *Store) Run(ctx context.Context) {
	for ctx.Err() == nil {
		pause := askInterval
		if store.role().Collects {
			pause = collectInterval
		}
		clock.Sleep(ctx, pause)
		store.ask()
	}
}

// ask asks the next source. A relay itself asks only for what the service does not tell it.
func (store *Store) ask() {
	role := store.role()
	if len(role.Sources) == 0 {
		return
	}
	question := question{AskedUS: clock.Now().Microseconds(), Relay: role.FromRelays}
	for _, topic := range store.topics {
		if role.Relay && !topic.stale() {
			continue
		}
		topic.mutex.Lock()
		question.Topics = append(question.Topics, since{
			Prefix: topic.Prefix, After: topic.reported, Keys: topic.journal.Keys(), TurnedAway: topic.turnedAway,
		})
		topic.mutex.Unlock()
	}
	if len(question.Topics) == 0 {
		return
	}
	store.mutex.Lock()
	store.turn++
	source := role.Sources[store.turn%len(role.Sources)]
	store.mutex.Unlock()
	mesh.Send(store.mesh, source, kindAsk, question)
}

// answer tells another VM what changed. One that is asked as a relay watches the service for a while.
func (store *Store) answer(sender ids.VMID, asked question) {
	reply := tidings{AskedUS: asked.AskedUS}
	room := maxTold
	for _, wanted := range asked.Topics {
		topic, ok := store.topics[wanted.Prefix]
		if !ok {
			continue
		}
		told, size, ok := topic.since(wanted, room, asked.Relay)
		if !ok {
			continue
		}
		room -= size
		reply.Topics = append(reply.Topics, told)
	}
	mesh.Send(store.mesh, sender, kindTell, reply)
}

// since returns what changed in at most room bytes, and its size; false if this VM has not read the records yet.
func (topic *topic) since(wanted since, room int, asRelay bool) (told changes, size int, ok bool) {
	topic.mutex.Lock()
	defer topic.mutex.Unlock()
	now := clock.Now()
	if asRelay {
		topic.asked = now
	}
	if topic.journal.Revision() == 0 {
		return changes{}, 0, false
	}
	told = changes{Prefix: topic.Prefix, AgeUS: (now - topic.journal.Confirmed()).Microseconds()}
	all, known := topic.journal.Since(wanted.After, wanted.Keys)
	if !known {
		return told, 0, true
	}
	told.Known = true
	if first := relay.FirstSize(all); first > room && room > 0 && topic.passes(all[0], wanted.TurnedAway, now) {
		room = first
	}
	part, upTo, whole := relay.Cut(all, topic.journal.Revision(), room)
	told.UpTo, told.Whole = upTo, whole
	for _, entry := range part {
		told.Entries = append(told.Entries, topic.packs.record(entry))
		size += len(entry.Key) + len(entry.Value)
	}
	return told, size, true
}

// passes states whether a record that is longer than an answer is told. The mutex is held.
func (topic *topic) passes(entry config.Entry, turnedAway bool, now time.Duration) bool {
	size := len(topic.packs.record(entry).Value)
	if size <= maxPassed {
		return true
	}
	if !turnedAway || size > maxLarge || now < topic.largeAt {
		return false
	}
	topic.largeAt = now + time.Duration(size)*time.Second/largeRate
	return true
}

// receive takes the answer of a relay. Its age counts from the sending of the question, so that a late answer makes the
// records older, never newer.
func (store *Store) receive(_ ids.VMID, reply tidings) {
	since := clock.Now() - time.Duration(reply.AskedUS)*time.Microsecond
	if since < 0 {
		return
	}
	for _, told := range reply.Topics {
		topic, ok := store.topics[told.Prefix]
		if !ok {
			continue
		}
		event, err := told.event(since)
		if err != nil {
			store.decisions.Request("records_faulty", "prefix", told.Prefix, "err", err)
			continue
		}
		topic.hand(answered{known: told.Known, whole: told.Whole, event: event})
	}
}

// event returns the changes as an event; since is the time since the question was sent.
func (told changes) event(since time.Duration) (platform.WatchEvent, error) {
	event := platform.WatchEvent{Revision: told.UpTo}
	if told.Whole {
		age := since + time.Duration(max(told.AgeUS, 0))*time.Microsecond
		event.Asked = time.Now().Add(-age)
	}
	for _, record := range told.Entries {
		entry, err := record.entry()
		if err != nil {
			return platform.WatchEvent{}, err
		}
		event.Entries = append(event.Entries, entry)
	}
	return event, nil
}

// hand leaves the answer for the watch; an older one that was not taken is replaced.
func (topic *topic) hand(answer answered) {
	topic.mutex.Lock()
	topic.answered = clock.Now()
	topic.mutex.Unlock()
	for {
		select {
		case topic.answers <- answer:
			return
		default:
		}
		select {
		case <-topic.answers:
		default:
		}
	}
}
