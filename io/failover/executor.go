package failover

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"

	"dotterelgw/core/config"
	"dotterelgw/core/failover"
	"dotterelgw/core/ids"
	"dotterelgw/core/member"
	"dotterelgw/io/peer/peerpb"
)

const (
	// assignInterval is the time between two updates of the set of groups that this VM watches.
	assignInterval = 500 * time.Millisecond
	// idleTickInterval and activeTickInterval are the times between two ticks of a coordinator, without and with a promotion in
	// progress.
	idleTickInterval   = 100 * time.Millisecond
	activeTickInterval = 10 * time.Millisecond
	// evidenceTimeout bounds a request to another watcher, and maxEvidenceAge the age of the evidence that is used.
	evidenceTimeout = 300 * time.Millisecond
	maxEvidenceAge  = 600 * time.Millisecond
	// storeTimeout bounds a call to the key-value service. The outcome of a call that times out is unknown.
	storeTimeout = 500 * time.Millisecond
	// promoteTimeout bounds group_promote, which waits until the candidate has replayed its log.
	promoteTimeout = time.Second
)

// Store is the part of the key-value service that promotions use; platform.Store implements it.
type Store interface {
	// Get returns the entry of the key, and false if there is none.
	Get(ctx context.Context, key string) (config.Entry, bool, error)
	// CompareAndSwap stores the value if the key's revision is the expected one, 0 for an absent key.
	CompareAndSwap(ctx context.Context, key string, expected ids.Revision, value []byte) (ids.Revision, bool, error)
}

// Groups is the part of group.Groups that promotions use.
type Groups interface {
	// Evidence returns this VM's latest observations of the group's servers, or nil for an unknown group.
	Evidence(id ids.GroupID) []failover.Evidence
	// SetWatched starts or stops continuous polling of a group.
	SetWatched(id ids.GroupID, watched bool)
	// Call runs a group function at the server's address and returns the server's status.
	Call(ctx context.Context, address, query string) (failover.Status, error)
	// ApplyTerm updates the term record of a group on this VM.
	ApplyTerm(id ids.GroupID, record config.TermRecord)
}

// Peers returns clients for other VMs; peer.Dialer implements it.
type Peers interface {
	// Peer returns a client for the peer address.
	Peer(address string) (peerpb.PeerClient, error)
}

// TopMembers returns the first n members by rendezvous hash of the key; member.Top implements it.
type TopMembers func(key string, n int, members []member.Member) []member.Member

// termEntry is a term record with its revision.
type termEntry struct {
	record   config.TermRecord
	revision ids.Revision
}

// Executor runs the supervisors of the groups that this VM watches. It is safe for concurrent use.
type Executor struct {
	self       ids.VMID
	store      Store
	groups     Groups
	peers      Peers
	topMembers TopMembers
	members    func() []member.Member
	now        func() time.Duration
	logger     log.Logger
	counters   counters

	mutex       sync.Mutex
	ctx         context.Context
	records     map[ids.GroupID]config.GroupRecord
	terms       map[ids.GroupID]termEntry
	supervisors map[ids.GroupID]*supervisor
	// watchers caches the watchers of each group, chosen from rankedMembers. Choosing them takes 29 us with 2,400 VMs,
	// which is too slow to repeat for 7,000 groups while the membership is unchanged.
	watchers      map[ids.GroupID][]member.Member
	rankedMembers []member.Member
	running       sync.WaitGroup
}

// Option changes the defaults of New.
type Option func(*Executor)

// WithLogger sets the logger.
func WithLogger(logger log.Logger) Option {
	return func(executor *Executor) { executor.logger = logger }
}

// WithClock replaces the clock, which returns the time since process start.
func WithClock(now func() time.Duration) Option {
	return func(executor *Executor) { executor.now = now }
}

var processStart = time.Now()

// New returns the executor of this VM. The function members returns the live VMs, including this one.
func New(self ids.VMID, store Store, groups Groups, peers Peers, topMembers TopMembers, members func() []member.Member, options ...Option) *Executor {
	executor := &Executor{
		self: self, store: store, groups: groups, peers: peers, topMembers: topMembers, members: members,
		now:         func() time.Duration { return time.Since(processStart) },
		logger:      log.NewNopLogger(),
		counters:    newCounters(metrics.NewRegistry()),
		records:     map[ids.GroupID]config.GroupRecord{},
		terms:       map[ids.GroupID]termEntry{},
		supervisors: map[ids.GroupID]*supervisor{},
		watchers:    map[ids.GroupID][]member.Member{},
	}
	for _, option := range options {
		option(executor)
	}
	return executor
}

// Apply adds a group or updates its record.
func (executor *Executor) Apply(record config.GroupRecord) {
	executor.mutex.Lock()
	defer executor.mutex.Unlock()
	known, ok := executor.records[record.Group]
	executor.records[record.Group] = record
	if ok && slices.Equal(known.Servers, record.Servers) {
		return
	}
	if supervisor := executor.supervisors[record.Group]; supervisor != nil {
		// The coordinator was made for the old servers; the next assignment starts a new one.
		supervisor.cancel()
		delete(executor.supervisors, record.Group)
	}
}

