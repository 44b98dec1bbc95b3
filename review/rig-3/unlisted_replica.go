package main

import (
	"errors"
	"fmt"
	"sync"
	"time"
)

const (
	unlistedWriters    = 6
	unlistedWritePause = 20 * time.Millisecond
	// unlistedLead is the time for which the clients write in calm.
	unlistedLead = 3 * time.Second
	// unlistedCut is the time for which the replica can't reach the store: two cuts of 5 s, one right after the other.
	unlistedCut = 10 * time.Second
	// unlistedUntilDeaf, unlistedUntilCrash and unlistedUntilKill are the times from the beginning of the cut until the other replica receives
	// nothing, the primary crashes and the nodes are killed.
	unlistedUntilDeaf  = 6500 * time.Millisecond
	unlistedUntilCrash = 6800 * time.Millisecond
	unlistedUntilKill  = 6900 * time.Millisecond
	// unlistedAfter is the time from the end of the cut until the log of the successor is judged.
	unlistedAfter = 3 * time.Second
)

var errNotPromoted = errors.New("nothing was promoted")

// writes holds the writes that were acknowledged, by their items.
type writes struct {
	mutex sync.Mutex
	items []string
}

func (writes *writes) note(name string) {
	writes.mutex.Lock()
	defer writes.mutex.Unlock()
	writes.items = append(writes.items, name)
}

// unlistedReplica cuts a replica off from the store and then loses the primary, while the other replica receives nothing and the nodes are
// killed.
func unlistedReplica(world *world) (bool, error) {
	var acknowledged writes
	done := make(chan struct{})
	var writers sync.WaitGroup
	for index := range unlistedWriters {
		writers.Go(func() { writeItems(world, index, &acknowledged, done) })
	}
	time.Sleep(unlistedLead)
	group := world.groups[serviceNames[0]]
	primary := group.primary()
	end := time.Now().Add(unlistedCut)
	if world.trouble {
		if err := world.loseReplicaAndPrimary(group, primary); err != nil {
			return false, err
		}
	}
	time.Sleep(time.Until(end))
	time.Sleep(unlistedAfter)
	close(done)
	writers.Wait()
	return world.judgeLog(group, primary, &acknowledged)
}

// loseReplicaAndPrimary carries out the disruption and starts the nodes again. The replica reaches the store again at the end of the cut.
func (world *world) loseReplicaAndPrimary(group *group, primary *database) error {
	begin, replicas := time.Now(), group.replicas()
	replicas[0].setUnlisted(true)
	time.AfterFunc(unlistedCut, func() { replicas[0].setUnlisted(false) })
	time.Sleep(time.Until(begin.Add(unlistedUntilDeaf)))
	replicas[1].setDeaf(true)
	time.Sleep(time.Until(begin.Add(unlistedUntilCrash)))
	primary.crash()
	time.Sleep(time.Until(begin.Add(unlistedUntilKill)))
	return world.killAll()
}

// killAll kills all nodes at a time, and starts them again as the platform does.
func (world *world) killAll() error {
	for _, node := range world.nodes {
		node.kill()
	}
	world.recorder.notef("killed all nodes")
	time.Sleep(platformRestart)
	for _, node := range world.nodes {
		if err := node.start(); err != nil {
			return err
		}
	}
	world.recorder.notef("started all nodes")
	return nil
}

// writeItems writes items of their own until done is closed; after a failure it goes on at the next node.
func writeItems(world *world, index int, acknowledged *writes, done <-chan struct{}) {
	var writer *caller
	for number := 1; ; number++ {
		select {
		case <-done:
			return
		case <-time.After(unlistedWritePause):
		}
		if writer == nil {
			node := world.nodes[(index+number)%len(world.nodes)]
			opened, err := connect(node, primaryHost, "key-1", fmt.Sprintf("writer-%d", index), world.recorder)
			if err != nil {
				continue
			}
			writer = opened
		}
		name := fmt.Sprintf("w%dn%d", index, number)
		if _, _, err := writer.query("WRITE " + name + " data"); err != nil {
			writer.close()
			writer = nil
			continue
		}
		acknowledged.note(name)
	}
}

// judgeLog reports whether the log of the promoted database, or of the primary if there was no disruption, has each write that was
// acknowledged at the old primary.
func (world *world) judgeLog(group *group, old *database, acknowledged *writes) (bool, error) {
	log, promoted := group.promoted()
	if world.trouble && !promoted {
		return false, errNotPromoted
	}
	group.mutex.Lock()
	atOld := itemsOf(old.log)
	group.mutex.Unlock()
	atNew, lost := atOld, 0
	if promoted {
		atNew = itemsOf(log)
	}
	for _, name := range acknowledged.items {
		if promoted && atOld[name] && !atNew[name] || !promoted && !atOld[name] {
			lost++
			world.recorder.notef("LOST: the write of %s was acknowledged and isn't in the log", name)
		}
	}
	world.recorder.notef("%d writes acknowledged, %d of them lost", len(acknowledged.items), lost)
	if len(acknowledged.items) == 0 {
		return false, errNothingRan
	}
	return lost == 0, nil
}

// itemsOf returns the items that the commits wrote.
func itemsOf(log []commit) map[string]bool {
	items := make(map[string]bool)
	for _, entry := range log {
		for name := range entry.items {
			items[name] = true
		}
	}
	return items
}
