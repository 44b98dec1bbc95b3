package trace

import (
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"

	"dotterelgw/core/refusal"
)

const (
	// context is the time before a line of the request in which a change of belief may have decided it.
	context = 5 * time.Second
	// timeKey, eventKey and requestKey are the fields that every line of a decision has.
	timeKey, eventKey, requestKey = "time", "event", "request"
)

// ErrUnknown states that no line names the request.
var ErrUnknown = errors.New("no line names the request; its kind may have been over its budget, see the field omitted")

// Line is one structured line of a log.
type Line struct {
	// Time is when the line was written, by the time of day of its VM.
	Time time.Time
	// Fields holds the fields in their order.
	Fields []Field
}

// Field is one field of a line.
type Field struct {
	// Key and Value are as in the log.
	Key, Value string
}

// Get returns the value of the field, empty if the line has none.
func (line Line) Get(key string) string {
	for _, field := range line.Fields {
		if field.Key == key {
			return field.Value
		}
	}
	return ""
}

// String returns the line as it stands in the log, without its time.
func (line Line) String() string {
	var parts []string
	for _, field := range line.Fields {
		if field.Key != timeKey {
			parts = append(parts, fmt.Sprintf("%s=%q", field.Key, field.Value))
		}
	}
	return strings.Join(parts, " ")
}

// beliefs holds the events that change what a process believes.
var beliefs = map[string]bool{
	"dependency_lost": true, "dependency_regained": true, "primary_changed": true, "primary_certainty": true,
	"replacement_begun": true, "replacement_given_up": true, "promotion_ordered": true, "promotion_done": true,
	"configuration_applied": true, "drain": true, "start": true, "primary_fenced": true, "fence_ended": true, "records_source": true, "relay_role": true, "server_gone": true, "duty_lost": true, "duty_taken": true,
}

// causes holds a sentence for each reason of a refusal.
var causes = map[refusal.Reason]string{
	refusal.RateExceeded:     "the organisation had used its rate and burst over the whole fleet",
	refusal.OutcomeUnknown:   "the write was sent and its answer did not come, so whether it took effect is not known",
	refusal.PrimaryReplaced:  "the write was done at a primary that was being replaced, and its successor may lack it",
	refusal.NoPrimary:        "no server was confirmed as the only primary while the request waited",
	refusal.NotConfirmed:     "the VM had not reached the key-value service for longer than its configuration may be relied on",
	refusal.StaleRoute:       "no server within reach held data as recent as the route or the session asks for",
	refusal.QueueFull:        "more requests waited for a connection than could be served in time",
	refusal.QueueTimeout:     "no connection to a server became free in time",
	refusal.BackendLost:      "the server did not answer, and the transaction was rolled back",
	refusal.TransactionLimit: "the transaction was idle for longer than the configuration allows",
	refusal.Stopping:         "the VM was stopping and the transaction outlasted its grace",
	refusal.KeyUnknown:       "the configuration in force has no such key",
	refusal.KeyWithdrawn:     "the key was withdrawn while the transaction was open",
	refusal.RouteUnknown:     "the configuration in force has no such route",
	refusal.ProtocolError:    "the message violates the protocol or does not fit the session's state",
}

// Timeline is what the logs say of a request.
type Timeline struct {
	// Lines holds the lines of the request and the changes of belief before them, in order of time.
	Lines []Line
	// Cause is one sentence on why the request failed, empty if no line says that it did.
	Cause string
}

// Find reads the logs and returns the timeline of the request.
func Find(request string, logs ...io.Reader) (Timeline, error) {
	var own, believed []Line
	for _, log := range logs {
		decoder := logfmt.NewDecoder(log)
		for decoder.ScanRecord() {
			line := decode(decoder)
			switch {
			case line.Get(requestKey) == request:
				own = append(own, line)
			case beliefs[line.Get(eventKey)]:
				believed = append(believed, line)
			}
		}
		if err := decoder.Err(); err != nil {
			return Timeline{}, fmt.Errorf("reading a log: %w", err)
		}
	}
	if len(own) == 0 {
		return Timeline{}, fmt.Errorf("request %s: %w", request, ErrUnknown)
	}
	timeline := Timeline{Lines: own, Cause: causeOf(own)}
	for _, line := range believed {
		if slices.ContainsFunc(own, func(of Line) bool { return concerns(line, of) }) {
			timeline.Lines = append(timeline.Lines, line)
		}
	}
	slices.SortStableFunc(timeline.Lines, func(one, other Line) int { return one.Time.Compare(other.Time) })
	return timeline, nil
}

func decode(decoder *logfmt.Decoder) Line {
	var line Line
	for decoder.ScanKeyval() {
		field := Field{Key: string(decoder.Key()), Value: string(decoder.Value())}
		if field.Key == timeKey {
			// A line without a time sorts first; its other fields still tell something.
			line.Time, _ = time.Parse(time.RFC3339Nano, field.Value)
		}
		line.Fields = append(line.Fields, field)
	}
	return line
}

// concerns states whether a change of belief may have decided the request: it came shortly before, on the same VM or about
// the same server.
func concerns(belief, request Line) bool {
	before := request.Time.Sub(belief.Time)
	if before < 0 || before > context {
		return false
	}
	server := request.Get("server")
	return belief.Get("vm") == request.Get("vm") || server != "" && belief.Get("server") == server
}

// causeOf returns the sentence for the last refusal.
func causeOf(lines []Line) string {
	cause := ""
	for _, line := range lines {
		if line.Get(eventKey) != "refused" {
			continue
		}
		reason := refusal.Reason(line.Get("reason"))
		cause = fmt.Sprintf("%s on %s: %s (%s)", reason, line.Get("vm"), causes[reason], line.Get("outcome"))
		if note := line.Get("note"); note != "" {
			cause += "; " + note
		}
	}
	return cause
}
