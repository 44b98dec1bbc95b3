package history

import (
	"fmt"
	"slices"
	"strings"
)

// Fault names a broken guarantee.
type Fault string

// The faults that the checker finds.
const (
	// StaleRead is a read that misses the session's own last acknowledged write.
	StaleRead Fault = "stale_read"
	// ForeignRead is a read that returns a write which the session has not sent.
	ForeignRead Fault = "foreign_read"
	// LostWrite is an acknowledged write that is not present after the run.
	LostWrite Fault = "lost_write"
	// RepeatedWrite is a write that is present more than once.
	RepeatedWrite Fault = "repeated_write"
	// FalseRefusal is a write that is present although its refusal says that it was not run.
	FalseRefusal Fault = "false_refusal"
	// TornTransaction is a transaction of which only a part is present.
	TornTransaction Fault = "torn_transaction"
	// UnknownRow is a row that no request wrote.
	UnknownRow Fault = "unknown_row"
	// Unverified is an organisation whose data could not be read after the run.
	Unverified Fault = "unverified"
)

// Violation is one broken guarantee.
type Violation struct {
	Fault        Fault  `json:"fault"`
	Organisation string `json:"organisation"`
	Session      int64  `json:"session,omitempty"`
	Detail       string `json:"detail"`
}

type sessionKey struct {
	organisation string
	session      int64
}

// Check returns every violation in the history, sorted by organisation.
func Check(history *History) []Violation {
	violations := checkReads(history)
	written := map[string]map[int64]bool{}
	for index := range history.Requests {
		request := &history.Requests[index]
		if !request.Writes() {
			continue
		}
		contents, known := history.Contents[request.Organisation]
		if written[request.Organisation] == nil {
			written[request.Organisation] = map[int64]bool{}
			if !known {
				violations = append(violations, Violation{
					Fault: Unverified, Organisation: request.Organisation, Detail: "the rows could not be read after the run",
				})
			}
		}
		for _, row := range request.Rows {
			written[request.Organisation][row] = true
		}
		if known {
			violations = append(violations, checkWrite(request, contents)...)
		}
	}
	for organisation, contents := range history.Contents {
		for row := range contents {
			if !written[organisation][row] {
				violations = append(violations, Violation{
					Fault: UnknownRow, Organisation: organisation, Detail: fmt.Sprintf("row %d was written by no request", row),
				})
			}
		}
	}
	slices.SortStableFunc(violations, func(left, right Violation) int {
		if order := strings.Compare(left.Organisation, right.Organisation); order != 0 {
			return order
		}
		return strings.Compare(string(left.Fault), string(right.Fault))
	})
	return violations
}

// checkReads compares each read with the writes that its session sent before.
func checkReads(history *History) []Violation {
	var violations []Violation
	acknowledged, sent := map[sessionKey]int64{}, map[sessionKey]int64{}
	for index := range history.Requests {
		request := &history.Requests[index]
		key := sessionKey{request.Organisation, request.Session}
		reads := request.Kind == "read" && request.Outcome == OK
		if reads && request.Seen < acknowledged[key] && !history.Stale[request.Organisation] {
			violations = append(violations, request.violation(StaleRead,
				"at %s on %s: saw write %d after write %d was acknowledged", request.Started, request.Proxy, request.Seen, acknowledged[key]))
		}
		if reads && request.Seen > sent[key] {
			violations = append(violations, request.violation(ForeignRead,
				"at %s on %s: saw write %d, sent were %d", request.Started, request.Proxy, request.Seen, sent[key]))
		}
		if request.Writes() {
			sent[key] = request.Sequence
			if request.Outcome == OK {
				acknowledged[key] = request.Sequence
			}
		}
	}
	return violations
}

// checkWrite compares the rows of a write with what is present after the run.
func checkWrite(request *Request, contents map[int64]int) []Violation {
	var violations []Violation
	present, repeated := 0, 0
	for _, row := range request.Rows {
		if contents[row] > 0 {
			present++
		}
		if contents[row] > 1 {
			repeated++
		}
	}
	if repeated > 0 {
		violations = append(violations, request.violation(RepeatedWrite, "write %d is present more than once", request.Sequence))
	}
	switch {
	case request.Outcome == OK && present < len(request.Rows):
		violations = append(violations, request.violation(LostWrite,
			"write %d, acknowledged at %s by %s: %d of %d rows are present", request.Sequence, request.Finished, request.Proxy, present, len(request.Rows)))
	case (request.Outcome == Refused || request.Outcome == Failed) && present > 0:
		violations = append(violations, request.violation(FalseRefusal,
			"write %d was answered with %s (%s) and is present", request.Sequence, request.SQLState, request.Reason))
	case present > 0 && present < len(request.Rows):
		violations = append(violations, request.violation(TornTransaction,
			"write %d: %d of %d rows are present", request.Sequence, present, len(request.Rows)))
	}
	return violations
}

func (request *Request) violation(fault Fault, format string, arguments ...any) Violation {
	return Violation{
		Fault: fault, Organisation: request.Organisation, Session: request.Session, Detail: fmt.Sprintf(format, arguments...),
	}
}
