package history

import (
	"fmt"
	"slices"
	"strings"
)

// Anomaly is the kind of a violation. The JSON field is called "fault".
type Anomaly string

// The kinds of violations that Check finds.
const (
	// StaleRead is a read that does not see the last acknowledged write of its own session.
	StaleRead Anomaly = "stale_read"
	// ForeignRead is a read that returns a write that the session has not sent.
	ForeignRead Anomaly = "foreign_read"
	// LostWrite is an acknowledged write that is missing after the run.
	LostWrite Anomaly = "lost_write"
	// RepeatedWrite is a write that is present more than once.
	RepeatedWrite Anomaly = "repeated_write"
	// FalseRefusal is a write that is present although it was reported as not run.
	FalseRefusal Anomaly = "false_refusal"
	// TornTransaction is a transaction that is only partly present.
	TornTransaction Anomaly = "torn_transaction"
	// UnknownRow is a row that was not written by any request.
	UnknownRow Anomaly = "unknown_row"
	// Unverified is reported for an organisation whose rows could not be read after the run.
	Unverified Anomaly = "unverified"
)

// Violation is one broken guarantee.
type Violation struct {
	Anomaly      Anomaly `json:"fault"`
	Organisation string  `json:"organisation"`
	Session      int64   `json:"session,omitempty"`
	Detail       string  `json:"detail"`
}

type sessionKey struct {
	organisation string
	session      int64
}

// Check returns all violations in the history, sorted by organisation and kind.
func Check(history *History) []Violation {
	violations := checkReads(history)
	written := map[string]map[int64]bool{}
	for index := range history.Requests {
		request := &history.Requests[index]
		if !request.Writes() {
			continue
		}
		rowCounts, known := history.RowCounts[request.Organisation]
		if written[request.Organisation] == nil {
			written[request.Organisation] = map[int64]bool{}
			if !known {
				violations = append(violations, Violation{
					Anomaly: Unverified, Organisation: request.Organisation, Detail: "the rows could not be read after the run",
				})
			}
		}
		for _, row := range request.Rows {
			written[request.Organisation][row] = true
		}
		if known {
			violations = append(violations, checkWrite(request, rowCounts)...)
		}
	}
	for organisation, rowCounts := range history.RowCounts {
		for row := range rowCounts {
			if !written[organisation][row] {
				violations = append(violations, Violation{
					Anomaly: UnknownRow, Organisation: organisation, Detail: fmt.Sprintf("row %d was written by no request", row),
				})
			}
		}
	}
	slices.SortStableFunc(violations, func(left, right Violation) int {
		if order := strings.Compare(left.Organisation, right.Organisation); order != 0 {
			return order
		}
		return strings.Compare(string(left.Anomaly), string(right.Anomaly))
	})
	return violations
}

// checkReads compares each read with the preceding writes of its session.
func checkReads(history *History) []Violation {
	var violations []Violation
	acknowledged, sent := map[sessionKey]int64{}, map[sessionKey]int64{}
	for index := range history.Requests {
		request := &history.Requests[index]
		key := sessionKey{request.Organisation, request.Session}
		reads := request.Kind == "read" && request.Outcome == OK
		if reads && request.Seen < acknowledged[key] && !history.AllowStale[request.Organisation] {
			violations = append(violations, request.newViolation(StaleRead,
				"at %s on %s: saw write %d after write %d was acknowledged", request.Started, request.Proxy, request.Seen, acknowledged[key]))
		}
		if reads && request.Seen > sent[key] {
			violations = append(violations, request.newViolation(ForeignRead,
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

// checkWrite compares the rows of a write with the rows that are present after the run.
func checkWrite(request *Request, rowCounts map[int64]int) []Violation {
	var violations []Violation
	present, repeated := 0, 0
	for _, row := range request.Rows {
		if rowCounts[row] > 0 {
			present++
		}
		if rowCounts[row] > 1 {
			repeated++
		}
	}
	if repeated > 0 {
		violations = append(violations, request.newViolation(RepeatedWrite, "write %d is present more than once", request.Sequence))
	}
	switch {
	case request.Outcome == OK && present < len(request.Rows):
		violations = append(violations, request.newViolation(LostWrite,
			"write %d, acknowledged at %s by %s: %d of %d rows are present", request.Sequence, request.Finished, request.Proxy, present, len(request.Rows)))
	case (request.Outcome == Refused || request.Outcome == Failed) && present > 0:
		violations = append(violations, request.newViolation(FalseRefusal,
			"write %d was answered with %s (%s) and is present", request.Sequence, request.SQLState, request.Reason))
	case present > 0 && present < len(request.Rows):
		violations = append(violations, request.newViolation(TornTransaction,
			"write %d: %d of %d rows are present", request.Sequence, present, len(request.Rows)))
	}
	return violations
}

func (request *Request) newViolation(anomaly Anomaly, format string, arguments ...any) Violation {
	return Violation{
		Anomaly: anomaly, Organisation: request.Organisation, Session: request.Session, Detail: fmt.Sprintf(format, arguments...),
	}
}
