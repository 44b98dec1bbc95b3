package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"

	"github.com/peterbourgon/ff/v3/ffcli"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := run(ctx, os.Args[1:]); err != nil && !errors.Is(err, flag.ErrHelp) {
		fmt.Fprintln(os.Stderr, "dotterel-demo:", err)
		stop()
		os.Exit(1)
	}
}

func run(ctx context.Context, arguments []string) error {
	story := &ffcli.Command{
		Name: "story", ShortHelp: "plays a short story and exits with 0 if every step held",
		Exec: func(ctx context.Context, _ []string) error { return runStory(ctx, os.Stdout) },
	}
	fleet := &ffcli.Command{
		Name: "fleet", ShortHelp: "keeps the processes running until SIGTERM or Ctrl-C; writes .fleet/env",
		Exec: func(ctx context.Context, _ []string) error { return runFleet(ctx, os.Stdout) },
	}
	root := &ffcli.Command{
		Name: "dotterel-demo", ShortUsage: "dotterel-demo story|fleet",
		Subcommands: []*ffcli.Command{story, fleet},
		Exec:        func(context.Context, []string) error { return flag.ErrHelp },
	}
	return root.ParseAndRun(ctx, arguments)
}

// programs returns the directory of the running binary, which also contains the other programs.
func programs() (string, error) {
	program, err := os.Executable()
	if err != nil {
		return "", fmt.Errorf("finding the directory of the programs: %w", err)
	}
	return filepath.Dir(program), nil
}
