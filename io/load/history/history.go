package history

import (
	"time"

	"dotterelgw/io/load/schedule"
)

// Outcome is the effect of a request as far as the client knows it.
type Outcome string

// The outcomes of a request.
const (
	// OK means that the request was acknowledged.
	OK Outcome = "ok"
	// Refused means that an error response said that the request was not run or was rolled back.
	Refused Outcome = "refused"
	// Failed means that the request cannot have taken effect, for example because there was no connection.
	Failed Outcome = "failed"
	// Unknown means that the request may have taken effect.
	Unknown Outcome = "unknown"
)

// Request is one request of the history. All times are relative to the start of the run.
type Request struct {
	Organisation string        `json:"organisation"`
	Session      int64         `json:"session"`
	Proxy        string        `json:"proxy"`
	Kind         schedule.Kind `json:"kind"`
	// Intended is the scheduled time of the request, Started the time at which it was sent, and Finished the time at which
	// its response was complete.
	Intended time.Duration `json:"intended_ns"`
	Started  time.Duration `json:"started_ns"`
	Finished time.Duration `json:"finished_ns"`
	Outcome  Outcome       `json:"outcome"`
	// SQLState and Reason explain why a request was not acknowledged; Error is the full message.
	SQLState string `json:"sqlstate,omitempty"`
	Reason   string `json:"reason,omitempty"`
	Error    string `json:"error,omitempty"`
	// Statements is the number of statements sent.
	Statements int `json:"statements"`
	// Sequence numbers the writes of a session from 1. Rows holds the ids of the rows that a write inserts.
	Sequence int64   `json:"sequence,omitempty"`
	Rows     []int64 `json:"rows,omitempty"`
	// Seen is the highest sequence number that a read returned, 0 for none.
	Seen int64 `json:"seen,omitempty"`
	// Moved is true if the session moved to another proxy just before the request.
	Moved bool `json:"moved,omitempty"`
}

// Latency returns the time from the scheduled start to the complete response, so that it includes the time for which the
// request waited to be sent (no coordinated omission).
func (request *Request) Latency() time.Duration { return request.Finished - request.Intended }

// Writes reports whether the request changes data.
func (request *Request) Writes() bool { return request.Kind != schedule.Read }

// History is the record of a run.
type History struct {
	// Requests holds all requests. Those of the same session are in the order in which they were sent.
	Requests []Request
	// RowCounts holds, for each organisation whose rows could be read after the run, how often each row id is present.
	RowCounts map[string]map[int64]int
	// AllowStale is true for organisations whose contract allows reads of outdated data.
	AllowStale map[string]bool
}
