package trace

import (
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"dotterelgw/core/refusal"
)

const (
	// lookback is the time before a line of the request within which a state change may explain it.
	lookback = 5 * time.Second
	// timeKey, eventKey and requestKey are the keys of the fields with the time, the event and the request of a line.
	timeKey, eventKey, requestKey = "time", "event", "request"
)

// ErrNotFound states that no line names the request.
var ErrNotFound = errors.New("no line names the request; its kind may have exceeded the rate limit of the log, see the field omitted")

// Line is a decoded line of a structured log.
type Line struct {
	// Time is the time at which the line was written, by the wall clock of its VM; zero if the line has none.
	Time time.Time
	// Fields holds the fields in the order of the log.
	Fields []Field
}

// Field is a key-value pair of a line.
type Field struct {
	// Key and Value are unquoted.
	Key, Value string
}

// Get returns the value of the first field with the key, or an empty string if there is none.
func (line Line) Get(key string) string {
	for _, field := range line.Fields {
		if field.Key == key {
			return field.Value
		}
	}
	return ""
}

// String returns the fields of the line except its time, with quoted values.
func (line Line) String() string {
	var parts []string
	for _, field := range line.Fields {
		if field.Key != timeKey {
			parts = append(parts, fmt.Sprintf("%s=%q", field.Key, field.Value))
		}
	}
	return strings.Join(parts, " ")
}

// stateChangeEvents holds the events that change the state of a process and may thus explain a refusal.
var stateChangeEvents = map[string]bool{
	"dependency_lost": true, "dependency_regained": true, "primary_changed": true, "primary_certainty": true,
	"replacement_begun": true, "replacement_given_up": true, "promotion_ordered": true, "promotion_done": true,
	"configuration_applied": true, "drain": true, "start": true, "primary_fenced": true, "fence_ended": true, "records_source": true,
	"relay_role": true, "server_gone": true, "duty_lost": true, "duty_taken": true, "store_restored": true, "records_replaced": true,
	"changes_ignored": true, "peer_secret_changed": true, evacuationChangedEvent: true, zoneClosedEvent: true,
}

// causes holds an explanation of each refusal reason.
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
	refusal.ZoneEvacuated:    "only servers in evacuated availability zones could run it, or its transaction was open on one",
	refusal.ServerCold:       "the server had just started, and all VMs together had sent it as much as it takes",
	refusal.MemoryShort:      "the memory for callers was used up, or the message was not finished in time",
	refusal.MessageTooLarge:  "the message, or what the session keeps, was larger than allowed",
	refusal.ProtocolError:    "the message violates the protocol or does not fit the session's state",
}

// Timeline holds the log lines about a request.
type Timeline struct {
	// Lines holds the lines of the request and the state changes that may explain them, ordered by time.
	Lines []Line
	// Cause explains why the request was refused; empty if no line reports a refusal.
	Cause string
}

// Find reads the logs and returns the timeline of the request, or ErrNotFound.
func Find(request string, logs ...io.Reader) (Timeline, error) {
	var requestLines, stateChanges []Line
	identifiers := spellings(request)
	for _, log := range logs {
		err := scan(log, func(line Line) {
			switch {
			case slices.ContainsFunc(identifiers, line.isAbout):
				requestLines = append(requestLines, line)
			case stateChangeEvents[line.Get(eventKey)]:
				stateChanges = append(stateChanges, line)
			}
		})
		if err != nil {
			return Timeline{}, err
		}
	}
	if len(requestLines) == 0 {
		return Timeline{}, fmt.Errorf("request %s: %w", request, ErrNotFound)
	}
	timeline := Timeline{Lines: requestLines, Cause: causeOf(requestLines)}
	for _, line := range stateChanges {
		if slices.ContainsFunc(requestLines, func(own Line) bool { return mayExplain(line, own) }) {
			timeline.Lines = append(timeline.Lines, line)
		}
	}
	slices.SortStableFunc(timeline.Lines, func(one, other Line) int { return one.Time.Compare(other.Time) })
	return timeline, nil
}

// mayExplain states whether a state change may explain a line of the request: it was logged at most lookback before the line, on
// the same VM or about the same server.
func mayExplain(change, request Line) bool {
	before := request.Time.Sub(change.Time)
	if before < 0 || before > lookback {
		return false
	}
	server := request.Get("server")
	return change.Get("vm") == request.Get("vm") || server != "" && change.Get("server") == server
}

// causeOf returns the explanation of the last refusal, or an empty string if there is none.
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
