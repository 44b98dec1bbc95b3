package zonebalance

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"dotterelgw/core/ids"
)

const (
	// StepInterval is the time between two changes of the part that leaves. It is longer than the observations are apart, so that
	// each step shows in the next one.
	StepInterval = 400 * time.Millisecond
	// step is the usual change of the part that leaves in one interval, and maxStep the largest one, for a gain far above the required one.
	step    = 0.1
	maxStep = 0.4
	// minGain is the time that a read has to gain by leaving before more of them leave.
	minGain = 3 * time.Millisecond
	// minRelativeGain is the same as a fraction of the time within the zone. Statements differ, so smaller gains are noise.
	minRelativeGain = 0.3
	// keepFraction is the fraction of the required gain below which fewer reads leave; in between, the part stays.
	keepFraction = 0.4
	// maxRoomShare is the fraction of the room in other zones that one zone fills, since others may do the same at the same time.
	maxRoomShare = 0.5
	// minPart is the part below which none leaves.
	minPart = 0.02
	// staleAfter is the age of an observation from which on the part stays as it is.
	staleAfter = 2 * time.Second
	// uselessAfter is the age of an observation from which on reads stay within the zone.
	uselessAfter = 6 * time.Second
	// usualWeight is the weight of the present response times in the usual one, which thus follows within some ten seconds.
	usualWeight = 0.05
	// latencyWeight is the weight of the latest response time of a zone. Statements differ in length, and a single long one is no reason
	// to leave.
	latencyWeight = 0.4
)

// Policy weighs the time of callers against traffic between availability zones.
type Policy struct {
	// ByteCost is the time of a caller that a kilobyte sent to another zone is worth; with 0, only the time of callers counts.
	ByteCost time.Duration
}

// Share is the part of the reads that goes to an availability zone.
type Share struct {
	// Zone is the availability zone.
	Zone ids.AvailabilityZone
	// Part is between 0 and 1.
	Part float64
}

// Balancer decides for the reads of one group on the VMs of one availability zone. It is not safe for concurrent use.
type Balancer struct {
	policy Policy
	zone   ids.AvailabilityZone
	// shares holds the parts of the other zones; the rest stays.
	shares []Share
	// local reports whether the zone has servers of its own.
	local   bool
	stepped time.Duration
	// usual is the moving average of the response times of all servers of the group.
	usual time.Duration
	// latencies holds the moving averages of the response times by zone.
	latencies map[ids.AvailabilityZone]time.Duration
}

// New returns a balancer for the VMs of the zone, which keeps all reads there until the first Update.
func New(policy Policy, zone ids.AvailabilityZone) *Balancer {
	return &Balancer{policy: policy, zone: zone, local: true, latencies: make(map[ids.AvailabilityZone]time.Duration)}
}

// IsDue reports whether the next Update changes the parts.
func (balancer *Balancer) IsDue(now time.Duration) bool {
	return balancer.stepped == 0 || now-balancer.stepped >= StepInterval
}

// Update adapts the parts to the servers that may run reads now. ReadBytes is the mean size of a read with its answer. It reports whether
// a part has changed.
func (balancer *Balancer) Update(now time.Duration, servers []Server, readBytes int) bool {
	if !balancer.IsDue(now) {
		return false
	}
	balancer.stepped = now
	before := slices.Clone(balancer.shares)
	zones := estimates(balancer.smooth(servers), balancer.usual)
	own := indexOf(zones, balancer.zone)
	balancer.local = own >= 0
	others := slices.DeleteFunc(slices.Clone(zones), func(zone estimate) bool { return zone.zone == balancer.zone })
	if own < 0 {
		balancer.spread(others)
	} else {
		balancer.adapt(now, zones[own], others, readBytes)
	}
	return !slices.Equal(before, balancer.shares)
}

// smooth returns the servers with the moving averages of their response times, and updates the usual one.
func (balancer *Balancer) smooth(servers []Server) []Server {
	smoothed := slices.Clone(servers)
	for index := range smoothed {
		server := &smoothed[index]
		previous, known := balancer.latencies[server.Zone]
		switch {
		case server.Latency == 0:
			delete(balancer.latencies, server.Zone)
			continue
		case known:
			server.Latency = previous + time.Duration(latencyWeight*float64(server.Latency-previous))
		}
		balancer.latencies[server.Zone] = server.Latency
		if balancer.usual == 0 {
			balancer.usual = server.Latency
		}
		balancer.usual += time.Duration(usualWeight * float64(server.Latency-balancer.usual))
	}
	return smoothed
}

// spread divides all reads over the other zones by their room. Without room anywhere each gets the same part.
func (balancer *Balancer) spread(others []estimate) {
	total := 0.0
	for _, zone := range others {
		total += zone.room
	}
	target := make([]Share, 0, len(others))
	for _, zone := range others {
		part := 1 / float64(len(others))
		if total > 0 {
			part = zone.room / total
		}
		target = append(target, Share{Zone: zone.zone, Part: part})
	}
	if balancer.leaving() < minPart {
		balancer.shares = target
		return
	}
	balancer.moveTo(target)
	balancer.normalize()
}