// ApplyTerm updates the term record of a group, unless the revision is not newer.
func (executor *Executor) ApplyTerm(id ids.GroupID, record config.TermRecord, revision ids.Revision) {
	executor.mutex.Lock()
	defer executor.mutex.Unlock()
	if revision <= executor.terms[id].revision {
		return
	}
	executor.terms[id] = termEntry{record, revision}
	if supervisor := executor.supervisors[id]; supervisor != nil {
		supervisor.post(func() { supervisor.applyTerm(record, revision) })
	}
}

// Run watches groups until the context ends.
func (executor *Executor) Run(ctx context.Context) error {
	executor.mutex.Lock()
	executor.ctx = ctx
	executor.mutex.Unlock()
	ticker := time.NewTicker(assignInterval)
	defer ticker.Stop()
	for {
		executor.assign()
		select {
		case <-ctx.Done():
			executor.running.Wait()
			return nil
		case <-ticker.C:
		}
	}
}

// assign starts and ends supervisors so that this VM supervises the groups of which it is a watcher. A promotion in
// progress is completed first.
func (executor *Executor) assign() {
	var eligible []member.Member
	all := executor.members()
	for _, entry := range all {
		if !entry.Leaving {
			eligible = append(eligible, entry)
		}
	}
	if len(eligible) == 0 {
		eligible = all
	}
	executor.mutex.Lock()
	defer executor.mutex.Unlock()
	defer func() { executor.counters.watched.Update(int64(len(executor.supervisors))) }()
	if !slices.Equal(eligible, executor.rankedMembers) {
		executor.rankedMembers = eligible
		clear(executor.watchers)
	}
	for id, record := range executor.records {
		watchers, known := executor.watchers[id]
		if !known {
			watchers = executor.topMembers("orderer/"+string(id), failover.WatcherCount, eligible)
			executor.watchers[id] = watchers
		}
		rank := -1
		for index, watcher := range watchers {
			if watcher.ID == executor.self {
				rank = index
			}
		}
		current := executor.supervisors[id]
		switch {
		case rank >= 0 && current == nil:
			if err := executor.startSupervisor(record, watchers, rank); err != nil {
				_ = executor.logger.Log("msg", "cannot watch group", "group", id, "err", err)
			}
		case rank >= 0:
			current.post(func() { current.watchers, current.rank = watchers, rank })
		case current != nil && !current.active.Load():
			current.cancel()
			delete(executor.supervisors, id)
			executor.groups.SetWatched(id, false)
		}
	}
}

// startSupervisor creates the supervisor of a group and starts it.
func (executor *Executor) startSupervisor(record config.GroupRecord, watchers []member.Member, rank int) error {
	coordinator, err := failover.NewCoordinator(executor.self, record, executor.now())
	if err != nil {
		return fmt.Errorf("plan of %s: %w", record.Group, err)
	}
	ctx, cancel := context.WithCancel(executor.ctx)
	supervisor := &supervisor{
		executor: executor, group: record, coordinator: coordinator, watchers: watchers, rank: rank, ctx: ctx, cancel: cancel,
		inbox: make(chan func(), 64), inFlight: map[call]bool{}, received: map[ids.VMID]receivedEvidence{},
	}
	if known, ok := executor.terms[record.Group]; ok {
		supervisor.applyTerm(known.record, known.revision)
	}
	executor.supervisors[record.Group] = supervisor
	executor.groups.SetWatched(record.Group, true)
	executor.running.Add(1)
	go supervisor.run()
	return nil
}

// Evidence answers a request of another watcher; it implements Evidence of the peer protocol. The reply is empty for a
// group that this VM does not watch.
func (executor *Executor) Evidence(_ context.Context, request *peerpb.EvidenceRequest) (*peerpb.EvidenceReply, error) {
	id := ids.GroupID(request.GetGroup())
	executor.mutex.Lock()
	_, watches := executor.supervisors[id]
	executor.mutex.Unlock()
	reply := &peerpb.EvidenceReply{}
	if !watches {
		return reply, nil
	}
	for _, evidence := range executor.groups.Evidence(id) {
		silent := evidence.Silent.Milliseconds()
		if evidence.Status.Server == "" && silent == 0 {
			silent = -1
		}
		reply.Servers = append(reply.Servers, &peerpb.ServerEvidence{
			Server: string(evidence.Server), SilentMs: silent, Term: uint64(evidence.Status.Term),
			Position: uint64(evidence.Status.End().Log), Primary: evidence.Status.AcceptsWrites(),
		})
	}
	return reply, nil
}

// evidenceFromReply decodes the evidence of another watcher.
func evidenceFromReply(reply *peerpb.EvidenceReply) []failover.Evidence {
	evidence := make([]failover.Evidence, 0, len(reply.GetServers()))
	for _, server := range reply.GetServers() {
		entry := failover.Evidence{
			Server: ids.BackendServerID(server.GetServer()),
			Silent: time.Duration(max(server.GetSilentMs(), 0)) * time.Millisecond,
		}
		if server.GetSilentMs() >= 0 && server.GetTerm() > 0 {
			entry.Status = failover.Status{
				Server: entry.Server, Primary: server.GetPrimary(), Term: ids.Term(server.GetTerm()), Promised: ids.Term(server.GetTerm()),
			}
		}
		evidence = append(evidence, entry)
	}
	return evidence
}
