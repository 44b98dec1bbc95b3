package zonebalance

import (
	"time"

	"dotterelgw/core/ids"
)

const (
	// usableLoad is the fraction of a zone's slots that reads of other zones may fill; the rest is left for the zone's own callers.
	usableLoad = 0.75
	// primaryFactor multiplies the expected time of a read on the primary, to leave its slots to writes, which only it can run.
	primaryFactor = 1.4
)

// Server is what a VM knows of a server that may run reads.
type Server struct {
	// Zone is the availability zone of the server.
	Zone ids.AvailabilityZone
	// Primary reports whether the server is the primary of its group.
	Primary bool
	// Slots is the number of statements that the server runs concurrently.
	Slots int
	// Busy is the number of statements of all VMs that run or wait on the server.
	Busy float64
	// Latency is the response time of one statement as this VM sees it, which includes the round trip. It is 0 if there are no recent
	// statements.
	Latency time.Duration
	// ObservedAt is the time of the observation of Busy.
	ObservedAt time.Duration
}

// estimate is what reads can expect of one availability zone.
type estimate struct {
	zone ids.AvailabilityZone
	// expected is the expected time of a read on the best server of the zone.
	expected time.Duration
	// room is the number of statements that the zone can run for other zones.
	room float64
	// busy is the number of statements that run or wait on the servers of the zone.
	busy float64
	// observedAt is the time of the oldest observation.
	observedAt time.Duration
}

// expected returns the expected time of a read on the server, including the wait behind the statements that fill its slots. A server
// without recent statements is expected to be as fast as the group usually is.
func (server Server) expected(usual time.Duration) time.Duration {
	latency := server.Latency
	if latency == 0 {
		latency = usual
	}
	slots := float64(max(server.Slots, 1))
	queued := max(server.Busy+1-slots, 0)
	expected := float64(latency) * (1 + queued/slots)
	if server.Primary {
		expected *= primaryFactor
	}
	return time.Duration(expected)
}

// estimates returns the estimate of each availability zone that has servers, in the order of the servers.
func estimates(servers []Server, usual time.Duration) []estimate {
	var zones []estimate
	for _, server := range servers {
		index := indexOf(zones, server.Zone)
		if index < 0 {
			index = len(zones)
			zones = append(zones, estimate{zone: server.Zone, expected: server.expected(usual), observedAt: server.ObservedAt})
		}
		zone := &zones[index]
		zone.expected = min(zone.expected, server.expected(usual))
		zone.busy += server.Busy
		zone.observedAt = min(zone.observedAt, server.ObservedAt)
		if !server.Primary {
			zone.room += max(usableLoad*float64(server.Slots)-server.Busy, 0)
		}
	}
	return zones
}

// indexOf returns the index of the zone's estimate, or -1.
func indexOf(zones []estimate, zone ids.AvailabilityZone) int {
	for index := range zones {
		if zones[index].zone == zone {
			return index
		}
	}
	return -1
}
