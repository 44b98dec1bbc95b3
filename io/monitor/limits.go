package monitor

import (
	"time"

	"dotterelgw/core/allot"
	"dotterelgw/core/catalog"
	"dotterelgw/core/member"
)

const (
	// reservedPart is the part of a server's connections that no VM uses: connections of VMs that lost power stay open for
	// seconds at the server, beside which those of the next processes must fit.
	reservedPart = 0.5
	// defaultConnections is the number of connections to a server while its group's bound is not known.
	defaultConnections = 2
)

// part is what this VM may use of a server's connections, and what all VMs may.
type part struct {
	own, usable int
	keep        time.Duration
}

// partOf returns this VM's part of the connections to the server.
func (monitor *Monitor) partOf(server catalog.Server) part {
	monitor.mutex.Lock()
	current, vms := monitor.catalog, monitor.vms
	monitor.mutex.Unlock()
	usable := defaultConnections * len(vms)
	if current != nil && current.Groups[server.Group] != nil && current.Groups[server.Group].Connections > 0 {
		usable = int(float64(current.Groups[server.Group].Connections) * (1 - reservedPart))
	}
	rank, _ := member.Rank("connections/"+string(server.ID), monitor.sharing.Self, vms)
	return part{
		own: max(1, allot.Divide(usable, max(1, len(vms)), rank)), usable: usable, keep: allot.Keep(usable, len(vms)),
	}
}

// setPart takes this VM's part of the server's connections from the configuration and the VMs.
func (server *Server) setPart() {
	part := server.group.monitor.partOf(server.Info())
	server.mutex.Lock()
	server.part = part
	server.mutex.Unlock()
	server.Pool.SetKeep(part.keep)
	server.setLimit()
}

// setLimit bounds the connections of this VM by its part and by what the other VMs leave unused.
func (server *Server) setLimit() {
	server.mutex.Lock()
	limit := allot.Demand(server.part.own, server.part.usable, server.connections)
	server.mutex.Unlock()
	server.Pool.SetLimit(limit)
}

func (monitor *Monitor) setLimits() {
	for _, group := range monitor.Groups() {
		for _, server := range group.Servers() {
			server.setPart()
		}
	}
}
