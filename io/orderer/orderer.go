package orderer

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
	// assignEvery is the time between two looks at which groups this VM watches.
	assignEvery = 500 * time.Millisecond
	// tickEvery and activeTickEvery are the times between two decisions of a plan.
	tickEvery       = 100 * time.Millisecond
	activeTickEvery = 10 * time.Millisecond
	// evidenceTimeout bounds a question to another watcher, and evidenceFresh the age of an answer that counts.
	evidenceTimeout = 300 * time.Millisecond
	evidenceFresh   = 600 * time.Millisecond
	// storeTimeout bounds a call to the key-value service; its outcome is unknown afterwards.
	storeTimeout = 500 * time.Millisecond
	// promoteTimeout bounds group_promote, which waits until the candidate has replayed its log.
	promoteTimeout = time.Second
)

// Store is the part of the key-value service that promotions need; platform.Store implements it.
type Store interface {
	// Get returns the entry of the key, and false if there is none.
	Get(ctx context.Context, key string) (config.Entry, bool, error)
	// CompareAndSwap stores the value if the key's revision is the expected one, 0 for an absent key.
	CompareAndSwap(ctx context.Context, key string, expected ids.Revision, value []byte) (ids.Revision, bool, error)
}

// Groups is the part of group.Groups that promotions need.
type Groups interface {
	// Evidence returns what this VM last saw of the group's servers.
	Evidence(id ids.GroupID) []failover.Evidence
	// Watch starts or stops the steady probing of a group.
	SetWatched(id ids.GroupID, watched bool)
	// Order runs a group function at the address.
	Call(ctx context.Context, address, query string) (failover.Status, error)
	// ApplyTerm makes a term record known on this VM.
	ApplyTerm(id ids.GroupID, record config.TermRecord)
}

// Peers returns clients for other VMs; peer.Dialer implements it.
type Peers interface {
	// Peer returns a client for the peer address.
	Peer(address string) (peerpb.PeerClient, error)
}

// Top returns the first n members by rendezvous hash of the key; member.Top implements it.
type Top func(key string, n int, members []member.Member) []member.Member

// stored is a term record with its revision.
type stored struct {
	record   config.TermRecord
	revision ids.Revision
}

// Orderer watches groups and promotes replicas of lost primaries.
type Orderer struct {
	self     ids.VMID
	store    Store
	groups   Groups
	peers    Peers
	top      Top
	members  func() []member.Member
	now      func() time.Duration
	logger   log.Logger
	counters counters

	mutex   sync.Mutex
	ctx     context.Context
	records map[ids.GroupID]config.GroupRecord
	terms   map[ids.GroupID]stored
	duties  map[ids.GroupID]*duty
	// watchers holds each group's watchers among ranked. Choosing them takes 29 us among 2,400 VMs, which is too much to
	// repeat for 7,000 groups while the membership stays the same.
	watchers map[ids.GroupID][]member.Member
	ranked   []member.Member
	running  sync.WaitGroup
}

// Option changes the defaults of New.
type Option func(*Orderer)

// WithLogger sets the logger.
func WithLogger(logger log.Logger) Option { return func(orderer *Orderer) { orderer.logger = logger } }

// WithClock replaces the clock that gives the time since process start.
func WithClock(now func() time.Duration) Option {
	return func(orderer *Orderer) { orderer.now = now }
}

var processStart = time.Now()

// New returns the orderer of this VM; members returns the live VMs, this one included.
func New(self ids.VMID, store Store, groups Groups, peers Peers, top Top, members func() []member.Member, options ...Option) *Orderer {
	orderer := &Orderer{
		self: self, store: store, groups: groups, peers: peers, top: top, members: members,
		now:      func() time.Duration { return time.Since(processStart) },
		logger:   log.NewNopLogger(),
		counters: newCounters(metrics.NewRegistry()),
		records:  map[ids.GroupID]config.GroupRecord{},
		terms:    map[ids.GroupID]stored{},
		duties:   map[ids.GroupID]*duty{},
		watchers: map[ids.GroupID][]member.Member{},
	}
	for _, option := range options {
		option(orderer)
	}
	return orderer
}

// Apply makes a group or a change of its servers known.
func (orderer *Orderer) Apply(record config.GroupRecord) {
	orderer.mutex.Lock()
	defer orderer.mutex.Unlock()
	known, ok := orderer.records[record.Group]
	orderer.records[record.Group] = record
	if ok && slices.Equal(known.Servers, record.Servers) {
		return
	}
	if duty := orderer.duties[record.Group]; duty != nil {
		// The plan is made for the old servers; the next assignment starts a new one.
		duty.stop()
		delete(orderer.duties, record.Group)
	}
}

