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

// sessionsPerSecond is the distance of the session numbers of runs that begin a second apart.
const sessionsPerSecond = 1000

// run is one run under way.
type run struct {
	experiment *experiment.Experiment
	target     *Target
	configs    atomic.Pointer[[]map[string]*pgx.ConnConfig]
	names      []string
	began      time.Time
	base       int64
	sessions   []*session
	progress   *progress
	// refreshing guards the target's proxies while failures are carried out.
	refreshing sync.Mutex
}

// Run carries the experiment out and returns its result and its history. A run that the context ends early has a
// result that is not complete.
func Run(ctx context.Context, described *experiment.Experiment, target *Target, log io.Writer) (*result.Result, *history.History, error) {
	run := &run{experiment: described, target: target, base: time.Now().Unix() * sessionsPerSecond}
	for _, proxy := range target.Proxies {
		run.names = append(run.names, proxy.Name)
	}
	if err := run.configure(); err != nil {
		return nil, nil, err
	}
	if err := run.prepare(ctx); err != nil {
		return nil, nil, fmt.Errorf("creating tables: %w", err)
	}
	before, _ := target.counters(ctx)
	run.began = time.Now()
	run.progress = newProgress(log, time.Duration(described.Duration))
	failures := run.play(ctx)
	complete := ctx.Err() == nil

	// The rows are read back and counters fetched even if the run was interrupted.
	ctx = context.WithoutCancel(ctx)
	after, missing := target.counters(ctx)
	recorded := &history.History{Contents: map[string]map[int64]int{}, Stale: map[string]bool{}}
	for _, session := range run.sessions {
		recorded.Requests = append(recorded.Requests, session.requests...)
	}
	notes := run.readBack(ctx, recorded)
	summed := result.Summarise(described, recorded, run.began)
	summed.Complete = complete
	summed.Failures = run.gaps(recorded, failures)
	summed.Notes = notes
	if len(after) > 0 {
		replica, primary := growth(before, after, "route_replica"), growth(before, after, "route_primary")
		summed.Replica = result.NewReplicaShare(replica, primary, acknowledgedReads(recorded))
	}
	if len(missing) > 0 {
		summed.Notes = append(summed.Notes, "reads served by replicas: no metrics of "+strings.Join(missing, ", "))
	}
	return summed, recorded, nil
}

func (run *run) now() time.Duration { return time.Since(run.began) }

// configure prepares the connection settings of each organisation at each proxy.
func (run *run) configure() error {
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

// config returns a copy of the connection settings of an organisation at a proxy.
func (run *run) config(proxy int, organisation string) *pgx.ConnConfig {
	return (*run.configs.Load())[proxy][organisation].Copy()
}

// play sends all requests and returns the failures as they were carried out.
func (run *run) play(ctx context.Context) []result.Failure {
	duration := time.Duration(run.experiment.Duration)
	// Requests that wait behind others get two more timeouts before they count as failed.
	working, cancel := context.WithTimeout(ctx, duration+2*time.Duration(run.experiment.Timeout))
	defer cancel()
	var dispatching, serving sync.WaitGroup
	for index := range run.experiment.Organisations {
		organisation := &run.experiment.Organisations[index]
		arrivals := schedule.Arrivals(*organisation, duration, run.experiment.Seed, uint64(index))
		sessions := make([]*session, organisation.Sessions)
		for number := range sessions {
			sessions[number] = &session{
				run: run, organisation: organisation, id: run.base + int64(number), queue: make(chan schedule.Arrival, len(arrivals)),
				random: rand.New(rand.NewPCG(run.experiment.Seed, uint64(index)<<32|uint64(number)+1)),
			}
			serving.Go(func() { sessions[number].serve(working) })
		}
		run.sessions = append(run.sessions, sessions...)
		dispatching.Go(func() { run.dispatch(working, arrivals, sessions) })
	}
	reporting, stopReporting := context.WithCancel(ctx)
	var background sync.WaitGroup
	background.Go(func() { run.progress.report(reporting, run.now) })
	failures := run.breakThings(working)
	dispatching.Wait()
	serving.Wait()
	stopReporting()
	background.Wait()
	return failures()
}

// dispatch hands each arrival to its session when it is due, however busy the session is.
func (run *run) dispatch(ctx context.Context, arrivals []schedule.Arrival, sessions []*session) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for _, arrival := range arrivals {
		if wait := arrival.At - run.now(); wait > 0 {
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
