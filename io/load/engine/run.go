package engine

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jackc/pgx/v5"

	"dotterelgw/io/load/experiment"
	"dotterelgw/io/load/history"
	"dotterelgw/io/load/result"
	"dotterelgw/io/load/schedule"
)

// sessionIDsPerSecond is the number of session ids reserved for each second of wall-clock time, so that runs which start
// at least a second apart use different ids.
const sessionIDsPerSecond = 1000

// run is the state of one run of an experiment.
type run struct {
	experiment     *experiment.Experiment
	target         *Target
	configs        atomic.Pointer[[]map[string]*pgx.ConnConfig]
	proxyNames     []string
	startTime      time.Time
	firstSessionID int64
	sessions       []*session
	progress       *progress
	// proxiesMutex guards target.Proxies while failures are injected.
	proxiesMutex sync.Mutex
}

// Run executes the experiment and returns its result and history. If the context ends early, the result is marked as
// incomplete.
func Run(ctx context.Context, spec *experiment.Experiment, target *Target, log io.Writer) (*result.Result, *history.History, error) {
	run := &run{experiment: spec, target: target, firstSessionID: time.Now().Unix() * sessionIDsPerSecond}
	for _, proxy := range target.Proxies {
		run.proxyNames = append(run.proxyNames, proxy.Name)
	}
	if err := run.parseDSNs(); err != nil {
		return nil, nil, err
	}
	if err := run.createTables(ctx); err != nil {
		return nil, nil, fmt.Errorf("creating tables: %w", err)
	}
	before, _ := target.counters(ctx)
	run.startTime = time.Now()
	run.progress = newProgress(log, time.Duration(spec.Duration))
	failures := run.generateLoad(ctx)
	complete := ctx.Err() == nil

	// The rows are read back and the counters are fetched even if the run was interrupted.
	ctx = context.WithoutCancel(ctx)
	after, missing := target.counters(ctx)
	recorded := &history.History{RowCounts: map[string]map[int64]int{}, AllowStale: map[string]bool{}}
	for _, session := range run.sessions {
		recorded.Requests = append(recorded.Requests, session.requests...)
	}
	notes := run.readBack(ctx, recorded)
	summary := result.Summarise(spec, recorded, run.startTime)
	summary.Complete = complete
	summary.Failures = run.measureGaps(recorded, failures)
	summary.Notes = notes
	if len(after) > 0 {
		replica, primary := counterIncrease(before, after, "route_replica"), counterIncrease(before, after, "route_primary")
		summary.Replica = result.NewReplicaShare(replica, primary, acknowledgedReads(recorded))
	}
	if len(missing) > 0 {
		summary.Notes = append(summary.Notes, "reads served by replicas: no metrics of "+strings.Join(missing, ", "))
	}
	return summary, recorded, nil
}

func (run *run) elapsed() time.Duration { return time.Since(run.startTime) }

// parseDSNs parses the connection settings of each organisation for each proxy.
func (run *run) parseDSNs() error {
	modes := map[string]pgx.QueryExecMode{
		"exec": pgx.QueryExecModeExec, "cache": pgx.QueryExecModeCacheStatement, "simple": pgx.QueryExecModeSimpleProtocol,
	}
	mode, ok := modes[run.experiment.Protocol]
	if !ok {
		return fmt.Errorf("unknown protocol %q", run.experiment.Protocol)
	}
	if len(run.target.Proxies) == 0 {
		return errors.New("the target has no proxies")
	}
	var all []map[string]*pgx.ConnConfig
	for _, proxy := range run.target.Proxies {
		configs := map[string]*pgx.ConnConfig{}
		for name, dsn := range proxy.DSN {
			config, err := pgx.ParseConfig(dsn)
			if err != nil {
				return fmt.Errorf("proxy %s, organisation %s: %w", proxy.Name, name, err)
			}
			config.DefaultQueryExecMode = mode
			configs[name] = config
		}
		all = append(all, configs)
	}
	run.configs.Store(&all)
	return nil
}

// config returns a copy of the connection settings of an organisation for a proxy.
func (run *run) config(proxy int, organisation string) *pgx.ConnConfig {
	return (*run.configs.Load())[proxy][organisation].Copy()
}

// generateLoad sends all requests, injects the failures and returns the injected failures.
func (run *run) generateLoad(ctx context.Context) []result.Failure {
	duration := time.Duration(run.experiment.Duration)
	// Requests that are still queued after the end of the schedule fail after two more timeouts.
	loadCtx, cancel := context.WithTimeout(ctx, duration+2*time.Duration(run.experiment.Timeout))
	defer cancel()
	var dispatching, serving sync.WaitGroup
	for index := range run.experiment.Organisations {
		organisation := &run.experiment.Organisations[index]
		arrivals := schedule.Arrivals(*organisation, duration, run.experiment.Seed, uint64(index))
		sessions := make([]*session, organisation.Sessions)
		for number := range sessions {
			sessions[number] = &session{
				run: run, organisation: organisation, id: run.firstSessionID + int64(number), queue: make(chan schedule.Arrival, len(arrivals)),
				random: rand.New(rand.NewPCG(run.experiment.Seed, uint64(index)<<32|uint64(number)+1)),
			}
			serving.Go(func() { sessions[number].serve(loadCtx) })
		}
		run.sessions = append(run.sessions, sessions...)
		dispatching.Go(func() { run.dispatch(loadCtx, arrivals, sessions) })
	}
	progressCtx, stopProgress := context.WithCancel(ctx)
	var background sync.WaitGroup
	background.Go(func() { run.progress.printEverySecond(progressCtx, run.elapsed) })
	waitForFailures := run.startFailures(loadCtx)
	dispatching.Wait()
	serving.Wait()
	stopProgress()
	background.Wait()
	return waitForFailures()
}

// dispatch queues each arrival at its session when it is due, even if the session is still busy with earlier requests.
func (run *run) dispatch(ctx context.Context, arrivals []schedule.Arrival, sessions []*session) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for _, arrival := range arrivals {
		if wait := arrival.At - run.elapsed(); wait > 0 {
			timer.Reset(wait)
			select {
			case <-timer.C:
			case <-ctx.Done():
			}
		}
		if ctx.Err() != nil {
			break
		}
		sessions[arrival.Session].queue <- arrival
	}
	for _, session := range sessions {
		close(session.queue)
	}
}

func acknowledgedReads(recorded *history.History) int64 {
	count := int64(0)
	for index := range recorded.Requests {
		if request := &recorded.Requests[index]; !request.Writes() && request.Outcome == history.OK {
			count++
		}
	}
	return count
}
