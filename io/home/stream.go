package home

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"golang.org/x/sys/unix"

	"dotterelgw/core/ids"
	"dotterelgw/io/clock"
)

const (
	// frameHeader is the length in bytes of the length, kind and link of a frame.
	frameHeader = 9
	// maxFrame bounds a frame in bytes. It holds the longest statement beside the values of its session.
	maxFrame = 4 << 20
	// maxHandshakeFrame bounds a frame in bytes before the other end is authenticated.
	maxHandshakeFrame = 1 << 10
	// maxQueued bounds the bytes that wait to be written to a stream.
	maxQueued = 2 * maxFrame
	// maxKeptQueue is the largest write buffer in bytes that a stream keeps for reuse.
	maxKeptQueue = 16 << 10
	// streamReadBuffer is the size in bytes of the read buffer of a stream.
	streamReadBuffer = 4 << 10
	// writeTimeout bounds a write, which blocks if the other end does not read.
	writeTimeout = time.Second
	// ackTimeout is how long written data may stay unacknowledged before the connection counts as broken.
	ackTimeout = 1500 * time.Millisecond
)

var (
	errTooLong    = errors.New("the frame is too long")
	errQueueBound = errors.New("too many bytes wait to be written")
	errSilent     = errors.New("the other end is silent")
)

// stream is a connection between two VMs that carries frames.
type stream struct {
	conn   net.Conn
	reader *bufio.Reader
	peer   ids.VMID
	// maxReceived bounds a received frame in bytes.
	maxReceived uint32
	// heardAt is the boot time in nanoseconds at which the last frame was received, pingedAt that of the last ping.
	heardAt, pingedAt atomic.Int64

	mutex sync.Mutex
	// queue holds the encoded frames that wait to be written; spare is an empty buffer for reuse.
	queue, spare []byte
	// writing reports whether a goroutine writes the queue.
	writing bool
	err     error
}

// newStream returns a stream on the connection.
func newStream(conn net.Conn) *stream {
	stream := &stream{conn: conn, reader: bufio.NewReaderSize(conn, streamReadBuffer), maxReceived: maxHandshakeFrame}
	stream.heardAt.Store(int64(clock.Now()))
	if tcp, ok := conn.(*net.TCPConn); ok {
		boundUnacknowledged(tcp)
	}
	return stream
}

// boundUnacknowledged makes writes to a VM that is gone fail. Without the option they would be repeated for minutes.
func boundUnacknowledged(conn *net.TCPConn) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(ackTimeout.Milliseconds()))
	})
}

// appendFrame appends an encoded frame. A nil body is omitted.
func appendFrame(dst []byte, kind kind, link linkID, body any) ([]byte, error) {
	var encoded []byte
	if body != nil {
		var err error
		if encoded, err = cbor.Marshal(body); err != nil {
			return dst, fmt.Errorf("encoding a frame: %w", err)
		}
	}
	if len(encoded) > maxFrame-frameHeader {
		return dst, errTooLong
	}
	dst = binary.BigEndian.AppendUint32(dst, uint32(frameHeader-4+len(encoded)))
	dst = append(dst, byte(kind))
	dst = binary.BigEndian.AppendUint32(dst, uint32(link))
	return append(dst, encoded...), nil
}

// send queues a frame and writes the queue unless another goroutine does. Frames that are queued meanwhile leave in one write.
func (stream *stream) send(kind kind, link linkID, body any) error {
	frame, err := appendFrame(nil, kind, link, body)
	if err != nil {
		return err
	}
	stream.mutex.Lock()
	defer stream.mutex.Unlock()
	switch {
	case stream.err != nil:
		return stream.err
	case len(stream.queue)+len(frame) > maxQueued:
		return errQueueBound
	}
	stream.queue = append(stream.queue, frame...)
	if !stream.writing {
		stream.write()
	}
	return nil
}

// write writes the queue until it is empty. The mutex is held on entry and return, but not during a write.
func (stream *stream) write() {
	stream.writing = true
	for len(stream.queue) > 0 && stream.err == nil {
		frames := stream.queue
		stream.queue, stream.spare = stream.spare[:0], nil
		stream.mutex.Unlock()
		_ = stream.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
		_, err := stream.conn.Write(frames)
		stream.mutex.Lock()
		if cap(frames) <= maxKeptQueue {
			stream.spare = frames[:0]
		}
		if err != nil {
			stream.end(fmt.Errorf("writing to a stream: %w", err))
		}
	}
	stream.writing = false
}

// isWritten reports whether no frame waits to be written, which holds for all frames of a stream that has ended.
func (stream *stream) isWritten() bool {
	stream.mutex.Lock()
	defer stream.mutex.Unlock()
	return stream.err != nil || !stream.writing && len(stream.queue) == 0
}

// end records why the stream ended and closes its connection. The mutex must be held.
func (stream *stream) end(err error) {
	if stream.err == nil {
		stream.err = err
		_ = stream.conn.Close()
	}
}

// close ends the stream.
func (stream *stream) close(err error) {
	stream.mutex.Lock()
	defer stream.mutex.Unlock()
	stream.end(err)
}

// ended returns why the stream ended; nil while it lasts.
func (stream *stream) ended() error {
	stream.mutex.Lock()
	defer stream.mutex.Unlock()
	return stream.err
}

// receive returns the next frame.
func (stream *stream) receive() (kind, linkID, []byte, error) {
	var header [frameHeader]byte
	if _, err := io.ReadFull(stream.reader, header[:]); err != nil {
		return 0, 0, nil, fmt.Errorf("reading a frame: %w", err)
	}
	length := binary.BigEndian.Uint32(header[:4])
	if length < frameHeader-4 || length > stream.maxReceived {
		return 0, 0, nil, fmt.Errorf("%d bytes: %w", length, errTooLong)
	}
	body := make([]byte, length-(frameHeader-4))
	if _, err := io.ReadFull(stream.reader, body); err != nil {
		return 0, 0, nil, fmt.Errorf("reading a frame: %w", err)
	}
	stream.heardAt.Store(int64(clock.Now()))
	return kind(header[4]), linkID(binary.BigEndian.Uint32(header[5:])), body, nil
}

// receiveBody returns the body of the next frame, which must be of the kind.
func receiveBody[T any](stream *stream, want kind) (T, error) {
	var body T
	got, _, encoded, err := stream.receive()
	if err != nil {
		return body, err
	}
	if got != want {
		return body, fmt.Errorf("frame of kind %d in place of %d: %w", got, want, errUnexpected)
	}
	if err := cbor.Unmarshal(encoded, &body); err != nil {
		return body, fmt.Errorf("decoding a frame: %w", err)
	}
	return body, nil
}

// errUnexpected reports a frame that the state of the stream does not allow.
var errUnexpected = errors.New("unexpected frame")

// probe tests whether the other end is alive. It pings if nothing was heard for the quiet time, and ends the stream if a ping has not
// been answered within the timeout. It returns false if the stream has ended.
func (stream *stream) probe(now, quiet, timeout time.Duration) bool {
	heard, pinged := time.Duration(stream.heardAt.Load()), time.Duration(stream.pingedAt.Load())
	switch {
	case stream.ended() != nil:
		return false
	case now-heard < quiet:
	case pinged <= heard:
		stream.pingedAt.Store(int64(now))
		_ = stream.send(kindPing, 0, nil)
	case now-pinged >= timeout:
		stream.close(fmt.Errorf("no frame for %v: %w", now-heard, errSilent))
		return false
	}
	return true
}
