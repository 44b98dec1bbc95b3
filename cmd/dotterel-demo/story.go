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

// storyTimeout is the time within which the whole demo must end.
const storyTimeout = 45 * time.Second

// teller plays the story and prints what happens.
type teller struct {
	out   io.Writer
	began time.Time
	fleet *fleet.Fleet
	keys  map[ids.OrganisationID]fleet.Key
}

// step is one part of the story; its result is printed behind its title.
type step struct {
	title string
	play  func(ctx context.Context) (string, error)
}

// playStory starts the fleet, plays every step and returns the first that did not hold.
func playStory(ctx context.Context, out io.Writer) error {
	ctx, cancel := context.WithTimeout(ctx, storyTimeout)
	defer cancel()
	directory, err := os.MkdirTemp("", "dotterel-demo-")
	if err != nil {
		return fmt.Errorf("creating the demo's directory: %w", err)
	}
	teller := &teller{out: out, began: time.Now()}
	teller.say("starting the platform, two groups of three databases and three proxies in three availability zones")
	teller.fleet, teller.keys, err = startWithContracts(ctx, directory)
	if err != nil {
		return fmt.Errorf("%w (logs are in %s)", err, directory)
	}
	defer teller.fleet.Close()
	teller.say("contracts of %s and %s are in force on every VM", seixal, frissito)
	for _, step := range teller.steps() {
		result, err := step.play(ctx)
		if err != nil {
			return fmt.Errorf("%s: %w (logs are in %s)", step.title, err, directory)
		}
		teller.say("%s: %s", step.title, result)
	}
	teller.say("every step held")
	return os.RemoveAll(directory)
}

func (teller *teller) say(format string, arguments ...any) {
	fmt.Fprintf(teller.out, "%6.2fs  %s\n", time.Since(teller.began).Seconds(), fmt.Sprintf(format, arguments...))
}

func (teller *teller) steps() []step {
	return []step{
		{"a caller writes through vm1", teller.write},
		{"reads are served by replicas", teller.readReplica},
		{"the session moves to vm2 and reads its own write", teller.move},
		{"another organisation's route is refused", teller.refuse},
		{"a key is withdrawn while its caller is connected", teller.withdraw},
		{"the primary is lost and replaced", teller.losePrimary},
	}
}
