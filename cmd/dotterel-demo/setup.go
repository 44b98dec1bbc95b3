package main

import (
	"context"
	"fmt"
	"time"

	"dotterelgw/core/ids"
	"dotterelgw/standin/fleet"
)

const (
	seixal   = ids.OrganisationID("seixal")
	frissito = ids.OrganisationID("frissito")
	route    = "bids"
)

const contractText = `organisation = %q
rate = 2000.0
burst = 2000.0
weight = 1.0

[limits]
connections = 100
transactions = 8
queue = 100
queue_timeout_ms = 2000

[[routes]]
name = "bids"
group = %q
access = "auto"
`

// demoOptions returns the options of a fleet of three proxies in three availability zones and two groups of three
// database servers each.
func demoOptions(programs, directory string) fleet.Options {
	return fleet.Options{
		Programs: programs, Directory: directory, Zones: []ids.AvailabilityZone{"pt-norte-a", "pt-norte-b", "pt-norte-c"},
		VMs: 3, Groups: 2, Connections: 30, Slots: 8, Lag: 20 * time.Millisecond, DrainDelay: 200 * time.Millisecond,
	}
}

// startWithContracts starts the fleet and creates a contract and a key for each of the two organisations.
func startWithContracts(ctx context.Context, directory string) (*fleet.Fleet, map[ids.OrganisationID]fleet.Key, error) {
	programs, err := programs()
	if err != nil {
		return nil, nil, err
	}
	running, err := fleet.Start(ctx, demoOptions(programs, directory))
	if err != nil {
		return nil, nil, err
	}
	keys, err := applyContracts(ctx, running)
	if err != nil {
		running.Close()
		return nil, nil, fmt.Errorf("applying the contracts: %w", err)
	}
	return running, keys, nil
}

func applyContracts(ctx context.Context, running *fleet.Fleet) (map[ids.OrganisationID]fleet.Key, error) {
	if err := running.ApplyGroups(ctx); err != nil {
		return nil, err
	}
	keys := make(map[ids.OrganisationID]fleet.Key)
	for organisation, group := range map[ids.OrganisationID]string{seixal: "g1", frissito: "g2"} {
		if err := running.ApplyContract(ctx, organisation, fmt.Sprintf(contractText, organisation, group)); err != nil {
			return nil, err
		}
		key, err := running.CreateKey(ctx, organisation)
		if err != nil {
			return nil, fmt.Errorf("giving a key to %s: %w", organisation, err)
		}
		keys[organisation] = key
	}
	return keys, nil
}
