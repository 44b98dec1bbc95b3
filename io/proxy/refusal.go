package proxy

import (
	"fmt"
	"strconv"
	"time"

	"dotterelgw/core/refusal"
	"dotterelgw/core/statement"
)

// codes maps the reason for a refusal to the status code sent to the caller.
var codes = map[refusal.Reason]statement.Code{
	refusal.KeyUnknown: statement.KeyUnknown, refusal.KeyWithdrawn: statement.KeyUnknown,
	refusal.RouteUnknown: statement.DatabaseUnknown, refusal.RateExceeded: statement.Busy,
	refusal.QueueFull: statement.Busy, refusal.QueueTimeout: statement.Busy, refusal.NoPrimary: statement.Busy,
	refusal.NotConfirmed: statement.Busy, refusal.Stopping: statement.Aborted, refusal.BackendLost: statement.Aborted,
	refusal.StaleRoute: statement.Lagging, refusal.OutcomeUnknown: statement.InDoubt, refusal.PrimaryReplaced: statement.InDoubt,
	refusal.MemoryShort: statement.Busy, refusal.MessageTooLarge: statement.TooLarge,
	refusal.ProtocolError: statement.Malformed, refusal.TransactionLimit: statement.Aborted,
	refusal.ZoneEvacuated: statement.Busy, refusal.ServerCold: statement.Busy,
}

// Delays before a caller should retry, by the condition that has to clear.
const (
	// retrySoon is for a lack of connections or slots, which become free within tens of milliseconds.
	retrySoon = 50 * time.Millisecond
	// retryPrimary is for a group without a primary; a promotion takes 600 ms.
	retryPrimary = 500 * time.Millisecond
	// retryCold is for a server that has just started: other statements have used up what it takes in a part of a second.
	retryCold = 200 * time.Millisecond
	// retryEvacuated is for a group whose servers are all in evacuated availability zones. It can serve again once the operator withdraws
	// a request or a server elsewhere joins, which takes seconds at least.
	retryEvacuated = 2 * time.Second
	// retryElsewhere is for a VM that cannot serve: the caller can retry on another VM at once.
	retryElsewhere = 0
)

// refused is a refusal with the delay after which the caller may retry.
type refused struct {
	*refusal.Refusal
	after time.Duration
}

func refuse(reason refusal.Reason, after time.Duration, note string) *refused {
	return &refused{Refusal: refusal.New(reason, note), after: after}
}

// refusalReply logs and counts the refusal and returns the reply to the caller.
func (session *session) refusalReply(request statement.Request, refused *refused, state statement.TransactionState) statement.Reply {
	if counter, ok := session.server.refusals[refused.Reason]; ok {
		counter.Inc(1)
	}
	// Under a flood most lines are omitted, and a refusal should cost less than a service.
	if session.server.EventLog.Allows(eventRefused) {
		session.logRefusal(request, refused)
	}
	kind, _ := refusal.Lookup(refused.Reason)
	message := kind.Message + " (" + string(refused.Reason) + ", " + string(refused.Outcome) + "); retry after " +
		strconv.FormatInt(refused.after.Milliseconds(), 10) + " ms"
	return statement.Reply{Code: codes[refused.Reason], Message: message, State: state}
}

// eventRefused is the kind of the log lines on refusals.
const eventRefused = "refused"

// logRefusal logs the inputs of a refusal.
func (session *session) logRefusal(request statement.Request, refused *refused) {
	note := refused.Note
	if refused.Reason == refusal.RateExceeded {
		note = session.rateNote()
	}
	session.server.EventLog.LimitedEvent(eventRefused, "request", request.ID, "kind", request.Statement.Kind, "route", session.route,
		"organisation", session.organisation, "reason", refused.Reason, "outcome", refused.Outcome,
		"retry_after_ms", refused.after.Milliseconds(), "configuration", session.version,
		"configuration_age_ms", session.server.Directory.CatalogAge().Milliseconds(), "note", note)
}

// rateNote describes the rate limit of the session's organisation.
func (session *session) rateNote() string {
	organisation, ok := session.server.Directory.Catalog().Organisations[session.organisation]
	if !ok {
		return ""
	}
	return fmt.Sprintf("rate limit of %g/s, burst %g over all VMs", organisation.Rate, organisation.Burst)
}
