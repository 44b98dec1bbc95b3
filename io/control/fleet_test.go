package control

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/protobuf/proto"

	"dotterelgw/core/config"
	"dotterelgw/core/ids"
	"dotterelgw/core/member"
	"dotterelgw/io/peer"
	"dotterelgw/io/peer/peerpb"
	"dotterelgw/io/platform"
	standin "dotterelgw/standin/platform"
)

// fleet runs several controllers in one process against a stand-in of the platform. Messages between the controllers
// are encoded and decoded as on the wire.
type fleet struct {
	*standin.Platform
	t            testing.TB
	speed        int
	dialer       peer.Dialer
	watchesMuted atomic.Bool // watches of the service deliver nothing

	bytes         atomic.Int64
	sent          atomic.Int64
	exchangesByVM sync.Map // number of exchanges of each VM, *atomic.Int64 by ids.VMID

	lock        sync.Mutex
	vms         []platform.VM
	nodes       map[string]*node
	partitioned map[[2]ids.VMID]bool
}

type node struct {
	*Controller
	stop context.CancelFunc
	done chan struct{}
}

func newFleet(t testing.TB, size, zones, speed int) *fleet {
	service, err := standin.New(standin.Settings{Listen: "127.0.0.1:0"})
	if err != nil {
		t.Fatal(err)
	}
	fleet := &fleet{Platform: service, t: t, speed: speed, nodes: map[string]*node{}, partitioned: map[[2]ids.VMID]bool{}}
	fleet.dialer = fleet
	for i := range size {
		fleet.add(fmt.Sprintf("vm-%02d", i), fmt.Sprintf("10.0.0.%d:7000", i), fmt.Sprintf("zone-%d", i%zones))
	}
	for i := range size {
		fleet.start(i)
	}
	t.Cleanup(func() {
		for i := range size {
			if fleet.node(i) != nil {
				fleet.stop(i)
			}
		}
		_ = service.Close()
	})
	return fleet
}

func (fleet *fleet) add(id, address, zone string) {
	fleet.vms = append(fleet.vms, platform.VM{
		ID: id, Role: platform.RoleProxy, Address: address, AvailabilityZone: ids.AvailabilityZone(zone),
	})
}

// client returns a client of the service whose progress requests follow the fleet's clock.
func (fleet *fleet) client(vm ids.VMID) platform.Client {
	speed := time.Duration(fleet.speed)
	client, err := platform.New([]string{fleet.Addresses().KeyValue}, vm,
		platform.WithProgress(500*time.Millisecond/speed, 1500*time.Millisecond/speed))
	if err != nil {
		fleet.t.Fatal(err)
	}
	fleet.t.Cleanup(func() { _ = client.Close() })
	return client
}

// mutableStore is a store whose watches deliver nothing while watchesMuted is set. Other calls are answered.
type mutableStore struct {
	Store
	watchesMuted *atomic.Bool
}

// Watch implements Store.Watch.
func (store *mutableStore) Watch(ctx context.Context, prefix string, from ids.Revision) (<-chan platform.WatchEvent, error) {
	events, err := store.Store.Watch(ctx, prefix, from)
	if err != nil {
		return nil, err
	}
	delivered := make(chan platform.WatchEvent)
	go func() {
		defer close(delivered)
		for event := range events {
			if store.watchesMuted.Load() {
				continue
			}
			select {
			case delivered <- event:
			case <-ctx.Done():
			}
		}
	}()
	return delivered, nil
}

// List implements VMList.List.
func (fleet *fleet) List(context.Context) ([]platform.VM, error) {
	fleet.lock.Lock()
	defer fleet.lock.Unlock()
	return slices.Clone(fleet.vms), nil
}

func (fleet *fleet) start(i int) {
	vm := fleet.vms[i]
	id := ids.VMID(vm.ID)
	allowed := func(other ids.VMID) bool {
		fleet.lock.Lock()
		defer fleet.lock.Unlock()
		return !fleet.partitioned[[2]ids.VMID{id, other}]
	}
	self := member.Member{ID: id, Address: vm.Address, Zone: vm.AvailabilityZone}
	ctx, cancel := context.WithCancel(context.Background())
	started := &node{
		Controller: New(self, &mutableStore{Store: fleet.client(id), watchesMuted: &fleet.watchesMuted}, fleet, fleet.dialer, WithPeerFilter(allowed), withSpeed(fleet.speed)),
		stop:       cancel, done: make(chan struct{}),
	}
	fleet.lock.Lock()
	fleet.nodes[vm.Address] = started
	fleet.lock.Unlock()
	go func() {
		defer close(started.done)
		_ = started.Run(ctx)
	}()
}

