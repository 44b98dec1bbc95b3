package engine

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"dotterelgw/io/load/history"
	"dotterelgw/io/load/result"
)

// progress counts the outcomes of requests and prints them once per second.
type progress struct {
	writer   io.Writer
	duration time.Duration

	mutex                        sync.Mutex
	ok, refused, failed, unknown int
	recorder                     *result.Recorder
}

func newProgress(writer io.Writer, duration time.Duration) *progress {
	return &progress{writer: writer, duration: duration, recorder: result.NewRecorder()}
}

// add counts a finished request.
func (progress *progress) add(request *history.Request) {
	progress.mutex.Lock()
	defer progress.mutex.Unlock()
	switch request.Outcome {
	case history.OK:
		progress.ok++
		progress.recorder.Record(request.Latency())
	case history.Refused:
		progress.refused++
	case history.Failed:
		progress.failed++
	case history.Unknown:
		progress.unknown++
	}
}

// printEverySecond prints a line every second until the context ends.
func (progress *progress) printEverySecond(ctx context.Context, now func() time.Duration) {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			progress.printSecond(now())
		}
	}
}

func (progress *progress) printSecond(now time.Duration) {
	progress.mutex.Lock()
	latency := progress.recorder.Latency()
	progress.recorder.Reset()
	ok, refused, failed, unknown := progress.ok, progress.refused, progress.failed, progress.unknown
	progress.mutex.Unlock()
	progress.printf("%3.0f/%.0f s  ok %d  refused %d  failed %d  unknown %d  last second: %d ok, p50 %.1f ms, p99 %.1f ms",
		now.Seconds(), progress.duration.Seconds(), ok, refused, failed, unknown, latency.Count, latency.P50, latency.P99)
}

func (progress *progress) printf(format string, arguments ...any) {
	progress.mutex.Lock()
	defer progress.mutex.Unlock()
	fmt.Fprintf(progress.writer, format+"\n", arguments...)
}
