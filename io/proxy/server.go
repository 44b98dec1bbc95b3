package proxy

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"dotterelgw/core/refusal"
)

const (
	// wakeInterval is the time between two calls of Wake for sessions that are being drained.
	wakeInterval = 50 * time.Millisecond
)

// Server holds the sessions of this VM.
type Server struct {
	Dependencies
	refusals map[refusal.Reason]metrics.Counter
	retries  metrics.Counter
	// latencies holds the latency histograms.
	latencies latencies
	draining  atomic.Bool
	// transactionDeadline is the boot time in nanoseconds at which open transactions are rolled back; 0 means no
	// deadline.
	transactionDeadline atomic.Int64

	mutex    sync.Mutex
	sessions map[*session]struct{}
	ended    sync.WaitGroup
}

// New returns a server without sessions.
func New(dependencies Dependencies) *Server {
	server := &Server{
		Dependencies: dependencies, sessions: make(map[*session]struct{}),
		refusals:  make(map[refusal.Reason]metrics.Counter),
		retries:   metrics.GetOrRegisterCounter("retries", dependencies.Metrics),
		latencies: latencies{registry: dependencies.Metrics},
	}
	for _, reason := range refusal.All() {
		server.refusals[reason] = metrics.GetOrRegisterCounter("refused_"+string(reason), dependencies.Metrics)
	}
	gauge := metrics.NewFunctionalGauge(func() int64 { return int64(server.Sessions()) })
	_ = dependencies.Metrics.Register("sessions", gauge)
	return server
}

// Sessions returns the number of sessions.
func (server *Server) Sessions() int {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	return len(server.sessions)
}

// Serve runs one caller's session until it ends.
func (server *Server) Serve(caller Caller) {
	session := newSession(server, caller)
	server.mutex.Lock()
	server.sessions[session] = struct{}{}
	server.ended.Add(1)
	server.mutex.Unlock()
	defer func() {
		server.mutex.Lock()
		delete(server.sessions, session)
		server.mutex.Unlock()
		server.ended.Done()
	}()
	session.run()
}

// Drain closes idle sessions at once and the others when their operations end. Open transactions are rolled back at
// transactionDeadline. It returns when all sessions have ended or the context is done.
func (server *Server) Drain(ctx context.Context, transactionDeadline time.Duration) {
	server.transactionDeadline.Store(int64(transactionDeadline))
	server.draining.Store(true)
	ended := make(chan struct{})
	go func() {
		server.ended.Wait()
		close(ended)
	}()
	ticker := time.NewTicker(wakeInterval)
	defer ticker.Stop()
	for {
		server.wake(func(*session) bool { return true })
		select {
		case <-ended:
			return
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// RecheckTransactions makes idle sessions look again when their open transactions must end, after an availability zone is evacuated or
// returns.
func (server *Server) RecheckTransactions() {
	server.wake(func(session *session) bool { return session.opened.Load() })
}

// wake makes the selected sessions look again at their deadlines.
func (server *Server) wake(selected func(*session) bool) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	for session := range server.sessions {
		if selected(session) {
			session.caller.Wake()
		}
	}
}
