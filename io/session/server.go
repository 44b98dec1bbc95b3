package session

import (
	"context"
	"crypto/rand"
	"crypto/subtle"
	"fmt"
	"hash/fnv"
	"net"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"

	"dotterelgw/core/ids"
	"dotterelgw/core/refusal"
	"dotterelgw/core/retry"
	"dotterelgw/io/backend/wire"
)

const (
	// defaultMaxMessageBytes bounds one message of a caller unless the dependencies say otherwise.
	defaultMaxMessageBytes = 16 << 20
	// counterBits is the part of a process id that counts sessions; the 11 bits above it are a hash of the VM.
	counterBits = 20
	// cancelAfterWithdrawal is the time that a statement outside of a transaction may run on after its key was
	// withdrawn; with the 3 s that a change may take to arrive it stays within 5 s.
	cancelAfterWithdrawal = time.Second
)

// Server holds the sessions of this VM.
type Server struct {
	Dependencies
	routeReplica metrics.Counter
	routePrimary metrics.Counter
	retries      map[retry.Reason]metrics.Counter
	budgets      sync.Map

	mutex    sync.Mutex
	sessions map[uint32]*Session
	counts   map[ids.OrganisationID]int
	next     uint32
	draining bool
	ended    sync.WaitGroup
}

// New returns a server without sessions.
func New(dependencies Dependencies) *Server {
	if dependencies.Metrics == nil {
		dependencies.Metrics = metrics.NewRegistry()
	}
	if dependencies.Logger == nil {
		dependencies.Logger = log.NewNopLogger()
	}
	if dependencies.MaxMessageBytes <= 0 {
		dependencies.MaxMessageBytes = defaultMaxMessageBytes
	}
	if dependencies.Now == nil {
		start := time.Now()
		dependencies.Now = func() time.Duration { return time.Since(start) }
	}
	server := &Server{
		Dependencies: dependencies,
		routeReplica: metrics.GetOrRegisterCounter("route_replica", dependencies.Metrics),
		routePrimary: metrics.GetOrRegisterCounter("route_primary", dependencies.Metrics),
		retries:      make(map[retry.Reason]metrics.Counter),
		sessions:     make(map[uint32]*Session),
		counts:       make(map[ids.OrganisationID]int),
	}
	for _, reason := range retry.All() {
		server.retries[reason] = metrics.GetOrRegisterCounter(string(reason), dependencies.Metrics)
	}
	return server
}

// ProcessIDPrefix returns the part of a process id that tells which VM gave it, to be compared with id >> 20.
func ProcessIDPrefix(vm ids.VMID) uint32 {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(vm))
	return hash.Sum32() & (1<<(31-counterBits) - 1)
}

// PrefixOf returns the prefix of a process id.
func PrefixOf(processID uint32) uint32 { return processID >> counterBits }

func (server *Server) budget(group ids.GroupID) *retry.Budget {
	if budget, ok := server.budgets.Load(group); ok {
		return budget.(*retry.Budget)
	}
	budget, _ := server.budgets.LoadOrStore(group, retry.NewBudget())
	return budget.(*retry.Budget)
}

// Open admits a caller that was authenticated; the error is a *refusal.Refusal that was not recorded yet. The reader
// holds what the caller sent beyond its start-up.
func (server *Server) Open(conn net.Conn, reader *wire.Reader, caller Caller) (*Session, error) {
	session := &Session{
		server: server, caller: caller, conn: conn, reader: reader, tx: wire.Idle,
		statements: make(map[string]*statement), portals: make(map[string]*statement),
	}
	session.ctx, session.cancel = context.WithCancel(context.Background())
	if _, err := rand.Read(session.secret[:]); err != nil {
		return nil, refusal.New(refusal.NotConfirmed, "no random numbers")
	}
	if refused := session.review(); refused != nil {
		return nil, refused
	}
	if refused := session.openToken(); refused != nil {
		return nil, refused
	}
	server.mutex.Lock()
	defer server.mutex.Unlock()
	if server.draining {
		return nil, refusal.New(refusal.Stopping, "")
	}
	limit := session.contract.Limits.Connections
	if count := server.counts[caller.Organisation]; limit > 0 && count >= limit {
		return nil, refusal.New(refusal.ConnectionLimit, fmt.Sprintf("%d of %d connections on this VM", count, limit))
	}
	for {
		server.next = (server.next + 1) & (1<<counterBits - 1)
		session.processID = ProcessIDPrefix(server.VM)<<counterBits | server.next
		if _, taken := server.sessions[session.processID]; !taken && session.processID != 0 {
			break
		}
	}
	server.sessions[session.processID] = session
	server.counts[caller.Organisation]++
	server.ended.Add(1)
	return session, nil
}

func (server *Server) closed(session *Session) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	delete(server.sessions, session.processID)
	organisation := session.caller.Organisation
	if server.counts[organisation]--; server.counts[organisation] <= 0 {
		delete(server.counts, organisation)
	}
	server.ended.Done()
}

// Sessions returns the number of sessions.
func (server *Server) Sessions() int {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	return len(server.sessions)
}

// Cancel cancels the statement of the session with the process id if the secret is right. It returns false when this
// VM has no such session, so that the request can go to the VM that has.
func (server *Server) Cancel(processID uint32, secret []byte) bool {
	server.mutex.Lock()
	session, ok := server.sessions[processID]
	server.mutex.Unlock()
	if !ok {
		return false
	}
	if subtle.ConstantTimeCompare(session.secret[:], secret) == 1 {
		session.cancelStatement()
	}
	return true
}

// Revoke compares the sessions of the organisation with the contracts in force, and ends those whose key, contract or
// route is gone. The control calls it for every contract that changes; sessions check at each request as well.
func (server *Server) Revoke(organisation ids.OrganisationID) {
	for _, session := range server.list() {
		if session.caller.Organisation != organisation && session.caller.Owner != organisation {
			continue
		}
		session.stop.Or(stopReview)
		session.wake()
		if refused := session.revoked(); refused != nil {
			time.AfterFunc(cancelAfterWithdrawal, func() {
				if session.ctx.Err() == nil {
					session.cancelStatement()
				}
			})
		}
	}
}

func (server *Server) list() []*Session {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	sessions := make([]*Session, 0, len(server.sessions))
	for _, session := range server.sessions {
		sessions = append(sessions, session)
	}
	return sessions
}

// Drain ends idle sessions, lets open transactions finish until the context ends, then ends the rest. It returns when
// every session has ended.
func (server *Server) Drain(ctx context.Context) error {
	server.mutex.Lock()
	server.draining = true
	server.mutex.Unlock()
	server.halt(stopDrain)
	ended := make(chan struct{})
	go func() {
		server.ended.Wait()
		close(ended)
	}()
	select {
	case <-ended:
		return nil
	case <-ctx.Done():
	}
	server.halt(stopNow)
	<-ended
	return fmt.Errorf("sessions were open after the grace period: %w", ctx.Err())
}

func (server *Server) halt(flag uint32) {
	for _, session := range server.list() {
		session.stop.Or(flag)
		if flag == stopNow {
			session.cancel()
		}
		session.wake()
	}
}