// ApplyTerm makes a term record of the revision known.
func (orderer *Orderer) ApplyTerm(id ids.GroupID, record config.TermRecord, revision ids.Revision) {
	orderer.mutex.Lock()
	defer orderer.mutex.Unlock()
	if revision <= orderer.terms[id].revision {
		return
	}
	orderer.terms[id] = stored{record, revision}
	if duty := orderer.duties[id]; duty != nil {
		duty.post(func() { duty.applied(record, revision) })
	}
}

// Run watches groups until the context ends.
func (orderer *Orderer) Run(ctx context.Context) error {
	orderer.mutex.Lock()
	orderer.ctx = ctx
	orderer.mutex.Unlock()
	ticker := time.NewTicker(assignEvery)
	defer ticker.Stop()
	for {
		orderer.assign()
		select {
		case <-ctx.Done():
			orderer.running.Wait()
			return nil
		case <-ticker.C:
		}
	}
}

// assign begins and ends duties as the membership and the groups say.
func (orderer *Orderer) assign() {
	var staying []member.Member
	all := orderer.members()
	for _, one := range all {
		if !one.Leaving {
			staying = append(staying, one)
		}
	}
	if len(staying) == 0 {
		staying = all
	}
	orderer.mutex.Lock()
	defer orderer.mutex.Unlock()
	defer func() { orderer.counters.watched.Update(int64(len(orderer.duties))) }()
	if !slices.Equal(staying, orderer.ranked) {
		orderer.ranked = staying
		clear(orderer.watchers)
	}
	for id, record := range orderer.records {
		watchers, known := orderer.watchers[id]
		if !known {
			watchers = orderer.top("orderer/"+string(id), failover.WatcherCount, staying)
			orderer.watchers[id] = watchers
		}
		rank := -1
		for index, watcher := range watchers {
			if watcher.ID == orderer.self {
				rank = index
			}
		}
		current := orderer.duties[id]
		switch {
		case rank >= 0 && current == nil:
			if err := orderer.begin(record, watchers, rank); err != nil {
				_ = orderer.logger.Log("msg", "group not watched", "group", id, "err", err)
			}
		case rank >= 0:
			current.post(func() { current.watchers, current.rank = watchers, rank })
		case current != nil && !current.active.Load():
			current.stop()
			delete(orderer.duties, id)
			orderer.groups.SetWatched(id, false)
		}
	}
}

func (orderer *Orderer) begin(record config.GroupRecord, watchers []member.Member, rank int) error {
	plan, err := failover.NewPlan(orderer.self, record, orderer.now())
	if err != nil {
		return fmt.Errorf("plan of %s: %w", record.Group, err)
	}
	ctx, stop := context.WithCancel(orderer.ctx)
	duty := &duty{
		orderer: orderer, group: record, plan: plan, watchers: watchers, rank: rank, ctx: ctx, stop: stop,
		inbox: make(chan func(), 64), inFlight: map[order]bool{}, others: map[ids.VMID]answer{},
	}
	if known, ok := orderer.terms[record.Group]; ok {
		duty.applied(known.record, known.revision)
	}
	orderer.duties[record.Group] = duty
	orderer.groups.SetWatched(record.Group, true)
	orderer.running.Add(1)
	go duty.run()
	return nil
}

// Evidence answers another watcher; it implements the peer protocol's Evidence.
func (orderer *Orderer) Evidence(_ context.Context, request *peerpb.EvidenceRequest) (*peerpb.EvidenceReply, error) {
	id := ids.GroupID(request.GetGroup())
	orderer.mutex.Lock()
	_, watches := orderer.duties[id]
	orderer.mutex.Unlock()
	reply := &peerpb.EvidenceReply{}
	if !watches {
		return reply, nil
	}
	for _, evidence := range orderer.groups.Evidence(id) {
		silent := evidence.Silent.Milliseconds()
		if evidence.Status.Server == "" && silent == 0 {
			silent = -1
		}
		reply.Servers = append(reply.Servers, &peerpb.ServerEvidence{
			Server: string(evidence.Server), SilentMs: silent, Term: uint64(evidence.Status.Term),
			Position: uint64(evidence.Status.End().Log), Primary: evidence.Status.Accepts(),
		})
	}
	return reply, nil
}

// fromReply returns the evidence of another watcher.
func fromReply(reply *peerpb.EvidenceReply) []failover.Evidence {
	evidence := make([]failover.Evidence, 0, len(reply.GetServers()))
	for _, server := range reply.GetServers() {
		one := failover.Evidence{
			Server: ids.BackendServerID(server.GetServer()),
			Silent: time.Duration(max(server.GetSilentMs(), 0)) * time.Millisecond,
		}
		if server.GetSilentMs() >= 0 && server.GetTerm() > 0 {
			one.Status = failover.Status{
				Server: one.Server, Primary: server.GetPrimary(), Term: ids.Term(server.GetTerm()), Promised: ids.Term(server.GetTerm()),
			}
		}
		evidence = append(evidence, one)
	}
	return evidence
}
