package home

import (
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"dotterelgw/core/ids"
	"dotterelgw/io/clock"
	"dotterelgw/io/monitor"
	"dotterelgw/io/observe"
)

const (
	// maxHandshakes bounds the streams that are not authenticated yet.
	maxHandshakes = 256
	// quietAfter is the silence of a caller's VM with an open transaction after which it is probed.
	quietAfter = time.Second
	// quietTimeout is how long a caller's VM has to answer a probe before its transactions are rolled back.
	quietTimeout = 2 * time.Second
	// forgottenAfter is the silence after which a stream without statements is closed. Callers close theirs earlier.
	forgottenAfter = time.Minute
	// drainCheckInterval is the time between two checks whether all statements have ended.
	drainCheckInterval = 20 * time.Millisecond
)

// Servers supplies the backend servers.
type Servers interface {
	// Server returns the server with the identifier, nil if it is not registered.
	Server(id ids.BackendServerID) *monitor.Server
	// AcquireFailed records that no connection to the server could be acquired.
	AcquireFailed(server *monitor.Server, err error)
}

// Service runs statements of other VMs on the connections of this VM.
type Service struct {
	listener net.Listener
	secret   Secret
	servers  Servers
	eventLog *observe.EventLog
	// served counts the statements that were answered, refused those that were not sent to their server.
	served, refused metrics.Counter

	leaving    atomic.Bool
	handshakes atomic.Int32

	mutex   sync.Mutex
	streams map[*incoming]struct{}
}

// NewService returns a service on the listener.
func NewService(listener net.Listener, secret Secret, servers Servers, eventLog *observe.EventLog, registry metrics.Registry) *Service {
	service := &Service{
		listener: listener, secret: secret, servers: servers, eventLog: eventLog, streams: make(map[*incoming]struct{}),
		served:  metrics.GetOrRegisterCounter("home_served", registry),
		refused: metrics.GetOrRegisterCounter("home_refused", registry),
	}
	gauge := metrics.NewFunctionalGauge(func() int64 { return int64(len(service.all())) })
	_ = registry.Register("home_streams_in", gauge)
	return service
}

// Run accepts streams until the context ends.
func (service *Service) Run(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { _ = service.listener.Close() })
	defer stop()
	go clock.Every(ctx, sweepInterval, service.sweep)
	for {
		conn, err := service.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			service.eventLog.LimitedEvent("accept_failed", "listener", "home", "err", err)
			clock.Sleep(ctx, acceptPause)
			continue
		}
		if service.handshakes.Add(1) > maxHandshakes {
			service.handshakes.Add(-1)
			_ = conn.Close()
			continue
		}
		go service.serve(newStream(conn))
	}
}

// acceptPause is the pause after a failed accept, which is usually caused by a lack of descriptors.
const acceptPause = 20 * time.Millisecond

// serve authenticates a stream and serves it until it ends.
func (service *Service) serve(stream *stream) {
	err := stream.accept(service.secret, service.leaving.Load())
	service.handshakes.Add(-1)
	if err != nil {
		service.eventLog.LimitedEvent("home_stream_refused", "err", err)
		stream.close(err)
		return
	}
	incoming := newIncoming(stream, service)
	service.mutex.Lock()
	service.streams[incoming] = struct{}{}
	service.mutex.Unlock()
	err = incoming.read()
	stream.close(err)
	service.mutex.Lock()
	delete(service.streams, incoming)
	service.mutex.Unlock()
	if rolledBack := incoming.closeAll(); rolledBack > 0 {
		service.eventLog.LimitedEvent("home_stream_ended", "caller_vm", stream.peer, "rolled_back", rolledBack, "err", err)
	}
}

// all returns the open streams.
func (service *Service) all() []*incoming {
	service.mutex.Lock()
	defer service.mutex.Unlock()
	streams := make([]*incoming, 0, len(service.streams))
	for stream := range service.streams {
		streams = append(streams, stream)
	}
	return streams
}

// sweep probes the VMs that hold transactions open, and closes streams that were forgotten.
func (service *Service) sweep() {
	now := clock.Now()
	for _, incoming := range service.all() {
		if incoming.held() > 0 {
			incoming.probe(now, quietAfter, quietTimeout)
			continue
		}
		if silent := now - time.Duration(incoming.heardAt.Load()); silent > forgottenAfter {
			incoming.close(fmt.Errorf("no frame for %v: %w", silent, errSilent))
		}
	}
}

// Drain tells the VMs that use this one as a home that it stops, and waits until their statements and transactions have ended, at most
// until the context is done.
func (service *Service) Drain(ctx context.Context) {
	service.leaving.Store(true)
	streams := service.all()
	for _, incoming := range streams {
		_ = incoming.send(kindLeaving, 0, nil)
	}
	service.eventLog.Event("home_leaving", "streams", len(streams), "open", service.open())
	for !service.isAnswered() && ctx.Err() == nil {
		clock.Sleep(ctx, drainCheckInterval)
	}
	// Answers that were written may still have to leave this VM.
	clock.Sleep(ctx, drainCheckInterval)
}

// isAnswered reports whether all statements and transactions have ended and their answers are written.
func (service *Service) isAnswered() bool {
	return !slices.ContainsFunc(service.all(), func(incoming *incoming) bool { return !incoming.isAnswered() })
}

// open returns the number of virtual links with a transaction or a running statement.
func (service *Service) open() int {
	open := 0
	for _, incoming := range service.all() {
		open += incoming.held()
	}
	return open
}
