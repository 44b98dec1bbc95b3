package home

import (
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rcrowley/go-metrics"

	"dotterelgw/core/catalog"
	corehome "dotterelgw/core/home"
	"dotterelgw/core/ids"
	"dotterelgw/io/clock"
	"dotterelgw/io/dbpool"
	"dotterelgw/io/fleet"
	"dotterelgw/io/observe"
)

const (
	// connectTimeout bounds the opening of the connection to a home.
	connectTimeout = 250 * time.Millisecond
	// idleTimeout is how long a stream without statements is kept.
	idleTimeout = 10 * time.Second
	// sweepInterval is the time between two searches for idle streams.
	sweepInterval = time.Second
)

// Client hands statements over to homes.
type Client struct {
	self     ids.VMID
	secret   Secret
	eventLog *observe.EventLog
	// handedOver counts statements that were handed over, lost the streams that failed, unavailable the statements that a home could not
	// run, and direct the operations for which no home could be used.
	handedOver, lost, unavailable, direct metrics.Counter

	mutex     sync.Mutex
	addresses map[ids.VMID]string
	streams   map[ids.VMID]*outgoing
	health    *corehome.Health
}

// NewClient returns a client without streams.
func NewClient(self ids.VMID, secret Secret, eventLog *observe.EventLog, registry metrics.Registry) *Client {
	client := &Client{
		self: self, secret: secret, eventLog: eventLog, addresses: make(map[ids.VMID]string), streams: make(map[ids.VMID]*outgoing),
		health:      corehome.NewHealth(self),
		handedOver:  metrics.GetOrRegisterCounter("home_handed_over", registry),
		lost:        metrics.GetOrRegisterCounter("home_lost", registry),
		unavailable: metrics.GetOrRegisterCounter("home_unavailable", registry),
		direct:      metrics.GetOrRegisterCounter("home_direct", registry),
	}
	gauge := metrics.NewFunctionalGauge(func() int64 {
		client.mutex.Lock()
		defer client.mutex.Unlock()
		return int64(len(client.streams))
	})
	_ = registry.Register("home_streams_out", gauge)
	return client
}

// SetVMs replaces the registered VMs. Streams to VMs that are gone end with their connections.
func (client *Client) SetVMs(vms []fleet.VM) {
	addresses, registered := make(map[ids.VMID]string, len(vms)), make(map[ids.VMID]bool, len(vms))
	for _, vm := range vms {
		addresses[vm.ID], registered[vm.ID] = vm.Peer, true
	}
	client.mutex.Lock()
	defer client.mutex.Unlock()
	client.addresses = addresses
	client.health.Keep(registered)
}

// Choose returns the home to use for the server of those that are ranked, this VM included; false if none can be used at present. A
// home that was lost is used again only once a stream to it is open, for which no statement waits.
func (client *Client) Choose(ranked []ids.VMID, server ids.BackendServerID) (ids.VMID, bool) {
	client.mutex.Lock()
	defer client.mutex.Unlock()
	for now := clock.Now(); ; {
		home, ok := client.health.Choose(now, ranked, server)
		if !ok {
			client.direct.Inc(1)
		}
		if !ok || home == client.self || !client.health.WasLost(home) || client.reconnected(home) {
			return home, ok
		}
		ranked = without(ranked, home)
	}
}

// without returns the VMs except one.
func without(vms []ids.VMID, excluded ids.VMID) []ids.VMID {
	return slices.DeleteFunc(slices.Clone(vms), func(vm ids.VMID) bool { return vm == excluded })
}

// reconnected reports whether a stream to the home is open, and begins to open one if there is none. The mutex must be held.
func (client *Client) reconnected(home ids.VMID) bool {
	opened := client.outgoing(home)
	select {
	case <-opened.ready:
		return opened.openErr == nil
	default:
		return false
	}
}

// outgoing returns the stream to the home, and begins to open one if there is none. The mutex must be held.
func (client *Client) outgoing(home ids.VMID) *outgoing {
	opened, ok := client.streams[home]
	if !ok {
		opened = newOutgoing(home)
		client.streams[home] = opened
		go client.connect(opened, client.addresses[home])
	}
	return opened
}

// Open returns a link over which the home runs the statements of one operation. The context bounds the wait for a connection, answerBy
// the wait for an answer. After an error nothing has been handed over.
func (client *Client) Open(ctx context.Context, home ids.VMID, server catalog.Server, request dbpool.Request, answerBy time.Time) (dbpool.Link, error) {
	waitBy, ok := ctx.Deadline()
	if !ok {
		waitBy = answerBy
	}
	link := &link{client: client, server: server, request: request, waitBy: waitBy, answerBy: answerBy, answer: make(chan result, 1)}
	for {
		stream, err := client.stream(ctx, home)
		if err != nil {
			return nil, err
		}
		link.stream = stream
		err = stream.add(link)
		if err == nil {
			return link, nil
		}
		if !errors.Is(err, errIdle) {
			return nil, fmt.Errorf("opening a link through %s: %w", home, err)
		}
	}
}

