package observe

import (
	"bytes"
	"io"
	"sync"
	"time"
	"unicode/utf8"

	"github.com/go-kit/log"
)

const (
	// queueCapacity is the number of lines that are queued for the writer, for when the reader of the log is slow.
	queueCapacity = 2048
	// maxLineBytes is the length in bytes at which a line is cut, since fields such as the identifier of a request come from callers.
	maxLineBytes = 4 << 10
	// linesPerSecond is the rate limit of each kind of line. Lines over the limit are counted and omitted.
	linesPerSecond = 40
	// burstLines is the number of lines of one kind that may be written at once.
	burstLines = 120
)

// EventLog is a log of events and of decisions on requests, with one structured line for each. It never blocks, and it limits
// the rate by kind: omitted lines are counted, and the next line of the kind carries their number. It is safe for concurrent use.
type EventLog struct {
	// lines queues the lines for the writer; nil after Close.
	lines chan []byte
	vm    string
	mutex sync.Mutex
	// buckets holds the token bucket of each kind.
	buckets map[string]*tokenBucket
	now     func() time.Time
	// closed is closed once all queued lines are written.
	closed chan struct{}
}

// tokenBucket limits the rate of the lines of one kind.
type tokenBucket struct {
	tokens  float64
	updated time.Time
	// omitted is the number of lines omitted since the last one that was written.
	omitted int
}

// NewEventLog returns a log that writes to the writer until Close. Each line names the VM.
func NewEventLog(writer io.Writer, vm string) *EventLog {
	eventLog := &EventLog{
		lines: make(chan []byte, queueCapacity), vm: vm, buckets: make(map[string]*tokenBucket),
		now: time.Now, closed: make(chan struct{}),
	}
	go eventLog.write(writer, eventLog.lines)
	return eventLog
}

// write writes the queued lines until Close.
func (eventLog *EventLog) write(writer io.Writer, lines <-chan []byte) {
	defer close(eventLog.closed)
	for line := range lines {
		// The error is ignored, since there is no other place to report it.
		_, _ = writer.Write(line)
	}
}

// Close ends the log and waits until the queued lines are written, at most for the timeout. Later lines are dropped.
func (eventLog *EventLog) Close(timeout time.Duration) {
	eventLog.mutex.Lock()
	close(eventLog.lines)
	eventLog.lines = nil
	eventLog.mutex.Unlock()
	select {
	case <-eventLog.closed:
	case <-time.After(timeout):
	}
}

// Event writes a line about a change of the state of the process. Such lines are few; they are exempt from the rate limit and
// omitted only if the queue is full.
func (eventLog *EventLog) Event(kind string, keyvals ...any) { eventLog.log(kind, false, keyvals) }

// LimitedEvent writes a line about one request, within the rate limit of its kind.
func (eventLog *EventLog) LimitedEvent(kind string, keyvals ...any) {
	eventLog.log(kind, true, keyvals)
}

// Allows reports whether LimitedEvent would write a line of the kind now, for callers that make its values at some cost. If not, the line
// counts as omitted.
func (eventLog *EventLog) Allows(kind string) bool {
	eventLog.mutex.Lock()
	defer eventLog.mutex.Unlock()
	bucket := eventLog.refill(kind, eventLog.now())
	if bucket.tokens < 1 {
		bucket.omitted++
		return false
	}
	return true
}

// log queues a line; if limited is set, only within the rate limit of its kind.
func (eventLog *EventLog) log(kind string, limited bool, keyvals []any) {
	eventLog.mutex.Lock()
	defer eventLog.mutex.Unlock()
	now := eventLog.now()
	bucket := eventLog.refill(kind, now)
	if limited && bucket.tokens < 1 || eventLog.lines == nil {
		bucket.omitted++
		return
	}
	bucket.tokens--
	var line bytes.Buffer
	pairs := append([]any{"time", now.UTC().Format("2006-01-02T15:04:05.000Z"), "vm", eventLog.vm, "event", kind}, keyvals...)
	if bucket.omitted > 0 {
		pairs = append(pairs, "omitted", bucket.omitted)
	}
	if err := log.NewLogfmtLogger(&line).Log(pairs...); err != nil {
		bucket.omitted++
		return
	}
	select {
	case eventLog.lines <- cut(line.Bytes()):
		bucket.omitted = 0
	default:
		bucket.omitted++
	}
}

// cut returns the line, or a copy of its beginning if it is too long. A quoted value in which it is cut is closed, so that the log can still
// be decoded.
func cut(line []byte) []byte {
	if len(line) <= maxLineBytes {
		return line
	}
	end, quoted := 0, false
	for {
		size, opened := characterBytes(line[end:], quoted), quoted != (line[end] == '"')
		rest := 1
		if opened {
			rest = 2
		}
		if end+size+rest > maxLineBytes {
			break
		}
		end, quoted = end+size, opened
	}
	kept := bytes.Clone(line[:end])
	if quoted {
		kept = append(kept, '"')
	}
	return append(kept, '\n')
}

// characterBytes returns the length of the first character of the text, or of its escape sequence in a quoted value.
func characterBytes(text []byte, quoted bool) int {
	if quoted && text[0] == '\\' {
		if text[1] == 'u' {
			return len(`\u0000`)
		}
		return len(`\n`)
	}
	_, size := utf8.DecodeRune(text)
	return size
}

// refill returns the token bucket of the kind after adding the tokens earned since its last use. The mutex is held.
func (eventLog *EventLog) refill(kind string, now time.Time) *tokenBucket {
	bucket, ok := eventLog.buckets[kind]
	if !ok {
		bucket = &tokenBucket{tokens: burstLines, updated: now}
		eventLog.buckets[kind] = bucket
	}
	bucket.tokens = min(bucket.tokens+now.Sub(bucket.updated).Seconds()*linesPerSecond, burstLines)
	bucket.updated = now
	return bucket
}
