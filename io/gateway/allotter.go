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

// updateInterval is the time between two updates of the allotments and of the leaving backend servers.
const updateInterval = 500 * time.Millisecond

// serverControl provides the membership and the leaving backend servers; control.Controller implements it.
type serverControl interface {
	Members() []member.Member
	Leaving(server ids.BackendServerID) bool
}

// serverGroups receives the leaving servers and provides the clock; group.Groups implements it.
type serverGroups interface {
	SetLeaving(server ids.BackendServerID, leaving bool)
	Now() time.Duration
}

// serverPools receives the allotments; backend.Pools implements it.
type serverPools interface {
	SetAllotment(server ids.BackendServerID, connections int)
}

// allotter updates this VM's allotments of connections when the membership changes, and passes on which backend servers
// are leaving.
type allotter struct {
	vm         ids.VMID
	control    serverControl
	groups     serverGroups
	pools      serverPools
	allotments *allot.Allotments

	mutex   sync.Mutex
	records map[ids.GroupID]config.GroupRecord
	changed bool
	members []member.Member
	// stableAt is the time at which delayed increases of allotments are in force, so that nothing is left to update.
	stableAt time.Duration
}

func newAllotter(vm ids.VMID, control serverControl, groups serverGroups, pools serverPools) *allotter {
	return &allotter{
		vm: vm, control: control, groups: groups, pools: pools, allotments: allot.New(),
		records: make(map[ids.GroupID]config.GroupRecord),
	}
}

// setRecord adds a group or updates its record.
func (allotter *allotter) setRecord(record config.GroupRecord) {
	allotter.mutex.Lock()
	defer allotter.mutex.Unlock()
	allotter.records[record.Group] = record
	allotter.changed = true
}

// run updates the pools and the groups periodically until the context ends.
func (allotter *allotter) run(ctx context.Context) error {
	ticker := time.NewTicker(updateInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			allotter.update()
		}
	}
}

// update passes on the leaving servers, and the allotments only after a change: at the planned size, ranking 2,400 VMs for
// each of 21,000 servers is too slow for every tick.
func (allotter *allotter) update() {
	allotter.mutex.Lock()
	defer allotter.mutex.Unlock()
	members, now := allotter.control.Members(), allotter.groups.Now()
	if allotter.changed || !slices.Equal(members, allotter.members) {
		allotter.changed, allotter.members = false, members
		allotter.stableAt = now + allot.GrowDelay + 2*updateInterval
	}
	for _, record := range allotter.records {
		for _, server := range record.Servers {
			allotter.groups.SetLeaving(server.ID, allotter.control.Leaving(server.ID))
			if now <= allotter.stableAt {
				rank, _ := member.Rank("connections/"+string(server.ID), allotter.vm, members)
				connections := allot.Divide(record.Connections, len(members), rank)
				allotter.pools.SetAllotment(server.ID, allotter.allotments.Set(now, server.ID, connections))
			}
		}
	}
}