// moveTo changes each part by at most one step towards the target. Zones that are not in the target get nothing at once.
func (balancer *Balancer) moveTo(target []Share) {
	for index := range target {
		previous := balancer.part(target[index].Zone)
		target[index].Part = previous + min(max(target[index].Part-previous, -step), step)
	}
	balancer.shares = target
}

// normalize scales the parts so that their sum is 1.
func (balancer *Balancer) normalize() {
	sum := balancer.leaving()
	for index := range balancer.shares {
		balancer.shares[index].Part /= sum
	}
}

// adapt changes the part that leaves a zone with servers of its own.
func (balancer *Balancer) adapt(now time.Duration, own estimate, others []estimate, readBytes int) {
	oldest := own.observedAt
	for _, zone := range others {
		oldest = min(oldest, zone.observedAt)
	}
	switch age := now - oldest; {
	case age > uselessAfter:
		balancer.shares = nil
		return
	case age > staleAfter:
		return
	}
	price := balancer.policy.ByteCost * time.Duration(readBytes) / 1024
	best, found := bestTarget(others)
	leaving := balancer.leaving()
	gain := own.expected - best.expected - price
	required := max(minGain, time.Duration(minRelativeGain*float64(own.expected)))
	switch {
	case !found:
		leaving /= 2
	case gain >= required:
		leaving = min(leaving+min(step*float64(gain)/float64(required), maxStep), balancer.limit(own, others))
	case gain < time.Duration(keepFraction*float64(required)):
		leaving -= step
	}
	if leaving < minPart {
		balancer.shares = nil
		return
	}
	balancer.divide(min(leaving, 1), others)
}

// bestTarget returns the zone with room that answers first; false if no zone has room.
func bestTarget(others []estimate) (best estimate, found bool) {
	for _, zone := range others {
		if zone.room > 0 && (!found || zone.expected < best.expected) {
			best, found = zone, true
		}
	}
	return best, found
}

// limit returns the largest part that other zones have room for. What already leaves fills some of their slots.
func (balancer *Balancer) limit(own estimate, others []estimate) float64 {
	room := 0.0
	for _, zone := range others {
		room += zone.room
	}
	leaving := balancer.leaving()
	return leaving + (1-leaving)*min(maxRoomShare*room/max(own.busy, 1), 1)
}

// divide gives the part that leaves to the zones with room, more to those that have more of it.
func (balancer *Balancer) divide(leaving float64, others []estimate) {
	total := 0.0
	for _, zone := range others {
		total += zone.room
	}
	if total == 0 {
		balancer.scaleTo(leaving, others)
		return
	}
	balancer.shares = balancer.shares[:0:0]
	for _, zone := range others {
		if part := leaving * zone.room / total; part > 0 {
			balancer.shares = append(balancer.shares, Share{Zone: zone.zone, Part: part})
		}
	}
}

// scaleTo scales the parts to the given sum and drops zones without servers or without a part.
func (balancer *Balancer) scaleTo(leaving float64, others []estimate) {
	balancer.shares = slices.DeleteFunc(balancer.shares, func(share Share) bool { return share.Part <= 0 || indexOf(others, share.Zone) < 0 })
	sum := balancer.leaving()
	for index := range balancer.shares {
		balancer.shares[index].Part *= leaving / sum
	}
}

// leaving returns the part of the reads that leaves the zone.
func (balancer *Balancer) leaving() float64 {
	sum := 0.0
	for _, share := range balancer.shares {
		sum += share.Part
	}
	return sum
}

// part returns the part of the reads that goes to the zone.
func (balancer *Balancer) part(zone ids.AvailabilityZone) float64 {
	for _, share := range balancer.shares {
		if share.Zone == zone {
			return share.Part
		}
	}
	return 0
}

// Choose returns the zone of a read for a draw between 0 and 1. A zone without servers of its own has every read leave.
func (balancer *Balancer) Choose(draw float64) ids.AvailabilityZone {
	for _, share := range balancer.shares {
		if draw < share.Part {
			return share.Zone
		}
		draw -= share.Part
	}
	if !balancer.local && len(balancer.shares) > 0 {
		return balancer.shares[len(balancer.shares)-1].Zone
	}
	return balancer.zone
}

// Shares returns the parts of the other zones, largest first.
func (balancer *Balancer) Shares() []Share {
	shares := slices.Clone(balancer.shares)
	slices.SortStableFunc(shares, func(one, other Share) int { return cmp.Compare(other.Part, one.Part) })
	return shares
}

// String returns the parts of the other zones for logs.
func (balancer *Balancer) String() string {
	var texts []string
	for _, share := range balancer.Shares() {
		texts = append(texts, fmt.Sprintf("%s:%.2f", share.Zone, share.Part))
	}
	return strings.Join(texts, ",")
}
