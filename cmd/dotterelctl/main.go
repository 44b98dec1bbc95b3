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
	"strings"
	"syscall"
	"time"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"

	"dotterelgw/io/admin"
)

// Exit codes, as documented in the package comment.
const (
	exitDone        = 0
	exitUsage       = 1
	exitRefused     = 2
	exitConflict    = 3
	exitUnreachable = 4
	exitNotInForce  = 5
)

// defaultWait exceeds the 18 s that a change takes to come into force at the planned deployment size.
const defaultWait = 20 * time.Second

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}

// tool holds the flags and output writers of one invocation.
type tool struct {
	stdout, stderr io.Writer

	admin          string
	credentialFile string
	ca             string
	json           bool
	wait           bool
	waitTimeout    time.Duration
	revision       int64
	changeID       string
}

// run executes the command line and returns the exit code.
func run(ctx context.Context, arguments []string, stdout, stderr io.Writer) int {
	tool := &tool{stdout: stdout, stderr: stderr}
	rootFlags := tool.flags("dotterelctl")
	root := &ffcli.Command{
		Name:       "dotterelctl",
		ShortUsage: "dotterelctl [flags] contract|key|group|status|refusal|trace|evacuations|explain|drain ...",
		LongHelp: "Exit codes: 0 done; 1 wrong usage; 2 refused or invalid; 3 conflict with another change;\n" +
			"4 no administration API answered, or the outcome is unknown; 5 stored, but not yet in force everywhere.\n" +
			"Flags may stand before or after the command; they can be set by the environment as DOTTEREL_ADMIN and so on.",
		FlagSet: rootFlags,
		Options: []ff.Option{ff.WithEnvVarPrefix("DOTTEREL")},
		Subcommands: []*ffcli.Command{
			tool.commandGroup("contract", "applies, shows and withdraws contracts",
				tool.command("apply", "FILE", "applies the contract in the file (- for standard input)", tool.applyContract),
				tool.command("list", "", "lists all contracts", tool.listContracts),
				tool.command("show", "ORG", "shows a contract; its output can be edited and applied", tool.showContract),
				tool.command("withdraw", "ORG", "withdraws a contract with all its keys", tool.withdrawContract)),
			tool.commandGroup("key", "gives and withdraws keys",
				tool.command("give", "ORG [KEY_ID]", "gives a new key and shows it once", tool.giveKey),
				tool.command("withdraw", "ORG KEY_ID", "withdraws a key; open sessions end within 5 s", tool.withdrawKey)),
			tool.commandGroup("group", "applies and lists database groups",
				tool.command("apply", "FILE", "applies the group in the file (- for standard input)", tool.applyGroup),
				tool.command("list", "", "lists the groups", tool.listGroups)),
			tool.command("status", "", "shows members, revision and groups", tool.status),
			tool.commandGroup("refusal", "explains refusals",
				tool.command("explain", "ID", "explains a refusal by the identifier in its detail", tool.explainRefusal)),
			tool.command("trace", "REQUEST FILE...", "finds a request in log files and says why it failed", tool.traceRequest),
			tool.command("evacuations", "FILE...", "says from log files how far evacuations of availability zones are", tool.showEvacuations),
			tool.command("explain", "ADDRESS ROUTE ORGANISATION OPERATION [GROUP:TERM.LOG]", "asks a VM of the prepared platform where an operation would go now", tool.explainOperation),
			tool.command("drain", "VM", "begins the planned stop of a VM", tool.drain),
		},
		Exec: showUsage,
	}
	return tool.report(root.ParseAndRun(ctx, arguments))
}

// flags returns a flag set with the common flags. Every command gets its own set, so that the flags are accepted both
// before and after the command.
func (tool *tool) flags(name string) *flag.FlagSet {
	flags := flag.NewFlagSet(name, flag.ContinueOnError)
	flags.SetOutput(tool.stderr)
	flags.StringVar(&tool.admin, "admin", "", "URLs of administration APIs, separated by commas; the first that answers is used")
	flags.StringVar(&tool.credentialFile, "credential-file", "", "file with the operator's credential")
	flags.StringVar(&tool.ca, "ca", "", "PEM file with the certificate authority of the administration API")
	flags.BoolVar(&tool.json, "json", false, "print JSON")
	flags.BoolVar(&tool.wait, "wait", false, "wait until the change is in force on every live VM")
	flags.DurationVar(&tool.waitTimeout, "wait-timeout", defaultWait, "longest wait with -wait")
	flags.Int64Var(&tool.revision, "revision", -1, "revision that the change replaces; -1 takes it from the file, or the version in force")
	flags.StringVar(&tool.changeID, "change-id", "", "identifier of the change, to repeat one whose outcome is unknown")
	return flags
}

