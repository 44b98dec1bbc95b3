package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	// replicationInterval is the interval at which replicas receive new commits.
	replicationInterval = 2 * time.Millisecond
	// applyDelay is the time from the arrival of a commit at a replica until reads see it.
	applyDelay = 8 * time.Millisecond
	// promotionDelay is the time from the request of a promotion to the new primary.
	promotionDelay = 600 * time.Millisecond
	// yieldDelay is the time after which an old primary that reaches the new one becomes a replica.
	yieldDelay = time.Second
	// promotionCallDelay is the time that the platform takes for a call.
	promotionCallDelay = 4 * time.Millisecond

	databasesPerGroup = 3
)

// commit is one entry of a database's log.
type commit struct {
	items map[string]string
	// visibleFrom is the time from which reads at this database see the commit.
	visibleFrom time.Time
}

// group is a stand-in for the databases of a service in which a commit is acknowledged once one replica has received it.
type group struct {
	name      string
	databases []*database
	store     *store
	recorder  *recorder

	// mutex guards the databases, too.
	mutex sync.Mutex
	// executions is the number of statements that have run.
	executions int
	// promotedLog is the log of the database that was promoted last, at that time; nil if there was none.
	promotedLog []commit
	// connections is the number of connections so far.
	connections int
}

// newGroup starts the databases of a service; the first one is the primary.
func newGroup(name string, store *store, recorder *recorder) (*group, error) {
	group := &group{name: name, store: store, recorder: recorder}
	for index := range databasesPerGroup {
		database := &database{id: fmt.Sprintf("i-%s-%d", name, index+1), group: group, term: 1, isPrimary: index == 0}
		if err := database.listen("127.0.0.1:0"); err != nil {
			return nil, err
		}
		group.databases = append(group.databases, database)
	}
	for _, database := range group.databases {
		database.start()
		go database.beat()
	}
	go group.replicate()
	return group, nil
}

func (group *group) replicate() {
	for range time.Tick(replicationInterval) {
		group.mutex.Lock()
		for _, database := range group.databases {
			if primary := group.newestPrimary(); primary != nil && database != primary {
				database.receive(primary)
			}
		}
		group.mutex.Unlock()
	}
}

// newestPrimary returns the primary of the highest term that is up, nil if there is none. The mutex is held.
func (group *group) newestPrimary() *database {
	var newest *database
	for _, database := range group.databases {
		if database.isPrimary && !database.down && (newest == nil || database.term > newest.term) {
			newest = database
		}
	}
	return newest
}

// primary returns the primary of the highest term that is up, nil if there is none.
func (group *group) primary() *database {
	group.mutex.Lock()
	defer group.mutex.Unlock()
	return group.newestPrimary()
}

// promoted returns the log of the database that was promoted last, and whether there was one.
func (group *group) promoted() ([]commit, bool) {
	group.mutex.Lock()
	defer group.mutex.Unlock()
	return group.promotedLog, group.promotedLog != nil
}

// replicas returns the databases that are up and aren't the primary.
func (group *group) replicas() []*database {
	group.mutex.Lock()
	defer group.mutex.Unlock()
	var replicas []*database
	for _, database := range group.databases {
		if !database.isPrimary && !database.down {
			replicas = append(replicas, database)
		}
	}
	return replicas
}

// promote makes the database the primary of the next term, unless it is down.
func (group *group) promote(database *database) {
	group.mutex.Lock()
	defer group.mutex.Unlock()
	if database.down || database.isPrimary {
		return
	}
	term := 0
	for _, other := range group.databases {
		term = max(term, other.term)
	}
	database.term, database.isPrimary, database.pausedTerm = term+1, true, 0
	group.promotedLog = slices.Clone(database.log)
	group.recorder.notef("promoted %s term %d with %d commits", database.id, database.term, len(database.log))
	database.registerSoon()
}

// cloud is a stand-in for the platform's promotion service.
type cloud struct {
	groups   map[string]*group
	recorder *recorder
}

func (cloud *cloud) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /promotion", cloud.promotion)
	return mux
}

func (cloud *cloud) promotion(writer http.ResponseWriter, request *http.Request) {
	time.Sleep(promotionCallDelay)
	var body struct{ Service, ID string }
	group := (*group)(nil)
	if json.NewDecoder(request.Body).Decode(&body) == nil {
		group = cloud.groups[body.Service]
	}
	if group == nil {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	header := request.Header
	cloud.recorder.notef("promotion of %s asked by %s token %s", body.ID, header.Get("X-Dotterelgw-Duty-Holder"), header.Get("X-Dotterelgw-Fence-Token"))
	for _, database := range group.databases {
		if database.id != body.ID || database.isDown() {
			continue
		}
		time.AfterFunc(promotionDelay, func() { group.promote(database) })
		writer.WriteHeader(http.StatusOK)
		return
	}
	writer.WriteHeader(http.StatusConflict)
}
