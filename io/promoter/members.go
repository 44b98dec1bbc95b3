package promoter

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"dotterelgw/core/config"
	"dotterelgw/core/ids"
	"dotterelgw/core/membership"
	"dotterelgw/io/clock"
	"dotterelgw/io/fleet"
	"dotterelgw/io/observe"
	"dotterelgw/io/platform"
)

const (
	// MembersPrefix is the key prefix of the members of each group. It lies outside the prefix that every VM lists at its start, as
	// only the holder of the duty needs these records.
	MembersPrefix = "dotterelgw-members/"
	// membersWritePause is the pause after each write, so that the first start of thousands of groups leaves the store's rate
	// to others.
	membersWritePause = 10 * time.Millisecond
	// maxMembersBytes bounds the record of a group: 32 members of about 100 bytes.
	maxMembersBytes = 16 << 10
)

// errMembersFaulty reports a record of members that cannot be used.
var errMembersFaulty = errors.New("faulty record of members")

// membersRecord is the stored form of membership.Record.
type membersRecord struct {
	Members []memberRecord `json:"members"`
}

// memberRecord is the stored form of membership.Member.
type memberRecord struct {
	Server    ids.BackendServerID `json:"server"`
	StartedMS int64               `json:"started_ms"`
	Address   string              `json:"address"`
}

func encodeMembers(record membership.Record) ([]byte, error) {
	stored := membersRecord{Members: []memberRecord{}}
	for _, member := range record.Members {
		stored.Members = append(stored.Members, memberRecord{Server: member.ID, StartedMS: member.StartedMS, Address: member.Address})
	}
	value, err := json.Marshal(stored)
	if err != nil {
		return nil, fmt.Errorf("encoding the members: %w", err)
	}
	return value, nil
}

func decodeMembers(value []byte) (membership.Record, error) {
	if len(value) > maxMembersBytes {
		return membership.Record{}, fmt.Errorf("%d bytes: %w", len(value), errMembersFaulty)
	}
	var stored membersRecord
	if err := json.Unmarshal(value, &stored); err != nil {
		return membership.Record{}, fmt.Errorf("decoding the members: %w", err)
	}
	if len(stored.Members) == 0 {
		// A group whose record is stored has at least a primary and a replica.
		return membership.Record{}, fmt.Errorf("no members: %w", errMembersFaulty)
	}
	var record membership.Record
	for _, member := range stored.Members {
		if member.Server == "" {
			return membership.Record{}, fmt.Errorf("member without an id: %w", errMembersFaulty)
		}
		record.Members = append(record.Members, membership.Member{ID: member.Server, StartedMS: member.StartedMS, Address: member.Address})
	}
	return record, nil
}

// members keeps the members of all groups while this VM holds the duty, and stores changes.
type members struct {
	store    fleet.EraStore
	eventLog *observe.EventLog

	mutex  sync.Mutex
	groups map[ids.GroupID]*memberState
	// loadedFor is the token of the duty for which the stored records were read; 0 if they were not.
	loadedFor Token
	// loadedAt is the time at which they were read.
	loadedAt time.Duration
	// busy is set while records are read or stored.
	busy atomic.Bool
}

// memberState holds the members of one group.
type memberState struct {
	tracker *membership.Tracker
	// stored is the record in the store at the revision, 0 if there is none.
	stored   membership.Record
	revision ids.Revision
}

func newMembers(store fleet.EraStore, eventLog *observe.EventLog) *members {
	return &members{store: store, eventLog: eventLog, groups: make(map[ids.GroupID]*memberState)}
}

// group returns the members of the group. Until its record has been read, or the group has shown that it does not need one, it may have
// members that are not known. The mutex must be held.
func (members *members) group(id ids.GroupID) *memberState {
	group, known := members.groups[id]
	if !known {
		group = &memberState{tracker: membership.NewTracker(membership.Record{})}
		group.tracker.MarkIncomplete(members.loadedAt)
		members.groups[id] = group
	}
	return group
}

// update brings the members of the group up to date with its registered servers. Before the records have been read it does nothing.
func (members *members) update(token Token, id ids.GroupID, servers []membership.Server) {
	members.mutex.Lock()
	defer members.mutex.Unlock()
	if members.loadedFor != token {
		return
	}
	tracker := members.group(id).tracker
	tracker.Update(clock.Now(), servers)
	for _, departure := range tracker.TakeDepartures() {
		members.eventLog.Event("member_left", "group", id, "server", departure.ID, "born", departure.StartedMS, "address", departure.Address,
			"absent_ms", departure.AbsentFor.Milliseconds(), "required_term", departure.Required.Term, "required", departure.Required.Log)
	}
}

// record returns the members of the group, or false if they have not been read since this VM took the duty with the token.
func (members *members) record(token Token, id ids.GroupID) (membership.Record, bool) {
	members.mutex.Lock()
	defer members.mutex.Unlock()
	return members.group(id).tracker.Record(), members.loadedFor == token
}

// missingPollTime is how long after the reading of the records the groups without one are polled at once. Two answers of the primary
// and of a replica complete the record.
const missingPollTime = 2 * time.Second

