package wire

import (
	"encoding/binary"
	"fmt"
	"io"
	"sync"

	"github.com/juju/errors"
)

const (
	// inlineBufferBytes is the size of the buffer that a reader keeps while it waits. Most statements fit, so that one read
	// is enough.
	inlineBufferBytes = 512
	// sharedBufferBytes is the size of the pooled buffers that readers use for larger messages.
	sharedBufferBytes = 8192
)

var sharedBuffers = sync.Pool{New: func() any { return new([sharedBufferBytes]byte) }}

// ErrTooLarge is returned if a message exceeds the reader's limit.
const ErrTooLarge = errors.ConstError("message is too large")

// ErrMalformed is returned if a message has an invalid length.
const ErrMalformed = errors.ConstError("message is malformed")

// Reader splits a stream into frames. After a read timeout it can continue without losing data.
type Reader struct {
	source io.Reader
	limit  int
	buf    []byte
	shared *[sharedBufferBytes]byte
	start  int
	end    int
	inline [inlineBufferBytes]byte
}

// NewReader returns a reader of messages of at most limit bytes.
func NewReader(source io.Reader, limit int) *Reader {
	reader := &Reader{source: source, limit: limit}
	reader.buf = reader.inline[:]
	return reader
}

// Buffered returns the number of bytes read from the source but not yet returned.
func (reader *Reader) Buffered() int { return reader.end - reader.start }

// ReleaseBuffer releases the large buffer. Sessions call it before they wait for the caller, to bound the memory per connection.
func (reader *Reader) ReleaseBuffer() {
	if reader.Buffered() == 0 && len(reader.buf) > inlineBufferBytes {
		reader.switchBuffer(reader.inline[:], nil)
	}
}

// switchBuffer moves the unread bytes to another buffer and returns a pooled one to the pool.
func (reader *Reader) switchBuffer(buf []byte, shared *[sharedBufferBytes]byte) {
	reader.end = copy(buf, reader.buf[reader.start:reader.end])
	reader.start = 0
	if reader.shared != nil {
		sharedBuffers.Put(reader.shared)
	}
	reader.buf, reader.shared = buf, shared
}

// fill reads until n bytes are buffered, and grows the buffer if needed.
func (reader *Reader) fill(n int) error {
	if reader.start == reader.end {
		reader.start, reader.end = 0, 0
		if len(reader.buf) > sharedBufferBytes {
			shared := sharedBuffers.Get().(*[sharedBufferBytes]byte)
			reader.switchBuffer(shared[:], shared)
		}
	}
	if n > len(reader.buf) {
		if n <= sharedBufferBytes {
			shared := sharedBuffers.Get().(*[sharedBufferBytes]byte)
			reader.switchBuffer(shared[:], shared)
		} else {
			reader.switchBuffer(make([]byte, n), nil)
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

// SetLimit changes the maximum length of a message.
func (reader *Reader) SetLimit(limit int) { reader.limit = limit }
