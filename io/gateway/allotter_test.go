package gateway

import (
	"fmt"
	"testing"
	"time"

	"dotterelgw/core/allot"
	"dotterelgw/core/config"
	"dotterelgw/core/ids"
	"dotterelgw/core/member"
)

// serverFake implements serverControl, serverGroups and serverPools.
type serverFake struct {
	members         []member.Member
	leaving         map[ids.BackendServerID]bool
	now             time.Duration
	allotments      map[ids.BackendServerID]int
	reportedLeaving map[ids.BackendServerID]bool
}

func (fake *serverFake) Members() []member.Member                { return fake.members }
func (fake *serverFake) Leaving(server ids.BackendServerID) bool { return fake.leaving[server] }
func (fake *serverFake) Now() time.Duration                      { return fake.now }
func (fake *serverFake) SetLeaving(server ids.BackendServerID, leaving bool) {
	fake.reportedLeaving[server] = leaving
}

func (fake *serverFake) SetAllotment(server ids.BackendServerID, connections int) {
	fake.allotments[server] = connections
}

// Guards against VMs that together use more connections than the server's limit while VMs join and leave.
func TestAllotmentsFollowTheMembers(t *testing.T) {
	const connections = 30
	vms := make(map[ids.VMID]*allotter)
	fakes := make(map[ids.VMID]*serverFake)
	var members []member.Member
	for number := range 8 {
		members = append(members, member.Member{ID: ids.VMID(fmt.Sprintf("vm%d", number))})
	}
	for _, member := range members {
		fake := &serverFake{members: members[:7], reportedLeaving: map[ids.BackendServerID]bool{}, allotments: map[ids.BackendServerID]int{}}
		fakes[member.ID] = fake
		vms[member.ID] = newAllotter(member.ID, fake, fake, fake)
		vms[member.ID].setRecord(config.GroupRecord{Group: "g1", Connections: connections, Servers: []config.ServerRecord{{ID: "g1-a"}}})
	}
	update := func(now time.Duration, seen []member.Member, vm ids.VMID) {
		fakes[vm].members, fakes[vm].now = seen, now
		vms[vm].update()
	}
	sum := func(list []member.Member) int {
		total := 0
		for _, member := range list {
			total += fakes[member.ID].allotments["g1-a"]
		}
		return total
	}
	for _, member := range members[:7] {
		update(0, members[:7], member.ID)
	}
	if got := sum(members[:7]); got != connections {
		t.Errorf("7 VMs use %d connections, want %d", got, connections)
	}
	// The eighth VM joins and vm0 is lost. Some VMs notice this later than others.
	for index, member := range members[1:] {
		if index%2 == 0 {
			update(time.Second, members[1:], member.ID)
		}
	}
	for _, member := range members[1:] {
		update(2*time.Second, members[1:], member.ID)
	}
	if got := sum(members[1:]); got > connections {
		t.Errorf("the VMs use %d connections, at most %d allowed", got, connections)
	}
	for _, member := range members[1:] {
		update(2*time.Second+allot.GrowDelay, members[1:], member.ID)
	}
	if got := sum(members[1:]); got != connections {
		t.Errorf("after the increase the VMs use %d connections, want %d", got, connections)
	}
}

// Guards against a leaving backend server that is not reported to the groups.
func TestLeavingServersAreReported(t *testing.T) {
	fake := &serverFake{
		members: []member.Member{{ID: "vm1"}}, leaving: map[ids.BackendServerID]bool{"g1-b": true},
		reportedLeaving: map[ids.BackendServerID]bool{}, allotments: map[ids.BackendServerID]int{},
	}
	allotter := newAllotter("vm1", fake, fake, fake)
	allotter.setRecord(config.GroupRecord{Group: "g1", Connections: 3, Servers: []config.ServerRecord{{ID: "g1-a"}, {ID: "g1-b"}}})
	allotter.update()
	if fake.reportedLeaving["g1-a"] || !fake.reportedLeaving["g1-b"] {
		t.Errorf("reported as leaving: %v", fake.reportedLeaving)
	}
}
