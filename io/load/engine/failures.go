package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"dotterelgw/io/load/experiment"
	"dotterelgw/io/load/history"
	"dotterelgw/io/load/result"
)

// faultTimeout bounds the time to carry a fault out or to undo it.
const faultTimeout = 10 * time.Second

// undoing maps the actions on processes to those that end them.
var undoing = map[string]string{"kill": "start", "terminate": "start", "pause": "resume"}

// breakThings carries the failures out at their times. The function that it returns waits for them and undoes what
// is still broken.
func (run *run) breakThings(ctx context.Context) func() []result.Failure {
	done := make([]result.Failure, len(run.experiment.Failures))
	ctx, cancel := context.WithCancel(ctx)
	var breaking sync.WaitGroup
	for index, failure := range run.experiment.Failures {
		breaking.Go(func() { done[index] = run.fault(ctx, failure) })
	}
	return func() []result.Failure {
		cancel()
		breaking.Wait()
		slices.SortStableFunc(done, func(left, right result.Failure) int { return int(1000 * (left.At - right.At)) })
		return done
	}
}

// fault carries one failure out and undoes it when its time or the run is over.
func (run *run) fault(ctx context.Context, failure experiment.Failure) result.Failure {
	done := result.Failure{At: time.Duration(failure.At).Seconds(), Target: failure.Target, Group: failure.Group, What: describe(failure)}
	if !run.waitUntil(ctx, time.Duration(failure.At)) {
		done.Error = "the run ended before"
		return done
	}
	name := failure.Target
	var server experiment.Server
	err := error(nil)
	if len(failure.Switches) > 0 || strings.HasPrefix(name, "primary:") {
		if server, err = run.target.server(ctx, failure.Target); err == nil {
			name, done.Server = server.ID, server.ID
			if done.Group == "" {
				done.Group = server.Group
			}
		}
	}
	// Resolving a primary takes a moment, so the fault begins when it is in effect.
	if err == nil {
		err = run.change(ctx, server, name, failure.Switches, failure.Action)
	}
	done.At, done.Happened = run.now().Seconds(), err == nil
	run.progress.line("%s: %s", name, done.What)
	if err != nil {
		done.Error = err.Error()
		return done
	}
	if failure.Until == 0 {
		return done
	}
	run.waitUntil(ctx, time.Duration(failure.Until))
	if err := run.change(ctx, server, name, failure.Undo, undoing[failure.Action]); err != nil {
		done.Error = "undoing: " + err.Error()
	}
	done.Until = run.now().Seconds()
	run.progress.line("%s: fault undone", name)
	return done
}

// waitUntil waits for a time of the run and states whether it was reached.
func (run *run) waitUntil(ctx context.Context, at time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(at - run.now()):
		return true
	}
}

// change sets switches and acts on a process, even if the run was just interrupted.
func (run *run) change(ctx context.Context, server experiment.Server, name string, switches map[string]any, action string) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), faultTimeout)
	defer cancel()
	if len(switches) > 0 {
		if err := post(ctx, server.Switches, switches); err != nil {
			return fmt.Errorf("setting switches of %s: %w", name, err)
		}
	}
	if action == "" {
		return nil
	}
	if run.target.Process == nil {
		return errors.New("processes can only be acted on in a fleet")
	}
	if err := run.target.Process(ctx, name, action); err != nil {
		return err
	}
	if action == "start" && run.target.Refresh != nil {
		return run.refresh()
	}
	return nil
}

// refresh takes the addresses of the proxies anew.
func (run *run) refresh() error {
	run.refreshing.Lock()
	defer run.refreshing.Unlock()
	run.target.Proxies = run.target.Refresh()
	return run.configure()
}

// post sets switches at the URL of a stand-in's switches.
func post(ctx context.Context, url string, switches map[string]any) error {
	body, err := json.Marshal(switches)
	if err != nil {
		return err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, strings.TrimSuffix(url, "/switches")+"/switches", bytes.NewReader(body))
	if err != nil {
		return err
	}
	request.Header.Set("Content-Type", "application/json")
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	text, err := io.ReadAll(answer.Body)
	if err = errors.Join(err, answer.Body.Close()); err != nil {
		return err
	}
	if answer.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: %s", answer.Status, strings.TrimSpace(string(text)))
	}
	return nil
}

// describe returns what a failure does.
func describe(failure experiment.Failure) string {
	var parts []string
	if failure.Action != "" {
		parts = append(parts, failure.Action)
	}
	for _, name := range slices.Sorted(maps.Keys(failure.Switches)) {
		parts = append(parts, fmt.Sprintf("%s=%v", name, failure.Switches[name]))
	}
	return strings.Join(parts, ", ")
}

// gaps measures the failover gap of each failure that concerns a group.
func (run *run) gaps(recorded *history.History, failures []result.Failure) []result.Failure {
	for index := range failures {
		failure := &failures[index]
		if failure.Group == "" || !failure.Happened {
			continue
		}
		organisations := map[string]bool{}
		for _, organisation := range run.experiment.Organisations {
			organisations[organisation.Name] = organisation.Group == failure.Group
		}
		limit := time.Duration(run.experiment.Duration)
		for _, later := range failures[index+1:] {
			if later.Group == failure.Group {
				limit = min(limit, time.Duration(later.At*float64(time.Second)))
			}
		}
		gap, recovered := result.Gap(recorded, organisations, time.Duration(failure.At*float64(time.Second)), limit)
		failure.GapMS, failure.Recovered = float64(gap.Microseconds())/1000, recovered
	}
	return failures
}
