package database

import (
	"sync"
	"time"

	"dotterelgw/core/ids"
)

// Status is the row that group_status() returns.
type Status struct {
	ServerID     ids.BackendServerID `json:"server_id"`
	Role         Role                `json:"role"`
	Term         ids.Term            `json:"term"`
	PromisedTerm ids.Term            `json:"promised_term"`
	LogTerm      ids.Term            `json:"log_term"`
	Written      ids.LogPosition     `json:"written"`
	Received     ids.LogPosition     `json:"received"`
	Replayed     ids.LogPosition     `json:"replayed"`
	Leaving      bool                `json:"leaving"`
}

// group is the server's place in its database group: role, terms and log.
type group struct {
	id ids.BackendServerID
	// apply serialises everything that changes the SQLite files or the role: commits, replay, fencing, promotion
	// and following. It is held for the length of a commit, never while a client is waited for.
	apply sync.Mutex

	mutex    sync.Mutex
	role     Role
	term     ids.Term
	promised ids.Term
	primary  string // address of the primary that a replica follows
	log      []held
	replayed ids.LogPosition
	rebuild  bool
	// changed is closed and replaced at each change, turned at each change of role, term or promise.
	changed, turned chan struct{}
}

func newGroup(settings Settings) *group {
	return &group{
		id: settings.ID, role: settings.Role, term: settings.Term, promised: settings.Term,
		primary: settings.Primary, changed: make(chan struct{}), turned: make(chan struct{}),
	}
}

// notify wakes everyone who waits for a change; the mutex is held.
func (group *group) notify() {
	close(group.changed)
	group.changed = make(chan struct{})
}

// turn wakes everyone who waits for a change, and those who wait for a change of role, term or promise.
func (group *group) turn() {
	close(group.turned)
	group.turned = make(chan struct{})
	group.notify()
}

// turning returns a channel that is closed at the next change of role, term or promise.
func (group *group) turning() <-chan struct{} {
	group.mutex.Lock()
	defer group.mutex.Unlock()
	return group.turned
}

// watch returns a channel that is closed at the next change.
func (group *group) watch() <-chan struct{} {
	group.mutex.Lock()
	defer group.mutex.Unlock()
	return group.changed
}

func (group *group) status() Status {
	group.mutex.Lock()
	defer group.mutex.Unlock()
	return group.statusLocked()
}

func (group *group) statusLocked() Status {
	end := ids.LogPosition(len(group.log))
	status := Status{
		ServerID: group.id, Role: group.role, Term: group.term, PromisedTerm: group.promised,
		LogTerm: group.logTermLocked(), Written: end, Received: end, Replayed: group.replayed,
	}
	return status
}

// logTermLocked returns the term of the last record, 0 for an empty log.
func (group *group) logTermLocked() ids.Term {
	if len(group.log) == 0 {
		return 0
	}
	return group.log[len(group.log)-1].Term
}

// writable returns nil if a transaction that began to write in the term may go on; 0 stands for the current term.
func (group *group) writable(term ids.Term) error {
	group.mutex.Lock()
	defer group.mutex.Unlock()
	return group.writableLocked(term)
}

func (group *group) writableLocked(term ids.Term) error {
	switch {
	case group.role != Primary:
		return fail("25006", "cannot execute the statement on a replica")
	case group.promised > group.term:
		return fail("25006", "cannot execute the statement: the server is fenced by term %d", group.promised)
	case term != 0 && term != group.term:
		return fail("25006", "cannot commit: the transaction began in term %d, the server acts in term %d", term, group.term)
	}
	return nil
}

// commit commits a transaction and adds its record, unless the server was fenced or replaced in the meantime.
func (group *group) commit(term ids.Term, record Record, commit func() error) error {
	group.apply.Lock()
	defer group.apply.Unlock()
	if err := group.writable(term); err != nil {
		return err
	}
	if err := commit(); err != nil {
		return err
	}
	group.mutex.Lock()
	defer group.mutex.Unlock()
	record.Term, record.Position = group.term, ids.LogPosition(len(group.log))+1
	group.log = append(group.log, held{Record: record, at: time.Now()})
	group.replayed = record.Position
	group.notify()
	return nil
}

// fence promises to accept nothing from terms below the given one.
func (group *group) fence(term ids.Term) (Status, error) {
	group.apply.Lock()
	defer group.apply.Unlock()
	group.mutex.Lock()
	defer group.mutex.Unlock()
	if group.promised > term {
		return group.statusLocked(), fail("55000", "the server has promised term %d", group.promised)
	}
	group.promised = term
	group.turn()
	return group.statusLocked(), nil
}

// receive adds records from the primary of the term to a replica's log.
func (group *group) receive(term ids.Term, records []Record) error {
	group.mutex.Lock()
	defer group.mutex.Unlock()
	if group.role != Replica || group.term != term || group.promised > term {
		return fail("55000", "the server no longer accepts records of term %d", term)
	}
	now := time.Now()
	for _, record := range records {
		if record.Position != ids.LogPosition(len(group.log))+1 {
			return fail("55000", "record %d does not follow record %d", record.Position, len(group.log))
		}
		group.log = append(group.log, held{Record: record, at: now})
	}
	group.notify()
	return nil
}

// truncateLocked drops the records after the position and asks for a rebuild if one of them was replayed.
func (group *group) truncateLocked(position ids.LogPosition) {
	if ids.LogPosition(len(group.log)) <= position {
		return
	}
	group.log = append([]held(nil), group.log[:position]...)
	if group.replayed > position {
		group.replayed, group.rebuild = 0, true
	}
}

// cut returns the position after which records of older terms than the given one are dropped.
func (group *group) cutLocked(term ids.Term, start ids.LogPosition) ids.LogPosition {
	for index := int(start); index < len(group.log); index++ {
		if group.log[index].Term < term {
			return ids.LogPosition(index)
		}
	}
	return ids.LogPosition(len(group.log))
}

// run is a stretch of the log that was written in one term.
type run struct {
	Term  ids.Term
	First ids.LogPosition
	Last  ids.LogPosition
}

// runsLocked returns the terms of the log in order.
func (group *group) runsLocked() []run {
	var runs []run
	for _, record := range group.log {
		if len(runs) == 0 || runs[len(runs)-1].Term != record.Term {
			runs = append(runs, run{Term: record.Term, First: record.Position})
		}
		runs[len(runs)-1].Last = record.Position
	}
	return runs
}

// common returns the last position up to which two logs have the same terms. Each term has one primary, so equal
// terms mean equal records.
func common(left, right []run) ids.LogPosition {
	var position ids.LogPosition
	for index := range min(len(left), len(right)) {
		if left[index].Term != right[index].Term || left[index].First != right[index].First {
			break
		}
		position = min(left[index].Last, right[index].Last)
		if left[index].Last != right[index].Last {
			break
		}
	}
	return position
}
