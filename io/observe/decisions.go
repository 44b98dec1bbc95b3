package observe

import (
	"bytes"
	"io"
	"sync"
	"time"

	"github.com/go-kit/log"
)

const (
	// queueCapacity is the number of lines that are queued for the writer, for when the reader of the log is slow.
	queueCapacity = 2048
	// linesPerSecond is the rate limit of each kind of line. Lines over the limit are counted and omitted.
	linesPerSecond = 40
	// burstLines is the number of lines of one kind that may be written at once.
	burstLines = 120
)

// Decisions is a log of events and of decisions on requests, with one structured line for each. It never blocks, and it limits
// the rate by kind: omitted lines are counted, and the next line of the kind carries their number. It is safe for concurrent use.
type Decisions struct {
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

// NewDecisions returns a log that writes to the writer until Close. Each line names the VM.
func NewDecisions(writer io.Writer, vm string) *Decisions {
	decisions := &Decisions{
		lines: make(chan []byte, queueCapacity), vm: vm, buckets: make(map[string]*tokenBucket),
		now: time.Now, closed: make(chan struct{}),
	}
	go decisions.write(writer, decisions.lines)
	return decisions
}

// write writes the queued lines until Close.
func (decisions *Decisions) write(writer io.Writer, lines <-chan []byte) {
	defer close(decisions.closed)
	for line := range lines {
		// The error is ignored, since there is no other place to report it.
		_, _ = writer.Write(line)
	}
}

// Close ends the log and waits until the queued lines are written, at most for the timeout. Later lines are dropped.
func (decisions *Decisions) Close(timeout time.Duration) {
	decisions.mutex.Lock()
	close(decisions.lines)
	decisions.lines = nil
	decisions.mutex.Unlock()
	select {
	case <-decisions.closed:
	case <-time.After(timeout):
	}
}

// Event writes a line about a change of the state of the process. Such lines are few; they are exempt from the rate limit and
// omitted only if the queue is full.
func (decisions *Decisions) Event(kind string, keyvals ...any) { decisions.log(kind, false, keyvals) }

// Request writes a line about one request, within the rate limit of its kind.
func (decisions *Decisions) Request(kind string, keyvals ...any) { decisions.log(kind, true, keyvals) }

// log queues a line; if limited is set, only within the rate limit of its kind.
func (decisions *Decisions) log(kind string, limited bool, keyvals []any) {
	decisions.mutex.Lock()
	defer decisions.mutex.Unlock()
	now := decisions.now()
	bucket := decisions.refill(kind, now)
	if limited && bucket.tokens < 1 || decisions.lines == nil {
		bucket.omitted++
		return
	}
	bucket.tokens--
	var line bytes.Buffer
	pairs := append([]any{"time", now.UTC().Format("2006-01-02T15:04:05.000Z"), "vm", decisions.vm, "event", kind}, keyvals...)
	if bucket.omitted > 0 {
		pairs = append(pairs, "omitted", bucket.omitted)
	}
	if err := log.NewLogfmtLogger(&line).Log(pairs...); err != nil {
		bucket.omitted++
		return
	}
	select {
	case decisions.lines <- line.Bytes():
		bucket.omitted = 0
	default:
		bucket.omitted++
	}
}

// refill returns the token bucket of the kind after adding the tokens earned since its last use. The mutex is held.
func (decisions *Decisions) refill(kind string, now time.Time) *tokenBucket {
	bucket, ok := decisions.buckets[kind]
	if !ok {
		bucket = &tokenBucket{tokens: burstLines, updated: now}
		decisions.buckets[kind] = bucket
	}
	bucket.tokens = min(bucket.tokens+now.Sub(bucket.updated).Seconds()*linesPerSecond, burstLines)
	bucket.updated = now
	return bucket
}
