package member

import (
	"slices"
	"time"

	"dotterelgw/core/ids"
)

const (
	// relaysPerZone is the number of VMs per zone that watch the service while it answers them.
	relaysPerZone = 2
	// triedPerZone bounds the VMs per zone that try the service while it answers none of them, so that an outage does
	// not make the whole fleet call it.
	triedPerZone = 4
	// substitutes is the number of relays of other zones that a VM with an old confirmation asks.
	substitutes = 2
)

// Assign computes the VM's duties from its present view; IsRelay, Partners and Silent return the result.
func (view *View) Assign(now time.Duration) {
	view.gather(now)
	relays := view.relays(view.self.Zone, now)
	rank := slices.IndexFunc(relays, func(member Member) bool { return member.ID == view.self.ID })
	relay := rank >= 0
	if relay && !view.relay {
		view.relaySince = now
	}
	view.relay = relay
	switch {
	case view.Mesh():
		relays = view.listed
	case relay:
		// Relays pair up by rank: each watches the service itself, and needs the others for their zones' silent VMs and
		// while the service does not answer its own zone.
		for zone := range view.zones {
			if others := view.relays(zone, now); zone != view.self.Zone && len(others) > 0 {
				relays = append(relays, others[min(rank, len(others)-1)])
			}
		}
	}
	view.partners = view.partners[:0]
	asked := make(map[ids.VMID]time.Duration, len(relays))
	for _, member := range relays {
		if member.ID == view.self.ID {
			continue
		}
		view.partners = append(view.partners, member)
		since, ok := view.asked[member.ID]
		if !ok {
			since = now
		}
		asked[member.ID] = since
	}
	view.asked = asked
	view.findSilent(now)
}

// IsRelay states whether this VM watches the service for its zone.
func (view *View) IsRelay() bool { return view.relay }

// Partners returns the VMs to which this one sends heartbeats; silent VMs of a mesh are included.
func (view *View) Partners() []Member { return slices.Clone(view.partners) }

// Substitutes returns relays of two other zones, chosen by this VM's id. A VM whose confirmation has grown old asks
// them as well, since the relays of its own zone may have failed together and their successors need SilentAfter to
// take over.
func (view *View) Substitutes(now time.Duration) []Member {
	var first []Member
	for zone := range view.zones {
		if zone != view.self.Zone {
			if relays := view.relays(zone, now); len(relays) > 0 {
				first = append(first, relays[0])
			}
		}
	}
	return Top("substitute/"+string(view.self.ID), substitutes, first)
}

// Silent names the listed VMs that this VM excludes, for its heartbeats; it is empty unless the VM is a relay of a
// fleet larger than a mesh.
func (view *View) Silent() []ids.VMID { return view.silent }

func (view *View) findSilent(now time.Duration) {
	view.silent = nil
	if view.Mesh() || !view.relay {
		return
	}
	for _, member := range view.listed {
		if !view.alive(member, now) {
			view.silent = append(view.silent, member.ID)
		}
	}
}

// relays returns the zone's relays: by rendezvous hash the first VMs until relaysPerZone of them reach the service,
// at most triedPerZone. VMs that are leaving serve only if the zone has no others.
func (view *View) relays(zone ids.AvailabilityZone, now time.Duration) []Member {
	var staying, leaving []Member
	for _, member := range view.zones[zone] {
		if !view.alive(member, now) {
			continue
		}
		said, ok := view.Heard(member.ID, now)
		if member.Leaving || ok && said.State == Leaving || member.ID == view.self.ID && view.state == Leaving {
			leaving = append(leaving, member)
		} else {
			staying = append(staying, member)
		}
	}
	if len(staying) == 0 {
		staying = leaving
	}
	ranked := Top("relay/"+string(zone), triedPerZone, staying)
	reached := 0
	for i, member := range ranked {
		said, ok := view.Heard(member.ID, now)
		if ok && said.Reachable || member.ID == view.self.ID && view.reachable {
			reached++
		}
		if reached == relaysPerZone {
			return ranked[:i+1]
		}
	}
	return ranked
}
