package catalog

import (
	"time"

	"dotterelgw/core/ids"
)

// Version is the number that the operators gave to a configuration. Versions increase, but not always by one.
type Version uint64

// Key is the credential that a caller presents.
type Key string

// Consistency is the consistency level of the reads of a route.
type Consistency uint8

// The consistency levels.
const (
	// PrimaryReads reads see every acknowledged write.
	PrimaryReads Consistency = iota
	// BoundedStaleness reads see every write that was acknowledged longer ago than the route's MaxStaleness.
	BoundedStaleness
	// ReadYourWrites reads are as BoundedStaleness reads and also see the session's own writes.
	ReadYourWrites
)

// String returns the name of the consistency level for logs and metrics.
func (consistency Consistency) String() string {
	return [...]string{"primary", "bounded_staleness", "read_your_writes"}[consistency]
}

// Route maps the database name in a caller's connection request to a database group.
type Route struct {
	// Name is the database name that callers connect to.
	Name ids.RouteName
	// Group is the database group that serves the route.
	Group ids.GroupID
	// Consistency is the consistency level of reads.
	Consistency Consistency
	// MaxStaleness is the maximum staleness: reads may miss writes younger than this.
	MaxStaleness time.Duration
	// Timeout is the time limit of one statement.
	Timeout time.Duration
	// Objective is the target latency of a whole operation.
	Objective time.Duration
	// Priority orders queued requests; 0 is served first.
	Priority int
	// Keyless reports whether callers may connect without a key.
	Keyless bool
}

// Organisation holds the limits that a contract grants to an organisation.
type Organisation struct {
	// ID identifies the organisation.
	ID ids.OrganisationID
	// Rate is the limit in operations per second over the whole fleet; 0 means no limit.
	Rate float64
	// Burst is the number of operations that the whole fleet may admit at once.
	Burst float64
}

// Group is a primary and its replicas, which hold the same data.
type Group struct {
	// ID identifies the group.
	ID ids.GroupID
	// Connections is the number of connections that one server accepts from all VMs together.
	Connections int
	// SyncReplicas is the number of replicas that must hold a write before it is acknowledged.
	SyncReplicas int
	// ColdRate is the number of statements per second that a server takes while it is cold; 0 means no limit.
	ColdRate float64
}

// Catalog is a snapshot of one version of the configuration. It is immutable once published.
type Catalog struct {
	// Version is the number of this configuration.
	Version Version
	// Routes holds the routes by name.
	Routes map[ids.RouteName]*Route
	// Groups holds the groups by name.
	Groups map[ids.GroupID]*Group
	// Organisations holds the organisations by name.
	Organisations map[ids.OrganisationID]*Organisation
	// Keys maps each valid key to its organisation.
	Keys map[Key]*Organisation
	// TransactionIdleTimeout is the idle timeout of open transactions, after which the proxy may end them; 0 means none.
	TransactionIdleTimeout time.Duration
}

// Role is the role that a backend server reports for itself.
type Role uint8

// The roles of a backend server.
const (
	// RoleReplica receives the log of a primary.
	RoleReplica Role = iota
	// RolePrimary is the primary, which accepts writes.
	RolePrimary
)

// String returns the name of the role for logs.
func (role Role) String() string { return [...]string{"replica", "primary"}[role] }

// Server is the registration of a backend server.
type Server struct {
	// ID identifies the server.
	ID ids.BackendServerID
	// Group is the group of the server.
	Group ids.GroupID
	// Address is the server's host and port.
	Address string
	// Zone is the availability zone of the server.
	Zone ids.AvailabilityZone
	// Slots is the number of statements that the server runs concurrently.
	Slots int
	// Leaving reports whether the server is draining and accepts no new work.
	Leaving bool
	// Role is the role that the server reports for itself.
	Role Role
	// StartedMS is the start time of the server process in Unix milliseconds. It tells two processes with the same ID apart.
	StartedMS int64
	// ColdLeft is how much longer the server is slow after its start, as of its registration.
	ColdLeft time.Duration
	// Renewed is set if the registration would be removed if the server did not renew it, so that one that stays is of a running server.
	Renewed bool
}

// SameProcess reports whether two registrations are of the same server process at the same address and in the same group.
func (server Server) SameProcess(other Server) bool {
	return server.ID == other.ID && server.StartedMS == other.StartedMS && server.Address == other.Address && server.Group == other.Group
}
