package home

import (
	"errors"
	"fmt"
	"sync"
	"time"

	"dotterelgw/core/ids"
	"dotterelgw/io/clock"
	"dotterelgw/io/dbpool"
)

// errServerLost reports that the home got no answer from the server.
var errServerLost = errors.New("the server did not answer the home")

// outgoing is a stream to a home. The embedded stream is set once ready is closed and openErr is nil.
type outgoing struct {
	*stream
	peer ids.VMID
	// ready is closed once the stream is open or has failed with openErr.
	ready   chan struct{}
	openErr error

	mutex sync.Mutex
	// lastID is the identifier of the latest link.
	lastID linkID
	links  map[linkID]*link
	// failed is why no link can be added any more.
	failed error
	// usedAt is when the last link was added or removed.
	usedAt time.Duration
}

func newOutgoing(peer ids.VMID) *outgoing {
	return &outgoing{peer: peer, ready: make(chan struct{}), links: make(map[linkID]*link), usedAt: clock.Now()}
}

// add gives the link an identifier.
func (outgoing *outgoing) add(link *link) error {
	outgoing.mutex.Lock()
	defer outgoing.mutex.Unlock()
	if outgoing.failed != nil {
		return outgoing.failed
	}
	outgoing.lastID++
	link.id = outgoing.lastID
	outgoing.links[link.id] = link
	outgoing.usedAt = clock.Now()
	return nil
}

// link returns the link, nil if it was closed.
func (outgoing *outgoing) link(id linkID) *link {
	outgoing.mutex.Lock()
	defer outgoing.mutex.Unlock()
	return outgoing.links[id]
}

func (outgoing *outgoing) remove(id linkID) {
	outgoing.mutex.Lock()
	defer outgoing.mutex.Unlock()
	delete(outgoing.links, id)
	outgoing.usedAt = clock.Now()
}

// fail ends the wait of all links with the error and returns their number.
func (outgoing *outgoing) fail(err error) int {
	outgoing.mutex.Lock()
	defer outgoing.mutex.Unlock()
	if outgoing.failed != nil {
		return 0
	}
	outgoing.failed = err
	for _, link := range outgoing.links {
		link.deliver(result{err: err})
	}
	return len(outgoing.links)
}

// retire makes the stream accept no further link if none has used it for the timeout, and reports whether it did.
func (outgoing *outgoing) retire(now, timeout time.Duration) bool {
	outgoing.mutex.Lock()
	defer outgoing.mutex.Unlock()
	select {
	case <-outgoing.ready:
	default:
		return false
	}
	if len(outgoing.links) > 0 || now-outgoing.usedAt < timeout || outgoing.failed != nil {
		return false
	}
	outgoing.failed = errIdle
	return true
}

// errIdle reports that a stream was closed since nothing used it.
var errIdle = errors.New("the stream was idle")

// refusal returns the error for a statement that the home refused, and records what it says about the home.
func (client *Client) refusal(stream *outgoing, id linkID, refused refused) error {
	switch refused.Cause {
	case causeLeaving:
		client.leaving(stream.peer)
	case causeUnreachable:
		if link := stream.link(id); link != nil {
			client.unreachable(stream.peer, link.server.ID)
		}
	}
	cause := refused.reason()
	if errors.Is(cause, dbpool.ErrHomeUnavailable) {
		client.unavailable.Inc(1)
	}
	client.eventLog.LimitedEvent("home_refused", "home", stream.peer, "cause", uint8(refused.Cause), "note", refused.Note, "room_in_ms", refused.RoomInMS)
	return &dbpool.NotRunError{Cause: fmt.Errorf("%s: %w: %s", stream.peer, cause, refused.Note)}
}

func (client *Client) leaving(home ids.VMID) {
	client.mutex.Lock()
	defer client.mutex.Unlock()
	client.health.Leaving(clock.Now(), home)
}

func (client *Client) unreachable(home ids.VMID, server ids.BackendServerID) {
	client.mutex.Lock()
	defer client.mutex.Unlock()
	client.health.Unreachable(clock.Now(), home, server)
}

// answered records an answer through the home and the time that the way through the home added to it.
func (client *Client) answered(home ids.VMID, overhead time.Duration) {
	client.mutex.Lock()
	slow := client.health.Answered(clock.Now(), home, overhead)
	client.mutex.Unlock()
	if slow {
		client.eventLog.LimitedEvent("home_slow", "home", home, "overhead_ms", overhead.Milliseconds())
	}
}
