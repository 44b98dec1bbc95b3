package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"

	"dotterelgw/core/ids"
	"dotterelgw/standin/database"
)

// headerTimeout bounds reading the header of a request to the fault switches.
const headerTimeout = 5 * time.Second

// databaseAddresses is the JSON line that the program prints when a database server is ready.
type databaseAddresses struct {
	ID       string `json:"id"`
	Database string `json:"database"`
	Switches string `json:"switches"`
}

func databaseCommand(ready io.Writer) *ffcli.Command {
	flags := flag.NewFlagSet("dotterel-standin database", flag.ContinueOnError)
	settings := database.Settings{}
	flags.StringVar((*string)(&settings.ID), "id", "db", "id of the server")
	flags.StringVar(&settings.Listen, "listen", "127.0.0.1:0", "address of the server; port 0 chooses a free port")
	switches := flags.String("switches", "127.0.0.1:0", "address of the fault switches")
	servers := flags.String("servers", "", "servers of the group as ID=ADDRESS,ID=ADDRESS")
	flags.StringVar((*string)(&settings.Role), "role", string(database.Primary), "initial role: primary or replica")
	flags.Uint64Var((*uint64)(&settings.Term), "term", 1, "initial term")
	flags.StringVar(&settings.Primary, "primary", "", "id or address of the primary that a replica follows at first")
	flags.StringVar(&settings.Password, "password", "", "password of ordinary connections; empty asks for none")
	flags.IntVar(&settings.ConnectionLimit, "connection-limit", 0, "number of ordinary connections; 0 sets no limit")
	flags.IntVar(&settings.Slots, "slots", 0, "number of statements executed at the same time; 0 sets no limit")
	flags.DurationVar(&settings.ConnectTime, "connect-time", 0, "delay before a connection is accepted; 0 means 12ms, negative none")
	flags.DurationVar(&settings.ServiceTime, "service-time", 0, "delay added to each statement while it holds a slot")
	flags.StringVar(&settings.Directory, "directory", "", "directory of the SQLite files; empty uses a temporary one")
	lag := flags.Duration("lag", 0, "time between receiving and replaying a record at first, as the switch lag_ms")
	memory := flags.Bool("memory-answers", false, "answer SELECT 1 from memory, for benchmarks")
	capture := flags.String("capture", "", "file that receives every byte that clients send")
	return &ffcli.Command{
		Name:       "database",
		ShortUsage: "dotterel-standin database [-id ID] [-listen ADDRESS] [-switches ADDRESS] [-servers ID=ADDRESS,...] [flags]",
		ShortHelp:  "one server of a database group, over SQLite",
		FlagSet:    flags,
		Options:    []ff.Option{ff.WithEnvVarPrefix("DOTTEREL_STANDIN_DATABASE")},
		Exec: func(ctx context.Context, arguments []string) error {
			if err := rejectArguments(arguments); err != nil {
				return err
			}
			peers, err := parseServers(*servers)
			if err != nil {
				return err
			}
			settings.Servers = peers
			options := []database.Option{database.WithLog(func(format string, values ...any) {
				fmt.Fprintf(os.Stderr, format+"\n", values...)
			})}
			if *memory {
				options = append(options, database.WithMemoryAnswers())
			}
			if *capture != "" {
				file, err := os.OpenFile(*capture, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
				if err != nil {
					return fmt.Errorf("database: opening the capture file: %w", err)
				}
				defer func() { _ = file.Close() }()
				options = append(options, database.WithCapture(file))
			}
			server, err := database.New(settings, options...)
			if err != nil {
				return fmt.Errorf("database: %w", err)
			}
			server.Change(func(state *database.Switches) { state.LagMS = int(lag.Milliseconds()) })
			return runDatabase(ctx, server, *switches, ready)
		},
	}
}

// runDatabase serves the database server and its fault switches until the context ends.
func runDatabase(ctx context.Context, server *database.Server, switches string, ready io.Writer) error {
	defer server.Close()
	listener, err := net.Listen("tcp", switches)
	if err != nil {
		return fmt.Errorf("database: listening for switches: %w", err)
	}
	mux := http.NewServeMux()
	mux.Handle("/switches", server.SwitchesHandler())
	control := &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout}
	defer func() { _ = control.Close() }()
	go func() { _ = control.Serve(listener) }()
	addresses := databaseAddresses{ID: server.ID(), Database: server.Address(), Switches: listener.Addr().String()}
	if err := announce(ready, addresses); err != nil {
		return err
	}
	if err := server.Run(ctx); err != nil {
		return fmt.Errorf("database: %w", err)
	}
	return nil
}

// parseServers parses a comma-separated list of ID=ADDRESS pairs. Empty elements are skipped.
func parseServers(text string) ([]database.Peer, error) {
	var peers []database.Peer
	for _, item := range strings.FieldsFunc(text, func(r rune) bool { return r == ',' }) {
		id, address, ok := strings.Cut(item, "=")
		if !ok || id == "" || address == "" {
			return nil, fmt.Errorf("-servers: %q is not ID=ADDRESS", item)
		}
		peers = append(peers, database.Peer{ID: ids.BackendServerID(id), Address: address})
	}
	return peers, nil
}

func rejectArguments(arguments []string) error {
	if len(arguments) > 0 {
		return errors.New("unexpected argument " + arguments[0])
	}
	return nil
}
