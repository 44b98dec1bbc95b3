package mesh

import (
	"context"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"

	"dotterelgw/core/config"
	"dotterelgw/core/ids"
	"dotterelgw/io/clock"
	"dotterelgw/io/fleet"
	"dotterelgw/io/observe"
)

const (
	// secretKey is the key under which the VMs share the secret that authenticates their datagrams.
	secretKey = "dotterelgw/peer_secret"
	// secretBytes is the length of the secret.
	secretBytes = 32
	// macBytes is the length of the authenticator of a datagram.
	macBytes = 16
	// maxDatagram bounds a datagram in bytes.
	maxDatagram = 8 << 10
	// maxGuests bounds the VMs that are remembered before their registration is known.
	maxGuests = 4096
	// secretRetry is the pause after a failed attempt to read the secret.
	secretRetry = 300 * time.Millisecond
)

// Kind names the meaning of a datagram.
type Kind string

// frame is a datagram: the message in the encoding of its kind, with its sender.
type frame struct {
	Kind    Kind            `cbor:"kind"`
	Sender  ids.VMID        `cbor:"sender"`
	Message cbor.RawMessage `cbor:"message"`
}

// Mesh sends and receives messages as datagrams; a long message is sent in parts. Messages may be lost, doubled and reordered.
type Mesh struct {
	self      ids.VMID
	conn      *net.UDPConn
	decisions *observe.Decisions
	secret    atomic.Pointer[[]byte]

	mutex sync.Mutex
	peers map[ids.VMID]netip.AddrPort
	// guests holds the addresses of VMs that sent an authenticated datagram before their registration was known here.
	guests   map[ids.VMID]netip.AddrPort
	handlers map[Kind]func(sender ids.VMID, message []byte)

	assembly assembly
}

// New returns a mesh that listens on the address.
func New(self ids.VMID, address string, decisions *observe.Decisions) (*Mesh, error) {
	local, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, fmt.Errorf("resolving the peer address: %w", err)
	}
	conn, err := net.ListenUDP("udp", local)
	if err != nil {
		return nil, fmt.Errorf("listening for peers: %w", err)
	}
	return &Mesh{
		self: self, conn: conn, decisions: decisions,
		peers: make(map[ids.VMID]netip.AddrPort), guests: make(map[ids.VMID]netip.AddrPort), handlers: make(map[Kind]func(ids.VMID, []byte)),
	}, nil
}

// Address returns the address on which the mesh listens.
func (mesh *Mesh) Address() string { return mesh.conn.LocalAddr().String() }

// Handle registers the function that gets the messages of a kind. It is called before Run.
func Handle[T any](mesh *Mesh, kind Kind, handle func(sender ids.VMID, message T)) {
	mesh.handlers[kind] = func(sender ids.VMID, encoded []byte) {
		var message T
		if err := cbor.Unmarshal(encoded, &message); err != nil {
			mesh.decisions.Request("datagram_faulty", "sender", sender, "kind", kind, "err", err)
			return
		}
		handle(sender, message)
	}
}

// Send sends a message to a VM; a datagram that cannot be sent counts as lost.
func Send[T any](mesh *Mesh, receiver ids.VMID, kind Kind, message T) {
	secret := mesh.secret.Load()
	mesh.mutex.Lock()
	address, known := mesh.peers[receiver]
	if !known {
		address, known = mesh.guests[receiver]
	}
	mesh.mutex.Unlock()
	if secret == nil || !known {
		return
	}
	encoded, err := encode(mesh, kind, message)
	if err == nil && len(encoded) > maxParts*partBytes {
		err = errTooLong
	}
	if err != nil {
		mesh.decisions.Event("datagram_unsendable", "kind", kind, "bytes", len(encoded), "err", err)
		return
	}
	datagrams := [][]byte{encoded}
	if len(encoded) > partBytes {
		datagrams = datagrams[:0]
		for _, part := range parts(encoded) {
			// A part consists of numbers and bytes, whose encoding does not fail.
			datagram, _ := encode(mesh, kindPart, part)
			datagrams = append(datagrams, datagram)
		}
	}
	for _, datagram := range datagrams {
		if _, err := mesh.conn.WriteToUDPAddrPort(sign(*secret, datagram), address); err != nil {
			mesh.decisions.Request("datagram_unsent", "receiver", receiver, "kind", kind, "err", err)
		}
	}
}

// errTooLong states that a message has more parts than a receiver accepts.
var errTooLong = errors.New("the message is too long")

// encode returns a message in its frame.
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

// sign appends the authenticator.
func sign(secret, encoded []byte) []byte {
	mac := hmac.New(sha256.New, secret)
	mac.Write(encoded)
	return append(encoded, mac.Sum(nil)[:macBytes]...)
}

