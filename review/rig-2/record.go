package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file of what was sent, answered and run. It is safe for concurrent use.
type record struct {
	began time.Time

	mutex sync.Mutex
	file  *os.File
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, fmt.Errorf("creating the record: %w", err)
	}
	return &record{began: time.Now(), file: file}, nil
}

// now returns the time since the start of the script.
func (record *record) now() time.Duration { return time.Since(record.began) }

// line writes one line with the time since the start of the script.
func (record *record) line(format string, arguments ...any) {
	record.mutex.Lock()
	defer record.mutex.Unlock()
	fmt.Fprintf(record.file, "%8.3f s  %s\n", record.now().Seconds(), fmt.Sprintf(format, arguments...))
}

func (record *record) close() { _ = record.file.Close() }
