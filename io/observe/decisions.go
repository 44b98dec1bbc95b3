package observe

import (
	"bytes"
	"io"
	"sync"
	"time"

	"github.com/go-kit/log"
)

const (
	// queueLines is the number of lines that wait for a slow reader of the log.
	queueLines = 2048
	// linesPerSecond is the number of lines of one kind that are written a second; more are counted and left out.
	linesPerSecond = 40
	// burstLines is the number of lines of one kind that may come at once.
	burstLines = 120
)

// Decisions writes one structured line per decision. It bounds the volume by kind and never blocks: lines that do not fit
// are counted, and the next line of the kind tells how many were left out.
type Decisions struct {
	lines  chan []byte
	vm     string
	mutex  sync.Mutex
	kinds  map[string]*budget
	now    func() time.Time
	closed chan struct{}
}

// budget bounds the lines of one kind.
type budget struct {
	tokens  float64
	updated time.Time
	omitted int
}

// NewDecisions returns a log that writes to the writer until Close.
func NewDecisions(writer io.Writer, vm string) *Decisions {
	decisions := &Decisions{
		lines: make(chan []byte, queueLines), vm: vm, kinds: make(map[string]*budget), now: time.Now, closed: make(chan struct{}),
	}
	go decisions.write(writer, decisions.lines)
	return decisions
}

func (decisions *Decisions) write(writer io.Writer, lines <-chan []byte) {
	defer close(decisions.closed)
	for line := range lines {
		// A log that cannot be written leaves nothing to report the error to.
		_, _ = writer.Write(line)
	}
}

// Close waits a moment for the lines that are queued.
func (decisions *Decisions) Close(wait time.Duration) {
	decisions.mutex.Lock()
	close(decisions.lines)
	decisions.lines = nil
	decisions.mutex.Unlock()
	select {
	case <-decisions.closed:
	case <-time.After(wait):
	}
}

// Event writes a line about what the process believes; such lines are few and are left out only if nobody reads the log.
func (decisions *Decisions) Event(kind string, keyvals ...any) { decisions.log(kind, false, keyvals) }

// Request writes a line about one request, within the budget of its kind.
func (decisions *Decisions) Request(kind string, keyvals ...any) { decisions.log(kind, true, keyvals) }

func (decisions *Decisions) log(kind string, bounded bool, keyvals []any) {
	decisions.mutex.Lock()
	defer decisions.mutex.Unlock()
	now := decisions.now()
	held := decisions.budget(kind, now)
	if bounded && held.tokens < 1 || decisions.lines == nil {
		held.omitted++
		return
	}
	held.tokens--
	var line bytes.Buffer
	pairs := append([]any{"time", now.UTC().Format("2006-01-02T15:04:05.000Z"), "vm", decisions.vm, "event", kind}, keyvals...)
	if held.omitted > 0 {
		pairs = append(pairs, "omitted", held.omitted)
	}
	if err := log.NewLogfmtLogger(&line).Log(pairs...); err != nil {
		held.omitted++
		return
	}
	select {
	case decisions.lines <- line.Bytes():
		held.omitted = 0
	default:
		held.omitted++
	}
}

func (decisions *Decisions) budget(kind string, now time.Time) *budget {
	held, ok := decisions.kinds[kind]
	if !ok {
		held = &budget{tokens: burstLines, updated: now}
		decisions.kinds[kind] = held
	}
	held.tokens = min(held.tokens+now.Sub(held.updated).Seconds()*linesPerSecond, burstLines)
	held.updated = now
	return held
}
