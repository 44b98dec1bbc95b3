package mesh

import (
	"context"
	"crypto/hmac"
	"crypto/sha256"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"runtime/debug"
	"sync"
	"sync/atomic"

	"github.com/fxamacker/cbor/v2"

	"dotterelgw/core/ids"
	"dotterelgw/io/fleet"
	"dotterelgw/io/observe"
)

const (
	// macBytes is the length of the authenticator at the end of a datagram, a truncated HMAC-SHA-256.
	macBytes = 16
	// maxDatagram bounds a datagram in bytes.
	maxDatagram = 8 << 10
	// maxUnregistered bounds the addresses that are kept of VMs whose registration is not known yet.
	maxUnregistered = 4096
)

// Kind identifies the type of a message and selects its handler.
type Kind string

// frame is an encoded message with its kind and sender. It travels as one datagram or as several fragments.
type frame struct {
	Kind    Kind            `cbor:"kind"`
	Sender  ids.VMID        `cbor:"sender"`
	Message cbor.RawMessage `cbor:"message"`
}

// Mesh sends and receives messages as datagrams; a long message is sent in fragments. Messages may be lost, duplicated and
// reordered.
type Mesh struct {
	self     ids.VMID
	conn     *net.UDPConn
	eventLog *observe.EventLog
	// secret authenticates sent datagrams, nil before it is known. Received ones may also have the previous secret, as another VM may
	// learn of a change later.
	secret, previous atomic.Pointer[[]byte]

	mutex sync.Mutex
	peers map[ids.VMID]peer
	// unregistered holds the addresses of VMs that sent an authenticated datagram before their registration was known here.
	unregistered map[ids.VMID]peer
	handlers     map[Kind]func(sender ids.VMID, message []byte)

	assembly assembly
	// traffic counts the sent datagrams, nil if they are not counted.
	traffic *traffic
}

// peer is another VM.
type peer struct {
	address netip.AddrPort
	// zone is empty if the registration of the VM is not known yet.
	zone ids.AvailabilityZone
}

// New returns a mesh that listens on the address.
func New(self ids.VMID, address string, eventLog *observe.EventLog) (*Mesh, error) {
	local, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, fmt.Errorf("resolving the peer address: %w", err)
	}
	conn, err := net.ListenUDP("udp", local)
	if err != nil {
		return nil, fmt.Errorf("listening for peers: %w", err)
	}
	return &Mesh{
		self: self, conn: conn, eventLog: eventLog,
		peers: make(map[ids.VMID]peer), unregistered: make(map[ids.VMID]peer), handlers: make(map[Kind]func(ids.VMID, []byte)),
	}, nil
}

// Address returns the address on which the mesh listens.
func (mesh *Mesh) Address() string { return mesh.conn.LocalAddr().String() }

// Handle registers the handler of a kind of message. It must be called before Run.
func Handle[T any](mesh *Mesh, kind Kind, handle func(sender ids.VMID, message T)) {
	mesh.handlers[kind] = func(sender ids.VMID, encoded []byte) {
		var message T
		if err := cbor.Unmarshal(encoded, &message); err != nil {
			mesh.eventLog.LimitedEvent("datagram_faulty", "sender", sender, "kind", kind, "err", err)
			return
		}
		handle(sender, message)
	}
}

// Send sends a message to a VM. The message is dropped if the VM or the secret is unknown; a datagram that cannot be sent counts
// as lost.
func Send[T any](mesh *Mesh, receiver ids.VMID, kind Kind, message T) {
	secret := mesh.secret.Load()
	mesh.mutex.Lock()
	peer, known := mesh.peers[receiver]
	if !known {
		peer, known = mesh.unregistered[receiver]
	}
	mesh.mutex.Unlock()
	if secret == nil || !known {
		return
	}
	encoded, err := encode(mesh, kind, message)
	if err == nil && len(encoded) > maxFragments*fragmentBytes {
		err = errMessageTooLong
	}
	if err != nil {
		mesh.eventLog.Event("datagram_unsendable", "kind", kind, "bytes", len(encoded), "err", err)
		return
	}
	datagrams := [][]byte{encoded}
	if len(encoded) > fragmentBytes {
		datagrams = datagrams[:0]
		for _, fragment := range split(encoded) {
			// A fragment consists of numbers and bytes, whose encoding does not fail.
			datagram, _ := encode(mesh, kindFragment, fragment)
			datagrams = append(datagrams, datagram)
		}
	}
	for _, datagram := range datagrams {
		signed := sign(*secret, datagram)
		mesh.traffic.count(kind, peer.zone, len(signed))
		if _, err := mesh.conn.WriteToUDPAddrPort(signed, peer.address); err != nil {
			mesh.eventLog.LimitedEvent("datagram_unsent", "receiver", receiver, "kind", kind, "err", err)
		}
	}
}

