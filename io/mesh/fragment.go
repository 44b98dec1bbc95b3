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
	// kindPart carries a part of a message that does not fit into a datagram.
	kindPart Kind = "part"
	// partBytes is the length of the parts of a long message.
	partBytes = maxDatagram - 512
	// maxParts bounds the parts of a message: 480 KB.
	maxParts = 64
	// partsMemory is the time after which a message whose parts did not all arrive is dropped.
	partsMemory = time.Second
	// maxPartial bounds the bytes of all messages of which parts are missing.
	maxPartial = 4 << 20
)

// part is a part of an encoded message.
type part struct {
	_ struct{} `cbor:",toarray"`
	// Number names the message among those of its sender.
	Number       uint64
	Index, Count int
	Data         []byte
}

// parts splits an encoded message.
func parts(encoded []byte) []part {
	var random [8]byte
	_, _ = rand.Read(random[:]) // never fails, see crypto/rand
	number := binary.LittleEndian.Uint64(random[:])
	count := (len(encoded) + partBytes - 1) / partBytes
	split := make([]part, 0, count)
	for index := range count {
		end := min(len(encoded), (index+1)*partBytes)
		split = append(split, part{Number: number, Index: index, Count: count, Data: encoded[index*partBytes : end]})
	}
	return split
}

// partial is a message of which parts are missing.
type partial struct {
	number  uint64
	parts   [][]byte
	missing int
	bytes   int
	since   time.Duration
}

// assembly joins the parts of long messages, one message of each sender at a time. Only the goroutine that receives uses it.
type assembly struct {
	partials map[ids.VMID]*partial
	bytes    int
}

// add takes a part and returns the message once it is whole.
func (assembly *assembly) add(now time.Duration, sender ids.VMID, received part) []byte {
	if received.Count < 1 || received.Count > maxParts || received.Index < 0 || received.Index >= received.Count {
		return nil
	}
	held := assembly.partials[sender]
	if held == nil || held.number != received.Number || len(held.parts) != received.Count {
		assembly.drop(sender)
		held = &partial{number: received.Number, parts: make([][]byte, received.Count), missing: received.Count, since: now}
		if assembly.partials == nil {
			assembly.partials = make(map[ids.VMID]*partial)
		}
		assembly.partials[sender] = held
	}
	if held.parts[received.Index] == nil {
		held.parts[received.Index] = received.Data
		held.missing--
		held.bytes += len(received.Data)
		assembly.bytes += len(received.Data)
	}
	if held.missing > 0 {
		assembly.prune(now)
		return nil
	}
	assembly.drop(sender)
	whole := make([]byte, 0, held.bytes)
	for _, data := range held.parts {
		whole = append(whole, data...)
	}
	return whole
}

// drop forgets what came of a sender's message.
func (assembly *assembly) drop(sender ids.VMID) {
	if held := assembly.partials[sender]; held != nil {
		assembly.bytes -= held.bytes
		delete(assembly.partials, sender)
	}
}

// prune drops messages whose parts do not arrive, and all if they hold too much memory: the sender is asked again.
func (assembly *assembly) prune(now time.Duration) {
	for sender, held := range assembly.partials {
		if now-held.since > partsMemory || assembly.bytes > maxPartial {
			assembly.drop(sender)
		}
	}
}

// join takes a part and handles the message once it is whole.
func (mesh *Mesh) join(sender ids.VMID, encoded []byte) {
	var received part
	if err := cbor.Unmarshal(encoded, &received); err != nil {
		mesh.decisions.Request("datagram_faulty", "sender", sender, "kind", kindPart, "err", err)
		return
	}
	whole := mesh.assembly.add(clock.Now(), sender, received)
	if whole == nil {
		return
	}
	var joined frame
	if err := cbor.Unmarshal(whole, &joined); err != nil || joined.Sender != sender || joined.Kind == kindPart {
		mesh.decisions.Request("datagram_faulty", "sender", sender, "kind", joined.Kind, "err", err)
		return
	}
	mesh.dispatch(joined)
}
