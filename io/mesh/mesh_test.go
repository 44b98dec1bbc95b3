package mesh_test

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"dotterelgw/core/config"
	"dotterelgw/core/ids"
	"dotterelgw/io/fleet"
	"dotterelgw/io/mesh"
	"dotterelgw/io/observe"
	"dotterelgw/io/platform"
)

// store is a store that holds the secret.
type store struct {
	platform.Store
	secret string
}

// Get implements platform.Store.Get.
func (store store) Get(context.Context, string) (config.Entry, bool, error) {
	return config.Entry{Value: []byte(store.secret)}, true, nil
}

type greeting struct {
	Text string `cbor:"text"`
}

const kind mesh.Kind = "greeting"

// testWait bounds the wait for a datagram that is to arrive.
const testWait = 5 * time.Second

func start(t *testing.T, id ids.VMID, secret string) (*mesh.Mesh, fleet.VM, chan string) {
	t.Helper()
	decisions := observe.NewDecisions(io.Discard, string(id))
	network, err := mesh.New(id, "127.0.0.1:0", store{secret: secret}, decisions)
	if err != nil {
		t.Fatal(err)
	}
	received := make(chan string, 1000)
	mesh.Handle(network, kind, func(sender ids.VMID, message greeting) { received <- string(sender) + ":" + message.Text })
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		network.Run(ctx)
		close(ended)
	}()
	t.Cleanup(func() {
		cancel()
		<-ended
		decisions.Close(time.Second)
	})
	return network, fleet.VM{ID: id, Peer: network.Address()}, received
}

// Guards against orders from a sender that does not know the secret, and against faulty datagrams ending the reception.
func TestOnlyAuthenticatedDatagramsArrive(t *testing.T) {
	one, vmOne, received := start(t, "vm1", "secret")
	two, vmTwo, _ := start(t, "vm2", "secret")
	forger, _, _ := start(t, "vm3", "other")
	for _, network := range []*mesh.Mesh{one, two, forger} {
		network.SetVMs([]fleet.VM{vmOne, vmTwo, {ID: "odd", Peer: "nowhere"}})
	}
	raw, err := net.Dial("udp", vmOne.Peer)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = raw.Close() }()
	end := time.After(testWait)
	for {
		_, _ = raw.Write([]byte("a datagram that is long enough for an authenticator"))
		mesh.Send(forger, "vm1", kind, greeting{Text: "forged"})
		mesh.Send(two, "vm1", kind, greeting{Text: "hello"})
		mesh.Send(two, "vm9", kind, greeting{Text: "nobody"})
		select {
		case got := <-received:
			if got != "vm2:hello" {
				t.Fatalf("received %q", got)
			}
			return
		case <-end:
			t.Fatal("no datagram arrived")
		case <-time.After(10 * time.Millisecond):
		}
	}
}

// Pattern: all VMs start at once, and one knows another before it is known to it. Guards against questions without answer
// until the registration of the one that asks is known.
func TestAnswerToUnknownVM(t *testing.T) {
	one, vmOne, _ := start(t, "vm1", "secret")
	two, _, received := start(t, "vm2", "secret")
	two.SetVMs([]fleet.VM{vmOne})
	end := time.After(testWait)
	for {
		mesh.Send(two, "vm1", kind, greeting{Text: "question"})
		mesh.Send(one, "vm2", kind, greeting{Text: "answer"})
		select {
		case got := <-received:
			if got != "vm1:answer" {
				t.Fatalf("received %q", got)
			}
			return
		case <-end:
			t.Fatal("no answer arrived")
		case <-time.After(10 * time.Millisecond):
		}
	}
}
