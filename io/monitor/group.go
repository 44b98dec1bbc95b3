package monitor

import (
	"sync"
	"time"

	"dotterelgw/core/balance"
	"dotterelgw/core/catalog"
	"dotterelgw/core/handover"
	"dotterelgw/core/ids"
	"dotterelgw/core/leader"
	"dotterelgw/core/position"
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
	// used tells of requests, usedSince is the time of the first one after a rest.
	used      demand
	usedSince time.Duration
	// observedFor and collectedFor tell of questions of other VMs to this one as an observer and as a collector.
	observedFor, collectedFor demand
	// acknowledged is the position of the last write that this VM acknowledged.
	acknowledged position.Position
	// fenced is the time at which the primary was last fenced.
	fenced time.Duration
	// promise is what this VM promised to the one that replaces the primary.
	promise handover.Promise
}

func newGroup(id ids.GroupID, monitor *Monitor) *Group {
	return &Group{
		id: id, monitor: monitor, tracker: leader.NewTracker(),
		servers: make(map[ids.BackendServerID]*Server), changed: make(chan struct{}),
		used: demand{memory: useMemory}, observedFor: demand{memory: othersMemory}, collectedFor: demand{memory: othersMemory},
	}
}

// ID returns the group's identifier.
func (group *Group) ID() ids.GroupID { return group.id }

// Use notes that there is a request for the group, whose state is asked for from now on.
func (group *Group) Use() {
	if now := clock.Now(); group.want(&group.used, now) {
		group.mutex.Lock()
		group.usedSince = now
		group.mutex.Unlock()
		group.Hurry()
	}
}

// observeForOthers notes that other VMs rely on this one to ask the servers of the group.
func (group *Group) observeForOthers() {
	if group.want(&group.observedFor, clock.Now()) {
		group.poll()
	}
}

// collectForOthers notes that other VMs ask this one for the state of the group.
func (group *Group) collectForOthers() {
	if group.want(&group.collectedFor, clock.Now()) {
		group.Hurry()
	}
}

// want notes a demand and states whether it is the first after a rest.
func (group *Group) want(demand *demand, now time.Duration) (first bool) {
	group.mutex.Lock()
	defer group.mutex.Unlock()
	return demand.note(now)
}

func (group *Group) wanted(demand *demand) bool {
	group.mutex.Lock()
	defer group.mutex.Unlock()
	return demand.recent(clock.Now())
}

// inUse states whether this VM has had requests for the group lately.
func (group *Group) inUse() bool { return group.wanted(&group.used) }

// observes states whether other VMs rely on this one to ask the servers of the group.
func (group *Group) observes() bool { return group.wanted(&group.observedFor) }

// collected states whether other VMs ask this one for the state of the group.
func (group *Group) collected() bool { return group.wanted(&group.collectedFor) }

// unknown states whether the group has come into use a moment ago and nothing is known of its primary.
func (group *Group) unknown() bool {
	group.mutex.Lock()
	defer group.mutex.Unlock()
	_, _, known := group.tracker.Leader()
	return !known && clock.Now()-group.usedSince < unknownPatience
}

// unknownPatience is the time after its first use in which the state of a group is asked for in short intervals.
const unknownPatience = time.Second

// Hurry has the state of all servers asked for soon, by the VM that observes the group or by this one.
func (group *Group) Hurry() {
	if group.observes() {
		group.poll()
	}
	select {
	case group.monitor.hurry <- struct{}{}:
	default:
	}
}

// poll has this VM ask all servers at once.
func (group *Group) poll() {
	for _, server := range group.Servers() {
		server.Suspect()
	}
}

// server returns the server with the identifier, nil for none.
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

// wake tells those who wait. The mutex is held.
func (group *Group) wake() {
	close(group.changed)
	group.changed = make(chan struct{})
}

// Leader returns the primary if it is known and takes work.
func (group *Group) Leader() (server *Server, term ids.Term, ok bool) {
	group.mutex.Lock()
	defer group.mutex.Unlock()
	info, term, ok := group.tracker.Leader()
	if !ok {
		return nil, 0, false
	}
	server, ok = group.servers[info.ID]
	return server, term, ok
}

