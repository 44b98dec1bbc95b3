package refusal

// Outcome describes whether a refused request took effect.
type Outcome string

// The outcomes of a refused request.
const (
	// NotRun means that no backend server ran any part of the request.
	NotRun Outcome = "not run"
	// RolledBack means that the open transaction was rolled back.
	RolledBack Outcome = "rolled back"
	// Unknown means that the request may or may not have taken effect.
	Unknown Outcome = "unknown"
)

// Reason identifies the reason for a refusal.
type Reason string

// The reasons. The list is closed: each has an entry in kinds.
const (
	KeyUnknown           Reason = "key_unknown"
	KeyWithdrawn         Reason = "key_withdrawn"
	OrganisationMismatch Reason = "organisation_mismatch"
	RouteUnknown         Reason = "route_unknown"
	ContractWithdrawn    Reason = "contract_withdrawn"
	RateExceeded         Reason = "rate_exceeded"
	ConnectionLimit      Reason = "connection_limit"
	TransactionLimit     Reason = "transaction_limit"
	QueueFull            Reason = "queue_full"
	QueueTimeout         Reason = "queue_timeout"
	NoPrimary            Reason = "no_primary"
	NotConfirmed         Reason = "not_confirmed"
	Stopping             Reason = "stopping"
	BackendLost          Reason = "backend_lost"
	OutcomeUnknown       Reason = "outcome_unknown"
	PrimaryReplaced      Reason = "primary_replaced"
	Unsupported          Reason = "unsupported"
	ProtocolError        Reason = "protocol_error"
	MessageTooLarge      Reason = "message_too_large"
	TokenInvalid         Reason = "token_invalid"
	StaleRoute           Reason = "stale_route"
	ZoneEvacuated        Reason = "zone_evacuated"
	ServerCold           Reason = "server_cold"
	MemoryShort          Reason = "memory_short"
)

// Kind describes a reason to callers and operators.
type Kind struct {
	// Reason is the reason, whose value is also the name of its counter.
	Reason Reason
	// SQLState is the SQLSTATE code of the error sent to the caller.
	SQLState string
	// Clause is the clause of the contract on which the refusal is based, or "service" if there is none.
	Clause string
	// Outcome is the default outcome, which a refusal may override.
	Outcome Outcome
	// Message is the error message sent to the caller.
	Message string
	// Hint is the error hint sent to the caller: what to check, or whether and when to retry.
	Hint string
}

var kinds = map[Reason]Kind{
	KeyUnknown:           {KeyUnknown, "28P01", "keys", NotRun, "the key was not accepted", "check the user name ORG.KEY_ID and the key"},
	KeyWithdrawn:         {KeyWithdrawn, "28000", "keys", NotRun, "the key has been withdrawn", "ask the operators for a new key; a retry does not help"},
	OrganisationMismatch: {OrganisationMismatch, "42501", "routes", NotRun, "the route belongs to another organisation and is not open to all", "use a route of your own organisation"},
	RouteUnknown:         {RouteUnknown, "3D000", "routes", NotRun, "the contract has no such route", "check the database name against the contract"},
	ContractWithdrawn:    {ContractWithdrawn, "28000", "contract", NotRun, "the contract has been withdrawn", "ask the operators; a retry does not help"},
	RateExceeded:         {RateExceeded, "53400", "rate", NotRun, "the organisation's rate and burst are used up", "retry after a pause; spread the requests over time"},
	ConnectionLimit:      {ConnectionLimit, "53300", "limits.connections", NotRun, "the organisation has as many connections as its contract allows", "close idle connections or retry later"},
	TransactionLimit:     {TransactionLimit, "53300", "limits.transactions", NotRun, "the organisation has as many open transactions as its contract allows", "end open transactions or retry later"},
	QueueFull:            {QueueFull, "53300", "limits.queue", NotRun, "too many requests of the organisation wait for a connection", "retry after a pause"},
	QueueTimeout:         {QueueTimeout, "57014", "limits.queue", NotRun, "no connection to the database became free in time", "retry after a pause"},
	NoPrimary:            {NoPrimary, "57P03", "service", NotRun, "the database group has no primary at the moment", "retry within a few seconds"},
	NotConfirmed:         {NotConfirmed, "57P03", "service", NotRun, "this VM cannot confirm that its configuration is current", "reconnect; the balancer chooses another VM"},
	Stopping:             {Stopping, "57P01", "service", NotRun, "this VM is shutting down", "reconnect; the balancer chooses another VM"},
	BackendLost:          {BackendLost, "08006", "service", NotRun, "the connection to the database was lost", "retry the request, or the whole transaction if it was rolled back"},
	OutcomeUnknown:       {OutcomeUnknown, "08007", "service", Unknown, "it is not known whether the request took effect", "check whether it took effect before repeating it"},
	PrimaryReplaced:      {PrimaryReplaced, "08007", "service", Unknown, "the primary was replaced, and its successor may lack the write", "check whether it took effect before repeating it"},
	Unsupported:          {Unsupported, "0A000", "service", NotRun, "the statement or message is not supported", "COPY, LISTEN and replication are not offered"},
	ProtocolError:        {ProtocolError, "08P01", "service", NotRun, "the message violates the protocol", "check the client library"},
	MessageTooLarge:      {MessageTooLarge, "54000", "service", NotRun, "the message is larger than allowed", "send smaller statements"},
	TokenInvalid:         {TokenInvalid, "28000", "service", NotRun, "the session token is not valid for this organisation", "connect without a token"},
	MemoryShort:          {MemoryShort, "53200", "service", NotRun, "this VM has no memory left for the message", "retry after a pause, or send smaller messages"},
	StaleRoute:           {StaleRoute, "57P03", "service", NotRun, "no database within reach holds data recent enough for this session", "retry within a few seconds"},
	ZoneEvacuated:        {ZoneEvacuated, "57P03", "service", NotRun, "only databases in evacuated availability zones can run the request", "retry after a pause"},
	ServerCold:           {ServerCold, "53300", "service", NotRun, "the database has just started and takes few requests", "retry after a pause"},
}

// Lookup returns the description of the reason, or false if the reason is not in the list.
func Lookup(reason Reason) (Kind, bool) {
	kind, ok := kinds[reason]
	return kind, ok
}

// All returns all reasons in no particular order.
func All() []Reason {
	reasons := make([]Reason, 0, len(kinds))
	for reason := range kinds {
		reasons = append(reasons, reason)
	}
	return reasons
}
