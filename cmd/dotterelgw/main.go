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

	"dotterelgw/cmd/dotterelgw/hangup"
	"dotterelgw/io/buildinfo"
	"dotterelgw/io/gateway"
	"dotterelgw/io/node"
	"dotterelgw/io/observe"
	"dotterelgw/io/settings"
	"dotterelgw/platform"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	err := run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	if err != nil && !errors.Is(err, flag.ErrHelp) {
		fmt.Fprintln(os.Stderr, "dotterelgw:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context, arguments []string, stdout, stderr io.Writer) error {
	newFlagSet := func(name string) *flag.FlagSet { return flag.NewFlagSet(name, flag.ContinueOnError) }
	// The settings package parses the flags of serve, so this command bypasses the flag parsing below.
	if len(arguments) > 0 && arguments[0] == "serve" {
		return serve(ctx, arguments[1:], stdout, stderr)
	}
	nodeFlags := newFlagSet("node")
	nodeConfig := nodeFlags.String("config", "", "settings file (TOML)")
	nodeCheck := &ffcli.Command{
		Name: "check", ShortUsage: "dotterelgw node check FILE", ShortHelp: "checks the settings file of a node and prints every fault", FlagSet: newFlagSet("check"),
		Exec: func(_ context.Context, arguments []string) error { return checkNode(arguments, stdout) },
	}
	nodeCommand := &ffcli.Command{
		Name: "node", ShortUsage: "dotterelgw node -config FILE", ShortHelp: "runs the proxy on the prepared platform until SIGTERM",
		FlagSet: nodeFlags, Subcommands: []*ffcli.Command{nodeCheck},
		Exec: func(ctx context.Context, arguments []string) error {
			return serveNode(ctx, *nodeConfig, arguments, stdout)
		},
	}
	check := &ffcli.Command{
		Name: "check", ShortUsage: "dotterelgw config check FILE", ShortHelp: "checks a settings file and prints every fault", FlagSet: newFlagSet("check"),
		Exec: func(_ context.Context, arguments []string) error { return checkSettings(arguments, stdout) },
	}
	config := &ffcli.Command{
		Name: "config", ShortUsage: "dotterelgw config check FILE", Subcommands: []*ffcli.Command{check},
		Exec: func(context.Context, []string) error { return flag.ErrHelp },
	}
	version := &ffcli.Command{
		Name: "version", ShortHelp: "prints the version", Exec: func(context.Context, []string) error { return printVersion(stdout) },
	}
	serve := &ffcli.Command{Name: "serve", ShortUsage: "dotterelgw serve -config FILE", ShortHelp: "runs the proxy until SIGTERM"}
	root := &ffcli.Command{
		Name: "dotterelgw", ShortUsage: "dotterelgw serve|node|config|version", Subcommands: []*ffcli.Command{serve, nodeCommand, config, version},
		Exec: func(context.Context, []string) error { return flag.ErrHelp },
	}
	return root.ParseAndRun(ctx, arguments)
}

// serve runs the proxy until the context ends. It prints the listen addresses to stdout as one line of JSON.
func serve(ctx context.Context, arguments []string, stdout, stderr io.Writer) error {
	hangup.Reset()
	settings, err := settings.Load(arguments)
	if err != nil {
		return err
	}
	gateway, err := gateway.New(settings, observe.NewLogger(stderr, settings.Log.Level))
	if err != nil {
		return fmt.Errorf("starting the proxy: %w", err)
	}
	if err := json.NewEncoder(stdout).Encode(gateway.Addresses()); err != nil {
		return fmt.Errorf("printing the addresses: %w", err)
	}
	return gateway.Run(ctx)
}

// serveNode runs the proxy on the prepared platform. The log goes to stdout, and SIGHUP reloads the settings file.
func serveNode(ctx context.Context, file string, arguments []string, stdout io.Writer) error {
	if file == "" || len(arguments) > 0 {
		return errors.New("node requires -config FILE and no other arguments")
	}
	return platform.Run(ctx, file, stdout, hangup.Signals())
}

func checkNode(arguments []string, stdout io.Writer) error {
	if len(arguments) != 1 {
		return errors.New("node check requires exactly one file")
	}
	if _, err := node.Load(arguments[0]); err != nil {
		return err
	}
	fmt.Fprintln(stdout, arguments[0]+": valid")
	return nil
}

func checkSettings(arguments []string, stdout io.Writer) error {
	if len(arguments) != 1 {
		return errors.New("config check requires exactly one file")
	}
	if _, err := settings.Load([]string{"-config", arguments[0]}); err != nil {
		return err
	}
	fmt.Fprintln(stdout, arguments[0]+": valid")
	return nil
}

func printVersion(stdout io.Writer) error {
	build := buildinfo.Read()
	if build.GoVersion == buildinfo.Unknown {
		return errors.New("the binary contains no build information")
	}
	fmt.Fprintln(stdout, "dotterelgw", build.Version, "revision", build.Revision, build.GoVersion, "build", build.ID)
	return nil
}
