package proof

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"

	"dotterelgw/core/ids"
	"dotterelgw/standin/fleet"
)

const (
	acme = ids.OrganisationID("acme")
	// testTimeout ends a test that hangs; it is not a guarantee of the proxy.
	testTimeout = 2 * time.Minute
)

const contractText = `organisation = "acme"
rate = %g
burst = %g
[limits]
connections = 200
transactions = 8
queue = 200
queue_timeout_ms = 5000
[[routes]]
name = "main"
group = "g1"
access = "auto"
`

// programs is the directory of the built programs.
var programs string

func TestMain(m *testing.M) {
	os.Exit(run(m))
}

func run(m *testing.M) int {
	directory, err := os.MkdirTemp("", "dotterel-proof-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(directory) }()
	programs = directory
	build := exec.Command("go", "build", "-o", directory+string(filepath.Separator), "dotterelgw/cmd/...")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "building the programs:", err)
		return 1
	}
	return m.Run()
}

// environment is a running fleet with a contract and a key for one organisation.
type environment struct {
	*fleet.Fleet
	t   *testing.T
	ctx context.Context
	key fleet.Key
}

// limits is an organisation's rate and burst.
type limits struct {
	rate, burst float64
}

var ample = limits{rate: 50000, burst: 50000}

func start(t *testing.T, vms int, lag time.Duration, limits limits) *environment {
	t.Helper()
	return startWith(t, limits, func(options *fleet.Options) { options.VMs, options.Lag = vms, lag })
}

// startWith starts a fleet of three proxies and one group unless the function changes the options.
func startWith(t *testing.T, limits limits, change func(*fleet.Options)) *environment {
	t.Helper()
	t.Parallel()
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	t.Cleanup(cancel)
	options := fleet.Options{
		Programs: programs, Directory: t.TempDir(), Zones: []ids.AvailabilityZone{"a", "b", "c"},
		VMs: 3, Groups: 1, Connections: 40, Slots: 8, DrainDelay: 100 * time.Millisecond,
	}
	change(&options)
	running, err := fleet.Start(ctx, options)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(running.Close)
	environment := &environment{Fleet: running, t: t, ctx: ctx}
	environment.must(running.ApplyGroups(ctx))
	environment.must(running.ApplyContract(ctx, acme, fmt.Sprintf(contractText, limits.rate, limits.burst)))
	environment.key, err = running.CreateKey(ctx, acme)
	environment.must(err)
	return environment
}

func (environment *environment) must(err error) {
	environment.t.Helper()
	if err != nil {
		environment.t.Fatal(err)
	}
}

// connect opens a session on the VM.
func (environment *environment) connect(vm ids.VMID) (*pgx.Conn, error) {
	return pgx.Connect(environment.ctx, environment.DSN(vm, acme, environment.key, "main"))
}

func (environment *environment) mustConnect(vm ids.VMID) *pgx.Conn {
	environment.t.Helper()
	conn, err := environment.connect(vm)
	environment.must(err)
	environment.t.Cleanup(func() { _ = conn.Close(context.Background()) })
	return conn
}

func (environment *environment) exec(conn *pgx.Conn, sql string, arguments ...any) error {
	_, err := conn.Exec(environment.ctx, sql, arguments...)
	return err
}

func (environment *environment) count(conn *pgx.Conn, sql string, arguments ...any) (int, error) {
	var count int
	err := conn.QueryRow(environment.ctx, sql, arguments...).Scan(&count)
	return count, err
}

// pollPause is the interval between two checks of a condition.
const pollPause = 10 * time.Millisecond

// within waits until the condition holds and fails the test if that takes longer than the bound.
func (environment *environment) within(bound time.Duration, what string, holds func() bool) {
	environment.t.Helper()
	for began := time.Now(); !holds(); time.Sleep(pollPause) {
		if waited := time.Since(began); waited > bound {
			environment.t.Fatalf("%s: not within %s", what, bound)
		}
	}
}

// switches sets fault switches of a database.
func (environment *environment) switches(server ids.BackendServerID, switches map[string]any) {
	environment.t.Helper()
	environment.must(environment.SetSwitches(environment.ctx, environment.Databases[server], switches))
}

// sqlState returns the SQLSTATE of the error, or an empty string.
func sqlState(err error) string {
	var refused *pgconn.PgError
	if errors.As(err, &refused) {
		return refused.Code
	}
	return ""
}

// detail returns the detail of the error, or an empty string.
func detail(err error) string {
	var refused *pgconn.PgError
	if errors.As(err, &refused) {
		return refused.Detail
	}
	return ""
}