// justFoundMissing reports whether the records were read a moment ago and the group's was missing or faulty.
func (members *members) justFoundMissing(token Token, id ids.GroupID) bool {
	members.mutex.Lock()
	defer members.mutex.Unlock()
	return members.loadedFor == token && clock.Now()-members.loadedAt < missingPollTime && members.group(id).tracker.Record().Incomplete
}

// sync reads the records once for each duty, and stores changes, in the background. Only one call is in progress at a time.
func (members *members) sync(ctx context.Context, token Token) {
	if !members.begin(token) {
		return
	}
	go func() {
		defer members.busy.Store(false)
		err := members.load(ctx, token)
		if err == nil {
			err = members.storeChanges(ctx)
		}
		if err != nil {
			members.eventLog.LimitedEvent("members_failed", "token", token, "err", err)
			clock.Sleep(ctx, dutyRetryPause)
		}
	}()
}

// begin reports whether there is anything to read or to store and no other call does it.
func (members *members) begin(token Token) bool {
	members.mutex.Lock()
	loaded := members.loadedFor == token
	members.mutex.Unlock()
	return (!loaded || len(members.changes()) > 0) && members.busy.CompareAndSwap(false, true)
}

// load reads the records of all groups, once for each token. What this VM had stored gives way to them, since another holder may have
// removed members; what it could not store stays.
func (members *members) load(ctx context.Context, token Token) error {
	members.mutex.Lock()
	loaded := members.loadedFor == token
	members.mutex.Unlock()
	if loaded {
		return nil
	}
	entries, revision, err := members.store.List(ctx, MembersPrefix)
	if err != nil {
		return fmt.Errorf("listing the members: %w", err)
	}
	members.mutex.Lock()
	defer members.mutex.Unlock()
	maps.DeleteFunc(members.groups, func(_ ids.GroupID, group *memberState) bool { return group.tracker.Record().Equal(group.stored) })
	members.loadedAt = clock.Now()
	for _, group := range members.groups {
		group.tracker.MarkIncomplete(members.loadedAt)
	}
	for _, entry := range entries {
		members.apply(entry)
	}
	members.loadedFor = token
	members.eventLog.Event("members_read", "token", token, "groups", len(entries), "revision", revision)
	return nil
}

// apply adds the members of a stored record. One that cannot be decoded names nobody, and is replaced once the members are known. The
// mutex must be held.
func (members *members) apply(entry config.Entry) {
	group := members.group(ids.GroupID(strings.TrimPrefix(entry.Key, MembersPrefix)))
	record, err := decodeMembers(entry.Value)
	if err != nil {
		members.eventLog.LimitedEvent("members_faulty", "key", entry.Key, "revision", entry.Revision, "err", err)
	} else {
		group.tracker.Add(record)
	}
	group.stored, group.revision = record, entry.Revision
}

// change is a record that is to be stored.
type change struct {
	group    ids.GroupID
	record   membership.Record
	revision ids.Revision
}

// storeChanges stores the records that changed, and all records if the store was restored, as it may have lost them.
func (members *members) storeChanges(ctx context.Context) error {
	for _, change := range members.changes() {
		if err := members.storeChange(ctx, change); err != nil {
			return fmt.Errorf("group %s: %w", change.group, err)
		}
		clock.Sleep(ctx, membersWritePause)
	}
	return nil
}

// changes returns the records that are to be stored. An incomplete one is not, as the next holder of the duty would take it for complete.
func (members *members) changes() []change {
	era := members.store.Era()
	members.mutex.Lock()
	defer members.mutex.Unlock()
	var changes []change
	for id, group := range members.groups {
		record := group.tracker.Record()
		if record.Incomplete {
			continue
		}
		if !record.Equal(group.stored) || group.revision != 0 && group.revision.Era() < era {
			changes = append(changes, change{group: id, record: record, revision: group.revision})
		}
	}
	return changes
}

// storeChange stores the record. If the store holds another one than this VM knows, that one is added to the members first.
func (members *members) storeChange(ctx context.Context, change change) error {
	key := MembersPrefix + string(change.group)
	value, err := encodeMembers(change.record)
	if err != nil {
		return err
	}
	revision, stored, err := members.store.CompareAndSwap(ctx, key, change.revision, value)
	if err != nil && !errors.Is(err, platform.ErrRestored) && !errors.Is(err, platform.ErrOutcomeUnknown) {
		return fmt.Errorf("storing the members: %w", err)
	}
	if err == nil && stored {
		members.markStored(change, revision)
		return nil
	}
	entry, found, err := members.store.Get(ctx, key)
	if err != nil {
		return fmt.Errorf("reading the members: %w", err)
	}
	members.mutex.Lock()
	defer members.mutex.Unlock()
	if !found {
		group := members.group(change.group)
		group.stored, group.revision = membership.Record{}, 0
		return nil
	}
	members.apply(entry)
	return nil
}

// markStored records that the store holds the record.
func (members *members) markStored(change change, revision ids.Revision) {
	members.mutex.Lock()
	defer members.mutex.Unlock()
	group := members.group(change.group)
	group.stored, group.revision = change.record, revision
	names := make([]string, 0, len(change.record.Members))
	for _, member := range change.record.Members {
		names = append(names, string(member.ID))
	}
	members.eventLog.Event("members_stored", "group", change.group, "members", strings.Join(names, ","), "revision", revision)
}
