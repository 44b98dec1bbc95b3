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
	// defaultMaxMessageBytes is the default of Dependencies.MaxMessageBytes.
	defaultMaxMessageBytes = 16 << 20
	// counterBits is the number of low bits of a process ID that count sessions. The 11 bits above them are a hash of the VM.
	counterBits = 20
	// withdrawalCancelDelay is the time that a running statement may go on after the session's key, contract or route was
	// withdrawn. Together with the 3 s that a change may take to arrive, this stays within 5 s.
	withdrawalCancelDelay = time.Second
)

// Server holds the sessions of this VM.
type Server struct {
	Dependencies
	routeReplica metrics.Counter
	routePrimary metrics.Counter
	retries      map[retry.Reason]metrics.Counter
	retryBudgets sync.Map

	mutex       sync.Mutex
	sessions    map[uint32]*Session
	counts      map[ids.OrganisationID]int
	lastCounter uint32
	draining    bool
	running     sync.WaitGroup
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

// PrefixForVM returns the prefix of the process IDs that the VM assigns: the bits above the lower 20.
func PrefixForVM(vm ids.VMID) uint32 {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(vm))
	return hash.Sum32() & (1<<(31-counterBits) - 1)
}

// PrefixOfProcessID returns the prefix of a process ID, which identifies the VM that assigned it.
func PrefixOfProcessID(processID uint32) uint32 { return processID >> counterBits }

// budget returns the budget for retries of requests to the group.
func (server *Server) budget(group ids.GroupID) *retry.Budget {
	if budget, ok := server.retryBudgets.Load(group); ok {
		return budget.(*retry.Budget)
	}
	budget, _ := server.retryBudgets.LoadOrStore(group, retry.NewBudget())
	return budget.(*retry.Budget)
}

// Open admits an authenticated caller. The error is a *refusal.Refusal that has not been recorded yet. The reader may hold
// data that the caller sent after its start-up.
func (server *Server) Open(conn net.Conn, reader *wire.Reader, caller Caller) (*Session, error) {
	session := &Session{
		server: server, caller: caller, conn: conn, reader: reader, txStatus: wire.Idle,
		statements: make(map[string]*statement), portals: make(map[string]*statement),
	}
	session.ctx, session.cancel = context.WithCancel(context.Background())
	if _, err := rand.Read(session.secret[:]); err != nil {
		return nil, refusal.New(refusal.NotConfirmed, "no random numbers")
	}
	if refused := session.applyContracts(); refused != nil {
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
		server.lastCounter = (server.lastCounter + 1) & (1<<counterBits - 1)
		session.processID = PrefixForVM(server.VM)<<counterBits | server.lastCounter
		if _, taken := server.sessions[session.processID]; !taken && session.processID != 0 {
			break
		}
	}
	server.sessions[session.processID] = session
	server.counts[caller.Organisation]++
	server.running.Add(1)
	return session, nil
}

// removeSession removes a session that has ended.
func (server *Server) removeSession(session *Session) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	delete(server.sessions, session.processID)
	organisation := session.caller.Organisation
	if server.counts[organisation]--; server.counts[organisation] <= 0 {
		delete(server.counts, organisation)
	}
	server.running.Done()
}

// Sessions returns the number of open sessions.
func (server *Server) Sessions() int {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	return len(server.sessions)
}

// Cancel cancels the statement of the session with the process ID if the secret matches. It returns false if this VM has no
// such session, so that the request can be forwarded to the VM that has it.
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

// RecheckContracts checks the sessions that use the organisation's contract against the contracts in force and ends those
// whose key, contract or route was withdrawn. It is called for each contract that changes; sessions also check on each
// request.
func (server *Server) RecheckContracts(organisation ids.OrganisationID) {
	for _, session := range server.listSessions() {
		if session.caller.Organisation != organisation && session.caller.Owner != organisation {
			continue
		}
		session.signals.Or(signalReview)
		session.wake()
		if refused := session.checkContracts(); refused != nil {
			time.AfterFunc(withdrawalCancelDelay, func() {
				if session.ctx.Err() == nil {
					session.cancelStatement()
				}
			})
		}
	}
}

func (server *Server) listSessions() []*Session {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	sessions := make([]*Session, 0, len(server.sessions))
	for _, session := range server.sessions {
		sessions = append(sessions, session)
	}
	return sessions
}

// Drain ends idle sessions, lets open transactions finish until the context is done, and then ends the remaining sessions.
// It returns when all sessions have ended.
func (server *Server) Drain(ctx context.Context) error {
	server.mutex.Lock()
	server.draining = true
	server.mutex.Unlock()
	server.signalAll(signalDrain)
	ended := make(chan struct{})
	go func() {
		server.running.Wait()
		close(ended)
	}()
	select {
	case <-ended:
		return nil
	case <-ctx.Done():
	}
	server.signalAll(signalStop)
	<-ended
	return fmt.Errorf("sessions were open after the grace period: %w", ctx.Err())
}

// signalAll sets the signal on all sessions and wakes them. signalStop also cancels what they wait for.
func (server *Server) signalAll(signal uint32) {
	for _, session := range server.listSessions() {
		session.signals.Or(signal)
		if signal == signalStop {
			session.cancel()
		}
		session.wake()
	}
}
