package monitor

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
	"testing"
	"time"

	"dotterelgw/core/catalog"
	"dotterelgw/core/config"
	"dotterelgw/core/ids"
	"dotterelgw/core/leader"
	"dotterelgw/core/member"
	"dotterelgw/core/observer"
	"dotterelgw/core/statement"
	"dotterelgw/io/clock"
	"dotterelgw/io/dbpool"
	"dotterelgw/io/fleet"
	"dotterelgw/io/mesh"
	"dotterelgw/io/observe"
)

const (
	testGroup ids.GroupID = "g1"
	// testVMs is a fleet large enough to have collectors.
	testVMs = 60
	// testWait bounds every wait of a test.
	testWait = 10 * time.Second
)

// backend answers status requests of one VM and counts them.
type backend struct{ asked atomic.Int32 }

// Dial implements dbpool.Dialer.Dial.
func (backend *backend) Dial(_ context.Context, server catalog.Server, _ ids.OrganisationID) (dbpool.Link, error) {
	return &statusLink{backend: backend, server: server}, nil
}

// statusLink is a link that answers status requests.
type statusLink struct {
	backend *backend
	server  catalog.Server
}

func (statusLink *statusLink) Send(time.Time, ...dbpool.Call) error {
	statusLink.backend.asked.Add(1)
	return nil
}

func (statusLink *statusLink) Receive(time.Time) (statement.Reply, error) {
	return statement.Reply{Code: statement.Complete}, nil
}

func (statusLink *statusLink) Status(statement.Reply) (leader.Status, error) {
	return leader.Status{Role: statusLink.server.Role, Term: 1, Connections: 1}, nil
}

func (statusLink *statusLink) Usable() bool { return true }

func (statusLink *statusLink) Close(bool) {}

// secretStore is a store that only holds the secret shared by the VMs.
type secretStore struct{ mesh.Store }

// GetShared implements mesh.Store.GetShared.
func (secretStore) GetShared(context.Context, string) (config.Entry, bool, error) {
	return config.Entry{Value: []byte("secret")}, true, nil
}

// Era implements mesh.Store.Era.
func (secretStore) Era() ids.Era { return 0 }

// testVM is a running VM of the test's fleet.
type testVM struct {
	*Monitor
	backend *backend
	vm      fleet.VM
	network *mesh.Mesh
	stop    context.CancelFunc
}

// startVM starts a VM.
func startVM(t *testing.T, vm member.Member) *testVM {
	t.Helper()
	eventLog := observe.NewEventLog(io.Discard, string(vm.ID))
	network, err := mesh.New(vm.ID, "127.0.0.1:0", eventLog)
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(t.Context())
	started := &testVM{
		backend: &backend{}, network: network, stop: stop, vm: fleet.VM{ID: vm.ID, Peer: network.Address(), Zone: vm.Zone},
	}
	started.Monitor = New(ctx, started.backend, vm.Zone, eventLog)
	started.Share(Sharing{Mesh: network, Self: vm.ID, Holder: func() ids.VMID { return "" }})
	go network.Run(ctx, secretStore{})
	go started.Run(ctx)
	t.Cleanup(stop)
	return started
}

// roles returns a VM that uses the group, a collector that it queries, and the observers of the group.
func roles(t *testing.T, vms []member.Member) (user, collector member.Member, observers []member.Member) {
	t.Helper()
	byID := make(map[ids.VMID]member.Member)
	for _, vm := range vms {
		byID[vm.ID] = vm
	}
	for _, vm := range vms {
		plan := observer.NewPlan(vm, vms)
		watching := plan.Observers(testGroup, "")
		if len(plan.Collectors()) == 0 || vm.ID == watching[0] || vm.ID == watching[1] {
			continue
		}
		return vm, byID[plan.Collectors()[0]], []member.Member{byID[watching[0]], byID[watching[1]]}
	}
	t.Fatal("no such VM")
	return user, collector, nil
}

// In a fleet with collectors, the VM that observes a group is lost, and a VM can reach only one of its collectors.
// Guards against VMs that poll the servers themselves, and against losing the confirmation of the primary together with
// its observer.
func TestStatePassesThroughCollectors(t *testing.T) {
	var vms []member.Member
	for index := range testVMs {
		vms = append(vms, member.Member{ID: ids.VMID(fmt.Sprint("vm", index)), Zone: ids.AvailabilityZone(fmt.Sprint("z", index%2))})
	}
	user, collector, observers := roles(t, vms)
	running := make(map[ids.VMID]*testVM)
	for _, vm := range append([]member.Member{user, collector}, observers...) {
		if running[vm.ID] == nil {
			running[vm.ID] = startVM(t, vm)
		}
	}
	var registered []fleet.VM
	for _, one := range running {
		registered = append(registered, one.vm)
	}
	servers := []catalog.Server{
		{ID: "a", Group: testGroup, Role: catalog.RolePrimary, Slots: 4}, {ID: "b", Group: testGroup, Role: catalog.RoleReplica, Slots: 4},
	}
	for _, one := range running {
		one.network.SetVMs(registered)
		one.SetVMs(vms)
		readAt := clock.Now()
		one.SetFences(nil, readAt)
		one.SetServers(readAt, servers)
	}
	asking := running[user.ID]
	certain := func() time.Duration { return asking.Group(testGroup).LeaseExpiry() }
	await := func(what string, since time.Duration) {
		t.Helper()
		for end := time.Now().Add(testWait); certain() <= since; time.Sleep(5 * time.Millisecond) {
			asking.Group(testGroup).MarkUsed()
			if time.Now().After(end) {
				t.Fatalf("%s: the primary is not confirmed", what)
			}
		}
	}
	await("at first", 0)
	await("later", certain())
	if user.ID != collector.ID && asking.backend.asked.Load() > 0 {
		t.Errorf("the VM polled the servers %d times itself", asking.backend.asked.Load())
	}
	if collector.ID != observers[0].ID {
		running[observers[0].ID].stop()
	}
	await("without the observer", certain()+2*queryInterval)
	if asked := asking.backend.asked.Load(); asked > 0 {
		t.Errorf("the VM polled the servers %d times itself", asked)
	}
}
