package monitor

import (
	"time"

	"dotterelgw/core/allot"
	"dotterelgw/core/catalog"
	"dotterelgw/core/member"
)

const (
	// reservedFraction is the fraction of a server's connections that no VM uses. Connections of VMs that lost power
	// stay open at the server for seconds, and the connections of restarted processes must fit beside them.
	reservedFraction = 0.5
	// defaultConnections is the number of connections to a server while the limit of its group is unknown.
	defaultConnections = 2
)

// allotment is how many of a server's connections this VM may use (own) and all VMs may use together (usable).
type allotment struct {
	own, usable int
	idleTimeout time.Duration
}

// allotmentOf returns this VM's allotment of the connections to the server.
func (monitor *Monitor) allotmentOf(server catalog.Server) allotment {
	monitor.mutex.Lock()
	current, vms := monitor.catalog, monitor.vms
	monitor.mutex.Unlock()
	usable := defaultConnections * len(vms)
	if current != nil && current.Groups[server.Group] != nil && current.Groups[server.Group].Connections > 0 {
		usable = int(float64(current.Groups[server.Group].Connections) * (1 - reservedFraction))
	}
	rank, _ := member.Rank("connections/"+string(server.ID), monitor.sharing.Self, vms)
	return allotment{
		own: max(1, allot.Divide(usable, max(1, len(vms)), rank)), usable: usable, idleTimeout: allot.IdleTimeout(usable, len(vms)),
	}
}

// updateAllotment recomputes this VM's allotment of the server's connections from the configuration and the list of VMs.
func (server *Server) updateAllotment() {
	allotment := server.group.monitor.allotmentOf(server.Info())
	server.chooseHomes(&allotment)
	server.mutex.Lock()
	server.allotment = allotment
	server.mutex.Unlock()
	server.Pool.SetIdleTimeout(allotment.idleTimeout)
	server.setLimit()
}

// setLimit limits the connections of this VM to its allotment plus what other VMs leave unused.
func (server *Server) setLimit() {
	server.mutex.Lock()
	limit := allot.ConnectionLimit(server.allotment.own, server.allotment.usable, server.connections)
	server.mutex.Unlock()
	server.Pool.SetLimit(limit)
}

func (monitor *Monitor) setLimits() {
	for _, group := range monitor.Groups() {
		for _, server := range group.Servers() {
			server.updateAllotment()
		}
	}
}
