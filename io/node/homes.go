package node

import (
	"net"

	"dotterelgw/io/dbpool"
	"dotterelgw/io/home"
)

// startHomes sets up the use of homes. The service of this VM shares host and port number with the datagrams, over TCP; without that
// port the VM is not registered as a home.
func (node *Node) startHomes() {
	node.homes = home.NewClient(node.settings.VM, node.mesh, node.eventLog, node.metrics)
	node.monitor.SetHomes(node.homes, dbpool.NewScheduleObserver(node.metrics, node.eventLog))
	node.monitor.SetAnswerObserver(dbpool.NewAnswerObserver(node.metrics, node.eventLog))
	listener, err := net.Listen("tcp", node.mesh.Address())
	if err != nil {
		node.eventLog.Event("home_unavailable", "address", node.mesh.Address(), "err", err)
		return
	}
	node.homeService = home.NewService(listener, node.mesh, node.monitor, node.eventLog, node.metrics)
}
