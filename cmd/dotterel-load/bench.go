package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"dotterelgw/io/load/engine"
	"dotterelgw/io/load/experiment"
	"dotterelgw/io/load/suite"
	"dotterelgw/standin/fleet"
)

// benchTimeout bounds the measured comparison. The benchmarks of the packages, which make bench runs too, are not included.
const benchTimeout = 8 * time.Minute

func benchCommand() *ffcli.Command {
	flags := flag.NewFlagSet("dotterel-load bench", flag.ContinueOnError)
	out := flags.String("out", "", "file for the report in Markdown; standard output gets it in any case")
	only := flags.String("only", "", "measure only the steps whose names contain the text")
	options := runOptions{}
	flags.StringVar(&options.programs, "programs", "", "directory of the built programs; that of this program by default")
	return &ffcli.Command{
		Name: "bench", ShortUsage: "dotterel-load bench [-out FILE] [-only TEXT]",
		ShortHelp: "measures the users' measures against their targets; the exit status is 1 if a guarantee was broken", FlagSet: flags,
		Exec: func(ctx context.Context, _ []string) error {
			ctx, cancel := context.WithTimeout(ctx, benchTimeout)
			defer cancel()
			report := suite.New(starter{options}, os.Stderr).Run(ctx, *only)
			fmt.Print(report.Markdown())
			if *out != "" {
				if err := os.MkdirAll(filepath.Dir(*out), 0o755); err != nil {
					return fmt.Errorf("writing the report: %w", err)
				}
				if err := os.WriteFile(*out, []byte(report.Markdown()), 0o644); err != nil {
					return fmt.Errorf("writing the report: %w", err)
				}
			}
			if count := len(report.Violations); count > 0 {
				return fmt.Errorf("%d violations", count)
			}
			return nil
		},
	}
}

// starter starts fleets of the built programs and implements suite.Starter.
type starter struct{ options runOptions }

// Start implements suite.Starter.Start.
func (starter starter) Start(ctx context.Context, spec *experiment.Experiment) (*engine.Target, *fleet.Fleet, func(), error) {
	return startFleet(ctx, spec, starter.options)
}

// Fleet implements suite.Starter.Fleet.
func (starter starter) Fleet(ctx context.Context, options fleet.Options) (*fleet.Fleet, func(), error) {
	return startProcesses(ctx, options, starter.options)
}
