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

// injectTimeout bounds injecting or undoing a fault.
const injectTimeout = 10 * time.Second

// undoActions maps each action on a process to the action that reverses it.
var undoActions = map[string]string{"kill": "start", "terminate": "start", "pause": "resume"}

// startFailures starts injecting the failures at their times. The function that it returns cancels the pending ones, waits
// until the active ones are undone and returns all of them in the order of injection.
func (run *run) startFailures(ctx context.Context) func() []result.Failure {
	injected := make([]result.Failure, len(run.experiment.Failures))
	ctx, cancel := context.WithCancel(ctx)
	var injecting sync.WaitGroup
	for index, failure := range run.experiment.Failures {
		injecting.Go(func() { injected[index] = run.injectFailure(ctx, failure) })
	}
	return func() []result.Failure {
		cancel()
		injecting.Wait()
		slices.SortStableFunc(injected, func(left, right result.Failure) int { return int(1000 * (left.At - right.At)) })
		return injected
	}
}

// injectFailure injects one failure at its time. It undoes the failure at the time Until or at the end of the run, if Until
// is set.
func (run *run) injectFailure(ctx context.Context, failure experiment.Failure) result.Failure {
	injected := result.Failure{At: time.Duration(failure.At).Seconds(), Target: failure.Target, Group: failure.Group, What: describeFailure(failure)}
	if !run.waitUntil(ctx, time.Duration(failure.At)) {
		injected.Error = "the run ended before the failure"
		return injected
	}
	name := failure.Target
	var server experiment.Server
	err := error(nil)
	if len(failure.Switches) > 0 || strings.HasPrefix(name, "primary:") {
		if server, err = run.target.server(ctx, failure.Target); err == nil {
			name, injected.Server = server.ID, server.ID
			if injected.Group == "" {
				injected.Group = server.Group
			}
		}
	}
	// Finding the primary takes time, so At is the time at which the fault takes effect.
	if err == nil {
		err = run.applyFault(ctx, server, name, failure.Switches, failure.Action)
	}
	injected.At, injected.Happened = run.elapsed().Seconds(), err == nil
	run.progress.printf("%s: %s", name, injected.What)
	if err != nil {
		injected.Error = err.Error()
		return injected
	}
	if failure.Until == 0 {
		return injected
	}
	run.waitUntil(ctx, time.Duration(failure.Until))
	if err := run.applyFault(ctx, server, name, failure.Undo, undoActions[failure.Action]); err != nil {
		injected.Error = "undoing the failure: " + err.Error()
	}
	injected.Until = run.elapsed().Seconds()
	run.progress.printf("%s: fault undone", name)
	return injected
}

// waitUntil waits for a time relative to the start of the run and reports whether it was reached before the context ended.
func (run *run) waitUntil(ctx context.Context, at time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(at - run.elapsed()):
		return true
	}
}

// applyFault sets switches of a stand-in and applies an action to a process. It also works after the run was interrupted,
// so that failures are always undone.
func (run *run) applyFault(ctx context.Context, server experiment.Server, name string, switches map[string]any, action string) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), injectTimeout)
	defer cancel()
	if len(switches) > 0 {
		if err := postSwitches(ctx, server.Switches, switches); err != nil {
			return fmt.Errorf("setting switches of %s: %w", name, err)
		}
	}
	if action == "" {
		return nil
	}
	if run.target.ControlProcess == nil {
		return errors.New("processes can only be controlled in a fleet")
	}
	if err := run.target.ControlProcess(ctx, name, action); err != nil {
		return err
	}
	if action == "start" && run.target.Refresh != nil {
		return run.refreshProxies()
	}
	return nil
}

// refreshProxies replaces the addresses of the proxies, which change when a proxy is started again.
func (run *run) refreshProxies() error {
	run.proxiesMutex.Lock()
	defer run.proxiesMutex.Unlock()
	run.target.Proxies = run.target.Refresh()
	return run.parseDSNs()
}

// postSwitches sends switches to the control URL of a stand-in.
func postSwitches(ctx context.Context, url string, switches map[string]any) error {
	body, err := json.Marshal(switches)
	if err != nil {
		return err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, strings.TrimSuffix(url, "/switches")+"/switches", bytes.NewReader(body))
	if err != nil {
		return err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	text, err := io.ReadAll(response.Body)
	if err = errors.Join(err, response.Body.Close()); err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: %s", response.Status, strings.TrimSpace(string(text)))
	}
	return nil
}

// describeFailure returns a short text with the action and the switches of a failure.
func describeFailure(failure experiment.Failure) string {
	var parts []string
	if failure.Action != "" {
		parts = append(parts, failure.Action)
	}
	for _, name := range slices.Sorted(maps.Keys(failure.Switches)) {
		parts = append(parts, fmt.Sprintf("%s=%v", name, failure.Switches[name]))
	}
	return strings.Join(parts, ", ")
}

// measureGaps adds the failover gap to each failure of a group. A gap is measured until the next failure of the same group
// or the end of the run.
func (run *run) measureGaps(recorded *history.History, failures []result.Failure) []result.Failure {
	for index := range failures {
		failure := &failures[index]
		if failure.Group == "" || !failure.Happened {
			continue
		}
		organisations := map[string]bool{}
		for _, organisation := range run.experiment.Organisations {
			organisations[organisation.Name] = organisation.Group == failure.Group
		}
		until := time.Duration(run.experiment.Duration)
		for _, later := range failures[index+1:] {
			if later.Group == failure.Group {
				until = min(until, time.Duration(later.At*float64(time.Second)))
			}
		}
		gap, recovered := result.LongestWriteGap(recorded, organisations, time.Duration(failure.At*float64(time.Second)), until)
		failure.GapMS, failure.Recovered = float64(gap.Microseconds())/1000, recovered
	}
	return failures
}
