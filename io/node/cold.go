package node

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"dotterelgw/core/catalog"
	"dotterelgw/core/coldstart"
	"dotterelgw/core/ids"
	"dotterelgw/core/limit"
)

// coldCheckInterval is the time between two checks whether servers have become warm.
const coldCheckInterval = 500 * time.Millisecond

// LimitsCold reports whether cold backend servers get a limited rate.
func (evacuation Evacuation) LimitsCold() bool { return evacuation.ColdOverage > 0 }

// tolerance returns what a cold server takes beyond its rate.
func (evacuation Evacuation) tolerance() coldstart.Tolerance {
	return coldstart.Tolerance{Overage: evacuation.ColdOverage, Slack: evacuation.ColdSlack}
}

// limitCold makes the monitor look for cold servers, and registers their number as a metric.
func (node *Node) limitCold(registry metrics.Registry) {
	node.monitor.LimitCold()
	metrics.NewRegisteredFunctionalGauge("servers_cold", registry, func() int64 { return int64(len(node.monitor.ColdServers())) })
}

// updateColdBudgets gives cold servers a budget, and takes it from those that have become warm.
func (node *Node) updateColdBudgets() {
	if node.cold == nil {
		return
	}
	tolerance := node.currentSettings().Evacuation.tolerance()
	budgets := make(map[ids.BackendServerID]limit.Budget)
	for server, rate := range node.monitor.ColdServers() {
		budgets[server] = coldstart.Budget(rate, tolerance)
	}
	if node.cold.SetBudgets(budgets) {
		node.eventLog.Event("servers_cold", "servers", len(budgets))
	}
}

// withoutColdTime decodes registrations without the time for which servers are cold, so that its countdown is no change.
func withoutColdTime(decode func(key string, value []byte) (catalog.Server, error)) func(key string, value []byte) (catalog.Server, error) {
	return func(key string, value []byte) (catalog.Server, error) {
		server, err := decode(key, value)
		server.ColdLeft = 0
		return server, err
	}
}
