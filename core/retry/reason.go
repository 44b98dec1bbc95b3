package retry

// Reason is a reason for retrying a request. Its value is also the name of its counter.
type Reason string

// The reasons. The list is closed: each has an entry in budgeted.
const (
	// NotSent retries a request of which no byte was sent to a backend server.
	NotSent Reason = "retry_not_sent"
	// ReadLost retries a read whose connection was lost before any of its rows was forwarded.
	ReadLost Reason = "retry_read_lost"
	// IdempotentLost retries a request that was lost with its connection and that the caller marked as idempotent.
	IdempotentLost Reason = "retry_idempotent_lost"
	// PrimaryFenced retries a request that a replaced primary rejected without running it.
	PrimaryFenced Reason = "retry_primary_fenced"
	// ReplicaReadOnly retries on the primary a statement that a replica rejected without running it.
	ReplicaReadOnly Reason = "retry_replica_read_only"
)

// budgeted reports which reasons use the group's retry budget. The others redirect requests that a healthy server rejected
// before running them. They are limited to one per change of view or per request.
var budgeted = map[Reason]bool{
	NotSent:         true,
	ReadLost:        true,
	IdempotentLost:  true,
	PrimaryFenced:   false,
	ReplicaReadOnly: false,
}

// All returns all reasons in no particular order.
func All() []Reason {
	reasons := make([]Reason, 0, len(budgeted))
	for reason := range budgeted {
		reasons = append(reasons, reason)
	}
	return reasons
}

// Budgeted reports whether retries for the reason use the group's budget.
func Budgeted(reason Reason) bool { return budgeted[reason] }

// sqlStateReadOnly is read_only_sql_transaction: the server ran nothing because it doesn't accept writes.
const sqlStateReadOnly = "25006"

// Attempt describes an attempt to run a request that ended without a result for the caller.
type Attempt struct {
	// Sent reports whether at least one byte of the request was written to a backend server.
	Sent bool
	// SQLState is the error code that the server returned, or empty if the connection was lost.
	SQLState string
	// Primary reports whether the request was sent to the server as the primary.
	Primary bool
	// Forwarded reports whether part of the result was forwarded to the caller.
	Forwarded bool
	// ReadOnly reports whether the request can't have changed anything.
	ReadOnly bool
	// Idempotent reports whether the caller marked the request as idempotent.
	Idempotent bool
	// InTransaction reports whether the request belongs to a transaction that was opened before it.
	InTransaction bool
}

// Decide returns the reason for which the request may be retried, or false if it must not be.
func Decide(attempt Attempt) (Reason, bool) {
	switch {
	case attempt.InTransaction, attempt.Forwarded:
		return "", false
	case attempt.SQLState == sqlStateReadOnly && attempt.Primary:
		return PrimaryFenced, !attempt.ReadOnly
	case attempt.SQLState == sqlStateReadOnly:
		return ReplicaReadOnly, true
	case attempt.SQLState != "":
		return "", false
	case !attempt.Sent:
		return NotSent, true
	case attempt.ReadOnly:
		return ReadLost, true
	case attempt.Idempotent:
		return IdempotentLost, true
	}
	return "", false
}
