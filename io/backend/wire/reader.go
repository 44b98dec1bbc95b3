package wire

import (
	"encoding/binary"
	"fmt"
	"io"
	"sync"

	"github.com/juju/errors"
)

const (
	// inlineBytes is the buffer that a reader keeps while it waits; most statements fit, so one read suffices.
	inlineBytes = 512
	// bufferBytes is the size of the shared buffers that busy readers use.
	bufferBytes = 8192
)

var buffers = sync.Pool{New: func() any { return new([bufferBytes]byte) }}

// ErrTooLarge states that a message is longer than the reader's limit.
const ErrTooLarge = errors.ConstError("message is too large")

// ErrMalformed states that a message's length is impossible.
const ErrMalformed = errors.ConstError("message is malformed")

// Reader splits a stream into frames; it continues correctly after a read deadline.
type Reader struct {
	source io.Reader
	limit  int
	buf    []byte
	shared *[bufferBytes]byte
	start  int
	end    int
	inline [inlineBytes]byte
}

// NewReader returns a reader of messages of at most limit bytes.
func NewReader(source io.Reader, limit int) *Reader {
	reader := &Reader{source: source, limit: limit}
	reader.buf = reader.inline[:]
	return reader
}

// Buffered returns the number of bytes read from the source but not yet returned.
func (reader *Reader) Buffered() int { return reader.end - reader.start }

// Idle gives the large buffer back; the session calls it before it waits for the caller, to bound memory per connection.
func (reader *Reader) Idle() {
	if reader.Buffered() == 0 && len(reader.buf) > inlineBytes {
		reader.use(reader.inline[:], nil)
	}
}

func (reader *Reader) use(buf []byte, shared *[bufferBytes]byte) {
	reader.end = copy(buf, reader.buf[reader.start:reader.end])
	reader.start = 0
	if reader.shared != nil {
		buffers.Put(reader.shared)
	}
	reader.buf, reader.shared = buf, shared
}

// fill reads until the buffer holds n bytes from start.
func (reader *Reader) fill(n int) error {
	if reader.start == reader.end {
		reader.start, reader.end = 0, 0
		if len(reader.buf) > bufferBytes {
			shared := buffers.Get().(*[bufferBytes]byte)
			reader.use(shared[:], shared)
		}
	}
	if n > len(reader.buf) {
		if n <= bufferBytes {
			shared := buffers.Get().(*[bufferBytes]byte)
			reader.use(shared[:], shared)
		} else {
			reader.use(make([]byte, n), nil)
		}
	}
	if reader.start+n > len(reader.buf) {
		reader.end = copy(reader.buf, reader.buf[reader.start:reader.end])
		reader.start = 0
	}
	for reader.Buffered() < n {
		count, err := reader.source.Read(reader.buf[reader.end:])
		reader.end += count
		if err != nil && reader.Buffered() < n {
			if err == io.EOF && reader.Buffered() > 0 {
				err = io.ErrUnexpectedEOF
			}
			return err
		}
	}
	return nil
}

// Next returns the next message; it is valid until the following call.
func (reader *Reader) Next() (Frame, error) {
	if reader.Buffered() < headerBytes {
		if err := reader.fill(headerBytes); err != nil {
			return nil, err
		}
	}
	length := int(int32(binary.BigEndian.Uint32(reader.buf[reader.start+1:])))
	if length < 4 {
		return nil, fmt.Errorf("length %d: %w", length, ErrMalformed)
	}
	if length > reader.limit {
		return nil, fmt.Errorf("%d bytes of at most %d: %w", length, reader.limit, ErrTooLarge)
	}
	if reader.Buffered() < length+1 {
		if err := reader.fill(length + 1); err != nil {
			return nil, err
		}
	}
	frame := Frame(reader.buf[reader.start : reader.start+length+1 : reader.start+length+1])
	reader.start += length + 1
	return frame, nil
}

// SetLimit changes the greatest length of a message.
func (reader *Reader) SetLimit(limit int) { reader.limit = limit }
