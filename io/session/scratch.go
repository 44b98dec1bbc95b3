package session

import "sync"

// maxKeptBytes bounds the buffers that are kept for reuse, so that one large statement does not hold memory.
const maxKeptBytes = 64 << 10

// scratch holds the buffers of a request. A session returns it while it waits for its caller, which keeps idle
// connections small.
type scratch struct {
	// out is what the caller gets with the next flush.
	out []byte
	// held is the part of the answer that waits for confirmation.
	held []byte
	// send is what the backend server gets.
	send []byte
	// arena holds the caller's messages of the batch.
	arena []byte
	ops   []op
	steps []step
	// sent holds the server-side names of the statements created by the batch.
	sent map[string]bool
}

var scratches = sync.Pool{New: func() any { return &scratch{sent: make(map[string]bool)} }}

func (scratch *scratch) reset() {
	for _, buffer := range []*[]byte{&scratch.out, &scratch.held, &scratch.send, &scratch.arena} {
		if *buffer = (*buffer)[:0]; cap(*buffer) > maxKeptBytes {
			*buffer = nil
		}
	}
	clear(scratch.ops)
	scratch.ops = scratch.ops[:0]
	scratch.steps = scratch.steps[:0]
	clear(scratch.sent)
}
