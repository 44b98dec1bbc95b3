package monitor

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"dotterelgw/core/balance"
	"dotterelgw/core/catalog"
	"dotterelgw/core/handover"
	"dotterelgw/core/ids"
	"dotterelgw/core/leader"
	"dotterelgw/core/position"
	"dotterelgw/core/zonebalance"
	"dotterelgw/io/clock"
)

// Group is what this VM knows of one database group.
type Group struct {
	id      ids.GroupID
	monitor *Monitor

	mutex   sync.Mutex
	tracker *leader.Tracker
	servers map[ids.BackendServerID]*Server
	// changed is closed and replaced when something changes that a request may wait for.
	changed chan struct{}
	leader  ids.BackendServerID
	term    ids.Term
	certain bool
	// used is renewed by requests for the group. usedSince is the time of the request that activated it.
	used      interest
	usedSince time.Duration
	// observedFor and collectedFor are renewed by queries of other VMs to this one as an observer and as a collector.
	observedFor, collectedFor interest
	// acknowledged is the position of the last write that this VM acknowledged.
	acknowledged position.Position
	// waiting is the number of writes that wait until they may be acknowledged.
	waiting int
	// fenced is the time at which the primary was last fenced.
	fenced time.Duration
	// fence keeps this VM from earlier primaries while another VM replaces the primary.
	fence handover.Fence
	// zones decides which reads leave the availability zone; nil before the first read.
	zones *zonebalance.Balancer
}

func newGroup(id ids.GroupID, monitor *Monitor) *Group {
	return &Group{
		id: id, monitor: monitor, tracker: leader.NewTracker(),
		servers: make(map[ids.BackendServerID]*Server), changed: make(chan struct{}),
		used: interest{ttl: useTTL}, observedFor: interest{ttl: peerInterestTTL}, collectedFor: interest{ttl: peerInterestTTL},
	}
}

// ID returns the group's identifier.
func (group *Group) ID() ids.GroupID { return group.id }

// MarkUsed records a request for the group. Its state is kept up to date for useTTL afterwards.
func (group *Group) MarkUsed() {
	if now := clock.Now(); group.renewInterest(&group.used, now) {
		group.mutex.Lock()
		group.usedSince = now
		group.mutex.Unlock()
		group.RequestPoll()
	}
}

// observeForPeers records that other VMs rely on this one to poll the servers of the group.
func (group *Group) observeForPeers() {
	if group.renewInterest(&group.observedFor, clock.Now()) {
		group.poll()
	}
}

// collectForPeers records that other VMs ask this one for the state of the group.
func (group *Group) collectForPeers() {
	if group.renewInterest(&group.collectedFor, clock.Now()) {
		group.RequestPoll()
	}
}

// renewInterest renews an interest and reports whether it had expired.
func (group *Group) renewInterest(interest *interest, now time.Duration) (first bool) {
	group.mutex.Lock()
	defer group.mutex.Unlock()
	return interest.renew(now)
}

func (group *Group) hasInterest(interest *interest) bool {
	group.mutex.Lock()
	defer group.mutex.Unlock()
	return interest.active(clock.Now())
}

// inUse reports whether this VM has had requests for the group recently.
func (group *Group) inUse() bool { return group.hasInterest(&group.used) }

// observes reports whether other VMs rely on this one to poll the servers of the group.
func (group *Group) observes() bool { return group.hasInterest(&group.observedFor) }

// collected reports whether other VMs ask this one for the state of the group.
func (group *Group) collected() bool { return group.hasInterest(&group.collectedFor) }

// primaryUnknown reports whether the group has just come into use and nothing is known of its primary.
func (group *Group) primaryUnknown() bool {
	group.mutex.Lock()
	defer group.mutex.Unlock()
	_, _, known := group.tracker.Primary()
	return !known && clock.Now()-group.usedSince < unknownPeriod
}

// unknownPeriod is the time after its first use in which the state of a group with an unknown primary is queried in
// short intervals.
const unknownPeriod = time.Second

// RequestPoll makes the VM that observes the group, or this one, poll all servers soon.
func (group *Group) RequestPoll() {
	if group.observes() {
		group.poll()
	}
	select {
	case group.monitor.wakeup <- struct{}{}:
	default:
	}
}

// poll makes this VM poll all servers of the group at once.
func (group *Group) poll() {
	for _, server := range group.Servers() {
		server.PollNow()
	}
}

