package main

import (
	"errors"
	"fmt"
	"time"
)

const (
	movedKeyWrites = 6
	movedKeyPause  = 900 * time.Millisecond
	// movedKeyBound is configApplyMs.
	movedKeyBound = 3000 * time.Millisecond
	// movedKeyCalmTenant and movedKeyNewTenant are the tenants that hold the key before and after the change.
	movedKeyCalmTenant = "tenant-a"
	movedKeyNewTenant  = "tenant-b"
)

var errNothingRan = errors.New("no statement ran")

// movedKey moves the key of a client to another tenant while the client is in a transaction.
func movedKey(world *world) (bool, error) {
	client, err := connect(world.nodes[0], primaryHost, "key-1", "client", world.recorder)
	if err != nil {
		return false, err
	}
	defer client.close()
	for _, text := range []string{"BEGIN", "WRITE item1 first"} {
		if _, _, err := client.query(text); err != nil {
			return false, err
		}
	}
	time.Sleep(movedKeyPause)
	if world.trouble {
		if err := world.moveKey(); err != nil {
			return false, err
		}
	}
	acknowledgedAt := time.Now()
	sentAt := make(map[string]time.Time)
	send := func(caller *caller, text string) error {
		at := time.Now()
		id, _, err := caller.query(text)
		sentAt[id] = at
		return err
	}
	for number := range movedKeyWrites {
		if err = send(client, fmt.Sprintf("WRITE item1 %d", number)); err != nil {
			break
		}
		time.Sleep(movedKeyPause)
	}
	if err == nil {
		// An error shows in the record; the judgement rests on what ran.
		_ = send(client, "COMMIT")
	}
	later, err := connect(world.nodes[0], primaryHost, "key-1", "later client", world.recorder)
	if err != nil {
		return false, err
	}
	defer later.close()
	if err := send(later, "READ item1"); err != nil {
		return false, err
	}
	return world.ranForHolder(sentAt, acknowledgedAt)
}

// moveKey publishes a version in which the key belongs to the other tenant.
func (world *world) moveKey() error {
	world.configuration.Tenants[0].APIKeys = []string{"key-2"}
	world.configuration.Tenants[1].APIKeys = []string{"key-1", "key-3"}
	if err := world.store.publish(world.configuration); err != nil {
		return err
	}
	world.recorder.notef("acknowledged: key-1 belongs to %s", movedKeyNewTenant)
	return nil
}

// ranForHolder reports whether each statement that was sent after the bound ran for the tenant that then held the key.
func (world *world) ranForHolder(sentAt map[string]time.Time, acknowledgedAt time.Time) (bool, error) {
	holder := movedKeyCalmTenant
	if world.trouble {
		holder = movedKeyNewTenant
	}
	held, judged := true, 0
	for _, run := range world.groups[serviceNames[0]].runs() {
		at, ok := sentAt[run.id]
		if !ok || at.Sub(acknowledgedAt) <= movedKeyBound {
			continue
		}
		judged++
		if run.tenant != holder {
			held = false
			world.recorder.notef("UNASKED: %s %s, sent %.3f s after the acknowledgement, ran for %s", run.id, run.text, at.Sub(acknowledgedAt).Seconds(), run.tenant)
		}
	}
	if judged == 0 {
		return false, errNothingRan
	}
	return held, nil
}
