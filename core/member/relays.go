package member

import (
	"slices"
	"time"

	"dotterelgw/core/ids"
)

const (
	// relaysPerZone is the number of VMs per availability zone that watch the key-value service while it answers them.
	relaysPerZone = 2
	// maxRelaysPerZone limits the VMs per availability zone that call the service while it answers none of them, so that an
	// outage does not make the whole fleet call it.
	maxRelaysPerZone = 4
	// substituteZones is the number of other availability zones in which a VM with an old confirmation queries a relay.
	substituteZones = 2
)

// Assign recomputes the VM's role and heartbeat partners from its current view; IsRelay, HeartbeatTargets and Silent return them.
func (view *View) Assign(now time.Duration) {
	view.indexHeartbeats(now)
	relays := view.relays(view.self.Zone, now)
	rank := slices.IndexFunc(relays, func(member Member) bool { return member.ID == view.self.ID })
	relay := rank >= 0
	if relay && !view.relay {
		view.relaySince = now
	}
	view.relay = relay
	switch {
	case view.IsMesh():
		relays = view.listed
	case relay:
		// A relay exchanges heartbeats with the relay of the same rank in every other zone. It watches the service itself,
		// and depends on the others for their zones' silent VMs and while the service does not answer its own zone.
		for zone := range view.zones {
			if others := view.relays(zone, now); zone != view.self.Zone && len(others) > 0 {
				relays = append(relays, others[min(rank, len(others)-1)])
			}
		}
	}
	view.partners = view.partners[:0]
	partnerSince := make(map[ids.VMID]time.Duration, len(relays))
	for _, member := range relays {
		if member.ID == view.self.ID {
			continue
		}
		view.partners = append(view.partners, member)
		since, ok := view.partnerSince[member.ID]
		if !ok {
			since = now
		}
		partnerSince[member.ID] = since
	}
	view.partnerSince = partnerSince
	view.updateSilent(now)
}

// IsRelay reports whether this VM watches the key-value service for its zone.
func (view *View) IsRelay() bool { return view.relay }

// HeartbeatTargets returns the VMs to which this one sends heartbeats. In a mesh these are all other VMs, silent ones included.
func (view *View) HeartbeatTargets() []Member { return slices.Clone(view.partners) }

// FallbackRelays returns one relay in each of two other zones, selected by this VM's identifier. A VM with an old confirmation
// queries them too, because the relays of its own zone may have failed together and their successors need HeartbeatTimeout
// to take over.
func (view *View) FallbackRelays(now time.Duration) []Member {
	var firstRelays []Member
	for zone := range view.zones {
		if zone != view.self.Zone {
			if relays := view.relays(zone, now); len(relays) > 0 {
				firstRelays = append(firstRelays, relays[0])
			}
		}
	}
	return Top("substitute/"+string(view.self.ID), substituteZones, firstRelays)
}

// Silent returns the listed VMs that this VM considers silent, which it reports in its heartbeats. It is empty unless the VM
// is a relay in a fleet larger than a mesh.
func (view *View) Silent() []ids.VMID { return view.silent }

func (view *View) updateSilent(now time.Duration) {
	view.silent = nil
	if view.IsMesh() || !view.relay {
		return
	}
	for _, member := range view.listed {
		if !view.alive(member, now) {
			view.silent = append(view.silent, member.ID)
		}
	}
}

// relays returns the zone's relays: the first VMs in rendezvous order, until relaysPerZone of them reach the service, and
// at most maxRelaysPerZone. VMs that are leaving are relays only if the zone has no others.
func (view *View) relays(zone ids.AvailabilityZone, now time.Duration) []Member {
	var staying, leaving []Member
	for _, member := range view.zones[zone] {
		if !view.alive(member, now) {
			continue
		}
		heartbeat, ok := view.LastHeartbeat(member.ID, now)
		if member.Leaving || ok && heartbeat.State == Leaving || member.ID == view.self.ID && view.state == Leaving {
			leaving = append(leaving, member)
		} else {
			staying = append(staying, member)
		}
	}
	if len(staying) == 0 {
		staying = leaving
	}
	ranked := Top("relay/"+string(zone), maxRelaysPerZone, staying)
	reaching := 0
	for i, member := range ranked {
		heartbeat, ok := view.LastHeartbeat(member.ID, now)
		if ok && heartbeat.Reachable || member.ID == view.self.ID && view.reachable {
			reaching++
		}
		if reaching == relaysPerZone {
			return ranked[:i+1]
		}
	}
	return ranked
}
