package main

import (
	"errors"
	"strconv"
	"sync"
	"time"
)

const (
	rebornRestarts = 3
	// rebornAway is the time that the start of the primary takes; rebornPause lies between two starts.
	rebornAway  = 300 * time.Millisecond
	rebornPause = 10 * time.Second
	rebornLead  = 4 * time.Second
	// rebornWritePause and rebornReadPause lie between two writes and between two reads of a caller.
	rebornWritePause = 200 * time.Millisecond
	rebornReadPause  = 900 * time.Millisecond
	// rebornMinimumWrites is the number of acknowledged writes below which the scenario says nothing.
	rebornMinimumWrites = 50
)

var errTooFewWrites = errors.New("too few writes were acknowledged")

// acknowledged is the number of the newest write that was acknowledged.
type acknowledged struct {
	mutex  sync.Mutex
	newest int
	writes int
}

func (acknowledged *acknowledged) note(number int) {
	acknowledged.mutex.Lock()
	defer acknowledged.mutex.Unlock()
	acknowledged.newest = max(acknowledged.newest, number)
	acknowledged.writes++
}

func (acknowledged *acknowledged) get() (newest, writes int) {
	acknowledged.mutex.Lock()
	defer acknowledged.mutex.Unlock()
	return acknowledged.newest, acknowledged.writes
}

// primaryReborn starts the primary of a service again with nothing while callers read on a primary route.
func primaryReborn(world *world) (bool, error) {
	var newest acknowledged
	var stale acknowledged
	done := make(chan struct{})
	var callers sync.WaitGroup
	callers.Go(func() { writeNumbers(world, &newest, done) })
	for index := range world.nodes {
		callers.Go(func() {
			time.Sleep(rebornReadPause * time.Duration(index) / time.Duration(len(world.nodes)))
			readNumbers(world, index, &newest, &stale, done)
		})
	}
	time.Sleep(rebornLead)
	var err error
	for range rebornRestarts {
		if primary := world.groups[serviceNames[0]].primary(); world.trouble && primary != nil {
			primary.crash()
			time.Sleep(rebornAway)
			if err = primary.startAgain(); err != nil {
				break
			}
		}
		time.Sleep(rebornPause)
	}
	close(done)
	callers.Wait()
	_, staleReads := stale.get()
	last, writes := newest.get()
	world.recorder.notef("%d writes acknowledged, the newest %d; %d stale reads", writes, last, staleReads)
	if err == nil && writes < rebornMinimumWrites {
		err = errTooFewWrites
	}
	return staleReads == 0, err
}

// writeNumbers writes rising numbers to one item; after a failure it goes on at the next node.
func writeNumbers(world *world, newest *acknowledged, done <-chan struct{}) {
	var writer *caller
	for number := 1; ; number++ {
		select {
		case <-done:
			return
		case <-time.After(rebornWritePause):
		}
		if writer == nil {
			opened, err := connect(world.nodes[number%len(world.nodes)], primaryHost, "key-1", "writer", world.recorder)
			if err != nil {
				continue
			}
			writer = opened
		}
		if _, _, err := writer.query("WRITE item1 " + strconv.Itoa(number)); err != nil {
			writer.close()
			writer = nil
			continue
		}
		newest.note(number)
	}
}

// readNumbers reads the item at one node and counts the reads that lack an acknowledged write.
func readNumbers(world *world, index int, newest, stale *acknowledged, done <-chan struct{}) {
	var reader *caller
	for {
		select {
		case <-done:
			return
		case <-time.After(rebornReadPause):
		}
		if reader == nil {
			opened, err := connect(world.nodes[index], primaryHost, "key-2", "reader-"+strconv.Itoa(index+1), world.recorder)
			if err != nil {
				continue
			}
			reader = opened
		}
		wanted, _ := newest.get()
		id, rows, err := reader.query("READ item1")
		if err != nil {
			reader.close()
			reader = nil
			continue
		}
		// A missing item is the row "-", which counts as 0.
		read := 0
		if len(rows) == 1 {
			read, _ = strconv.Atoi(rows[0])
		}
		if read < wanted {
			world.recorder.notef("STALE: read %s got %v though write %d was acknowledged before it was sent", id, rows, wanted)
			stale.note(read)
		}
	}
}
