package main

import (
	"fmt"
	"strconv"
	"sync"
	"time"
)

const (
	returnSessions = 16
	// returnWrites is the number of writes of a session before its replica receives nothing more.
	returnWrites     = 12
	returnWritePause = 200 * time.Millisecond
	// returnGap lies between the two versions and after the second one.
	returnGap = 600 * time.Millisecond
	// returnReadTime is the time for which each session reads; returnReadPause lies between its reads.
	returnReadTime  = 700 * time.Millisecond
	returnReadPause = 20 * time.Millisecond
)

// routeReturns moves a read_your_writes route to another service and back while one replica receives nothing.
func routeReturns(world *world) (bool, error) {
	clients, err := world.openSessions()
	if err != nil {
		return false, err
	}
	for number := range returnWrites {
		eachSession(clients, func(index int, client *caller) { _ = writeNumber(client, index, number+1) })
		time.Sleep(returnWritePause)
	}
	replica := world.groups[serviceNames[0]].replicas()[0]
	if world.trouble {
		replica.setDeaf(true)
		defer replica.setDeaf(false)
	}
	own := make([]int, len(clients))
	eachSession(clients, func(index int, client *caller) {
		if writeNumber(client, index, returnWrites+1) == nil {
			own[index] = returnWrites + 1
		}
	})
	if err := world.moveRoute(serviceNames[1]); err != nil {
		return false, err
	}
	eachSession(clients, func(index int, client *caller) { _ = writeNumber(client, index, returnWrites+2) })
	if err := world.moveRoute(serviceNames[0]); err != nil {
		return false, err
	}
	var mutex sync.Mutex
	stale, reads := 0, 0
	eachSession(clients, func(index int, client *caller) {
		for end := time.Now().Add(returnReadTime); time.Now().Before(end); time.Sleep(returnReadPause) {
			id, rows, err := client.query(fmt.Sprintf("READ item%d", index))
			if err != nil || len(rows) != 1 {
				continue
			}
			read, _ := strconv.Atoi(rows[0])
			mutex.Lock()
			reads++
			if read < own[index] {
				stale++
				world.recorder.notef("STALE: read %s of session %d got %d after its own write %d", id, index, read, own[index])
			}
			mutex.Unlock()
		}
	})
	if reads == 0 {
		return false, errNothingRan
	}
	return stale == 0, nil
}

func (world *world) openSessions() ([]*caller, error) {
	var clients []*caller
	for index := range returnSessions {
		client, err := connect(world.nodes[index%len(world.nodes)], readYourWritesHost, "key-1", fmt.Sprintf("session-%d", index), world.recorder)
		if err != nil {
			return nil, err
		}
		clients = append(clients, client)
	}
	return clients, nil
}

// eachSession runs the step for all sessions at a time and waits for its end.
func eachSession(clients []*caller, step func(index int, client *caller)) {
	var running sync.WaitGroup
	for index, client := range clients {
		running.Go(func() { step(index, client) })
	}
	running.Wait()
}

func writeNumber(client *caller, index, number int) error {
	_, _, err := client.query(fmt.Sprintf("WRITE item%d %d", index, number))
	return err
}

// moveRoute publishes a version in which the route leads to the service, and waits; without the disruption it only waits.
func (world *world) moveRoute(service string) error {
	defer time.Sleep(returnGap)
	if !world.trouble {
		return nil
	}
	for index := range world.configuration.Routes {
		if route := &world.configuration.Routes[index]; route.Host == readYourWritesHost {
			route.Service = service
		}
	}
	if err := world.store.publish(world.configuration); err != nil {
		return err
	}
	world.recorder.notef("acknowledged: the route leads to %s", service)
	return nil
}
