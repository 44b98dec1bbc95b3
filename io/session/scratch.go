package session

import "sync"

// maxRetainedBytes bounds each buffer that is kept for reuse, so that a large statement does not retain memory.
const maxRetainedBytes = 64 << 10

// scratch holds the buffers of a request. A session returns it to the pool while it waits for its caller, so that idle
// connections use little memory.
type scratch struct {
	// out is the data to be written to the caller by the next flush.
	out []byte
	// withheld is the part of the answer that is sent only after the confirmation.
	withheld []byte
	// send is the data to be written to the backend server.
	send []byte
	// arena holds the encoded messages of the batch.
	arena []byte
	ops   []op
	steps []step
	// sent holds the server-side names of the statements that the batch prepares.
	sent map[string]bool
}

var scratchPool = sync.Pool{New: func() any { return &scratch{sent: make(map[string]bool)} }}

func (scratch *scratch) reset() {
	for _, buffer := range []*[]byte{&scratch.out, &scratch.withheld, &scratch.send, &scratch.arena} {
		if *buffer = (*buffer)[:0]; cap(*buffer) > maxRetainedBytes {
			*buffer = nil
		}
	}
	clear(scratch.ops)
	scratch.ops = scratch.ops[:0]
	scratch.steps = scratch.steps[:0]
	clear(scratch.sent)
}
