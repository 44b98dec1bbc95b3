package main

import (
	"fmt"
	"net"
	"sync"
	"time"

	"dotterelgw/platform/standin"
)

const (
	// promotionTime is the time from an accepted promotion to the new primary.
	promotionTime = 600 * time.Millisecond
	// heartbeatInterval is the time between two registrations of a database. A registration is removed after three silent intervals.
	heartbeatInterval = 1200 * time.Millisecond
	// handoverTime is how long an old primary continues once it can reach the new one.
	handoverTime = time.Second
	// replicationTime is the time until a replica has received a commit.
	replicationTime = 3 * time.Millisecond
)

// commit is one entry of a log: the write of one statement or transaction.
type commit struct {
	id string
	at time.Time
}

// group is a database group whose primary acknowledges a commit once one replica has received it.
type group struct {
	name   string
	store  *standin.Store
	record *record

	mutex     sync.Mutex
	changed   chan struct{}
	databases []*database
	// lives counts the starts of databases, each of which has an id of its own.
	lives int
	// promotions holds the promotions that took effect.
	promotions []promotion
	// executed counts by id of the statement how often a write was committed.
	executed map[string]int
}

// promotion is a promotion that took effect, with the log of the new primary at that time.
type promotion struct {
	at       time.Time
	database string
	log      map[string]bool
}

// database is one database of a group. The mutex of the group guards its fields.
type database struct {
	group    *group
	address  string
	id       string
	listener net.Listener
	up       bool
	primary  bool
	term     int
	paused   int
	log      []commit
	conns    map[net.Conn]bool
}

// newGroup starts a group of three databases; the first one is the primary.
func newGroup(name string, store *standin.Store, record *record) (*group, error) {
	group := &group{name: name, store: store, record: record, changed: make(chan struct{}), executed: make(map[string]int)}
	for index := range 3 {
		database := &database{group: group, address: loopback(firstDatabase+index) + ":0", term: 1, primary: index == 0}
		group.databases = append(group.databases, database)
		if err := database.start(); err != nil {
			return nil, err
		}
	}
	return group, nil
}

// start starts the database with the log that it had, under a new id.
func (database *database) start() error {
	listener, err := net.Listen("tcp", database.address)
	if err != nil {
		return fmt.Errorf("starting a database: %w", err)
	}
	group := database.group
	group.mutex.Lock()
	group.lives++
	database.id = fmt.Sprintf("i-%04x", 0x7a30+group.lives)
	database.address, database.listener, database.conns = listener.Addr().String(), listener, make(map[net.Conn]bool)
	database.up, database.paused = true, 0
	if primary := group.leader(); primary != nil && primary.term > database.term {
		database.primary = false
	}
	group.settle()
	id := database.id
	group.mutex.Unlock()
	group.record.note("database %s starts", id)
	go database.accept(listener)
	go database.heartbeat(id)
	return nil
}

// crash ends the database without a word.
func (database *database) crash() {
	group := database.group
	group.mutex.Lock()
	defer group.mutex.Unlock()
	group.record.note("database %s crashes", database.id)
	database.up = false
	_ = database.listener.Close()
	for conn := range database.conns {
		_ = conn.Close()
	}
	group.wake()
}

// heartbeat registers the database while it runs under the id, and removes the registration when it has been silent.
func (database *database) heartbeat(id string) {
	born := time.Now().UnixMilli()
	for number := 1; ; number++ {
		database.group.mutex.Lock()
		alive, role, address := database.up && database.id == id, "replica", database.address
		if database.primary {
			role = "primary"
		}
		changed := database.group.changed
		database.group.mutex.Unlock()
		if !alive {
			time.Sleep(3 * heartbeatInterval)
			database.group.store.Delete("servers/" + id)
			return
		}
		value := fmt.Sprintf(`{"service":%q,"address":%q,"zone":"maia","version":"1","slots":2,"state":"ready","coldLeftMs":0,"dbRole":%q,"born":%d,"seqNo":%d}`,
			database.group.name, address, role, born, number)
		database.group.store.Put("servers/"+id, []byte(value))
		select {
		case <-changed:
			time.Sleep(20 * time.Millisecond)
		case <-time.After(heartbeatInterval):
		}
	}
}

// leader returns the running primary of the highest term, nil if there is none. The mutex is held.
func (group *group) leader() *database {
	var leader *database
	for _, database := range group.databases {
		if database.up && database.primary && (leader == nil || database.term > leader.term) {
			leader = database
		}
	}
	return leader
}

// receives reports whether the replica receives the log of the primary. The mutex is held.
func (database *database) receives(primary *database) bool {
	return database != primary && database.up && !database.primary && database.paused <= primary.term && database.term <= primary.term
}

// settle brings the replicas to the log of the leading primary. The mutex is held.
func (group *group) settle() {
	if leader := group.leader(); leader != nil {
		for _, replica := range group.databases {
			if replica.receives(leader) {
				replica.term, replica.paused = leader.term, 0
				replica.log = append([]commit(nil), leader.log...)
			}
		}
	}
	group.wake()
}

// wake wakes the commits that wait for a replica. The mutex is held.
func (group *group) wake() {
	close(group.changed)
	group.changed = make(chan struct{})
}

// received reports whether a replica that receives from the primary exists. The mutex is held.
func (group *group) received(primary *database) bool {
	for _, replica := range group.databases {
		if replica.receives(primary) {
			return true
		}
	}
	return false
}

// promote makes the database with the id the primary of the next term; false if it does not run.
func (group *group) promote(id string) bool {
	group.mutex.Lock()
	defer group.mutex.Unlock()
	for _, database := range group.databases {
		if database.id == id && database.up {
			if leader := group.leader(); leader != database {
				time.AfterFunc(promotionTime, func() { group.lead(database, id) })
			}
			return true
		}
	}
	return false
}

// lead makes the database the primary of the next term with the log that it has.
func (group *group) lead(successor *database, id string) {
	group.mutex.Lock()
	defer group.mutex.Unlock()
	if successor.id != id || !successor.up || group.leader() == successor {
		return
	}
	old := group.leader()
	term := 0
	for _, database := range group.databases {
		term = max(term, database.term)
	}
	successor.term, successor.primary, successor.paused = term+1, true, 0
	taken := promotion{at: time.Now(), database: id, log: make(map[string]bool)}
	for _, entry := range successor.log {
		taken.log[entry.id] = true
	}
	group.promotions = append(group.promotions, taken)
	group.record.note("database %s leads term %d with %d commits", id, successor.term, len(successor.log))
	if old != nil {
		time.AfterFunc(handoverTime, func() {
			group.mutex.Lock()
			defer group.mutex.Unlock()
			old.primary = false
			group.settle()
		})
	}
	group.settle()
}
