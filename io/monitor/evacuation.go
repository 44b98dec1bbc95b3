package monitor

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"dotterelgw/core/evacuation"
	"dotterelgw/core/ids"
	"dotterelgw/io/clock"
)

// SetEvacuated sets the availability zones that are evacuated or return. Servers of a zone are closed to callers when its time limit ends.
func (monitor *Monitor) SetEvacuated(zones evacuation.Zones) {
	monitor.evacuated.Store(&zones)
	monitor.applyEvacuations()
	now := clock.Now()
	for _, state := range zones {
		if left := state.ClosesAt - now; !state.Withdrawn && left > 0 {
			time.AfterFunc(left, monitor.applyEvacuations)
		}
	}
}

// evacuations returns the availability zones that are evacuated or return.
func (monitor *Monitor) evacuations() evacuation.Zones {
	if zones := monitor.evacuated.Load(); zones != nil {
		return *zones
	}
	return nil
}

// applyEvacuations closes the servers of closed zones to callers, opens the others, and wakes those who wait for a server.
func (monitor *Monitor) applyEvacuations() {
	changes := make(map[zoneChange]zoneUse)
	for _, group := range monitor.Groups() {
		for _, server := range group.Servers() {
			inUse := server.Pool.InUse()
			if closed, changed := server.applyEvacuation(); changed {
				change := zoneChange{zone: server.Info().Zone, closed: closed}
				use := changes[change]
				changes[change] = zoneUse{servers: use.servers + 1, connections: use.connections + inUse}
			}
		}
		group.notify()
	}
	for change, use := range changes {
		monitor.eventLog.Event("zone_closed", "availability_zone", change.zone, "closed", change.closed, "servers", use.servers,
			"connections_in_use", use.connections)
	}
}

// zoneChange identifies the change of the servers of an availability zone, for the log.
type zoneChange struct {
	zone   ids.AvailabilityZone
	closed bool
}

// zoneUse counts the servers of a zone and the connections that were in use.
type zoneUse struct {
	servers, connections int
}

// applyEvacuation closes the server to callers, or opens it, and reports whether that is a change.
func (server *Server) applyEvacuation() (closed, changed bool) {
	monitor := server.group.monitor
	monitor.closing.Lock()
	defer monitor.closing.Unlock()
	closed = server.Closed()
	server.Pool.Suspend(closed)
	changed = closed != server.closed
	server.closed = closed
	return closed, changed
}

// evacuationPhase returns the phase of the evacuation of the server's availability zone.
func (server *Server) evacuationPhase() evacuation.Phase {
	zones := server.group.monitor.evacuations()
	if len(zones) == 0 {
		return evacuation.Open
	}
	return zones.Phase(server.Info().Zone, clock.Now())
}

// Closed reports whether nothing of callers may be sent to the server, since its availability zone is evacuated.
func (server *Server) Closed() bool { return server.evacuationPhase() == evacuation.Closed }

// EvacuationRequested reports whether the operator has the availability zone of the server evacuated.
func (server *Server) EvacuationRequested() bool {
	return server.group.monitor.evacuations().IsRequested(server.Info().Zone)
}

// ClosesAt returns the time at which the server is or was closed to callers, false if its evacuation is not requested.
func (server *Server) ClosesAt() (time.Duration, bool) {
	state, ok := server.group.monitor.evacuations()[server.Info().Zone]
	return state.ClosesAt, ok && !state.Withdrawn
}

// closedFor returns the time for which the server has been closed to callers, 0 if it isn't.
func (server *Server) closedFor() time.Duration {
	if !server.Closed() {
		return 0
	}
	return clock.Now() - server.group.monitor.evacuations()[server.Info().Zone].ClosesAt
}

// EvacuationEstimate returns the time until the group is expected to have a primary outside of closed zones.
func (group *Group) EvacuationEstimate() time.Duration {
	return group.recoveryEstimate(func(server *Server) time.Duration { return max(server.SilentFor(), server.closedFor()) })
}

// EntirelyClosed reports whether all servers of the group are closed to callers.
func (group *Group) EntirelyClosed() bool {
	if len(group.monitor.evacuations()) == 0 {
		return false
	}
	servers := group.Servers()
	for _, server := range servers {
		if !server.Closed() {
			return false
		}
	}
	return len(servers) > 0
}

// RegisterEvacuationMetrics registers gauges that show what is still to be evacuated.
func (monitor *Monitor) RegisterEvacuationMetrics(registry metrics.Registry) {
	metrics.NewRegisteredFunctionalGauge("zones_evacuated", registry, func() int64 { return int64(monitor.evacuations().Requested()) })
	metrics.NewRegisteredFunctionalGauge("evacuated_primaries", registry, func() int64 {
		return monitor.countEvacuated(func(group *Group, server *Server) int {
			if primary, _, known := group.Primary(); known && primary == server {
				return 1
			}
			return 0
		})
	})
	metrics.NewRegisteredFunctionalGauge("evacuated_connections_in_use", registry, func() int64 {
		return monitor.countEvacuated(func(_ *Group, server *Server) int { return server.Pool.InUse() })
	})
}

// countEvacuated adds up what count returns for the servers whose evacuation is requested.
func (monitor *Monitor) countEvacuated(count func(*Group, *Server) int) (sum int64) {
	for _, group := range monitor.Groups() {
		for _, server := range group.Servers() {
			if server.EvacuationRequested() {
				sum += int64(count(group, server))
			}
		}
	}
	return sum
}
