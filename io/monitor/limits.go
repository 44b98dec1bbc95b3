package monitor

import (
	"slices"
	"time"

	"dotterelgw/core/allot"
	"dotterelgw/core/catalog"
	"dotterelgw/core/ids"
	"dotterelgw/core/member"
)

const (
	// reservedPart is the part of a server's connections that no VM uses: connections of VMs that lost power stay open for
	// seconds at the server, beside which those of the next processes must fit.
	reservedPart = 0.5
	// defaultConnections is the number of connections to a server while its group's bound is not known.
	defaultConnections = 2
)

// usable returns the number of connections to each server of the group for all VMs together, and the VMs. The mutex is held.
func (monitor *Monitor) usable(group ids.GroupID) (connections int, vms []member.Member) {
	if monitor.catalog == nil || monitor.catalog.Groups[group] == nil || monitor.catalog.Groups[group].Connections == 0 {
		return defaultConnections * len(monitor.vms), monitor.vms
	}
	return int(float64(monitor.catalog.Groups[group].Connections) * (1 - reservedPart)), monitor.vms
}

// limit returns the number of connections that this VM may have to the server, of which all VMs have the total, and how long it
// keeps idle ones; 0 means for ever.
func (monitor *Monitor) limit(server catalog.Server, total int) (limit int, keep time.Duration) {
	monitor.mutex.Lock()
	usable, vms := monitor.usable(server.Group)
	monitor.mutex.Unlock()
	ranked := member.Top("connections/"+string(server.ID), len(vms), vms)
	rank := slices.IndexFunc(ranked, func(vm member.Member) bool { return vm.ID == monitor.self })
	part := max(1, allot.Divide(usable, max(1, len(vms)), max(0, rank)))
	return allot.Demand(part, usable, total), allot.Keep(usable, len(vms))
}

func (monitor *Monitor) setLimits() {
	for _, group := range monitor.Groups() {
		for _, server := range group.Servers() {
			server.setLimit()
		}
	}
}
