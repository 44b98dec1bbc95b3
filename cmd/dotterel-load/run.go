package main

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"os"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"dotterelgw/io/load/engine"
	"dotterelgw/io/load/experiment"
	"dotterelgw/io/load/history"
	"dotterelgw/io/load/report"
	"dotterelgw/io/load/result"
	"dotterelgw/io/load/suite"
)

// runOptions holds the flags of the run command. The bench command uses a part of them.
type runOptions struct {
	out, history, programs, directory string
	duration                          time.Duration
	seed                              uint64
}

func runCommand() *ffcli.Command {
	flags := flag.NewFlagSet("dotterel-load run", flag.ContinueOnError)
	options := runOptions{}
	flags.StringVar(&options.out, "out", "", "files to write without extension: .json, .md and .svg; the experiment's name by default")
	flags.StringVar(&options.history, "history", "", "file for every request, one JSON object a line; empty writes none")
	flags.StringVar(&options.programs, "programs", "", "directory of the built programs for a fleet; that of this program by default")
	flags.StringVar(&options.directory, "directory", "", "directory for the fleet's files; a temporary one by default")
	flags.DurationVar(&options.duration, "duration", 0, "length of the run instead of the experiment's; later failures do not happen")
	flags.Uint64Var(&options.seed, "seed", 0, "seed instead of the experiment's")
	return &ffcli.Command{
		Name: "run", ShortUsage: "dotterel-load run [flags] FILE|frissito|seixal",
		ShortHelp: "runs an experiment; the exit status is 1 if a guarantee was broken", FlagSet: flags,
		Exec: func(ctx context.Context, arguments []string) error {
			if len(arguments) != 1 {
				return errors.New("run requires exactly one experiment")
			}
			return runExperiment(ctx, arguments[0], options)
		},
	}
}

func runExperiment(ctx context.Context, name string, options runOptions) error {
	spec, err := experiment.Load(name)
	if err != nil {
		return err
	}
	if options.duration > 0 {
		spec.Duration = experiment.Duration(options.duration)
		if spec.Warmup >= spec.Duration {
			spec.Warmup = 0
		}
	}
	if options.seed > 0 {
		spec.Seed = options.seed
	}
	if options.out == "" {
		options.out = spec.Name
	}
	target := engine.NewTarget(spec)
	if spec.Fleet != nil {
		running, _, closeFleet, err := startFleet(ctx, spec, options)
		if err != nil {
			return err
		}
		defer closeFleet()
		target = running
	}
	loadAverage := suite.LoadAverage()
	measured, recorded, err := engine.Run(ctx, spec, target, os.Stderr)
	if err != nil {
		return err
	}
	measured.Commit, measured.LoadAverage = suite.Commit(), loadAverage
	if err := save(measured, recorded, options); err != nil {
		return err
	}
	fmt.Printf("%s.json, %s.md and %s.svg written\n", options.out, options.out, options.out)
	if count := len(measured.Violations); count > 0 {
		return fmt.Errorf("%d violations, see %s.md", count, options.out)
	}
	if !measured.Complete {
		return errors.New("the run was interrupted")
	}
	return nil
}

func save(measured *result.Result, recorded *history.History, options runOptions) error {
	if err := measured.Save(options.out + ".json"); err != nil {
		return err
	}
	if err := report.Write(options.out+".md", measured); err != nil {
		return err
	}
	if options.history == "" {
		return nil
	}
	file, err := os.Create(options.history)
	if err != nil {
		return fmt.Errorf("writing the history: %w", err)
	}
	buffered := bufio.NewWriter(file)
	encoder := json.NewEncoder(buffered)
	for index := range recorded.Requests {
		if err = encoder.Encode(&recorded.Requests[index]); err != nil {
			break
		}
	}
	if err = errors.Join(err, buffered.Flush(), file.Close()); err != nil {
		return fmt.Errorf("writing the history: %w", err)
	}
	return nil
}
