package session

import (
	"context"
	"time"

	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"

	"dotterelgw/core/contract"
	"dotterelgw/core/ids"
	"dotterelgw/core/position"
	"dotterelgw/core/refusal"
	"dotterelgw/core/route"
	"dotterelgw/io/backend"
)

// Control supplies the contracts in force and states whether this VM may admit requests.
type Control interface {
	// Contract returns the organisation's contract; false when unknown or withdrawn.
	Contract(org ids.OrganisationID) (*contract.Contract, ids.Revision, bool)
	// Admitting states whether the configuration is confirmed.
	Admitting() bool
}

// Groups supplies the state of the database groups.
type Groups interface {
	// View returns the newest view of the group, nil when unknown.
	View(group ids.GroupID) *route.View
	// Barrier returns a position that covers everything acknowledged before the call; the error is a *refusal.Refusal.
	Barrier(ctx context.Context, group ids.GroupID) (position.Position, error)
	// Confirm returns nil once the position is durable; the error is a *refusal.Refusal.
	Confirm(ctx context.Context, group ids.GroupID, server ids.BackendServerID, want position.Position) error
	// Observe reports a broken connection.
	Observe(group ids.GroupID, server ids.BackendServerID, err error)
}

// Pools supplies connections to backend servers.
type Pools interface {
	// Acquire returns a connection for one transaction; the error is a *refusal.Refusal.
	Acquire(ctx context.Context, request backend.Request) (*backend.Conn, error)
	// Release takes a connection back.
	Release(conn *backend.Conn)
}

// Limiter admits statements by the organisation's rate and burst.
type Limiter interface {
	// Admit uses one statement of the rate without waiting.
	Admit(org ids.OrganisationID) bool
	// Wait does the same, waiting for a grant that is under way.
	Wait(ctx context.Context, org ids.OrganisationID) bool
}

// Recorder keeps refusal records and counts the reasons.
type Recorder interface {
	// Record returns a copy of the refusal with its identifier set.
	Record(refused *refusal.Refusal, caller Caller) *refusal.Refusal
}

// Sealer signs and verifies session tokens.
type Sealer interface {
	// Seal returns a token that holds the positions.
	Seal(org ids.OrganisationID, held ...position.Held) string
	// Open returns the positions that a token holds.
	Open(org ids.OrganisationID, token string) ([]position.Held, error)
}

// Dependencies holds everything that sessions need from other packages.
type Dependencies struct {
	Control  Control
	Groups   Groups
	Pools    Pools
	Limiter  Limiter
	Recorder Recorder
	// Sealer may be nil: callers then get no tokens.
	Sealer Sealer
	// VM is this VM; it is part of every process id given to callers.
	VM ids.VMID
	// Zone is this VM's availability zone.
	Zone ids.AvailabilityZone
	// Now returns the time since the process started, as in route.Server.CurrentAt.
	Now func() time.Duration
	// Metrics holds the counters; nil means a registry of its own.
	Metrics metrics.Registry
	// Logger gets one line per failed session; nil discards them.
	Logger log.Logger
	// MaxMessageBytes bounds one message of a caller; 0 means 16 MiB.
	MaxMessageBytes int
}

// Caller is an authenticated caller and what it connected to.
type Caller struct {
	// Organisation is the organisation whose key was presented.
	Organisation ids.OrganisationID
	// Key is the key that was presented.
	Key ids.KeyID
	// Owner is the organisation whose contract holds the route.
	Owner ids.OrganisationID
	// Route is the name of the route in the owner's contract.
	Route ids.RouteName
	// ContractRevision is the revision of the caller's contract at start-up.
	ContractRevision ids.Revision
	// ReadOnly states that the session's default is read-only transactions.
	ReadOnly bool
	// Idempotent states that the caller allows every request to be repeated.
	Idempotent bool
	// Token is the session token given at start-up.
	Token string
	// WantsToken states that the caller wants a token after each acknowledged write.
	WantsToken bool
}