func (fleet *fleet) node(i int) *node {
	fleet.lock.Lock()
	defer fleet.lock.Unlock()
	return fleet.nodes[fleet.vms[i].Address]
}

func (fleet *fleet) stop(i int) {
	node := fleet.node(i)
	node.stop()
	<-node.done
}

// cutService cuts the listed VMs off from the service.
func (fleet *fleet) cutService(vms ...int) {
	fleet.Change(func(switches *standin.Switches) {
		for _, i := range vms {
			switches.Partitioned = append(switches.Partitioned, fleet.vms[i].ID)
		}
	})
}

func (fleet *fleet) outage() {
	fleet.Change(func(switches *standin.Switches) { switches.Outage = true })
}

// partition drops heartbeats between the VM and all others.
func (fleet *fleet) partition(i int) {
	fleet.lock.Lock()
	defer fleet.lock.Unlock()
	for _, other := range fleet.vms {
		fleet.partitioned[[2]ids.VMID{ids.VMID(fleet.vms[i].ID), ids.VMID(other.ID)}] = true
	}
}

// Peer implements peer.Dialer.Peer.
func (fleet *fleet) Peer(address string) (peerpb.PeerClient, error) {
	fleet.lock.Lock()
	defer fleet.lock.Unlock()
	if node := fleet.nodes[address]; node != nil {
		return &peerClient{fleet: fleet, node: node}, nil
	}
	return nil, fmt.Errorf("nothing listens on %s", address)
}

// peerClient calls a controller of the fleet directly.
type peerClient struct {
	peerpb.PeerClient
	fleet *fleet
	node  *node
}

// Exchange implements peerpb.PeerClient.Exchange.
func (peerClient *peerClient) Exchange(ctx context.Context, heartbeat *peerpb.Heartbeat, _ ...grpc.CallOption) (*peerpb.Heartbeat, error) {
	for _, end := range []ids.VMID{ids.VMID(heartbeat.GetVm()), peerClient.node.self.ID} {
		count, _ := peerClient.fleet.exchangesByVM.LoadOrStore(end, &atomic.Int64{})
		count.(*atomic.Int64).Add(1)
	}
	reply, err := peerClient.node.Exchange(ctx, peerClient.fleet.transmit(heartbeat))
	if err != nil {
		return nil, err
	}
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	return peerClient.fleet.transmit(reply), nil
}

func (fleet *fleet) transmit(heartbeat *peerpb.Heartbeat) *peerpb.Heartbeat {
	wire, err := proto.Marshal(heartbeat)
	if err != nil {
		fleet.t.Error(err)
	}
	fleet.bytes.Add(int64(len(wire)))
	fleet.sent.Add(1)
	received := &peerpb.Heartbeat{}
	if err := proto.Unmarshal(wire, received); err != nil {
		fleet.t.Error(err)
	}
	return received
}

// waitTimeout bounds every waitFor. The awaited event takes a few seconds at most on an idle machine.
const waitTimeout = time.Minute

// waitFor polls the condition. Its timeout is long, since the machine may be busy.
func (fleet *fleet) waitFor(what string, condition func() bool) {
	fleet.t.Helper()
	for deadline := time.Now().Add(waitTimeout); !condition(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(deadline) {
			fleet.t.Fatalf("not within %s: %s", waitTimeout, what)
		}
	}
}

func (fleet *fleet) everyVM(condition func(*node) bool) func() bool {
	return func() bool {
		for i := range fleet.vms {
			if !condition(fleet.node(i)) {
				return false
			}
		}
		return true
	}
}

// waitReady waits until every VM admits requests and sees all others as live.
func (fleet *fleet) waitReady() {
	fleet.t.Helper()
	fleet.waitFor("all VMs live", fleet.everyVM(func(node *node) bool {
		return node.Admitting() && len(node.Members()) == len(fleet.vms)
	}))
}

func contractValue(t testing.TB, change, organisation string, withdrawn bool) []byte {
	t.Helper()
	text := fmt.Sprintf("organisation = %q\nrate = 10\nburst = 5\n[[routes]]\nname = \"main\"\ngroup = \"g\"\n", organisation)
	value, err := config.Encode(config.ContractRecord{ChangeID: change, Withdrawn: withdrawn, Text: text})
	if err != nil {
		t.Fatal(err)
	}
	return value
}
