package mesh_test

import (
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"dotterelgw/core/config"
	"dotterelgw/core/ids"
	"dotterelgw/io/fleet"
	"dotterelgw/io/mesh"
	"dotterelgw/io/observe"
)

// store is a mesh.Store that always returns the secret.
type store struct {
	mesh.Store
	secret string
}

// GetShared implements mesh.Store.GetShared.
func (store store) GetShared(context.Context, string) (config.Entry, bool, error) {
	return config.Entry{Value: []byte(store.secret)}, true, nil
}

type greeting struct {
	Text string `cbor:"text"`
}

const kind mesh.Kind = "greeting"

// testTimeout bounds the wait for an expected datagram.
const testTimeout = 5 * time.Second

// start runs a mesh and returns it, its registration and the messages that it receives, each as "sender:text".
func start(t *testing.T, id ids.VMID, secret string) (*mesh.Mesh, fleet.VM, chan string) {
	t.Helper()
	eventLog := observe.NewEventLog(io.Discard, string(id))
	network, err := mesh.New(id, "127.0.0.1:0", eventLog)
	if err != nil {
		t.Fatal(err)
	}
	received := make(chan string, 1000)
	mesh.Handle(network, kind, func(sender ids.VMID, message greeting) { received <- string(sender) + ":" + message.Text })
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		network.Run(ctx, store{secret: secret})
		close(ended)
	}()
	t.Cleanup(func() {
		cancel()
		<-ended
		eventLog.Close(time.Second)
	})
	return network, fleet.VM{ID: id, Peer: network.Address()}, received
}

// Guards against messages accepted from a sender that does not know the secret, and against malformed datagrams that stop the
// receiver.
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
	end := time.After(testTimeout)
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

// All VMs start at once, and one learns of another before the other learns of it. Guards against requests that stay unanswered
// until the registration of the requesting VM is known.
func TestAnswerToUnknownVM(t *testing.T) {
	one, vmOne, _ := start(t, "vm1", "secret")
	two, _, received := start(t, "vm2", "secret")
	two.SetVMs([]fleet.VM{vmOne})
	end := time.After(testTimeout)
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

// Guards against long messages that never arrive complete, and against messages reassembled from fragments of two.
func TestLongMessages(t *testing.T) {
	one, vmOne, _ := start(t, "vm1", "secret")
	two, vmTwo, received := start(t, "vm2", "secret")
	one.SetVMs([]fleet.VM{vmTwo})
	two.SetVMs([]fleet.VM{vmOne})
	for name, bytes := range map[string]int{"one datagram": 100, "several datagrams": 30 << 10, "many datagrams": 200 << 10} {
		text := strings.Repeat(name, bytes/len(name))
		end := time.After(testTimeout)
		for arrived := false; !arrived; {
			mesh.Send(one, "vm2", kind, greeting{Text: text})
			select {
			case got := <-received:
				arrived = got == "vm1:"+text
			case <-end:
				t.Fatalf("%s: nothing arrived", name)
			case <-time.After(50 * time.Millisecond):
			}
		}
	}
}

// Guards against a panic in the handler of one message that ends the process.
func TestPanickingHandler(t *testing.T) {
	const panicking mesh.Kind = "spoilt"
	one, vmOne, _ := start(t, "vm1", "secret")
	eventLog := observe.NewEventLog(io.Discard, "vm2")
	two, err := mesh.New("vm2", "127.0.0.1:0", eventLog)
	if err != nil {
		t.Fatal(err)
	}
	mesh.Handle(two, panicking, func(ids.VMID, greeting) { panic("spoilt") })
	arrived := make(chan string, 1000)
	mesh.Handle(two, kind, func(_ ids.VMID, message greeting) { arrived <- message.Text })
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go two.Run(ctx, store{secret: "secret"})
	one.SetVMs([]fleet.VM{{ID: "vm2", Peer: two.Address()}})
	two.SetVMs([]fleet.VM{vmOne})
	end := time.After(testTimeout)
	for {
		mesh.Send(one, "vm2", panicking, greeting{})
		mesh.Send(one, "vm2", kind, greeting{Text: "after"})
		select {
		case <-arrived:
			return
		case <-end:
			t.Fatal("no message after the one that panicked")
		case <-time.After(10 * time.Millisecond):
		}
	}
}