// SetVMs replaces the VMs that can be reached.
func (mesh *Mesh) SetVMs(vms []fleet.VM) {
	peers := make(map[ids.VMID]netip.AddrPort, len(vms))
	for _, vm := range vms {
		address, err := netip.ParseAddrPort(vm.Peer)
		if err != nil {
			mesh.decisions.Event("peer_address_faulty", "peer_vm", vm.ID, "err", err)
			continue
		}
		if vm.ID != mesh.self {
			peers[vm.ID] = address
		}
	}
	mesh.mutex.Lock()
	defer mesh.mutex.Unlock()
	mesh.peers = peers
	clear(mesh.guests)
}

// Peers returns the other VMs.
func (mesh *Mesh) Peers() []ids.VMID {
	mesh.mutex.Lock()
	defer mesh.mutex.Unlock()
	peers := make([]ids.VMID, 0, len(mesh.peers))
	for id := range mesh.peers {
		peers = append(peers, id)
	}
	return peers
}

// Store holds the secret that the VMs share.
type Store interface {
	// Shared returns a record that all VMs share and that does not change.
	Shared(ctx context.Context, key string) (config.Entry, bool, error)
	// Get returns the entry and whether it exists.
	Get(ctx context.Context, key string) (config.Entry, bool, error)
	// CompareAndSwap stores the value if the key's revision is expected; 0 expects that the key is absent.
	CompareAndSwap(ctx context.Context, key string, expected ids.Revision, value []byte) (ids.Revision, bool, error)
}

// Run receives datagrams until the context ends.
func (mesh *Mesh) Run(ctx context.Context, store Store) {
	go mesh.learnSecret(ctx, store)
	stop := context.AfterFunc(ctx, func() { _ = mesh.conn.Close() })
	defer stop()
	var buffer [maxDatagram]byte
	for {
		size, from, err := mesh.conn.ReadFromUDPAddrPort(buffer[:])
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			// A port that is closed on the other side shows here; the datagram is lost.
			continue
		}
		mesh.receive(buffer[:size], from)
	}
}

func (mesh *Mesh) receive(datagram []byte, from netip.AddrPort) {
	secret := mesh.secret.Load()
	if secret == nil || len(datagram) <= macBytes {
		return
	}
	encoded := datagram[:len(datagram)-macBytes]
	mac := hmac.New(sha256.New, *secret)
	mac.Write(encoded)
	if !hmac.Equal(mac.Sum(nil)[:macBytes], datagram[len(encoded):]) {
		mesh.decisions.Request("datagram_forged", "bytes", len(datagram))
		return
	}
	var received frame
	if err := cbor.Unmarshal(encoded, &received); err != nil {
		mesh.decisions.Request("datagram_faulty", "err", err)
		return
	}
	mesh.greet(received.Sender, from)
	if received.Kind == kindPart {
		mesh.join(received.Sender, received.Message)
		return
	}
	mesh.dispatch(received)
}

// dispatch hands a message to its handler. A fault in one handler must not end the process.
func (mesh *Mesh) dispatch(received frame) {
	defer func() {
		if reason := recover(); reason != nil {
			mesh.decisions.Event("handler_panicked", "sender", received.Sender, "kind", received.Kind, "reason", fmt.Sprint(reason),
				"stack", string(debug.Stack()))
		}
	}()
	if handle, ok := mesh.handlers[received.Kind]; ok {
		handle(received.Sender, received.Message)
	}
}

// greet remembers where an unknown sender is, so that it gets answers: of VMs that start together one knows the other first.
func (mesh *Mesh) greet(sender ids.VMID, from netip.AddrPort) {
	mesh.mutex.Lock()
	defer mesh.mutex.Unlock()
	if _, known := mesh.peers[sender]; !known && sender != mesh.self && len(mesh.guests) < maxGuests {
		mesh.guests[sender] = from
	}
}

// learnSecret reads the shared secret; the first VM creates it.
func (mesh *Mesh) learnSecret(ctx context.Context, store Store) {
	for read := store.Shared; ctx.Err() == nil; read = store.Get {
		secret, err := readSecret(ctx, store, read)
		if err == nil && secret != nil {
			mesh.secret.Store(&secret)
			return
		}
		if err != nil {
			mesh.decisions.Request("peer_secret_unknown", "err", err)
			clock.Sleep(ctx, secretRetry)
		}
	}
}

// readSecret returns the secret that the VMs share, after creating it if there is none; nil if another VM creates it meanwhile.
func readSecret(ctx context.Context, store Store, read func(context.Context, string) (config.Entry, bool, error)) ([]byte, error) {
	entry, found, err := read(ctx, secretKey)
	if err != nil {
		return nil, fmt.Errorf("reading the secret: %w", err)
	}
	if found {
		return entry.Value, nil
	}
	secret := make([]byte, secretBytes)
	_, _ = rand.Read(secret) // never fails, see crypto/rand
	_, stored, err := store.CompareAndSwap(ctx, secretKey, 0, secret)
	if err != nil {
		return nil, fmt.Errorf("creating the secret: %w", err)
	}
	if !stored {
		return nil, nil
	}
	return secret, nil
}
