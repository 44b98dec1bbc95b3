package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	setUpSessions = 16
	// setUpPauseMin and setUpPauseSpread bound the pause of a session between two writes.
	setUpPauseMin    = 10 * time.Millisecond
	setUpPauseSpread = 30 * time.Millisecond
	setUpLength      = 14 * time.Second
	setUpLead        = 5 * time.Second
	// greyShare is the share of the requests that fail; greyLength the time for which they do.
	greyShare  = 0.30
	greyLength = 6 * time.Second
	// setUpMinimumWrites is the number of runs below which the scenario says nothing.
	setUpMinimumWrites = 200
)

// setUpFails lets the primary fail part of its requests while sessions with different values share its connections.
func setUpFails(world *world) (bool, error) {
	var sessions sync.WaitGroup
	end := time.Now().Add(setUpLength)
	for index := range setUpSessions {
		sessions.Go(func() {
			for time.Now().Before(end) {
				world.writeWithValue(index, end)
			}
		})
	}
	time.Sleep(setUpLead)
	primary := world.groups[serviceNames[0]].primary()
	if world.trouble && primary != nil {
		primary.setFailing(func(string) bool { return rand.Float64() < greyShare })
		world.recorder.notef("%s fails %.2f of its requests", primary.id, greyShare)
		time.Sleep(greyLength)
		primary.setFailing(nil)
	}
	sessions.Wait()
	return world.valuesKept()
}

// setUpValue returns the session value of a session.
func setUpValue(index int) string { return fmt.Sprintf("v%d", index) }

// writeWithValue opens a session, sets its value and writes until a failure or the end.
func (world *world) writeWithValue(index int, end time.Time) {
	node := world.nodes[index%len(world.nodes)]
	client, err := connect(node, primaryHost, "key-1", fmt.Sprintf("session-%d", index), world.recorder)
	if err != nil {
		time.Sleep(setUpPauseSpread)
		return
	}
	defer client.close()
	if _, _, err := client.query("SET zone " + setUpValue(index)); err != nil {
		return
	}
	for time.Now().Before(end) {
		time.Sleep(setUpPauseMin + rand.N(setUpPauseSpread))
		// The item names the session, so that the run shows whose value was due.
		if _, _, err := client.query(fmt.Sprintf("WRITE item%d data", index)); err != nil {
			return
		}
	}
}

// valuesKept reports whether each write ran with the value that was acknowledged to its session.
func (world *world) valuesKept() (bool, error) {
	held, judged := true, 0
	for _, run := range world.groups[serviceNames[0]].runs() {
		var index int
		if _, err := fmt.Sscanf(run.text, "WRITE item%d", &index); err != nil {
			continue
		}
		judged++
		if value := run.values["zone"]; value != setUpValue(index) {
			held = false
			world.recorder.notef("PINNED: %s %s ran with the value %q instead of %q", run.id, run.text, value, setUpValue(index))
		}
	}
	if judged < setUpMinimumWrites {
		return false, errNothingRan
	}
	return held, nil
}