// ExpectedBack returns the time after which the group is expected to have a primary that takes work.
func (group *Group) ExpectedBack() time.Duration {
	var silent time.Duration
	if leader, _, known := group.Leader(); known {
		silent = leader.SilentFor()
	}
	group.mutex.Lock()
	defer group.mutex.Unlock()
	return handover.ExpectedBack(handover.Signs{
		SilentFor: silent, SinceFence: clock.Now() - group.fenced, ServiceAge: group.monitor.serviceAge(),
	})
}

// CertainUntil returns the time up to which the primary is the only server that can have acknowledged writes.
func (group *Group) CertainUntil() time.Duration {
	group.mutex.Lock()
	defer group.mutex.Unlock()
	return group.tracker.CertainUntil()
}

// Floor returns a position that covers every write acknowledged before the time.
func (group *Group) Floor(before time.Duration) (position.Position, bool) {
	group.mutex.Lock()
	defer group.mutex.Unlock()
	return group.tracker.Floor(before)
}

// lag returns how far a server was behind the primary when reads on it saw the position.
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

// Observed returns what was last seen of the server.
func (group *Group) Observed(id ids.BackendServerID) (leader.Observation, bool) {
	group.mutex.Lock()
	defer group.mutex.Unlock()
	return group.tracker.Observed(id)
}

// ReadRequest says what a read needs of its server.
type ReadRequest struct {
	// Organisation is whose read it is.
	Organisation ids.OrganisationID
	// Position is what the server's log must hold; the zero value asks for none.
	Position position.Position
	// Age is the time since the primary was at Position.
	Age time.Duration
	// Primary allows the primary to serve the read.
	Primary bool
	// Excluded holds servers that were tried.
	Excluded map[ids.BackendServerID]bool
}

// ChooseRead returns the server that is expected to answer the read first, nil if none can.
func (group *Group) ChooseRead(request ReadRequest) *Server {
	now := clock.Now()
	leaderServer, _, _ := group.Leader()
	var servers []*Server
	var candidates []balance.Candidate
	for _, server := range group.Servers() {
		isLeader := server == leaderServer
		if request.Excluded[server.ID()] || server.Info().Leaving || !server.Reachable() || isLeader && !request.Primary {
			continue
		}
		servers = append(servers, server)
		candidates = append(candidates, server.candidate(request.Organisation, isLeader, now))
	}
	if index := balance.Choose(candidates, request.Position, request.Age); index >= 0 {
		return servers[index]
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
	group.tracker.Observe(id, observation)
	group.noteLeader(observation)
	group.noteCertainty(id, observation)
	group.wake()
}

// noteLeader logs a change of the primary. The mutex is held.
func (group *Group) noteLeader(observation leader.Observation) {
	info, term, _ := group.tracker.Leader()
	if info.ID == group.leader && term == group.term {
		return
	}
	group.monitor.decisions.Event("primary_changed", "group", group.id, "from", group.leader, "from_term", group.term,
		"to", info.ID, "to_term", term, "position", observation.Received.Log)
	group.leader, group.term = info.ID, term
}

// noteCertainty logs when the primary becomes certain or uncertain, with the observation that decided it. The mutex is held.
func (group *Group) noteCertainty(id ids.BackendServerID, observation leader.Observation) {
	now := clock.Now()
	certain := group.tracker.CertainUntil() > now
	if certain == group.certain {
		return
	}
	group.certain = certain
	group.monitor.decisions.Event("primary_certainty", "group", group.id, "certain", certain, "primary", group.leader, "term", group.term,
		"server", id, "role", observation.Role, "server_term", observation.Term, "paused", observation.Paused,
		"age_ms", (now - observation.SentAt).Milliseconds())
}

// setServers replaces the group's servers and returns those that are new and those that are gone.
func (group *Group) setServers(registered []catalog.Server) (added, removed []*Server) {
	group.mutex.Lock()
	defer group.mutex.Unlock()
	next := make(map[ids.BackendServerID]*Server, len(registered))
	for _, info := range registered {
		if held, ok := group.servers[info.ID]; ok && held.Info().Same(info) {
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
	group.tracker.SetServers(registered)
	group.wake()
	return added, removed
}
