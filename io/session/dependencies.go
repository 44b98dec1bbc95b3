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

// Control provides the contracts in force and reports whether this VM may admit requests.
type Control interface {
	// Contract returns the organisation's contract and its revision; false if it is unknown or withdrawn.
	Contract(org ids.OrganisationID) (*contract.Contract, ids.Revision, bool)
	// Admitting reports whether the configuration is confirmed to be current.
	Admitting() bool
}

// Groups provides the state of the database groups.
type Groups interface {
	// View returns the latest view of the group, nil if the group is unknown.
	View(group ids.GroupID) *route.View
	// Barrier returns a position that covers all writes acknowledged before the call. The error is a *refusal.Refusal.
	Barrier(ctx context.Context, group ids.GroupID) (position.Position, error)
	// Confirm waits until the position is durable. The error is a *refusal.Refusal.
	Confirm(ctx context.Context, group ids.GroupID, server ids.BackendServerID, want position.Position) error
	// ReportError reports an error on a connection to the server, or a failure to open one.
	ReportError(group ids.GroupID, server ids.BackendServerID, err error)
}

// Pools provides connections to backend servers.
type Pools interface {
	// Acquire returns a connection for one transaction. The error is a *refusal.Refusal.
	Acquire(ctx context.Context, request backend.Request) (*backend.Conn, error)
	// Release returns a connection to its pool.
	Release(conn *backend.Conn)
}

// Limiter enforces the rate and burst of each organisation.
type Limiter interface {
	// Admit takes one statement from the organisation's budget and does not wait. It returns false if none is left.
	Admit(org ids.OrganisationID) bool
	// Wait is like Admit, but waits for a grant that has already been requested.
	Wait(ctx context.Context, org ids.OrganisationID) bool
}

// Recorder stores refusal records and counts refusals by reason.
type Recorder interface {
	// Record stores the refusal and returns a copy of it with its identifier set.
	Record(refused *refusal.Refusal, caller Caller) *refusal.Refusal
}

// TokenSigner signs and verifies session tokens.
type TokenSigner interface {
	// Sign returns a signed token that contains the positions.
	Sign(org ids.OrganisationID, groupPosition ...position.GroupPosition) string
	// Verify verifies a token and returns the positions in it.
	Verify(org ids.OrganisationID, token string) ([]position.GroupPosition, error)
}

// Dependencies holds the services and settings that sessions use.
type Dependencies struct {
	Control  Control
	Groups   Groups
	Pools    Pools
	Limiter  Limiter
	Recorder Recorder
	// TokenSigner may be nil; callers then get no session tokens.
	TokenSigner TokenSigner
	// VM is this VM. A hash of it is part of each process ID given to callers.
	VM ids.VMID
	// Zone is this VM's availability zone.
	Zone ids.AvailabilityZone
	// Now returns the time since the process started, on the clock of route.Server.CurrentAt.
	Now func() time.Duration
	// Metrics is the registry of the counters; nil means a new registry.
	Metrics metrics.Registry
	// Logger gets one line for each session that panics; nil discards them.
	Logger log.Logger
	// MaxMessageBytes bounds the size of a message from a caller; 0 means 16 MiB.
	MaxMessageBytes int
}

// Caller describes an authenticated caller and the route that it uses.
type Caller struct {
	// Organisation is the organisation of the key that the caller presented.
	Organisation ids.OrganisationID
	// Key is the key that the caller presented.
	Key ids.KeyID
	// Owner is the organisation whose contract contains the route.
	Owner ids.OrganisationID
	// Route is the name of the route in the owner's contract.
	Route ids.RouteName
	// ContractRevision is the revision of the caller's contract at start-up.
	ContractRevision ids.Revision
	// ReadOnly reports whether transactions of the session are read-only by default.
	ReadOnly bool
	// Idempotent reports whether the caller allows all its requests to be retried.
	Idempotent bool
	// Token is the session token that the caller sent at start-up, or "".
	Token string
	// WantsToken reports whether the caller wants a session token after each acknowledged write.
	WantsToken bool
}
