package member

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"dotterelgw/core/ids"
)

// HeartbeatTimeout is the age of the last heartbeat above which a VM is silent and excluded from duties.
const HeartbeatTimeout = 2 * time.Second

// MaxMeshVMs is the largest fleet in which every VM exchanges heartbeats with every other VM.
const MaxMeshVMs = 16

// State is the lifecycle state that a VM reports in its heartbeats.
type State int

// The states of a VM.
const (
	// Starting VMs have not confirmed their configuration since they started.
	Starting State = iota
	// Live VMs take part in duties and majorities.
	Live
	// Leaving VMs take no duties.
	Leaving
)

// Heartbeat is the content of a heartbeat.
type Heartbeat struct {
	// Member describes the sender.
	Member Member
	// State is the sender's state.
	State State
	// Reachable is set if the key-value service answers the sender.
	Reachable bool
	// Silent lists the VMs that the sender considers silent. Only relays report any.
	Silent []ids.VMID
}

// View is one VM's view of the fleet's membership. It is not safe for concurrent use.
type View struct {
	self         Member
	start        time.Duration
	listed       []Member
	zones        map[ids.AvailabilityZone][]Member // listed, by zone
	heartbeats   map[ids.VMID]receivedHeartbeat
	partnerSince map[ids.VMID]time.Duration // the time since which each partner has been one without interruption
	state        State
	// reachable is set if the key-value service answers this VM.
	reachable  bool
	relay      bool
	relaySince time.Duration
	partners   []Member
	silent     []ids.VMID
	// reporters holds the heartbeats younger than HeartbeatTimeout by the sender's zone, as of the last indexHeartbeats.
	reporters map[ids.AvailabilityZone][]receivedHeartbeat
}

type receivedHeartbeat struct {
	Heartbeat
	at time.Duration
}

// NewView returns the view of a VM that started at the given time and knows only itself.
func NewView(self Member, start time.Duration) *View {
	return &View{
		self: self, start: start, listed: []Member{self},
		zones:      map[ids.AvailabilityZone][]Member{self.Zone: {self}},
		heartbeats: map[ids.VMID]receivedHeartbeat{}, partnerSince: map[ids.VMID]time.Duration{},
	}
}

// SetList replaces the VM list. This VM stays a member even if an outdated list lacks it.
func (view *View) SetList(list []Member) {
	listed := slices.Clone(list)
	if !slices.ContainsFunc(listed, func(member Member) bool { return member.ID == view.self.ID }) {
		listed = append(listed, view.self)
	}
	slices.SortFunc(listed, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	view.listed = slices.CompactFunc(listed, func(a, b Member) bool { return a.ID == b.ID })
	known := make(map[ids.VMID]bool, len(view.listed))
	clear(view.zones)
	for _, member := range view.listed {
		known[member.ID] = true
		view.zones[member.Zone] = append(view.zones[member.Zone], member)
	}
	maps.DeleteFunc(view.heartbeats, func(id ids.VMID, _ receivedHeartbeat) bool { return !known[id] })
	maps.DeleteFunc(view.partnerSince, func(id ids.VMID, _ time.Duration) bool { return !known[id] })
}

// SetSelf sets this VM's state and whether the key-value service answers it.
func (view *View) SetSelf(state State, reachable bool) { view.state, view.reachable = state, reachable }

// RecordHeartbeat records a heartbeat received at the time now, and reports whether it may change the result of Members.
func (view *View) RecordHeartbeat(heartbeat Heartbeat, now time.Duration) bool {
	if heartbeat.Member.ID == view.self.ID {
		return false
	}
	before, fresh := view.LastHeartbeat(heartbeat.Member.ID, now)
	view.heartbeats[heartbeat.Member.ID] = receivedHeartbeat{Heartbeat: heartbeat, at: now}
	return !fresh || before.State != heartbeat.State
}

// Listed returns the VMs of the list, this one included, sorted by identifier.
func (view *View) Listed() []Member { return slices.Clone(view.listed) }

// LastHeartbeat returns the VM's last heartbeat, and whether it is no older than HeartbeatTimeout.
func (view *View) LastHeartbeat(id ids.VMID, now time.Duration) (Heartbeat, bool) {
	last, ok := view.heartbeats[id]
	return last.Heartbeat, ok && now-last.at <= HeartbeatTimeout
}

// PlatformHeard reports whether any heartbeat received within the window came from a VM that the key-value service answers.
func (view *View) PlatformHeard(now, window time.Duration) bool {
	for _, heartbeat := range view.heartbeats {
		if heartbeat.Reachable && now-heartbeat.at <= window {
			return true
		}
	}
	return false
}

// Members returns the VMs that take part in duties, sorted by identifier. It includes this VM while it is live.
func (view *View) Members(now time.Duration) []Member {
	view.indexHeartbeats(now)
	var members []Member
	for _, member := range view.listed {
		state := Live
		if member.ID == view.self.ID {
			state = view.state
		} else if heartbeat, ok := view.LastHeartbeat(member.ID, now); ok {
			state = heartbeat.State
		} else if view.IsMesh() || !view.alive(member, now) {
			continue
		}
		if state == Live && !member.Leaving {
			members = append(members, member)
		}
	}
	return members
}

// IsMesh reports whether the fleet is small enough for every VM to exchange heartbeats with every other VM.
func (view *View) IsMesh() bool { return len(view.listed) <= MaxMeshVMs }

// alive reports whether the VM is not silent, whatever its state. All VMs count as alive for HeartbeatTimeout after this
// VM's start. After that, a mesh goes by heartbeats alone. In a larger fleet, the relays' lists of silent VMs decide for VMs
// that do not send heartbeats to this one.
func (view *View) alive(member Member, now time.Duration) bool {
	if member.ID == view.self.ID {
		return true
	}
	if _, ok := view.LastHeartbeat(member.ID, now); ok {
		return true
	}
	if now-view.start <= HeartbeatTimeout {
		return true
	}
	if view.IsMesh() {
		return false
	}
	if view.relay && member.Zone == view.self.Zone {
		// The VMs of the zone need up to HeartbeatTimeout to detect that the previous relay failed.
		return now-view.relaySince <= 2*HeartbeatTimeout
	}
	if reports, named := view.reports(member); reports > 0 {
		return named < reports
	}
	since, ok := view.partnerSince[member.ID]
	return !ok || now-since <= HeartbeatTimeout
}

// reports counts the recent heartbeats that decide whether the member is silent, and how many of them name it silent. On a
// relay these are the heartbeats from the member's zone; on other VMs, those from the VM's own zone.
func (view *View) reports(member Member) (reports, named int) {
	zone := view.self.Zone
	if view.relay {
		zone = member.Zone
	}
	for _, heartbeat := range view.reporters[zone] {
		reports++
		if slices.Contains(heartbeat.Silent, member.ID) {
			named++
		}
	}
	return reports, named
}

// indexHeartbeats groups the heartbeats younger than HeartbeatTimeout by the sender's zone. A mesh does not need the index.
func (view *View) indexHeartbeats(now time.Duration) {
	view.reporters = nil
	if view.IsMesh() {
		return
	}
	view.reporters = make(map[ids.AvailabilityZone][]receivedHeartbeat, len(view.zones))
	for _, heartbeat := range view.heartbeats {
		if now-heartbeat.at <= HeartbeatTimeout {
			view.reporters[heartbeat.Member.Zone] = append(view.reporters[heartbeat.Member.Zone], heartbeat)
		}
	}
}
