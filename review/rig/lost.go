package main

import (
	"errors"
	"time"
)

const (
	// primaryAway is how long the primary is down, replicaAway the same for the replica.
	primaryAway = 1500 * time.Millisecond
	replicaAway = 500 * time.Millisecond
	// serviceAway is how long the promotion service turns calls away.
	serviceAway = 7 * time.Second
	// promotionAwayLength is the length of the script.
	promotionAwayLength = 12 * time.Second
)

var errNoOrder = errors.New("no promotion was ordered")

// promotionAway has the promotion service away while the primary and, later, the replica that is not to be promoted restart.
func (deployed *deployment) promotionAway() error {
	group := deployed.group
	began := time.Now()
	deployed.promotions.setAway(true)
	primary := group.databases[0]
	primary.crash()
	time.Sleep(primaryAway)
	if err := primary.start(); err != nil {
		return err
	}
	target := deployed.promotions.target()
	if target == "" {
		return errNoOrder
	}
	time.Sleep(time.Second)
	for _, replica := range group.databases[1:] {
		if replica.id == target {
			continue
		}
		replica.crash()
		time.Sleep(replicaAway)
		if err := replica.start(); err != nil {
			return err
		}
	}
	time.Sleep(time.Until(began.Add(serviceAway)))
	deployed.promotions.setAway(false)
	time.Sleep(5 * time.Second)
	return nil
}

// lacksAcknowledged compares the acknowledged writes with the log of each promoted database, and reports whether one lacks any.
func lacksAcknowledged(deployed *deployment, acks *acknowledged) (broken bool) {
	group, record := deployed.group, deployed.record
	group.mutex.Lock()
	defer group.mutex.Unlock()
	record.note("acknowledged: %d writes; other outcomes: %v; promotions: %d", len(acks.writes), acks.others, len(group.promotions))
	for _, promotion := range group.promotions {
		missing := acks.missing(promotion)
		record.note("promotion of %s: its log has %d commits and lacks %d acknowledged ones", promotion.database, len(promotion.log), len(missing))
		for _, id := range missing {
			record.note("LOST: write %s was answered with COMPLETE and isn't in the log of %s", id, promotion.database)
		}
		broken = broken || len(missing) > 0
	}
	return broken
}
