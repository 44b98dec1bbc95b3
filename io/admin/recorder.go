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
	// recordAge is the time for which a record is kept.
	recordAge = 10 * time.Minute
	// recordLimit bounds the records; at about 400 bytes each they take 4 MB.
	recordLimit = 10_000
	// recordQueues is the number of queues that organisations are spread over. A full recorder drops from the longest
	// queue, so that an organisation that is refused very often does not displace the records of the others.
	recordQueues = 64
	// sequenceShift leaves room for a million refusals per millisecond of uptime, so that the identifiers of a restarted
	// process do not repeat those of its predecessor on the same VM.
	sequenceShift = 20
)

// Caller is whose request was refused, as far as it is known.
type Caller struct {
	// Organisation is the organisation whose key was presented.
	Organisation ids.OrganisationID
	// Key is the identifier of the key that was presented.
	Key ids.KeyID
	// Route is the route that the caller connected to.
	Route ids.RouteName
	// ContractRevision is the revision of the contract that the refusal follows from.
	ContractRevision ids.Revision
}

// Record explains one refusal.
type Record struct {
	// ID identifies the refusal; it begins with the VM.
	ID ids.RequestID `json:"id"`
	// Time is the time of the refusal.
	Time time.Time `json:"time"`
	// VM is the VM that refused.
	VM ids.VMID `json:"vm"`
	// Organisation is the organisation whose key was presented.
	Organisation ids.OrganisationID `json:"organisation"`
	// Key is the identifier of the key, never the key.
	Key ids.KeyID `json:"key_id"`
	// Route is the route that the caller connected to.
	Route ids.RouteName `json:"route"`
	// Reason is the entry of the closed list.
	Reason refusal.Reason `json:"reason"`
	// SQLState is the code that the caller got.
	SQLState string `json:"sqlstate"`
	// Clause is the clause of the contract, or "service".
	Clause string `json:"clause"`
	// Outcome states what is known of the request's effect.
	Outcome refusal.Outcome `json:"outcome"`
	// Message is the sentence that the caller got.
	Message string `json:"message"`
	// Hint is what the caller was told to do.
	Hint string `json:"hint"`
	// ContractRevision is the revision of the contract that the refusal follows from; 0 for none.
	ContractRevision ids.Revision `json:"contract_revision"`
	// Note holds figures such as the limit and its usage.
	Note string `json:"note"`
}

// Recorder keeps the records of refusals and counts their reasons.
type Recorder interface {
	// Record keeps a record and returns a copy of the refusal with ID set.
	Record(refused *refusal.Refusal, caller Caller) *refusal.Refusal
	// Find returns the record that this VM keeps under the identifier.
	Find(id ids.RequestID) (Record, bool)
	// Refusals answers the peer protocol's call of the same name.
	Refusals(ctx context.Context, request *peerpb.RefusalRequest) (*peerpb.RefusalReply, error)
}

// recorder keeps the last records of all organisations.
type recorder struct {
	vm       ids.VMID
	now      func() time.Time
	counters map[refusal.Reason]metrics.Counter

	mutex  sync.Mutex
	next   uint64 // sequence number of the next record
	kept   int
	queues [recordQueues]queue
}

// NewRecorder returns a recorder for the VM. The registry gets a counter for each reason, under
// the reason's name; now is time.Now in production.
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
	own := &recorder.queues[crc32.ChecksumIEEE([]byte(caller.Organisation))%recordQueues]
	for own.size() > 0 && record.Time.Sub(own.oldest().Time) > recordAge {
		own.drop()
		recorder.kept--
	}
	if recorder.kept == recordLimit {
		recorder.longest().drop()
		recorder.kept--
	}
	own.add(recorder.next, record)
	recorder.kept++
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
	for i := range recorder.queues {
		record, ok := recorder.queues[i].find(sequence)
		if ok && record.ID == id && recorder.now().Sub(record.Time) <= recordAge {
			return record, true
		}
	}
	return Record{}, false
}

func (recorder *recorder) longest() *queue {
	longest := &recorder.queues[0]
	for i := range recorder.queues {
		if recorder.queues[i].size() > longest.size() {
			longest = &recorder.queues[i]
		}
	}
	return longest
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

// splitID returns the VM and the sequence number of an identifier.
func splitID(id ids.RequestID) (ids.VMID, uint64, bool) {
	end := strings.LastIndexByte(string(id), '-')
	if end <= 0 {
		return "", 0, false
	}
	sequence, err := strconv.ParseUint(string(id[end+1:]), 16, 64)
	return ids.VMID(id[:end]), sequence, err == nil
}
