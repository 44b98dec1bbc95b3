package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder collects what was sent, answered and run, in the order of its calls. It is safe for concurrent use.
type recorder struct {
	start time.Time

	mutex sync.Mutex
	lines []string
}

func newRecorder() *recorder { return &recorder{start: time.Now()} }

// notef appends a line with the time since the start.
func (recorder *recorder) notef(format string, arguments ...any) {
	recorder.mutex.Lock()
	defer recorder.mutex.Unlock()
	elapsed := time.Since(recorder.start).Seconds()
	recorder.lines = append(recorder.lines, fmt.Sprintf("%8.3f ", elapsed)+fmt.Sprintf(format, arguments...))
}

// save writes the lines to the file.
func (recorder *recorder) save(path string) error {
	recorder.mutex.Lock()
	defer recorder.mutex.Unlock()
	file, err := os.Create(path)
	if err != nil {
		return fmt.Errorf("creating the record: %w", err)
	}
	writer := bufio.NewWriter(file)
	for _, line := range recorder.lines {
		_, _ = writer.WriteString(line + "\n")
	}
	if err := writer.Flush(); err != nil {
		return fmt.Errorf("writing the record: %w", err)
	}
	if err := file.Close(); err != nil {
		return fmt.Errorf("closing the record: %w", err)
	}
	return nil
}
