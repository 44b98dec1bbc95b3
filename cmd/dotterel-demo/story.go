package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"dotterelgw/core/ids"
	"dotterelgw/standin/fleet"
)

// storyTimeout bounds the whole demonstration, including the start of the fleet.
const storyTimeout = 45 * time.Second

// demo runs the steps of the demonstration and prints their results.
type demo struct {
	out   io.Writer
	began time.Time
	fleet *fleet.Fleet
	keys  map[ids.OrganisationID]fleet.Key
}

// step is one step of the demonstration. The result that run returns is printed after the title.
type step struct {
	title string
	run   func(ctx context.Context) (string, error)
}

// runStory starts the fleet, runs the steps in order and returns the error of the first one that fails. The directory with
// the logs is removed only if all steps succeed.
func runStory(ctx context.Context, out io.Writer) error {
	ctx, cancel := context.WithTimeout(ctx, storyTimeout)
	defer cancel()
	directory, err := os.MkdirTemp("", "dotterel-demo-")
	if err != nil {
		return fmt.Errorf("creating the demo's directory: %w", err)
	}
	demo := &demo{out: out, began: time.Now()}
	demo.logf("starting the platform, two groups of three databases and three proxies in three availability zones")
	demo.fleet, demo.keys, err = startWithContracts(ctx, directory)
	if err != nil {
		return fmt.Errorf("%w (logs are in %s)", err, directory)
	}
	defer demo.fleet.Close()
	demo.logf("contracts of %s and %s are in force on every VM", seixal, frissito)
	for _, step := range demo.steps() {
		result, err := step.run(ctx)
		if err != nil {
			return fmt.Errorf("%s: %w (logs are in %s)", step.title, err, directory)
		}
		demo.logf("%s: %s", step.title, result)
	}
	demo.logf("every step held")
	return os.RemoveAll(directory)
}

func (demo *demo) logf(format string, arguments ...any) {
	fmt.Fprintf(demo.out, "%6.2fs  %s\n", time.Since(demo.began).Seconds(), fmt.Sprintf(format, arguments...))
}

func (demo *demo) steps() []step {
	return []step{
		{"a caller writes through vm1", demo.write},
		{"reads are served by replicas", demo.readReplica},
		{"the session moves to vm2 and reads its own write", demo.move},
		{"another organisation's route is refused", demo.refuse},
		{"a key is withdrawn while its caller is connected", demo.withdraw},
		{"the primary is lost and replaced", demo.losePrimary},
	}
}
