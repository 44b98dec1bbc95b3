package monitor

import (
	"time"

	"dotterelgw/core/ids"
	"dotterelgw/io/clock"
)

// suspectedColdTime is how long a server that responds again is avoided by reads where cold servers are limited: it may have restarted, and
// its registration, with a heartbeat every 1.2 s, arrives up to 3 s later.
const suspectedColdTime = 3 * time.Second

// LimitCold makes reads avoid servers that are cold.
func (monitor *Monitor) LimitCold() { monitor.limitsCold = true }

// ColdServers returns the rates, in statements per second, of the servers that are cold and take a limited rate.
func (monitor *Monitor) ColdServers() map[ids.BackendServerID]float64 {
	cold := make(map[ids.BackendServerID]float64)
	for _, group := range monitor.Groups() {
		rate := monitor.coldRate(group.id)
		if rate == 0 {
			continue
		}
		for _, server := range group.Servers() {
			if server.IsCold() {
				cold[server.ID()] = rate
			}
		}
	}
	return cold
}

// coldRate returns the rate of cold servers of the group, 0 if they have no limit.
func (monitor *Monitor) coldRate(group ids.GroupID) float64 {
	if !monitor.limitsCold {
		return 0
	}
	monitor.mutex.Lock()
	defer monitor.mutex.Unlock()
	if monitor.catalog == nil || monitor.catalog.Groups[group] == nil {
		return 0
	}
	return monitor.catalog.Groups[group].ColdRate
}

// IsCold reports whether the server is cold by its registration.
func (server *Server) IsCold() bool {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	return server.warming.IsCold(clock.Now())
}

// isMaybeCold reports whether the server is cold by its registration, or may have restarted since.
func (server *Server) isMaybeCold(now time.Duration) bool {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	return server.warming.IsCold(now) || server.regainedAt > 0 && now-server.regainedAt < suspectedColdTime
}
