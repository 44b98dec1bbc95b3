package retry

// Reason names a reason for repeating a request; it is also the name of its counter.
type Reason string

// The closed list of reasons.
const (
	// NotSent repeats a request of which no byte reached a backend server.
	NotSent Reason = "retry_not_sent"
	// ReadLost repeats a read whose connection was lost before any of its rows was forwarded.
	ReadLost Reason = "retry_read_lost"
	// IdempotentLost repeats a request that the caller marked as idempotent.
	IdempotentLost Reason = "retry_idempotent_lost"
	// PrimaryFenced repeats a request that a replaced primary refused to run.
	PrimaryFenced Reason = "retry_primary_fenced"
	// ReplicaReadOnly repeats on the primary a statement that a replica refused to run.
	ReplicaReadOnly Reason = "retry_replica_read_only"
)

// budgeted states which reasons draw on the group's budget. The others are redirections of requests that a healthy
// server refused before running them, bounded to one per change of view or per request.
var budgeted = map[Reason]bool{
	NotSent:         true,
	ReadLost:        true,
	IdempotentLost:  true,
	PrimaryFenced:   false,
	ReplicaReadOnly: false,
}

// All returns the names of all reasons, in no fixed order.
func All() []Reason {
	reasons := make([]Reason, 0, len(budgeted))
	for reason := range budgeted {
		reasons = append(reasons, reason)
	}
	return reasons
}

// Budgeted states whether repeats for the reason draw on the group's budget.
func Budgeted(reason Reason) bool { return budgeted[reason] }

// sqlStateReadOnly is read_only_sql_transaction: the server ran nothing because it takes no writes.
const sqlStateReadOnly = "25006"

// Attempt describes how an attempt to run a request ended without an answer for the caller.
type Attempt struct {
	// Sent states that at least one byte of the request was written to a backend server.
	Sent bool
	// SQLState is the error that the server answered with, or empty when the connection was lost.
	SQLState string
	// Primary states that the server was taken for the primary.
	Primary bool
	// Forwarded states that the caller got a part of the answer.
	Forwarded bool
	// ReadOnly states that the request cannot have changed anything.
	ReadOnly bool
	// Idempotent states that the caller allows repeats.
	Idempotent bool
	// InTransaction states that the request belongs to a transaction that was open before it.
	InTransaction bool
}

// Decide returns the reason for which the request may be repeated, and false when it may not be.
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
