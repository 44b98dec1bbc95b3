package gateway

import (
	"context"
	"slices"
	"sync"
	"time"

	"dotterelgw/core/allot"
	"dotterelgw/core/config"
	"dotterelgw/core/ids"
	"dotterelgw/core/member"
)

// serverInterval is the time between two looks at the members and at the leaving backend servers.
const serverInterval = 500 * time.Millisecond

// serverControl tells the members and the leaving backend servers.
type serverControl interface {
	Members() []member.Member
	Leaving(server ids.BackendServerID) bool
}

// serverGroups takes word of leaving servers and tells the time.
type serverGroups interface {
	SetLeaving(server ids.BackendServerID, leaving bool)
	Now() time.Duration
}

// serverPools takes the allotments.
type serverPools interface {
	SetAllotment(server ids.BackendServerID, connections int)
}

// servers keeps the allotments of connections and the leaving backend servers in step with the membership.
type servers struct {
	vm         ids.VMID
	control    serverControl
	groups     serverGroups
	pools      serverPools
	allotments *allot.Allotments

	mutex   sync.Mutex
	records map[ids.GroupID]config.GroupRecord
	changed bool
	members []member.Member
	// settled is the time after which allotments that wait to grow are in force and nothing is left to do.
	settled time.Duration
}

func newServers(vm ids.VMID, control serverControl, groups serverGroups, pools serverPools) *servers {
	return &servers{
		vm: vm, control: control, groups: groups, pools: pools, allotments: allot.New(),
		records: make(map[ids.GroupID]config.GroupRecord),
	}
}

// keep makes a group or a change of its servers known.
func (servers *servers) keep(record config.GroupRecord) {
	servers.mutex.Lock()
	defer servers.mutex.Unlock()
	servers.records[record.Group] = record
	servers.changed = true
}

// run follows the membership until the context ends.
func (servers *servers) run(ctx context.Context) error {
	ticker := time.NewTicker(serverInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			servers.follow()
		}
	}
}

// follow hands on the leaving servers, and the allotments unless nothing has changed: at the planned size ranking 2,400
// VMs for each of 21,000 servers is too much for every tick.
func (servers *servers) follow() {
	servers.mutex.Lock()
	defer servers.mutex.Unlock()
	members, now := servers.control.Members(), servers.groups.Now()
	if servers.changed || !slices.Equal(members, servers.members) {
		servers.changed, servers.members = false, members
		servers.settled = now + allot.GrowDelay + 2*serverInterval
	}
	for _, record := range servers.records {
		for _, server := range record.Servers {
			servers.groups.SetLeaving(server.ID, servers.control.Leaving(server.ID))
			if now <= servers.settled {
				rank, _ := member.Rank("connections/"+string(server.ID), servers.vm, members)
				connections := allot.Divide(record.Connections, len(members), rank)
				servers.pools.SetAllotment(server.ID, servers.allotments.Set(now, server.ID, connections))
			}
		}
	}
}