func (tool *tool) commandGroup(name, help string, commands ...*ffcli.Command) *ffcli.Command {
	return &ffcli.Command{
		Name: name, ShortUsage: "dotterelctl " + name + " COMMAND", ShortHelp: help,
		FlagSet: tool.flags("dotterelctl " + name), Subcommands: commands, Exec: showUsage,
	}
}

func (tool *tool) command(name, arguments, help string, exec func(ctx context.Context, arguments []string) error) *ffcli.Command {
	flags := tool.flags(name)
	return &ffcli.Command{
		Name: name, ShortUsage: name + " [flags] " + arguments, ShortHelp: help, FlagSet: flags,
		Exec: func(ctx context.Context, arguments []string) error {
			positional, err := parseInterleaved(flags, arguments)
			if err != nil {
				return err
			}
			return exec(ctx, positional)
		},
	}
}

// parseInterleaved parses flags that follow positional arguments and returns the positional arguments.
func parseInterleaved(flags *flag.FlagSet, arguments []string) ([]string, error) {
	var positional []string
	for len(arguments) > 0 {
		if first := arguments[0]; !strings.HasPrefix(first, "-") || first == "-" {
			positional = append(positional, first)
			arguments = arguments[1:]
			continue
		}
		if err := flags.Parse(arguments); err != nil {
			return nil, &usageError{err.Error(), "see the flags with -h"}
		}
		arguments = flags.Args()
	}
	return positional, nil
}

// showUsage is run when no subcommand is given; its error makes ffcli print the usage.
func showUsage(context.Context, []string) error { return flag.ErrHelp }

// usageError reports an invalid command line; next tells the operator how to correct it.
type usageError struct{ message, next string }

// Error implements error.Error.
func (err *usageError) Error() string { return err.message }

// unreachableError reports that no administration API answered.
type unreachableError struct{ err error }

// Error implements error.Error.
func (err *unreachableError) Error() string {
	return "no administration API answered: " + err.err.Error()
}

// Unwrap returns the joined errors of all attempts.
func (err *unreachableError) Unwrap() error { return err.err }

// notInForceError reports that a change is stored but not yet in force on every live VM.
type notInForceError struct{ changeResult admin.ChangeResult }

// Error implements error.Error.
func (err *notInForceError) Error() string {
	if len(err.changeResult.Missing) == 0 {
		return fmt.Sprintf("revision %d is stored, but it could not be confirmed on every VM in time", err.changeResult.Revision)
	}
	return fmt.Sprintf("revision %d is stored, but not yet in force on %s", err.changeResult.Revision, joinNames(err.changeResult.Missing))
}

// report prints an error together with the next step for the operator, and returns the exit code.
func (tool *tool) report(err error) int {
	if err == nil {
		return exitDone
	}
	problem := &admin.Problem{Message: err.Error()}
	code := exitUsage
	var (
		usage       *usageError
		unreachable *unreachableError
		notInForce  *notInForceError
	)
	switch {
	case errors.Is(err, flag.ErrHelp):
		return exitUsage // ffcli has printed the usage
	case errors.As(err, &usage):
		problem.Next = usage.next
	case errors.As(err, &unreachable):
		code = exitUnreachable
		problem.Next = "check -admin and -ca, or name other VMs; nothing is known to have changed"
		if tool.changeID != "" {
			problem.Next = "repeat the command with -change-id " + tool.changeID + ": it takes effect once at most"
		}
	case errors.As(err, &notInForce):
		code = exitNotInForce
		problem.Next = "see `dotterelctl status`; VMs that cannot confirm the revision stop admitting requests within 3 s"
	case errors.As(err, &problem):
		code = exitCode(problem.Code)
	default:
		problem.Next = "see dotterelctl -h"
	}
	if tool.json {
		_ = json.NewEncoder(tool.stderr).Encode(problem)
		return code
	}
	fmt.Fprintf(tool.stderr, "dotterelctl: %s\nnext: %s\n", problem.Message, problem.Next)
	if problem.ChangeID != "" && problem.Code == admin.CodeOutcomeUnknown {
		fmt.Fprintf(tool.stderr, "change id: %s\n", problem.ChangeID)
	}
	printVersion(tool.stderr, "stored version", problem.Current)
	printVersion(tool.stderr, "your version", problem.Yours)
	return code
}

func exitCode(code admin.Code) int {
	switch code {
	case admin.CodeConflict:
		return exitConflict
	case admin.CodeUnavailable, admin.CodeOutcomeUnknown:
		return exitUnreachable
	default:
		return exitRefused
	}
}
