package main

import (
	"encoding/json"
	"fmt"
	"net"
	"time"
)

const (
	heartbeatInterval = 1200 * time.Millisecond
	// registrationTTL is the time without a heartbeat after which the registration is removed.
	registrationTTL = 3 * heartbeatInterval
	// slots is the number of statements that a database works on at a time; slotWait bounds the wait for one.
	slots    = 3
	slotWait = 60 * time.Millisecond
	// maxConnections is the limit of connections of a database.
	maxConnections = 21
)

// database is a stand-in for one database. The mutex of the group guards its fields.
type database struct {
	id       string
	group    *group
	address  string
	listener net.Listener
	// slots holds a token for each statement at work.
	slots       chan struct{}
	connections map[net.Conn]bool

	log       []commit
	term      int
	isPrimary bool
	// pausedTerm is the term below which nothing is received; 0 if the database isn't paused.
	pausedTerm int
	down       bool
	// deaf stops the replication to this database.
	deaf bool
	// unlisted keeps the database from reaching the store.
	unlisted bool
	// replacedSince is the time at which a primary first saw one of a higher term.
	replacedSince time.Time
	born          int64
	seqNo         int
	// registered is the registration without its sequence number.
	registered string
}

// listen opens the listener of the database.
func (database *database) listen(address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("listening for %s: %w", database.id, err)
	}
	database.listener, database.address = listener, listener.Addr().String()
	return nil
}

// start accepts connections with a new life of the database.
func (database *database) start() {
	database.group.mutex.Lock()
	defer database.group.mutex.Unlock()
	database.slots, database.connections = make(chan struct{}, slots), make(map[net.Conn]bool)
	database.born, database.seqNo, database.down = time.Now().UnixMilli(), 0, false
	database.registerSoon()
	go database.accept(database.listener)
}

func (database *database) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go database.serve(conn)
	}
}

// crash ends the database: its listener and its connections are closed and it no longer sends heartbeats.
func (database *database) crash() {
	database.group.mutex.Lock()
	defer database.group.mutex.Unlock()
	database.down = true
	_ = database.listener.Close()
	for conn := range database.connections {
		_ = conn.Close()
	}
	database.group.recorder.notef("crashed %s with %d commits", database.id, len(database.log))
}

// startAgain starts a crashed database under its id and address without anything of before.
func (database *database) startAgain() error {
	database.group.mutex.Lock()
	database.log, database.term, database.isPrimary, database.pausedTerm = nil, 0, false, 0
	database.group.mutex.Unlock()
	if err := database.listen(database.address); err != nil {
		return err
	}
	database.start()
	database.group.recorder.notef("started %s again with nothing", database.id)
	return nil
}

func (database *database) isDown() bool {
	database.group.mutex.Lock()
	defer database.group.mutex.Unlock()
	return database.down
}

// setDeaf stops the replication to the database, or resumes it.
func (database *database) setDeaf(deaf bool) {
	database.group.mutex.Lock()
	defer database.group.mutex.Unlock()
	database.deaf = deaf
	database.group.recorder.notef("%s deaf %v", database.id, deaf)
}

// setUnlisted cuts the database off from the store, or ends that.
func (database *database) setUnlisted(unlisted bool) {
	database.group.mutex.Lock()
	defer database.group.mutex.Unlock()
	database.unlisted = unlisted
	database.group.recorder.notef("%s cut off from the store %v", database.id, unlisted)
}

// receive takes over the log of the primary as far as the database may. The mutex is held.
func (database *database) receive(primary *database) {
	switch {
	case database.down || database.deaf || database.pausedTerm > primary.term:
		return
	case database.isPrimary:
		database.yield()
		return
	}
	visibleFrom := time.Now().Add(applyDelay)
	if database.term != primary.term || len(database.log) > len(primary.log) {
		database.log, database.term, database.pausedTerm = nil, primary.term, 0
		visibleFrom = time.Now()
	}
	for _, entry := range primary.log[len(database.log):] {
		database.log = append(database.log, commit{items: entry.items, visibleFrom: visibleFrom})
	}
}

// yield makes an old primary a replica some time after it reaches a newer one. The mutex is held.
func (database *database) yield() {
	if database.replacedSince.IsZero() {
		database.replacedSince = time.Now()
	}
	if time.Since(database.replacedSince) >= yieldDelay {
		database.stepDown()
	}
}

// stepDown makes the database a replica. The mutex is held.
func (database *database) stepDown() {
	database.isPrimary, database.replacedSince = false, time.Time{}
	database.registerSoon()
}

// visible returns the number of commits that reads see. The mutex is held.
func (database *database) visible() int {
	now, count := time.Now(), len(database.log)
	for count > 0 && database.log[count-1].visibleFrom.After(now) {
		count--
	}
	return count
}

// value returns the value of an item in the first commits of the log, "-" if there is none. The mutex is held.
func (database *database) value(name string, commits int) string {
	for index := commits - 1; index >= 0; index-- {
		if value, ok := database.log[index].items[name]; ok {
			return value
		}
	}
	return "-"
}

// role returns the role as the database sees it. The mutex is held.
func (database *database) role() string {
	if database.isPrimary {
		return "primary"
	}
	return "replica"
}

// registration is the entry of a database in the store.
type registration struct {
	Service    string `json:"service"`
	Address    string `json:"address"`
	Zone       string `json:"zone"`
	Version    string `json:"version"`
	Slots      int    `json:"slots"`
	State      string `json:"state"`
	ColdLeftMs int    `json:"coldLeftMs"`
	DBRole     string `json:"dbRole"`
	Born       int64  `json:"born"`
	SeqNo      int    `json:"seqNo"`
}

func (database *database) beat() {
	for range time.Tick(heartbeatInterval) {
		database.register()
	}
}

// registerSoon registers the database without waiting; the mutex may be held.
func (database *database) registerSoon() { go database.register() }

// register writes the registration if more than its sequence number has changed, and renews it otherwise.
func (database *database) register() {
	database.group.mutex.Lock()
	defer database.group.mutex.Unlock()
	if database.down || database.unlisted {
		return
	}
	entry := registration{
		Service: database.group.name, Address: database.address, Zone: zoneName, Version: "v1", Slots: slots, State: "ready",
		DBRole: database.role(), Born: database.born,
	}
	key := "servers/" + database.id
	text := fmt.Sprintf("%+v", entry)
	database.seqNo++
	if text == database.registered && database.group.store.renew(key) {
		return
	}
	database.registered, entry.SeqNo = text, database.seqNo
	if encoded, err := json.Marshal(entry); err == nil {
		database.group.store.putFor(key, encoded, registrationTTL)
	}
}
