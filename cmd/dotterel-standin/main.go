package main

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/peterbourgon/ff/v3/ffcli"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	err := run(ctx, os.Args[1:], os.Stdout)
	if err != nil && !errors.Is(err, flag.ErrHelp) {
		fmt.Fprintln(os.Stderr, "dotterel-standin:", err)
		stop()
		os.Exit(1)
	}
}

// run executes the command line and runs the stand-in until the context ends. The line with its addresses goes to ready.
func run(ctx context.Context, arguments []string, ready io.Writer) error {
	root := &ffcli.Command{
		Name:        "dotterel-standin",
		ShortUsage:  "dotterel-standin platform|database [flags]",
		ShortHelp:   "runs a stand-in until it is interrupted",
		Subcommands: []*ffcli.Command{platformCommand(ready), databaseCommand(ready)},
		Exec: func(_ context.Context, arguments []string) error {
			if err := rejectArguments(arguments); err != nil {
				return err
			}
			return flag.ErrHelp
		},
	}
	return root.ParseAndRun(ctx, arguments)
}

// announce prints the addresses as one line of JSON. The parent process waits for this line before it uses the stand-in.
func announce(ready io.Writer, addresses any) error {
	if err := json.NewEncoder(ready).Encode(addresses); err != nil {
		return fmt.Errorf("printing the addresses: %w", err)
	}
	return nil
}
