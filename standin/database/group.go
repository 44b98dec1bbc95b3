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

// group is the server's replication state: role, terms and log.
type group struct {
	id ids.BackendServerID
	// applyLock serialises everything that changes the SQLite files or the role: commits, replay, fencing, promotion
	// and following. It is held for the duration of a commit, never while waiting for a client.
	applyLock sync.Mutex

	mutex        sync.Mutex
	role         Role
	term         ids.Term
	promisedTerm ids.Term
	primary      string // address of the primary that a replica follows
	log          []logEntry
	replayed     ids.LogPosition
	rebuild      bool
	// changed is closed and replaced at each change, roleChanged at each change of role, term or promised term.
	changed, roleChanged chan struct{}
}

func newGroup(settings Settings) *group {
	return &group{
		id: settings.ID, role: settings.Role, term: settings.Term, promisedTerm: settings.Term,
		primary: settings.Primary, changed: make(chan struct{}), roleChanged: make(chan struct{}),
	}
}

// notify wakes all goroutines that wait for a change; the caller holds the mutex.
func (group *group) notify() {
	close(group.changed)
	group.changed = make(chan struct{})
}

// notifyRole wakes all goroutines that wait for a change of role, term or promised term, or for any change; the caller
// holds the mutex.
func (group *group) notifyRole() {
	close(group.roleChanged)
	group.roleChanged = make(chan struct{})
	group.notify()
}

// watchRole returns a channel that is closed at the next change of role, term or promised term.
func (group *group) watchRole() <-chan struct{} {
	group.mutex.Lock()
	defer group.mutex.Unlock()
	return group.roleChanged
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
		ServerID: group.id, Role: group.role, Term: group.term, PromisedTerm: group.promisedTerm,
		LogTerm: group.logTermLocked(), Written: end, Received: end, Replayed: group.replayed,
	}
	return status
}

// logTermLocked returns the term of the last record, or 0 if the log is empty.
func (group *group) logTermLocked() ids.Term {
	if len(group.log) == 0 {
		return 0
	}
	return group.log[len(group.log)-1].Term
}

// checkWritable returns an error unless a transaction whose first write was in the term may go on; term 0 means the
// current term.
func (group *group) checkWritable(term ids.Term) error {
	group.mutex.Lock()
	defer group.mutex.Unlock()
	return group.checkWritableLocked(term)
}

func (group *group) checkWritableLocked(term ids.Term) error {
	switch {
	case group.role != Primary:
		return fail("25006", "cannot execute the statement on a replica")
	case group.promisedTerm > group.term:
		return fail("25006", "cannot execute the statement: the server is fenced by term %d", group.promisedTerm)
	case term != 0 && term != group.term:
		return fail("25006", "cannot commit: the transaction began in term %d, the server acts in term %d", term, group.term)
	}
	return nil
}

// commit commits a transaction and appends its record, unless the server was fenced or replaced since the transaction
// began to write.
func (group *group) commit(term ids.Term, record Record, commit func() error) error {
	group.applyLock.Lock()
	defer group.applyLock.Unlock()
	if err := group.checkWritable(term); err != nil {
		return err
	}
	if err := commit(); err != nil {
		return err
	}
	group.mutex.Lock()
	defer group.mutex.Unlock()
	record.Term, record.Position = group.term, ids.LogPosition(len(group.log))+1
	group.log = append(group.log, logEntry{Record: record, receivedAt: time.Now()})
	group.replayed = record.Position
	group.notify()
	return nil
}

// fence raises the promised term: the server accepts no writes or records of lower terms any more.
func (group *group) fence(term ids.Term) (Status, error) {
	group.applyLock.Lock()
	defer group.applyLock.Unlock()
	group.mutex.Lock()
	defer group.mutex.Unlock()
	if group.promisedTerm > term {
		return group.statusLocked(), fail("55000", "the server has promised term %d", group.promisedTerm)
	}
	group.promisedTerm = term
	group.notifyRole()
	return group.statusLocked(), nil
}

// appendRecords appends records from the primary of the term to a replica's log.
func (group *group) appendRecords(term ids.Term, records []Record) error {
	group.mutex.Lock()
	defer group.mutex.Unlock()
	if group.role != Replica || group.term != term || group.promisedTerm > term {
		return fail("55000", "the server no longer accepts records of term %d", term)
	}
	now := time.Now()
	for _, record := range records {
		if record.Position != ids.LogPosition(len(group.log))+1 {
			return fail("55000", "record %d does not follow record %d", record.Position, len(group.log))
		}
		group.log = append(group.log, logEntry{Record: record, receivedAt: now})
	}
	group.notify()
	return nil
}

// truncateLocked drops the records after the position and marks the files for a rebuild if one of them was replayed.
func (group *group) truncateLocked(position ids.LogPosition) {
	if ids.LogPosition(len(group.log)) <= position {
		return
	}
	group.log = append([]logEntry(nil), group.log[:position]...)
	if group.replayed > position {
		group.replayed, group.rebuild = 0, true
	}
}

// truncationPointLocked returns the position of the last record to keep: the first record after start that is older
// than the term, and all records after it, are to be dropped.
func (group *group) truncationPointLocked(term ids.Term, start ids.LogPosition) ids.LogPosition {
	for index := int(start); index < len(group.log); index++ {
		if group.log[index].Term < term {
			return ids.LogPosition(index)
		}
	}
	return ids.LogPosition(len(group.log))
}

// run is a range of consecutive records written in one term.
type run struct {
	Term  ids.Term
	First ids.LogPosition
	Last  ids.LogPosition
}

// runsLocked returns the runs of the log in order.
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

// commonPrefix returns the last position up to which two logs have the same terms. Each term has one primary, so equal
// terms mean equal records.
func commonPrefix(left, right []run) ids.LogPosition {
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
