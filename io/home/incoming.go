package home

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"dotterelgw/core/statement"
)

// incoming is a stream of another VM that uses this one as a home.
type incoming struct {
	*stream
	service *Service

	mutex sync.Mutex
	// links holds the virtual links with a transaction or a running statement.
	links map[linkID]*served
	// unsent counts the answers of statements that have ended and are still to be sent.
	unsent int
}

func newIncoming(stream *stream, service *Service) *incoming {
	return &incoming{stream: stream, service: service, links: make(map[linkID]*served)}
}

// read serves received frames until the stream ends.
func (incoming *incoming) read() error {
	for {
		kind, id, body, err := incoming.receive()
		if err != nil {
			return err
		}
		switch kind {
		case kindPong:
		case kindPing:
			err = incoming.send(kindPong, 0, nil)
		case kindClose:
			incoming.closeLink(id)
		case kindRun:
			err = incoming.start(id, body)
		default:
			err = fmt.Errorf("frame of kind %d: %w", kind, errUnexpected)
		}
		if err != nil {
			return err
		}
	}
}

// start runs a statement. The statements of one link follow each other.
func (incoming *incoming) start(id linkID, body []byte) error {
	var message run
	if err := cbor.Unmarshal(body, &message); err != nil {
		return fmt.Errorf("decoding a statement: %w", err)
	}
	received := time.Now()
	incoming.mutex.Lock()
	held, known := incoming.links[id]
	if !known {
		held = &served{}
		held.ctx, held.cancel = context.WithCancel(context.Background())
		incoming.links[id] = held
	}
	allowed := !held.running && (known || message.Server != "") && handedOver[message.Kind]
	// The end of a running statement releases its link. A statement that is not allowed never runs.
	held.running = held.running || allowed
	incoming.mutex.Unlock()
	if !allowed {
		return fmt.Errorf("statement %q of kind %s: %w", message.ID, message.Kind, errUnexpected)
	}
	go incoming.run(id, held, &message, received)
	return nil
}

// handedOver holds the kinds of statements that a home runs. Control statements of the proxy are not among them.
var handedOver = map[statement.Kind]bool{
	statement.Begin: true, statement.BeginReadOnly: true, statement.Commit: true, statement.Rollback: true,
	statement.Read: true, statement.Write: true, statement.Execute: true,
}

// milliseconds converts a number of milliseconds, of which a negative one counts as 0.
func milliseconds(count int64) time.Duration { return time.Duration(max(count, 0)) * time.Millisecond }

// run runs a statement and sends its result.
func (incoming *incoming) run(id linkID, held *served, message *run, received time.Time) {
	kind, body := incoming.service.runRecovered(held, message, received)
	incoming.finish(id, held)
	if kind == kindRefusal {
		incoming.service.refused.Inc(1)
	} else {
		incoming.service.served.Inc(1)
	}
	if err := incoming.send(kind, id, body); err != nil {
		// Without its answer the caller's VM would wait in vain.
		incoming.close(err)
	}
	incoming.mutex.Lock()
	defer incoming.mutex.Unlock()
	incoming.unsent--
}

// finish forgets the link, whose answer is about to be sent, unless it holds a transaction whose caller is still there.
func (incoming *incoming) finish(id linkID, held *served) {
	incoming.mutex.Lock()
	defer incoming.mutex.Unlock()
	held.running = false
	incoming.unsent++
	if held.closed {
		held.release(statement.FailedTransaction)
	}
	if held.conn == nil {
		held.cancel()
		delete(incoming.links, id)
	}
}

// closeLink ends a link. Its transaction is rolled back, at once or after the running statement; a statement that still waits for a
// connection is not run.
func (incoming *incoming) closeLink(id linkID) {
	incoming.mutex.Lock()
	defer incoming.mutex.Unlock()
	if held, ok := incoming.links[id]; ok {
		incoming.endLink(id, held)
	}
}

// endLink ends a link. The mutex must be held.
func (incoming *incoming) endLink(id linkID, held *served) {
	held.closed = true
	held.cancel()
	if !held.running {
		held.release(statement.FailedTransaction)
		delete(incoming.links, id)
	}
}

// closeAll ends all links and returns their number.
func (incoming *incoming) closeAll() int {
	incoming.mutex.Lock()
	defer incoming.mutex.Unlock()
	count := len(incoming.links)
	for id, held := range incoming.links {
		incoming.endLink(id, held)
	}
	return count
}

// held returns the number of links with a transaction or a running statement.
func (incoming *incoming) held() int {
	incoming.mutex.Lock()
	defer incoming.mutex.Unlock()
	return len(incoming.links)
}

// isAnswered reports whether no statement runs, no transaction is open and all answers are written.
func (incoming *incoming) isAnswered() bool {
	incoming.mutex.Lock()
	open := len(incoming.links) + incoming.unsent
	incoming.mutex.Unlock()
	return open == 0 && incoming.isWritten()
}
