package bench

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgconn"

	"dotterelgw/core/ids"
	"dotterelgw/standin/fleet"
)

const idleContract = `organisation = "acme"
rate = 1000.0
burst = 1000.0
[limits]
connections = 8000
[[routes]]
name = "main"
group = "g1"
access = "auto"
`

// idleConnections is close to the 5,833 of a VM at the planned size.
const idleConnections = 6000

// residentBytes returns the resident memory of a process.
func residentBytes(b *testing.B, pid int) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		b.Fatal(err)
	}
	for _, line := range strings.Split(string(text), "\n") {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kilobytes, err := strconv.Atoi(strings.Fields(rest)[0])
			if err != nil {
				b.Fatal(err)
			}
			return kilobytes << 10
		}
	}
	b.Fatal("no VmRSS")
	return 0
}

// BenchmarkIdleConnection reports the resident memory of a proxy process per idle caller connection over TLS.
func BenchmarkIdleConnection(b *testing.B) {
	programs := b.TempDir()
	build := exec.Command("go", "build", "-o", programs+string(filepath.Separator), "dotterelgw/cmd/...")
	if output, err := build.CombinedOutput(); err != nil {
		b.Fatalf("%v: %s", err, output)
	}
	ctx, cancel := context.WithTimeout(b.Context(), 2*time.Minute)
	defer cancel()
	running, err := fleet.Start(ctx, fleet.Options{
		Programs: programs, Directory: b.TempDir(), Zones: []ids.AvailabilityZone{"a"}, VMs: 1, Groups: 1, Connections: 20, Slots: 3,
	})
	if err != nil {
		b.Fatal(err)
	}
	defer running.Close()
	if err := running.ApplyGroups(ctx); err != nil {
		b.Fatal(err)
	}
	if err := running.ApplyContract(ctx, "acme", idleContract); err != nil {
		b.Fatal(err)
	}
	key, err := running.CreateKey(ctx, "acme")
	if err != nil {
		b.Fatal(err)
	}
	config, err := pgconn.ParseConfig(running.DSN("vm1", "acme", key, "main"))
	if err != nil {
		b.Fatal(err)
	}
	before := residentBytes(b, running.VM("vm1").PID())
	conns := make([]*pgconn.PgConn, idleConnections)
	var opening sync.WaitGroup
	for worker := range 16 {
		opening.Go(func() {
			for index := worker; index < len(conns); index += 16 {
				if conns[index], err = pgconn.ConnectConfig(ctx, config); err != nil {
					b.Error(err)
					return
				}
			}
		})
	}
	opening.Wait()
	time.Sleep(5 * time.Second) // lets the proxy release the memory used by the log-ins
	b.ReportMetric(float64(residentBytes(b, running.VM("vm1").PID())-before)/idleConnections, "B/connection")
	b.ReportMetric(0, "ns/op")
	for _, conn := range conns {
		if conn != nil {
			_ = conn.Close(ctx)
		}
	}
}