// stream returns the stream to the home, and opens it if needed.
func (client *Client) stream(ctx context.Context, home ids.VMID) (*outgoing, error) {
	client.mutex.Lock()
	opened := client.outgoing(home)
	client.mutex.Unlock()
	select {
	case <-opened.ready:
	case <-ctx.Done():
		return nil, fmt.Errorf("opening a stream to %s: %w", home, ctx.Err())
	}
	if opened.openErr != nil {
		return nil, fmt.Errorf("opening a stream to %s: %w", home, opened.openErr)
	}
	return opened, nil
}

// connect opens the stream and then reads it until it ends.
func (client *Client) connect(opened *outgoing, address string) {
	if err := opened.dial(address, client.self, client.secret); err != nil {
		if errors.Is(err, errLeaving) {
			client.leaving(opened.peer)
		}
		opened.openErr = err
		client.lose(opened)
		close(opened.ready)
		return
	}
	close(opened.ready)
	err := client.read(opened)
	opened.close(err)
	client.lose(opened)
}

// errLeaving reports that the home stops.
var errLeaving = errors.New("the home stops")

// dial connects to the home and authenticates the stream.
func (outgoing *outgoing) dial(address string, self ids.VMID, secret Secret) error {
	conn, err := net.DialTimeout("tcp", address, connectTimeout)
	if err != nil {
		return fmt.Errorf("connecting: %w", err)
	}
	outgoing.stream = newStream(conn)
	leaving, err := outgoing.open(self, secret)
	if err == nil && leaving {
		err = errLeaving
	}
	if err != nil {
		outgoing.close(err)
	}
	return err
}

// read passes received frames on until the stream ends.
func (client *Client) read(stream *outgoing) error {
	for {
		kind, id, body, err := stream.receive()
		if err != nil {
			return err
		}
		switch kind {
		case kindPong:
		case kindPing:
			err = stream.send(kindPong, 0, nil)
		case kindLeaving:
			client.leaving(stream.peer)
		case kindReply, kindRefusal, kindLost:
			err = client.deliver(stream, kind, id, body)
		default:
			err = fmt.Errorf("frame of kind %d: %w", kind, errUnexpected)
		}
		if err != nil {
			return err
		}
	}
}

// deliver passes the result of a statement to its link. A result that nobody waits for any more is dropped.
func (client *Client) deliver(stream *outgoing, kind kind, id linkID, body []byte) error {
	var result result
	var err error
	switch kind {
	case kindReply:
		var answer reply
		err = cbor.Unmarshal(body, &answer)
		result.reply, result.took = replyOf(answer), milliseconds(answer.TookMS)
	case kindRefusal:
		var answer refused
		err = cbor.Unmarshal(body, &answer)
		result.err = client.refusal(stream, id, answer)
	case kindLost:
		var answer lost
		err = cbor.Unmarshal(body, &answer)
		result.err = fmt.Errorf("through %s: %w: %s", stream.peer, answer.reason(), answer.Note)
	}
	if err != nil {
		return fmt.Errorf("decoding a result: %w", err)
	}
	if link := stream.link(id); link != nil {
		link.deliver(result)
	}
	return nil
}

// lose records that a stream has ended, and fails the statements that were handed over on it.
func (client *Client) lose(ended *outgoing) {
	client.mutex.Lock()
	current := client.streams[ended.peer] == ended
	var avoidance time.Duration
	if current {
		delete(client.streams, ended.peer)
		avoidance = client.health.Lost(clock.Now(), ended.peer)
	}
	client.mutex.Unlock()
	err := ended.openErr
	if err == nil {
		err = ended.ended()
	}
	statements := ended.fail(fmt.Errorf("through %s: %w: %w", ended.peer, dbpool.ErrHomeLost, err))
	if avoidance > 0 {
		client.lost.Inc(1)
		client.eventLog.LimitedEvent("home_lost", "home", ended.peer, "statements", statements, "avoided_ms", avoidance.Milliseconds(), "err", err)
	}
}

// Run closes idle streams until the context ends.
func (client *Client) Run(ctx context.Context) {
	clock.Every(ctx, sweepInterval, func() {
		client.mutex.Lock()
		defer client.mutex.Unlock()
		for home, stream := range client.streams {
			if stream.retire(clock.Now(), idleTimeout) {
				delete(client.streams, home)
				stream.close(errIdle)
			}
		}
	})
}
