package main

import (
	"context"
	"fmt"
	"io"
	"os"

	"dotterelgw/io/trace"
)

// timelineFormat formats the time of a line in a timeline. The date is left out; it is in the log files.
const timelineFormat = "15:04:05.000"

// traceRequest prints the timeline of one request from the log files and the cause of its failure, if any.
func (tool *tool) traceRequest(_ context.Context, arguments []string) error {
	const minArguments = 2
	if len(arguments) < minArguments {
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