// errMessageTooLong states that a message exceeds maxFragments fragments, the most that a receiver accepts.
var errMessageTooLong = errors.New("message too long")

// encode returns the encoded frame of a message.
func encode[T any](mesh *Mesh, kind Kind, message T) ([]byte, error) {
	encoded, err := cbor.Marshal(message)
	if err != nil {
		return nil, fmt.Errorf("encoding the message: %w", err)
	}
	encoded, err = cbor.Marshal(frame{Kind: kind, Sender: mesh.self, Message: encoded})
	if err != nil {
		return nil, fmt.Errorf("encoding the frame: %w", err)
	}
	return encoded, nil
}

// sign returns the encoded frame with its authenticator appended.
func sign(secret, encoded []byte) []byte { return append(encoded, authenticator(secret, encoded)...) }

// authentic states whether the datagram ends with the authenticator of its frame.
func authentic(secret, datagram []byte) bool {
	end := len(datagram) - macBytes
	return hmac.Equal(authenticator(secret, datagram[:end]), datagram[end:])
}

func authenticator(secret, encoded []byte) []byte {
	mac := hmac.New(sha256.New, secret)
	mac.Write(encoded)
	return mac.Sum(nil)[:macBytes]
}

// SetVMs replaces the registered VMs, to which messages can be sent. This VM itself is ignored.
func (mesh *Mesh) SetVMs(vms []fleet.VM) {
	peers := make(map[ids.VMID]peer, len(vms))
	for _, vm := range vms {
		address, err := netip.ParseAddrPort(vm.Peer)
		if err != nil {
			mesh.eventLog.Event("peer_address_faulty", "peer_vm", vm.ID, "err", err)
			continue
		}
		if vm.ID != mesh.self {
			peers[vm.ID] = peer{address: address, zone: vm.Zone}
		}
	}
	mesh.mutex.Lock()
	defer mesh.mutex.Unlock()
	mesh.peers = peers
	clear(mesh.unregistered)
}

// Peers returns the ids of the other registered VMs in no particular order.
func (mesh *Mesh) Peers() []ids.VMID {
	mesh.mutex.Lock()
	defer mesh.mutex.Unlock()
	peers := make([]ids.VMID, 0, len(mesh.peers))
	for id := range mesh.peers {
		peers = append(peers, id)
	}
	return peers
}

// Run receives datagrams until the context ends.
func (mesh *Mesh) Run(ctx context.Context, store Store) {
	go mesh.keepSecret(ctx, store)
	stop := context.AfterFunc(ctx, func() { _ = mesh.conn.Close() })
	defer stop()
	var buffer [maxDatagram]byte
	for {
		size, from, err := mesh.conn.ReadFromUDPAddrPort(buffer[:])
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			// A closed port on the other side shows as an error here; the datagram sent to it is lost.
			continue
		}
		mesh.receive(buffer[:size], from)
	}
}

// receive verifies and dispatches one datagram.
func (mesh *Mesh) receive(datagram []byte, from netip.AddrPort) {
	secret := mesh.secret.Load()
	if secret == nil || len(datagram) <= macBytes {
		return
	}
	encoded := datagram[:len(datagram)-macBytes]
	previous := mesh.previous.Load()
	if !authentic(*secret, datagram) && (previous == nil || !authentic(*previous, datagram)) {
		mesh.eventLog.LimitedEvent("datagram_forged", "bytes", len(datagram))
		return
	}
	var received frame
	if err := cbor.Unmarshal(encoded, &received); err != nil {
		mesh.eventLog.LimitedEvent("datagram_faulty", "err", err)
		return
	}
	mesh.rememberSender(received.Sender, from)
	if received.Kind == kindFragment {
		mesh.handleFragment(received.Sender, received.Message)
		return
	}
	mesh.dispatch(received)
}

// dispatch calls the handler of a message and logs a panic in it, so that the process survives.
func (mesh *Mesh) dispatch(received frame) {
	defer func() {
		if reason := recover(); reason != nil {
			mesh.eventLog.Event("handler_panicked", "sender", received.Sender, "kind", received.Kind, "reason", fmt.Sprint(reason),
				"stack", string(debug.Stack()))
		}
	}()
	if handle, ok := mesh.handlers[received.Kind]; ok {
		handle(received.Sender, received.Message)
	}
}

// rememberSender keeps the address of a sender whose registration is not known yet, so that it can be answered: of two VMs that
// start together, one learns of the other first.
func (mesh *Mesh) rememberSender(sender ids.VMID, from netip.AddrPort) {
	mesh.mutex.Lock()
	defer mesh.mutex.Unlock()
	if _, known := mesh.peers[sender]; !known && sender != mesh.self && len(mesh.unregistered) < maxUnregistered {
		mesh.unregistered[sender] = peer{address: from}
	}
}