// server returns the server with the identifier, nil if there is none.
func (group *Group) server(id ids.BackendServerID) *Server {
	group.mutex.Lock()
	defer group.mutex.Unlock()
	return group.servers[id]
}

// Changed returns a channel that is closed at the next change.
func (group *Group) Changed() <-chan struct{} {
	group.mutex.Lock()
	defer group.mutex.Unlock()
	return group.changed
}

func (group *Group) notify() {
	group.mutex.Lock()
	defer group.mutex.Unlock()
	group.wake()
}

// wake wakes those who wait for a change. The mutex must be held.
func (group *Group) wake() {
	close(group.changed)
	group.changed = make(chan struct{})
}

// Primary returns the primary if it is known. The caller checks whether it is usable.
func (group *Group) Primary() (server *Server, term ids.Term, ok bool) {
	group.mutex.Lock()
	defer group.mutex.Unlock()
	info, term, ok := group.tracker.Primary()
	if !ok {
		return nil, 0, false
	}
	server, ok = group.servers[info.ID]
	return server, term, ok
}

// RecoveryEstimate returns the time until the group is expected to have a primary that accepts work.
func (group *Group) RecoveryEstimate() time.Duration {
	return group.recoveryEstimate((*Server).SilentFor)
}

// recoveryEstimate returns the time until the group is expected to have a primary, given for how long the present one could not be used.
func (group *Group) recoveryEstimate(unusableFor func(*Server) time.Duration) time.Duration {
	var unusable time.Duration
	if leader, _, known := group.Primary(); known {
		unusable = unusableFor(leader)
	}
	group.mutex.Lock()
	defer group.mutex.Unlock()
	return handover.RecoveryEstimate(handover.PrimaryState{
		SilentFor: unusable, SinceFence: clock.Now() - group.fenced, ServiceAge: group.monitor.serviceAge(),
	})
}

// LeaseExpiry returns the time until which no server other than the primary can have acknowledged writes.
func (group *Group) LeaseExpiry() time.Duration {
	group.mutex.Lock()
	defer group.mutex.Unlock()
	return group.tracker.LeaseExpiry()
}

// MinReadPosition returns a position that covers every write acknowledged before the given time.
func (group *Group) MinReadPosition(before time.Duration) (position.GroupPosition, bool) {
	group.mutex.Lock()
	defer group.mutex.Unlock()
	at, known := group.tracker.MinReadPosition(before)
	return position.In(group.id, at), known
}

// lag returns how far a server was behind the primary at the time when reads on it saw the position.
func (group *Group) lag(applied position.Position, at time.Duration) time.Duration {
	group.mutex.Lock()
	defer group.mutex.Unlock()
	return group.tracker.Lag(applied, at)
}

// Servers returns the group's servers.
func (group *Group) Servers() []*Server {
	group.mutex.Lock()
	defer group.mutex.Unlock()
	servers := make([]*Server, 0, len(group.servers))
	for _, server := range group.servers {
		servers = append(servers, server)
	}
	return servers
}

// Observed returns the last observation of the server.
func (group *Group) Observed(id ids.BackendServerID) (leader.Observation, bool) {
	group.mutex.Lock()
	defer group.mutex.Unlock()
	return group.tracker.Observed(id)
}

// ReadRequest describes what a read requires of its server.
type ReadRequest struct {
	// Organisation is the organisation that issues the read.
	Organisation ids.OrganisationID
	// Position is the position that the server's log must have reached; the zero value requires none.
	Position position.GroupPosition
	// Age is the time since the primary was at Position.
	Age time.Duration
	// Primary allows the primary to serve the read.
	Primary bool
	// Excluded holds servers that were already tried.
	Excluded map[ids.BackendServerID]bool
}

