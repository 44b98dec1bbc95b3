package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/peterbourgon/ff/v3/ffcli"

	"dotterelgw/io/load/experiment"
	"dotterelgw/io/load/result"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := run(ctx, os.Args[1:]); err != nil && !errors.Is(err, flag.ErrHelp) {
		fmt.Fprintln(os.Stderr, "dotterel-load:", err)
		stop()
		os.Exit(1)
	}
}

func run(ctx context.Context, arguments []string) error {
	compare := &ffcli.Command{
		Name: "compare", ShortUsage: "dotterel-load compare A B", ShortHelp: "compares two JSON results",
		Exec: func(_ context.Context, arguments []string) error { return compareResults(arguments) },
	}
	profile := &ffcli.Command{
		Name: "profile", ShortUsage: "dotterel-load profile frissito|seixal", ShortHelp: "prints a profile as a starting point",
		Exec: func(_ context.Context, arguments []string) error {
			if len(arguments) != 1 {
				return errors.New("profile requires the name of a profile")
			}
			text, err := experiment.Profile(arguments[0])
			if err != nil {
				return fmt.Errorf("unknown profile %q; the profiles are frissito and seixal", arguments[0])
			}
			_, err = os.Stdout.Write(text)
			return err
		},
	}
	root := &ffcli.Command{
		Name: "dotterel-load", ShortUsage: "dotterel-load run|bench|compare|profile",
		Subcommands: []*ffcli.Command{runCommand(), benchCommand(), compare, profile},
		Exec:        func(context.Context, []string) error { return flag.ErrHelp },
	}
	return root.ParseAndRun(ctx, arguments)
}

func compareResults(files []string) error {
	if len(files) != 2 {
		return errors.New("compare requires two JSON results")
	}
	left, err := result.Read(files[0])
	if err != nil {
		return err
	}
	right, err := result.Read(files[1])
	if err != nil {
		return err
	}
	return result.Compare(os.Stdout, files[0], left, files[1], right)
}
