package member

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"dotterelgw/core/ids"
)

// SilentAfter is the age of the last heartbeat above which a VM is excluded from duties.
const SilentAfter = 2 * time.Second

// MeshSize is the largest fleet in which every VM exchanges heartbeats with every other.
const MeshSize = 16

// State is the state that a VM reports of itself.
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

// Heard is what a heartbeat says about its sender.
type Heard struct {
	// Member describes the sender.
	Member Member
	// State is the sender's state.
	State State
	// Reachable states that the key-value service answers the sender.
	Reachable bool
	// Silent names the VMs that the sender, as a relay, excludes.
	Silent []ids.VMID
}

// View is the membership view of one VM. It is not safe for concurrent use.
type View struct {
	self   Member
	start  time.Duration
	listed []Member
	zones  map[ids.AvailabilityZone][]Member // listed, by zone
	heard  map[ids.VMID]heard
	asked  map[ids.VMID]time.Duration // since when the VM has been a partner without a break
	state  State
	// reachable states that the service answers this VM.
	reachable  bool
	relay      bool
	relaySince time.Duration
	partners   []Member
	silent     []ids.VMID
	// reporters holds the fresh heartbeats by the sender's zone, as of the last call of gather.
	reporters map[ids.AvailabilityZone][]heard
}

type heard struct {
	Heard
	at time.Duration
}

// NewView returns the view of a VM that started at the given time and knows only itself.
func NewView(self Member, start time.Duration) *View {
	return &View{
		self: self, start: start, listed: []Member{self},
		zones: map[ids.AvailabilityZone][]Member{self.Zone: {self}},
		heard: map[ids.VMID]heard{}, asked: map[ids.VMID]time.Duration{},
	}
}

// SetList replaces the VM list; the own VM stays a member even if a lagging list lacks it.
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
	maps.DeleteFunc(view.heard, func(id ids.VMID, _ heard) bool { return !known[id] })
	maps.DeleteFunc(view.asked, func(id ids.VMID, _ time.Duration) bool { return !known[id] })
}

// SetSelf sets what the VM knows of itself.
func (view *View) SetSelf(state State, reachable bool) { view.state, view.reachable = state, reachable }

// Hear records a heartbeat received at the given time, and returns whether it may change the live members.
func (view *View) Hear(said Heard, now time.Duration) bool {
	if said.Member.ID == view.self.ID {
		return false
	}
	before, fresh := view.Heard(said.Member.ID, now)
	view.heard[said.Member.ID] = heard{Heard: said, at: now}
	return !fresh || before.State != said.State
}

// Listed returns the VMs of the list, this one included, sorted by id.
func (view *View) Listed() []Member { return slices.Clone(view.listed) }

// Heard returns what the VM's last heartbeat said if it is fresh.
func (view *View) Heard(id ids.VMID, now time.Duration) (Heard, bool) {
	known, ok := view.heard[id]
	return known.Heard, ok && now-known.at <= SilentAfter
}

// PlatformHeard states whether this VM has heard, within the window, of any VM that the service answers.
func (view *View) PlatformHeard(now, window time.Duration) bool {
	for _, said := range view.heard {
		if said.Reachable && now-said.at <= window {
			return true
		}
	}
	return false
}

// Members returns the VMs that may have duties, this one included while it is live, sorted by id.
func (view *View) Members(now time.Duration) []Member {
	view.gather(now)
	var members []Member
	for _, member := range view.listed {
		state := Live
		if member.ID == view.self.ID {
			state = view.state
		} else if said, ok := view.Heard(member.ID, now); ok {
			state = said.State
		} else if view.Mesh() || !view.alive(member, now) {
			continue
		}
		if state == Live && !member.Leaving {
			members = append(members, member)
		}
	}
	return members
}

// Mesh states that the fleet is small enough for every VM to exchange with every other.
func (view *View) Mesh() bool { return len(view.listed) <= MeshSize }

// alive states whether the VM takes part in the fleet in any state. In a mesh only heartbeats count, after a grace
// period at the start. In a larger fleet the relays' lists of silent VMs stand in for VMs that this one does not
// exchange with.
func (view *View) alive(member Member, now time.Duration) bool {
	if member.ID == view.self.ID {
		return true
	}
	if _, ok := view.Heard(member.ID, now); ok {
		return true
	}
	if now-view.start <= SilentAfter {
		return true
	}
	if view.Mesh() {
		return false
	}
	if view.relay && member.Zone == view.self.Zone {
		// The VMs of the zone need up to SilentAfter to notice that the relay before this one is gone.
		return now-view.relaySince <= 2*SilentAfter
	}
	if reports, named := view.reports(member); reports > 0 {
		return named < reports
	}
	since, ok := view.asked[member.ID]
	return !ok || now-since <= SilentAfter
}

// reports counts the fresh heartbeats of relays that speak for the member's zone, and those that name it silent. To a
// relay only the member's own zone speaks; other VMs take the word of their own zone's relays.
func (view *View) reports(member Member) (reports, named int) {
	zone := view.self.Zone
	if view.relay {
		zone = member.Zone
	}
	for _, said := range view.reporters[zone] {
		reports++
		if slices.Contains(said.Silent, member.ID) {
			named++
		}
	}
	return reports, named
}

// gather collects the fresh heartbeats by zone, which a mesh does not need.
func (view *View) gather(now time.Duration) {
	view.reporters = nil
	if view.Mesh() {
		return
	}
	view.reporters = make(map[ids.AvailabilityZone][]heard, len(view.zones))
	for _, said := range view.heard {
		if now-said.at <= SilentAfter {
			view.reporters[said.Member.Zone] = append(view.reporters[said.Member.Zone], said)
		}
	}
}
