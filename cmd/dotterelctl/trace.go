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
	logs, closeLogs, err := openLogs(arguments[1:])
	if err != nil {
		return err
	}
	defer closeLogs()
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

// openLogs opens the log files; the function that it returns closes them.
func openLogs(names []string) (logs []io.Reader, closeLogs func(), err error) {
	var files []*os.File
	closeLogs = func() {
		for _, file := range files {
			_ = file.Close()
		}
	}
	for _, name := range names {
		file, err := os.Open(name)
		if err != nil {
			closeLogs()
			return nil, nil, &usageError{err.Error(), "name files that hold the standard output of the processes"}
		}
		files, logs = append(files, file), append(logs, file)
	}
	return logs, closeLogs, nil
}

// showEvacuations prints how far the evacuations of availability zones are, from the log files.
func (tool *tool) showEvacuations(_ context.Context, arguments []string) error {
	if len(arguments) == 0 {
		return &usageError{"evacuations needs log files", "give the files of all VMs: `dotterelctl evacuations vm1.log vm2.log`"}
	}
	logs, closeLogs, err := openLogs(arguments)
	if err != nil {
		return err
	}
	defer closeLogs()
	evacuations, err := trace.Evacuations(logs...)
	if err != nil {
		return err
	}
	if tool.json {
		return tool.printJSON(evacuations)
	}
	rows := [][]string{{"ZONE", "STATE", "VMS LEAVING", "VMS CLOSED", "PRIMARIES KEPT"}}
	for _, evacuation := range evacuations {
		rows = append(rows, []string{
			evacuation.Zone, evacuation.State, fmt.Sprint(len(evacuation.Leaving)), fmt.Sprint(len(evacuation.Closed)), fmt.Sprint(len(evacuation.Kept)),
		})
	}
	tool.printTable(rows)
	for _, evacuation := range evacuations {
		for _, kept := range evacuation.Kept {
			fmt.Fprintf(tool.stdout, "%s: group %s keeps primary %s: %s\n", evacuation.Zone, kept.Group, kept.Primary, kept.Reason)
		}
	}
	return nil
}
