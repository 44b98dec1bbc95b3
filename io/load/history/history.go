package history

import (
	"time"

	"dotterelgw/io/load/schedule"
)

// Outcome states what is known of a request.
type Outcome string

// The outcomes of a request.
const (
	// OK states that the request was acknowledged.
	OK Outcome = "ok"
	// Refused states that an error says that the request was not run or was rolled back.
	Refused Outcome = "refused"
	// Failed states that the request cannot have taken effect, such as without a connection.
	Failed Outcome = "failed"
	// Unknown states that the request may have taken effect.
	Unknown Outcome = "unknown"
)

// Request is one request of the history. Times are since the start of the run.
type Request struct {
	Organisation string        `json:"organisation"`
	Session      int64         `json:"session"`
	Proxy        string        `json:"proxy"`
	Kind         schedule.Kind `json:"kind"`
	// Intended is when the request was due, Started when it was sent, Finished when its answer was complete.
	Intended time.Duration `json:"intended_ns"`
	Started  time.Duration `json:"started_ns"`
	Finished time.Duration `json:"finished_ns"`
	Outcome  Outcome       `json:"outcome"`
	// SQLState and Reason tell why a request was not acknowledged; Error is the message.
	SQLState string `json:"sqlstate,omitempty"`
	Reason   string `json:"reason,omitempty"`
	Error    string `json:"error,omitempty"`
	// Statements is the number of statements that were sent.
	Statements int `json:"statements"`
	// Sequence numbers a session's writes from 1; Rows are the identifiers of the rows that a write inserts.
	Sequence int64   `json:"sequence,omitempty"`
	Rows     []int64 `json:"rows,omitempty"`
	// Seen is the highest sequence that a read returned, 0 for none.
	Seen int64 `json:"seen,omitempty"`
	// Moved states that the session moved to another proxy just before the request.
	Moved bool `json:"moved,omitempty"`
}

// Latency returns the time from the intended start to the complete answer, so that waiting counts in full.
func (request *Request) Latency() time.Duration { return request.Finished - request.Intended }

// Writes states whether the request changes data.
func (request *Request) Writes() bool { return request.Kind != schedule.Read }

// History is what a run recorded.
type History struct {
	// Requests holds the requests; those of one session are in their order.
	Requests []Request
	// Contents holds, for each organisation whose data could be read after the run, how often each row is present.
	Contents map[string]map[int64]int
	// Stale lists organisations whose contract accepts reads of old data.
	Stale map[string]bool
}
