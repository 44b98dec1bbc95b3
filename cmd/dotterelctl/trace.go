package main

import (
	"context"
	"fmt"
	"io"
	"os"

	"dotterelgw/io/trace"
)

// timelineFormat is the time of a line in a timeline; the date is that of the log.
const timelineFormat = "15:04:05.000"

// traceRequest prints what the log files say of one request.
func (tool *tool) traceRequest(_ context.Context, arguments []string) error {
	const least = 2
	if len(arguments) < least {
		return &usageError{"trace needs a request and log files", "give the files of all VMs: `dotterelctl trace ID vm1.log vm2.log`"}
	}
	var logs []io.Reader
	for _, name := range arguments[1:] {
		file, err := os.Open(name)
		if err != nil {
			return &usageError{err.Error(), "name files that hold the standard output of the processes"}
		}
		defer func() { _ = file.Close() }()
		logs = append(logs, file)
	}
	timeline, err := trace.Find(arguments[0], logs...)
	if err != nil {
		return err
	}
	if tool.json {
		return tool.printJSON(timeline)
	}
	for _, line := range timeline.Lines {
		fmt.Fprintln(tool.stdout, line.Time.Format(timelineFormat), line)
	}
	if timeline.Cause != "" {
		fmt.Fprintln(tool.stdout, "cause:", timeline.Cause)
	}
	return nil
}
