package link

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
)

// bufferSize is the size of a read buffer in bytes.
const bufferSize = 32 << 10

// Direction is one of the two directions of traffic through a link.
type Direction int

// The directions of a link.
const (
	// Forward is the direction from the connecting side to the target.
	Forward Direction = iota
	// Backward is the direction from the target to the connecting side.
	Backward
)

// Link is a relay in front of one target. While a direction is cut, neither bytes nor the end of a connection are
// relayed in it, and new connections are not established; existing ones stay open. After Heal, the bytes that were held
// back are delivered, as TCP would retransmit them.
type Link struct {
	target     string
	listener   net.Listener
	ctx        context.Context
	stop       context.CancelFunc
	gates      [2]*gate
	goroutines sync.WaitGroup
}

// New returns a link that listens on the address and connects to the target; Close stops it.
func New(address, target string) (*Link, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("link to %s: %w", target, err)
	}
	link := &Link{target: target, listener: listener, gates: [2]*gate{newGate(), newGate()}}
	link.ctx, link.stop = context.WithCancel(context.Background())
	link.goroutines.Go(link.accept)
	return link, nil
}

// Address returns the host and port that the link listens on.
func (link *Link) Address() string { return link.listener.Addr().String() }

// Cut blocks the direction.
func (link *Link) Cut(direction Direction) { link.gates[direction].cut() }

// Heal unblocks both directions.
func (link *Link) Heal() {
	for _, gate := range link.gates {
		gate.heal()
	}
}

// Close stops listening and closes all connections.
func (link *Link) Close() {
	link.stop()
	_ = link.listener.Close()
	link.goroutines.Wait()
}

func (link *Link) accept() {
	for {
		connection, err := link.listener.Accept()
		if err != nil {
			return
		}
		link.goroutines.Go(func() { link.relay(connection) })
	}
}

// relay connects to the target and relays bytes until both directions have ended.
func (link *Link) relay(downstream net.Conn) {
	defer func() { _ = downstream.Close() }()
	// A TCP handshake requires both directions.
	for _, gate := range link.gates {
		if gate.wait(link.ctx) != nil {
			return
		}
	}
	upstream, err := new(net.Dialer).DialContext(link.ctx, "tcp", link.target)
	if err != nil {
		return
	}
	defer func() { _ = upstream.Close() }()
	defer context.AfterFunc(link.ctx, func() {
		_ = downstream.Close()
		_ = upstream.Close()
	})()
	var both sync.WaitGroup
	both.Go(func() { link.copy(upstream, downstream, link.gates[Forward]) })
	both.Go(func() { link.copy(downstream, upstream, link.gates[Backward]) })
	both.Wait()
}

// copy relays bytes and the end of the stream. If a connection breaks, the one on the other side is closed as soon as the
// direction is open.
func (link *Link) copy(to, from net.Conn, gate *gate) {
	buffer := make([]byte, bufferSize)
	for {
		count, err := from.Read(buffer)
		if gate.wait(link.ctx) != nil {
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

// gate blocks or passes one direction of a link.
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

// wait waits until the direction is open.
func (gate *gate) wait(ctx context.Context) error {
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
