package suite

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgconn"

	"dotterelgw/core/ids"
	"dotterelgw/io/load/result"
	"dotterelgw/standin/fleet"
)

const (
	callers         = 64
	overheadRounds  = 3
	overheadMeasure = 2 * time.Second
	overheadWarmup  = 500 * time.Millisecond
	// pacedRate is a load in statements/s that saturates neither the proxy nor the database stand-in.
	pacedRate = 5000
	// constantStatement is the statement that the database stand-in can answer from memory.
	constantStatement = "SELECT 1"
	// rateSQLState is the SQLSTATE of a refusal for the rate.
	rateSQLState = "53400"
	bench        = ids.OrganisationID("bench")
)

const overheadContract = `organisation = "bench"
rate = 1000000.0
burst = 1000000.0
[limits]
connections = 200
transactions = 100
queue = 1000
queue_timeout_ms = 5000
[[routes]]
name = "main"
group = "g1"
access = "auto"
`

// overhead compares statements sent through one proxy with statements sent directly to the database stand-in. Both use the
// same number of callers and no TLS.
func (suite *Suite) overhead(ctx context.Context, table table) error {
	running, end, err := suite.starter.Fleet(ctx, fleet.Options{
		Zones: []ids.AvailabilityZone{"a"}, VMs: 1, Groups: 1, Connections: 2 * callers, Slots: 2 * callers, Plaintext: true, MemoryAnswers: true,
	})
	if err != nil {
		return err
	}
	defer end()
	if err := errors.Join(running.ApplyGroups(ctx), running.ApplyContract(ctx, bench, overheadContract)); err != nil {
		return err
	}
	key, err := running.CreateKey(ctx, bench)
	if err != nil {
		return err
	}
	vm := fleet.VMID(1)
	targets := map[string]string{
		"directly":      fmt.Sprintf("postgres://caller@%s/main?sslmode=disable", running.Groups[0].Servers[0].Address),
		"through proxy": fmt.Sprintf("postgres://%s.%s:%s@%s/main?sslmode=disable", bench, key.ID, key.Secret, running.VM(vm).Addresses["caller"]),
	}
	for _, load := range []struct {
		name string
		rate float64
	}{{"64 callers without pause", 0}, {fmt.Sprintf("64 callers at %d/s", pacedRate), pacedRate}} {
		table.experiment = load.name
		loops := map[string]*closedLoop{"directly": newClosedLoop(), "through proxy": newClosedLoop()}
		// The rounds alternate, so that other work on the machine affects both targets equally.
		for range overheadRounds {
			for _, name := range []string{"directly", "through proxy"} {
				if err := loops[name].round(ctx, targets[name], load.rate); err != nil {
					return fmt.Errorf("%s: %w", name, err)
				}
			}
		}
		addOverheadRows(table, loops["directly"], loops["through proxy"], load.rate > 0)
	}
	return nil
}

func addOverheadRows(table table, direct, proxied *closedLoop, paced bool) {
	directly, through := direct.recorder.Latency(), proxied.recorder.Latency()
	if !paced {
		table.add("statements/s through one proxy", fmt.Sprintf("≥ %d", statementsTarget), fmt.Sprintf("%.0f", proxied.rate()),
			verdictOf(proxied.rate() >= statementsTarget))
		table.addInfo("statements/s directly, ratio", fmt.Sprintf("%.0f, %.2f", direct.rate(), proxied.rate()/direct.rate()))
	}
	total := proxied.count + proxied.refused
	table.addAtMost("refused for the rate although within it", maxWrongfulShare, float64(proxied.refused)/float64(max(1, total)))
	for _, at := range []struct {
		name            string
		direct, proxied float64
		target          time.Duration
	}{{"median", directly.P50, through.P50, maxAddedMedian}, {"p99", directly.P99, through.P99, maxAddedP99}} {
		added := time.Duration((at.proxied - at.direct) * float64(time.Millisecond))
		table.add("added time, "+at.name, "≤ "+at.target.String(),
			fmt.Sprintf("%s (%.3f ms against %.3f ms, ratio %.2f)", added.Round(time.Microsecond), at.proxied, at.direct, at.proxied/at.direct),
			verdictOf(added <= at.target))
	}
}

// closedLoop accumulates the figures of all rounds of one target. The load is closed-loop: each caller waits for the
// response before it sends the next statement.
type closedLoop struct {
	mutex    sync.Mutex
	recorder *result.Recorder
	count    int
	refused  int
	took     time.Duration
}

func newClosedLoop() *closedLoop { return &closedLoop{recorder: result.NewRecorder()} }

func (loop *closedLoop) rate() float64 { return float64(loop.count) / loop.took.Seconds() }

// round connects the callers and measures one round. The rate is the sum over all callers in statements/s; with 0 the
// callers send without a pause.
func (loop *closedLoop) round(ctx context.Context, dsn string, rate float64) error {
	conns := make([]*pgconn.PgConn, callers)
	defer func() {
		for _, conn := range conns {
			if conn != nil {
				_ = conn.Close(context.WithoutCancel(ctx))
			}
		}
	}()
	for index := range conns {
		conn, err := pgconn.Connect(ctx, dsn)
		if err != nil {
			return fmt.Errorf("connecting: %w", err)
		}
		conns[index] = conn
	}
	pause := time.Duration(0)
	if rate > 0 {
		pause = time.Duration(callers / rate * float64(time.Second))
	}
	begin := time.Now().Add(overheadWarmup)
	end := begin.Add(overheadMeasure)
	failures := make([]error, len(conns))
	var calling sync.WaitGroup
	for index, conn := range conns {
		calling.Go(func() {
			// The starts of paced callers are spread over one pause.
			due := time.Now().Add(pause * time.Duration(index) / callers)
			failures[index] = loop.call(ctx, conn, due, pause, begin, end)
		})
	}
	calling.Wait()
	loop.took += overheadMeasure
	return errors.Join(failures...)
}

func (loop *closedLoop) call(ctx context.Context, conn *pgconn.PgConn, due time.Time, pause time.Duration, begin, end time.Time) error {
	var latencies []time.Duration
	refused := 0
	for ; time.Now().Before(end); due = due.Add(pause) {
		if pause > 0 {
			time.Sleep(time.Until(due))
		}
		sent := time.Now()
		if _, err := conn.Exec(ctx, constantStatement).ReadAll(); err != nil {
			var pgErr *pgconn.PgError
			if !errors.As(err, &pgErr) || pgErr.Code != rateSQLState {
				return fmt.Errorf("sending a statement: %w", err)
			}
			refused++
			continue
		}
		if answered := time.Now(); sent.After(begin) && answered.Before(end) {
			latencies = append(latencies, answered.Sub(sent))
		}
	}
	loop.mutex.Lock()
	defer loop.mutex.Unlock()
	loop.count += len(latencies)
	loop.refused += refused
	for _, latency := range latencies {
		loop.recorder.Record(latency)
	}
	return nil
}