// ChooseRead returns the server that is expected to answer the read first, nil if none can serve it. Cold servers, and those of zones that
// are being evacuated, serve only what no other server can. The error wraps position.ErrOtherGroup if the read requires a position of
// another group.
func (group *Group) ChooseRead(request ReadRequest) (*Server, error) {
	required, err := request.Position.Of(group.id)
	if err != nil {
		return nil, fmt.Errorf("choosing a server: %w", err)
	}
	now := clock.Now()
	leaderServer, _, _ := group.Primary()
	zones, sample := group.monitor.evacuations(), rand.Float64()
	limitsCold := group.monitor.coldRate(group.id) > 0
	var preferred, avoided readCandidates
	for _, server := range group.Servers() {
		isLeader := server == leaderServer
		if request.obstacle(server, isLeader) != "" {
			continue
		}
		candidates := &preferred
		if zones.Avoids(server.Info().Zone, now, sample) || limitsCold && server.isMaybeCold(now) {
			candidates = &avoided
		}
		candidates.add(server, server.candidate(request.Organisation, isLeader, now))
	}
	if server := preferred.choose(group, now, required, request.Age); server != nil {
		return server, nil
	}
	return avoided.choose(group, now, required, request.Age), nil
}

// readCandidates holds servers that may run a read.
type readCandidates struct {
	servers    []*Server
	candidates []balance.Candidate
}

func (readCandidates *readCandidates) add(server *Server, candidate balance.Candidate) {
	readCandidates.servers = append(readCandidates.servers, server)
	readCandidates.candidates = append(readCandidates.candidates, candidate)
}

// choose returns the server for the read, nil if none has reached its position.
func (readCandidates *readCandidates) choose(group *Group, now time.Duration, required position.Position, age time.Duration) *Server {
	if index := group.chooseByZone(now, required, age, readCandidates.servers, readCandidates.candidates); index >= 0 {
		return readCandidates.servers[index]
	}
	if index := balance.Choose(readCandidates.candidates, required, age); index >= 0 {
		return readCandidates.servers[index]
	}
	return nil
}

func (group *Group) sample(id ids.BackendServerID, sentAt time.Duration, at position.Position) {
	group.mutex.Lock()
	defer group.mutex.Unlock()
	group.tracker.Sample(id, sentAt, at)
}

func (group *Group) observe(id ids.BackendServerID, observation leader.Observation) {
	group.mutex.Lock()
	defer group.mutex.Unlock()
	formerLease := group.tracker.LeaseExpiry()
	group.tracker.Observe(id, observation)
	group.noteLeader(observation, formerLease)
	group.noteCertainty(id, observation)
	group.wake()
}

// noteLeader logs a change of the primary. formerLease is the end of the lease before the observation: a lease of the former primary that had
// not ended shows that this VM may have read at it after its successor was promoted. The mutex must be held.
func (group *Group) noteLeader(observation leader.Observation, formerLease time.Duration) {
	info, term, _ := group.tracker.Primary()
	if info.ID == group.leader && term == group.term {
		return
	}
	group.monitor.eventLog.Event("primary_changed", "group", group.id, "from", group.leader, "from_term", group.term,
		"to", info.ID, "to_term", term, "position", observation.Received.Log, "fenced_term", group.fencedTerm(),
		"former_lease_ms", max(formerLease-clock.Now(), 0).Milliseconds())
	group.leader, group.term = info.ID, term
}

// noteCertainty logs when the primary becomes certain or uncertain, with the observation that caused it. The mutex must
// be held.
func (group *Group) noteCertainty(id ids.BackendServerID, observation leader.Observation) {
	now := clock.Now()
	certain := group.tracker.LeaseExpiry() > now
	if certain == group.certain {
		return
	}
	group.certain = certain
	group.monitor.eventLog.Event("primary_certainty", "group", group.id, "certain", certain, "primary", group.leader, "term", group.term,
		"server", id, "role", observation.Role, "server_term", observation.Term, "paused", observation.PausedTerm,
		"age_ms", (now - observation.SentAt).Milliseconds())
}

// setServers replaces the group's servers, which were read at the time or before, and returns the added and the removed ones.
func (group *Group) setServers(readAt time.Duration, registered []catalog.Server) (added, removed []*Server) {
	group.mutex.Lock()
	defer group.mutex.Unlock()
	next := make(map[ids.BackendServerID]*Server, len(registered))
	for _, info := range registered {
		if held, ok := group.servers[info.ID]; ok && held.Info().SameProcess(info) {
			held.register(info)
			next[info.ID] = held
			continue
		}
		server := group.monitor.newServer(group, info)
		next[info.ID] = server
		added = append(added, server)
	}
	for id, server := range group.servers {
		if next[id] != server {
			removed = append(removed, server)
		}
	}
	group.servers = next
	group.tracker.SetServers(readAt, registered)
	group.wake()
	return added, removed
}
