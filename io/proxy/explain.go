package proxy

import (
	"errors"
	"fmt"
	"time"

	"dotterelgw/core/catalog"
	"dotterelgw/core/ids"
	"dotterelgw/core/position"
	"dotterelgw/core/quota"
	"dotterelgw/core/refusal"
	"dotterelgw/io/clock"
	"dotterelgw/io/monitor"
)

// OperationKind is the kind of an operation that is to be explained.
type OperationKind string

// The kinds of operations.
const (
	// ReadOperation is a single read.
	ReadOperation OperationKind = "read"
	// WriteOperation is a single write.
	WriteOperation OperationKind = "write"
	// TransactionOperation is a transaction that may write.
	TransactionOperation OperationKind = "transaction"
)

// ErrUnknownOperation reports an operation of another kind.
var ErrUnknownOperation = errors.New("the operation is none of read, write, transaction")

// Question describes an operation whose way is to be explained.
type Question struct {
	// Route is the database name that the caller connects to.
	Route ids.RouteName
	// Organisation is whose key the caller presents; empty for none.
	Organisation ids.OrganisationID
	// Operation is the kind of the operation.
	Operation OperationKind
	// Written is the position of the session's last write in the group of the route; the zero value if it has written nothing there.
	Written position.GroupPosition
}

// Explanation tells where an operation would go now, and why.
type Explanation struct {
	// Configuration is the version that decided.
	Configuration catalog.Version `json:"configuration"`
	// Group is the database group of the route.
	Group ids.GroupID `json:"group,omitempty"`
	// Rate tells whether this VM holds budget for the operation.
	Rate quota.Standing `json:"rate,omitempty"`
	// Server is where the operation would be sent; empty if it would be refused or wait.
	Server ids.BackendServerID `json:"server,omitempty"`
	// Through is the VM to which it would be handed over; empty if this VM would send it itself.
	Through ids.VMID `json:"through,omitempty"`
	// RequiredTerm and RequiredLog are the position that the server's log must have reached.
	RequiredTerm ids.Term        `json:"required_term,omitempty"`
	RequiredLog  ids.LogPosition `json:"required_log,omitempty"`
	// Reason is why it would be refused, or wait if Waits is set.
	Reason refusal.Reason `json:"reason,omitempty"`
	// Waits reports whether the operation would wait for the cause to end.
	Waits bool `json:"waits,omitempty"`
	// RetryAfterMS is when a caller that is refused should come back.
	RetryAfterMS int64 `json:"retry_after_ms,omitempty"`
	// Note holds the inputs of a refusal.
	Note string `json:"note,omitempty"`
	// ZoneShares holds the parts of the group's reads that leave the availability zone of this VM.
	ZoneShares string `json:"zone_shares,omitempty"`
	// Candidates holds the servers of the group.
	Candidates []monitor.Candidate `json:"candidates,omitempty"`
}

// refuse records why the operation would be refused.
func (explanation *Explanation) refuse(refused *refused) Explanation {
	explanation.Reason, explanation.Note = refused.Reason, refused.Note
	explanation.RetryAfterMS = refused.after.Milliseconds()
	return *explanation
}

// Explain tells where an operation would go now. It runs the decisions that serve callers, and sends and spends nothing.
func (server *Server) Explain(question Question) (Explanation, error) {
	explanation := Explanation{}
	current := server.Directory.Catalog()
	if current == nil {
		return explanation.refuse(refuse(refusal.NotConfirmed, retryElsewhere, "no configuration yet")), nil
	}
	session := newSession(server, nil)
	session.route, session.key = question.Route, keyOf(current, question.Organisation)
	session.own.record(question.Written, clock.Now())
	route, organisation, refused := session.authorise()
	explanation.Configuration = session.version
	if refused != nil {
		return explanation.refuse(refused), nil
	}
	if _, err := question.Written.Of(route.Group); err != nil {
		return Explanation{}, fmt.Errorf("what the session has written: %w", err)
	}
	operation := session.operation(route, organisation, clock.Now())
	switch question.Operation {
	case ReadOperation:
		operation.reads = true
	case WriteOperation:
		operation.writes = true
	case TransactionOperation:
		operation.reads, operation.writes = true, true
	default:
		return Explanation{}, fmt.Errorf("%q: %w", question.Operation, ErrUnknownOperation)
	}
	return session.explain(&operation, explanation), nil
}

// keyOf returns a key of the organisation, empty if it has none.
func keyOf(current *catalog.Catalog, organisation ids.OrganisationID) catalog.Key {
	for key, holder := range current.Keys {
		if holder.ID == organisation {
			return key
		}
	}
	return ""
}

// explain adds to the explanation where the operation would go.
func (session *session) explain(operation *operation, explanation Explanation) Explanation {
	explanation.Group = operation.route.Group
	standing, retryAfter := session.server.Limiter.Standing(operation.organisation)
	explanation.Rate = standing
	if standing == quota.UsedUp {
		return explanation.refuse(refuse(refusal.RateExceeded, retryAfter, ""))
	}
	group, refused := session.group(operation)
	if refused != nil {
		return explanation.refuse(refused)
	}
	attempts := &attempts{deadline: time.Now().Add(operation.timeout())}
	explanation.Candidates = session.candidates(group, operation, attempts)
	explanation.ZoneShares = group.ZoneShares()
	chosen, cause := session.choose(group, operation, attempts)
	if cause == nil {
		explanation.Server, explanation.Through = chosen.server.ID(), chosen.server.Through()
		_, required := chosen.after.Parts()
		explanation.RequiredTerm, explanation.RequiredLog = required.Term, required.Log
		return explanation
	}
	ctx, cancel := operation.acquireContext(attempts)
	defer cancel()
	unavailable := session.primaryUnavailable(ctx, group, cause)
	explanation.Waits = unavailable == nil
	if unavailable != nil {
		cause = unavailable
	}
	return explanation.refuse(cause)
}

// candidates describes the servers of the group for the operation.
func (session *session) candidates(group *monitor.Group, operation *operation, attempts *attempts) []monitor.Candidate {
	if operation.primaryOnly() {
		return group.PrimaryCandidates(operation.organisation.ID)
	}
	floor, _ := group.MinReadPosition(operation.freshnessBound())
	request, err := session.readRequest(group, operation, attempts, floor, clock.Now(), session.mayReadPrimary(group, operation))
	if err != nil {
		return nil
	}
	return group.ReadCandidates(request)
}
