package admin

import (
	"context"
	"encoding/json"
	"fmt"
	"hash/crc32"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"dotterelgw/core/ids"
	"dotterelgw/core/refusal"
	"dotterelgw/io/peer/peerpb"
)

const (
	// recordTTL is the time after which a record expires.
	recordTTL = 10 * time.Minute
	// maxRecords bounds the number of records. At about 400 bytes each they take 4 MB.
	maxRecords = 10_000
	// queueCount is the number of queues over which organisations are distributed. A full recorder drops a record of the
	// longest queue, so that an organisation with many refusals does not evict the records of others.
	queueCount = 64
	// sequenceShift shifts the start time in milliseconds to form the first sequence number. It leaves a million numbers
	// per millisecond of uptime, so that a restarted process does not reuse identifiers of its predecessor on the VM.
	sequenceShift = 20
)

// Caller identifies the sender of a refused request. Unknown fields are zero.
type Caller struct {
	// Organisation is the organisation of the presented key.
	Organisation ids.OrganisationID
	// Key is the identifier of the presented key.
	Key ids.KeyID
	// Route is the route to which the caller connected.
	Route ids.RouteName
	// ContractRevision is the revision of the contract that the refusal is based on.
	ContractRevision ids.Revision
}

// Record describes one refusal.
type Record struct {
	// ID identifies the refusal. It begins with the VM's identifier.
	ID ids.RequestID `json:"id"`
	// Time is the time of the refusal.
	Time time.Time `json:"time"`
	// VM is the VM that refused the request.
	VM ids.VMID `json:"vm"`
	// Organisation is the organisation of the presented key.
	Organisation ids.OrganisationID `json:"organisation"`
	// Key is the identifier of the presented key, never the key itself.
	Key ids.KeyID `json:"key_id"`
	// Route is the route to which the caller connected.
	Route ids.RouteName `json:"route"`
	// Reason is one of the reasons defined in core/refusal.
	Reason refusal.Reason `json:"reason"`
	// SQLState is the error code sent to the caller.
	SQLState string `json:"sqlstate"`
	// Clause is the clause of the contract that applies, or "service".
	Clause string `json:"clause"`
	// Outcome states what is known about the effect of the request.
	Outcome refusal.Outcome `json:"outcome"`
	// Message is the error message sent to the caller.
	Message string `json:"message"`
	// Hint is the hint sent to the caller.
	Hint string `json:"hint"`
	// ContractRevision is the revision of the contract that the refusal is based on; 0 if there is none.
	ContractRevision ids.Revision `json:"contract_revision"`
	// Note holds figures such as the limit and its usage.
	Note string `json:"note"`
}

// Recorder stores recent records of refusals and counts refusals by reason.
type Recorder interface {
	// Record stores a record of the refusal and returns a copy of the refusal with ID set.
	Record(refused *refusal.Refusal, caller Caller) *refusal.Refusal
	// Find returns the record with the identifier, or false if this VM does not hold it.
	Find(id ids.RequestID) (Record, bool)
	// Refusals handles the Refusals call of the peer protocol.
	Refusals(ctx context.Context, request *peerpb.RefusalRequest) (*peerpb.RefusalReply, error)
}

// recorder implements Recorder in memory.
type recorder struct {
	vm       ids.VMID
	now      func() time.Time
	counters map[refusal.Reason]metrics.Counter

	mutex sync.Mutex
	next  uint64 // sequence number of the next record
	total int    // number of records in all queues
	// byOrganisation holds a queue for each value of the hash of an organisation's identifier.
	byOrganisation [queueCount]queue
}

// NewRecorder returns a recorder for the VM. It registers a counter for each reason under the reason's name. now is
// time.Now, except in tests.
func NewRecorder(vm ids.VMID, registry metrics.Registry, now func() time.Time) Recorder {
	recorder := &recorder{
		vm: vm, now: now, counters: map[refusal.Reason]metrics.Counter{},
		next: uint64(now().UnixMilli()) << sequenceShift,
	}
	for _, reason := range refusal.All() {
		recorder.counters[reason] = metrics.GetOrRegisterCounter(string(reason), registry)
	}
	return recorder
}

// Record implements Recorder.Record.
func (recorder *recorder) Record(refused *refusal.Refusal, caller Caller) *refusal.Refusal {
	kind, _ := refusal.Lookup(refused.Reason)
	if counter := recorder.counters[refused.Reason]; counter != nil {
		counter.Inc(1)
	}
	record := Record{
		Time: recorder.now(), VM: recorder.vm,
		Organisation: caller.Organisation, Key: caller.Key, Route: caller.Route, ContractRevision: caller.ContractRevision,
		Reason: refused.Reason, Outcome: refused.Outcome, Note: refused.Note,
		SQLState: kind.SQLState, Clause: kind.Clause, Message: kind.Message, Hint: kind.Hint,
	}
	recorder.mutex.Lock()
	defer recorder.mutex.Unlock()
	record.ID = ids.NewRequestID(recorder.vm, recorder.next)
	own := &recorder.byOrganisation[crc32.ChecksumIEEE([]byte(caller.Organisation))%queueCount]
	for own.size() > 0 && record.Time.Sub(own.oldest().Time) > recordTTL {
		own.drop()
		recorder.total--
	}
	if recorder.total == maxRecords {
		recorder.longestQueue().drop()
		recorder.total--
	}
	own.add(recorder.next, record)
	recorder.total++
	recorder.next++
	recorded := *refused
	recorded.ID = record.ID
	return &recorded
}

// Find implements Recorder.Find.
func (recorder *recorder) Find(id ids.RequestID) (Record, bool) {
	_, sequence, ok := splitID(id)
	if !ok {
		return Record{}, false
	}
	recorder.mutex.Lock()
	defer recorder.mutex.Unlock()
	for i := range recorder.byOrganisation {
		record, ok := recorder.byOrganisation[i].find(sequence)
		if ok && record.ID == id && recorder.now().Sub(record.Time) <= recordTTL {
			return record, true
		}
	}
	return Record{}, false
}

func (recorder *recorder) longestQueue() *queue {
	longestQueue := &recorder.byOrganisation[0]
	for i := range recorder.byOrganisation {
		if recorder.byOrganisation[i].size() > longestQueue.size() {
			longestQueue = &recorder.byOrganisation[i]
		}
	}
	return longestQueue
}

// Refusals implements Recorder.Refusals.
func (recorder *recorder) Refusals(_ context.Context, request *peerpb.RefusalRequest) (*peerpb.RefusalReply, error) {
	record, ok := recorder.Find(ids.RequestID(request.GetId()))
	if !ok {
		return &peerpb.RefusalReply{}, nil
	}
	text, err := json.Marshal(record)
	if err != nil {
		return nil, fmt.Errorf("encode refusal record: %w", err)
	}
	return &peerpb.RefusalReply{Found: true, Record: text}, nil
}

// splitID splits the identifier of a refusal into the VM and the sequence number.
func splitID(id ids.RequestID) (ids.VMID, uint64, bool) {
	end := strings.LastIndexByte(string(id), '-')
	if end <= 0 {
		return "", 0, false
	}
	sequence, err := strconv.ParseUint(string(id[end+1:]), 16, 64)
	return ids.VMID(id[:end]), sequence, err == nil
}
