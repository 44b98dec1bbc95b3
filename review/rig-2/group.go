package main

import (
	"encoding/json"
	"fmt"
	"net"
	"sync"
	"time"
)

const (
	// heartbeat is the time between two registrations of a database.
	heartbeat = 1200 * time.Millisecond
	// promotionTime is the time from the order of a promotion to the new primary.
	promotionTime = 600 * time.Millisecond
	// oldPrimaryTime is how long an old primary goes on that can reach the new one.
	oldPrimaryTime = time.Second
	// applyTime is the time until a replica applies a commit.
	applyTime = 8 * time.Millisecond
	// slots is the number of statements that a database runs at once, maxConns its connection limit.
	slots, maxConns = 2, 32
)

// execution is a statement that a database ran.
type execution struct {
	database string
	tenant   string
	id, text string
	// values holds the session values of the connection.
	values map[string]string
}

// commit is one entry of a log.
type commit struct {
	term  int
	items map[string]string
}

// group is a stand-in for a service: databases of which one is the primary. A commit is acknowledged once one replica has received it.
type group struct {
	name       string
	deployment *deployment
	record     *record

	mutex      sync.Mutex
	databases  []*database
	executions []execution
	signatures int
}

// newGroup starts the databases of a service on the addresses; the first one is the primary.
func newGroup(name string, deployment *deployment, addresses []string) (*group, error) {
	group := &group{name: name, deployment: deployment, record: deployment.record}
	for index, address := range addresses {
		listener, err := net.Listen("tcp", address)
		if err != nil {
			return nil, fmt.Errorf("listening for %s: %w", name, err)
		}
		database := &database{
			group: group, id: fmt.Sprintf("i-%s-%d", name, index), address: listener.Addr().String(), zone: zones[index%len(zones)],
			born: time.Now().UnixMilli(), term: 1, isPrimary: index == 0, work: make(chan struct{}, slots),
		}
		group.databases = append(group.databases, database)
		go database.accept(listener)
	}
	for _, database := range group.databases {
		database.register()
	}
	go func() {
		for range time.Tick(heartbeat) {
			for _, database := range group.databases {
				database.beat()
			}
		}
	}()
	return group, nil
}

// ran returns the statements that the databases ran so far.
func (group *group) ran() []execution {
	group.mutex.Lock()
	defer group.mutex.Unlock()
	return append([]execution(nil), group.executions...)
}

// replicate passes a commit to the replicas that receive from the primary, and reports whether one has. The mutex is held.
func (group *group) replicate(primary *database, entry commit) (received bool) {
	for _, other := range group.databases {
		if other == primary || other.isPrimary || other.paused > primary.term || other.term > primary.term {
			continue
		}
		other.term = primary.term
		other.log = append(other.log, entry)
		number := len(other.log)
		time.AfterFunc(applyTime, func() { other.apply(number) })
		received = true
	}
	return received
}

// register writes the registration of the database.
func (database *database) register() {
	database.group.mutex.Lock()
	database.beats++
	role := "replica"
	if database.isPrimary {
		role = "primary"
	}
	value, _ := json.Marshal(map[string]any{
		"service": database.group.name, "address": database.address, "zone": database.zone, "version": "v1", "slots": slots,
		"state": "ready", "coldLeftMs": 0, "seqNo": database.beats, "dbRole": role, "born": database.born,
	})
	database.group.mutex.Unlock()
	database.group.deployment.store.put("servers/"+database.id, value, foreverLease)
}

// beat counts a heartbeat. The entry in the store changes only when more than the count does.
func (database *database) beat() {
	database.group.mutex.Lock()
	defer database.group.mutex.Unlock()
	database.beats++
}

// lead makes the database the primary of the next term. The replicas follow it at once, an old primary after oldPrimaryTime.
func (database *database) lead() {
	group := database.group
	group.mutex.Lock()
	if database.isPrimary {
		group.mutex.Unlock()
		return
	}
	term := 0
	for _, other := range group.databases {
		term = max(term, other.term)
	}
	database.isPrimary, database.paused, database.term = true, 0, term+1
	for _, other := range group.databases {
		if !other.isPrimary {
			other.follow(database)
		}
	}
	group.record.line("%s leads term %d of %s", database.id, term+1, group.name)
	group.mutex.Unlock()
	database.register()
	time.AfterFunc(oldPrimaryTime, func() {
		for _, other := range group.databases {
			group.mutex.Lock()
			outdated := other.isPrimary && other.term < term+1
			if outdated {
				other.follow(database)
			}
			group.mutex.Unlock()
			if outdated {
				other.register()
			}
		}
	})
}

// follow makes the database a replica with the log of the primary. The mutex of the group is held.
func (database *database) follow(primary *database) {
	database.isPrimary, database.paused, database.term = false, 0, primary.term
	database.log = append([]commit(nil), primary.log...)
	database.applied = len(database.log)
}

// apply makes the first commits of the log visible.
func (database *database) apply(number int) {
	database.group.mutex.Lock()
	defer database.group.mutex.Unlock()
	database.applied = max(database.applied, number)
}
