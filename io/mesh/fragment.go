package mesh

import (
	"crypto/rand"
	"encoding/binary"
	"time"

	"github.com/fxamacker/cbor/v2"

	"dotterelgw/core/ids"
	"dotterelgw/io/clock"
)

const (
	// kindFragment carries a fragment of a message that exceeds a datagram.
	kindFragment Kind = "part"
	// fragmentBytes is the length of each fragment but the last. It leaves 512 bytes of a datagram for the frame and the
	// authenticator.
	fragmentBytes = maxDatagram - 512
	// maxFragments bounds the fragments of a message, and thus its length to 480 KB.
	maxFragments = 64
	// reassemblyTimeout is the time after which an incomplete message is dropped.
	reassemblyTimeout = time.Second
	// maxIncompleteBytes bounds the bytes of all incomplete messages.
	maxIncompleteBytes = 4 << 20
)

// fragment is a consecutive part of an encoded message.
type fragment struct {
	_ struct{} `cbor:",toarray"`
	// MessageID identifies the message among those of its sender.
	MessageID uint64
	// Index is the position of the fragment among the Count fragments of the message.
	Index, Count int
	Data         []byte
}

// split divides an encoded message into fragments under a random message ID.
func split(encoded []byte) []fragment {
	var random [8]byte
	_, _ = rand.Read(random[:]) // never fails, see crypto/rand
	messageID := binary.LittleEndian.Uint64(random[:])
	count := (len(encoded) + fragmentBytes - 1) / fragmentBytes
	result := make([]fragment, 0, count)
	for index := range count {
		end := min(len(encoded), (index+1)*fragmentBytes)
		result = append(result, fragment{MessageID: messageID, Index: index, Count: count, Data: encoded[index*fragmentBytes : end]})
	}
	return result
}

// partialMessage is a message of which fragments are missing.
type partialMessage struct {
	messageID uint64
	// fragments holds the data of the fragments by index; nil while one is missing.
	fragments [][]byte
	missing   int
	bytes     int
	// started is the arrival time of the first fragment.
	started time.Duration
}

// assembly reassembles long messages, at most one of each sender at a time. It is not safe for concurrent use; only the receiving
// goroutine uses it.
type assembly struct {
	partials map[ids.VMID]*partialMessage
	// bytes is the total length of the fragments received so far.
	bytes int
}

// add adds a fragment and returns the message once it is complete, nil until then. A fragment of another message of the same
// sender discards the incomplete one.
func (assembly *assembly) add(now time.Duration, sender ids.VMID, received fragment) []byte {
	if received.Count < 1 || received.Count > maxFragments || received.Index < 0 || received.Index >= received.Count {
		return nil
	}
	message := assembly.partials[sender]
	if message == nil || message.messageID != received.MessageID || len(message.fragments) != received.Count {
		assembly.drop(sender)
		message = &partialMessage{messageID: received.MessageID, fragments: make([][]byte, received.Count), missing: received.Count, started: now}
		if assembly.partials == nil {
			assembly.partials = make(map[ids.VMID]*partialMessage)
		}
		assembly.partials[sender] = message
	}
	if message.fragments[received.Index] == nil {
		message.fragments[received.Index] = received.Data
		message.missing--
		message.bytes += len(received.Data)
		assembly.bytes += len(received.Data)
	}
	if message.missing > 0 {
		assembly.prune(now)
		return nil
	}
	assembly.drop(sender)
	complete := make([]byte, 0, message.bytes)
	for _, data := range message.fragments {
		complete = append(complete, data...)
	}
	return complete
}

// drop discards the incomplete message of a sender.
func (assembly *assembly) drop(sender ids.VMID) {
	if message := assembly.partials[sender]; message != nil {
		assembly.bytes -= message.bytes
		delete(assembly.partials, sender)
	}
}

// prune drops messages that stay incomplete for longer than reassemblyTimeout, and all messages if they exceed
// maxIncompleteBytes. Receivers of dropped messages request them again.
func (assembly *assembly) prune(now time.Duration) {
	for sender, message := range assembly.partials {
		if now-message.started > reassemblyTimeout || assembly.bytes > maxIncompleteBytes {
			assembly.drop(sender)
		}
	}
}

// handleFragment adds a fragment and dispatches the message once it is complete.
func (mesh *Mesh) handleFragment(sender ids.VMID, encoded []byte) {
	var received fragment
	if err := cbor.Unmarshal(encoded, &received); err != nil {
		mesh.eventLog.LimitedEvent("datagram_faulty", "sender", sender, "kind", kindFragment, "err", err)
		return
	}
	complete := mesh.assembly.add(clock.Now(), sender, received)
	if complete == nil {
		return
	}
	var reassembled frame
	if err := cbor.Unmarshal(complete, &reassembled); err != nil || reassembled.Sender != sender || reassembled.Kind == kindFragment {
		mesh.eventLog.LimitedEvent("datagram_faulty", "sender", sender, "kind", reassembled.Kind, "err", err)
		return
	}
	mesh.dispatch(reassembled)
}
