package observe

import (
	"bytes"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"time"
	"unicode/utf8"

	"github.com/go-logfmt/logfmt"
)

// blockedWriter blocks each write until it is released, as a standard output does that nobody reads.
type blockedWriter struct{ release chan struct{} }

// Write implements io.Writer.Write.
func (blockedWriter blockedWriter) Write(line []byte) (int, error) {
	<-blockedWriter.release
	return len(line), nil
}

// Guards against requests that block because nobody reads the log.
func TestLogNeverBlocks(t *testing.T) {
	output := blockedWriter{release: make(chan struct{})}
	defer close(output.release)
	eventLog := NewEventLog(output, "vm1")
	began := time.Now()
	for range 100_000 {
		eventLog.Event("dependency_lost", "dependency", "store")
	}
	if took := time.Since(began); took > 5*time.Second {
		t.Errorf("100,000 lines took %v without a reader", took)
	}
	eventLog.Close(time.Millisecond)
	eventLog.Event("after the end")
}

// lockedBuffer is a buffer that is safe for concurrent use.
type lockedBuffer struct {
	mutex sync.Mutex
	bytes.Buffer
}

// Write implements io.Writer.Write.
func (lockedBuffer *lockedBuffer) Write(line []byte) (int, error) {
	lockedBuffer.mutex.Lock()
	defer lockedBuffer.mutex.Unlock()
	return lockedBuffer.Buffer.Write(line)
}

// Guards against a log volume that grows with the load, and against omitted lines that are not counted.
func TestVolumeIsBounded(t *testing.T) {
	var output lockedBuffer
	eventLog := NewEventLog(&output, "vm1")
	now := time.Unix(0, 0)
	eventLog.now = func() time.Time { return now }
	for range 10_000 {
		eventLog.LimitedEvent("refused", "reason", "rate_exceeded")
	}
	eventLog.LimitedEvent("answer_lost", "reason", "other kind")
	now = now.Add(time.Second)
	eventLog.LimitedEvent("refused", "reason", "later")
	eventLog.Close(time.Second)
	lines := strings.Split(strings.TrimSpace(output.String()), "\n")
	if len(lines) != burstLines+2 {
		t.Errorf("%d lines, want %d", len(lines), burstLines+2)
	}
	if last := lines[len(lines)-1]; !strings.Contains(last, "reason=later") || !strings.Contains(last, "omitted=9880") {
		t.Errorf("last line %q lacks the number of omitted lines", last)
	}
	for _, field := range []string{"time=1970-01-01T00:00:00.000Z", "vm=vm1", "event=refused", "reason=rate_exceeded"} {
		if !strings.Contains(lines[0], field) {
			t.Errorf("line %q lacks %q", lines[0], field)
		}
	}
}

// Guards against long fields of callers that fill the memory with queued lines, or that join two lines.
func TestLongLinesAreCut(t *testing.T) {
	var output lockedBuffer
	eventLog := NewEventLog(&output, "vm1")
	eventLog.Event("refused", "request", strings.Repeat("x", 1<<20))
	eventLog.Event("refused", "request", "short")
	eventLog.Close(time.Second)
	lines := strings.Split(strings.TrimSpace(output.String()), "\n")
	if len(lines) != 2 || len(lines[0]) != maxLineBytes-1 || !strings.Contains(lines[1], "request=short") {
		t.Errorf("%d lines, the first of %d bytes", len(lines), len(lines[0]))
	}
}

// BenchmarkOmitted measures a line over the rate limit of its kind; the goal is less than 2 us and at most one allocation.
func BenchmarkOmitted(b *testing.B) {
	eventLog := NewEventLog(io.Discard, "vm1")
	defer eventLog.Close(time.Second)
	now := time.Now()
	eventLog.now = func() time.Time { return now }
	b.ReportAllocs()
	for b.Loop() {
		eventLog.LimitedEvent("refused", "request", "5c0e7a21d94b36f8", "reason", "rate_exceeded")
	}
}

// BenchmarkWritten measures a line that is written.
func BenchmarkWritten(b *testing.B) {
	eventLog := NewEventLog(io.Discard, "vm1")
	defer eventLog.Close(time.Second)
	b.ReportAllocs()
	for b.Loop() {
		eventLog.Event("configuration_applied", "version", 7, "revision", 12, "routes", 19)
	}
}

// Guards against a long text of a caller that leaves a line with an open quote, an escape or a character cut in two, with which the rest of
// the log can't be read.
func TestCutLinesCanBeRead(t *testing.T) {
	for name, text := range map[string]string{
		"line feeds": "\n", "quotes": `"`, "backslashes": `\`, "zero bytes": "\x00", "blanks": " ", "outside ASCII": "ü", "quoted, outside ASCII": "日 ", "pairs": "a=b ",
	} {
		for shift := range 8 {
			t.Run(fmt.Sprintf("%s, shifted by %d", name, shift), func(t *testing.T) {
				var output lockedBuffer
				eventLog := NewEventLog(&output, "vm1"+strings.Repeat("x", shift))
				eventLog.Event("refused", "request", strings.Repeat(text, 1<<13), "reason", "protocol_error")
				eventLog.Event("refused", "request", "short")
				eventLog.Close(time.Second)
				if lines := strings.Split(output.String(), "\n"); len(lines) != 3 || len(lines[0]) >= maxLineBytes || !utf8.ValidString(lines[0]) {
					t.Errorf("%d lines, the first of %d bytes: %.200q", len(lines)-1, len(lines[0]), lines[0])
				}
				decoder, last := logfmt.NewDecoder(&output.Buffer), ""
				for decoder.ScanRecord() {
					for decoder.ScanKeyval() {
						last = string(decoder.Value())
					}
				}
				if err := decoder.Err(); err != nil || last != "short" {
					t.Errorf("last value %.40q, error %v", last, err)
				}
			})
		}
	}
}
