package monitor

import (
	"math/rand/v2"
	"time"

	"github.com/rcrowley/go-metrics"

	"dotterelgw/core/balance"
	"dotterelgw/core/evacuation"
	"dotterelgw/core/ids"
	"dotterelgw/core/position"
	"dotterelgw/core/zonebalance"
)

const (
	// readBytes is the assumed size in bytes of a read with its answer.
	readBytes = 700
	// recentSample is the age up to which a response time tells how fast a server is now.
	recentSample = 3 * time.Second
)

// BalanceZones has reads of groups whose servers take fewer connections than there are VMs stay within the availability zone unless leaving
// it pays. It must be called before the first SetServers.
func (monitor *Monitor) BalanceZones(policy zonebalance.Policy, registry metrics.Registry) {
	monitor.zonePolicy, monitor.registry = &policy, registry
}

// chooseByZone returns the index of the server for a read, given the zone that the group's balancer chooses for it. It returns -1 if reads of
// the group are not balanced by zone, or if no server of the zone can serve the read.
func (group *Group) chooseByZone(now time.Duration, required position.Position, age time.Duration, servers []*Server, candidates []balance.Candidate) int {
	if group.monitor.zonePolicy == nil || len(servers) == 0 || len(servers[0].rankedHomes()) == 0 {
		return -1
	}
	zone := group.zoneOfRead(now)
	inZone := make([]balance.Candidate, 0, len(candidates))
	indexes := make([]int, 0, len(candidates))
	for index, server := range servers {
		if server.Info().Zone == zone {
			inZone, indexes = append(inZone, candidates[index]), append(indexes, index)
		}
	}
	chosen := balance.Choose(inZone, required, age)
	if chosen < 0 {
		return -1
	}
	group.countRead(zone)
	return indexes[chosen]
}

// zoneOfRead returns the availability zone for the next read.
func (group *Group) zoneOfRead(now time.Duration) ids.AvailabilityZone {
	if group.zoneBalanceDue(now) {
		group.balanceZones(now)
	}
	group.mutex.Lock()
	defer group.mutex.Unlock()
	return group.zones.Choose(rand.Float64())
}

// zoneBalanceDue reports whether the parts of the availability zones are to be adapted.
func (group *Group) zoneBalanceDue(now time.Duration) bool {
	group.mutex.Lock()
	defer group.mutex.Unlock()
	if group.zones == nil {
		group.zones = zonebalance.New(*group.monitor.zonePolicy, group.monitor.zone)
	}
	return group.zones.IsDue(now)
}

// balanceZones adapts the parts of the availability zones to the servers that run reads. Conditions of a single read don't count, since the
// parts are those of all reads.
func (group *Group) balanceZones(now time.Duration) {
	primary, _, _ := group.Primary()
	var loads []zonebalance.Server
	for _, server := range group.Servers() {
		if server.runsReads() && !server.isAvoided(now) {
			loads = append(loads, server.zoneLoad(now, server == primary))
		}
	}
	group.mutex.Lock()
	defer group.mutex.Unlock()
	if group.zones.Update(now, loads, readBytes) {
		group.monitor.eventLog.LimitedEvent("zone_shares", "group", group.id, "shares", group.zones.String())
	}
}

// runsReads reports whether the server accepts reads.
func (server *Server) runsReads() bool { return server.obstacle() == "" }

// isAvoided reports whether reads take the server only if no other can run them: its availability zone is being evacuated, or it is cold.
func (server *Server) isAvoided(now time.Duration) bool {
	monitor := server.group.monitor
	return server.evacuationPhase() == evacuation.Leaving || monitor.coldRate(server.group.id) > 0 && server.isMaybeCold(now)
}

// zoneLoad describes the server for the balance between zones.
func (server *Server) zoneLoad(now time.Duration, primary bool) zonebalance.Server {
	info := server.Info()
	server.mutex.Lock()
	defer server.mutex.Unlock()
	load := zonebalance.Server{Zone: info.Zone, Primary: primary, Slots: info.Slots, Busy: float64(server.busy), ObservedAt: server.seenAt}
	if server.latency.Age(now) <= recentSample {
		load.Latency = server.latency.Estimate(now)
	}
	return load
}

// countRead counts a read by the zones of the VM and of the server.
func (group *Group) countRead(zone ids.AvailabilityZone) {
	metrics.GetOrRegisterCounter("reads_by_zone."+string(group.monitor.zone)+"."+string(zone), group.monitor.registry).Inc(1)
}
