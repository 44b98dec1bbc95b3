package link

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
)

// bufferSize is the size of a read in bytes.
const bufferSize = 32 << 10

// Direction is one of the two ways that bytes take through a link.
type Direction int

// The directions of a link.
const (
	// Forward leads from the side that connects to the target.
	Forward Direction = iota
	// Backward leads from the target to the side that connects.
	Backward
)

// Link is a relay in front of one target. While a direction is cut, nothing passes in it, not even the end of a
// connection, and new connections are not completed; connections stay open. After healing, the bytes that were held back
// arrive, as TCP retransmits them.
type Link struct {
	target   string
	listener net.Listener
	ctx      context.Context
	stop     context.CancelFunc
	gates    [2]*gate
	running  sync.WaitGroup
}

// New returns a link that listens on the address and connects to the target; Close ends it.
func New(address, target string) (*Link, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("link to %s: %w", target, err)
	}
	link := &Link{target: target, listener: listener, gates: [2]*gate{newGate(), newGate()}}
	link.ctx, link.stop = context.WithCancel(context.Background())
	link.running.Go(link.accept)
	return link, nil
}

// Address returns the host and port that the link listens on.
func (link *Link) Address() string { return link.listener.Addr().String() }

// Cut lets nothing pass in the direction.
func (link *Link) Cut(direction Direction) { link.gates[direction].cut() }

// Heal lets both directions pass.
func (link *Link) Heal() {
	for _, gate := range link.gates {
		gate.heal()
	}
}

// Close ends all connections.
func (link *Link) Close() {
	link.stop()
	_ = link.listener.Close()
	link.running.Wait()
}

func (link *Link) accept() {
	for {
		connection, err := link.listener.Accept()
		if err != nil {
			return
		}
		link.running.Go(func() { link.relay(connection) })
	}
}

// relay connects to the target and passes bytes until both directions have ended.
func (link *Link) relay(near net.Conn) {
	defer func() { _ = near.Close() }()
	// A TCP handshake needs both directions.
	for _, gate := range link.gates {
		if gate.pass(link.ctx) != nil {
			return
		}
	}
	far, err := new(net.Dialer).DialContext(link.ctx, "tcp", link.target)
	if err != nil {
		return
	}
	defer func() { _ = far.Close() }()
	defer context.AfterFunc(link.ctx, func() {
		_ = near.Close()
		_ = far.Close()
	})()
	var both sync.WaitGroup
	both.Go(func() { link.copy(far, near, link.gates[Forward]) })
	both.Go(func() { link.copy(near, far, link.gates[Backward]) })
	both.Wait()
}

// copy passes bytes and the end of the stream. A broken connection ends the connection on the other side too, once the
// direction is open.
func (link *Link) copy(to, from net.Conn, gate *gate) {
	buffer := make([]byte, bufferSize)
	for {
		count, err := from.Read(buffer)
		if gate.pass(link.ctx) != nil {
			return
		}
		if _, failed := to.Write(buffer[:count]); failed != nil {
			_ = from.Close()
			return
		}
		switch {
		case errors.Is(err, io.EOF):
			if half, ok := to.(*net.TCPConn); ok {
				_ = half.CloseWrite()
			}
			return
		case err != nil:
			_ = to.Close()
			return
		}
	}
}

// gate is one direction of a link.
type gate struct {
	mutex  sync.Mutex
	opened chan struct{} // closed while the direction is open
}

func newGate() *gate {
	gate := &gate{opened: make(chan struct{})}
	close(gate.opened)
	return gate
}

func (gate *gate) cut() {
	gate.mutex.Lock()
	defer gate.mutex.Unlock()
	select {
	case <-gate.opened:
		gate.opened = make(chan struct{})
	default:
	}
}

func (gate *gate) heal() {
	gate.mutex.Lock()
	defer gate.mutex.Unlock()
	select {
	case <-gate.opened:
	default:
		close(gate.opened)
	}
}

// pass waits until the direction is open.
func (gate *gate) pass(ctx context.Context) error {
	gate.mutex.Lock()
	opened := gate.opened
	gate.mutex.Unlock()
	select {
	case <-opened:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
