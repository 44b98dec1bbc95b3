package catalog

import (
	"time"

	"dotterelgw/core/ids"
)

// Version is the operators' number of a configuration; versions rise in uneven steps.
type Version uint64

// Key is the credential that a caller presents.
type Key string

// Consistency tells which writes the reads of a route must see.
type Consistency uint8

// The kinds of consistency.
const (
	// Primary routes see every acknowledged write.
	Primary Consistency = iota
	// BoundedStaleness routes see every write acknowledged longer ago than the route's age.
	BoundedStaleness
	// ReadYourWrites routes see the session's own writes besides.
	ReadYourWrites
)

// String returns the name of the consistency for logs and metrics.
func (consistency Consistency) String() string {
	return [...]string{"primary", "bounded_staleness", "read_your_writes"}[consistency]
}

// Route maps a database name that callers connect to onto a database group.
type Route struct {
	// Name is the database name that callers give.
	Name ids.RouteName
	// Group is the group that serves the route.
	Group ids.GroupID
	// Consistency tells which writes reads must see.
	Consistency Consistency
	// MaxAge is the greatest age of what reads may miss.
	MaxAge time.Duration
	// Timeout bounds one statement.
	Timeout time.Duration
	// Objective is the latency that callers expect of a whole operation.
	Objective time.Duration
	// Priority orders waiting requests; 0 comes first.
	Priority int
	// Open states that callers need no key.
	Open bool
}

// Organisation is what a contract grants to an organisation.
type Organisation struct {
	// ID names the organisation.
	ID ids.OrganisationID
	// Rate is the number of operations a second over the whole fleet; 0 means no bound.
	Rate float64
	// Burst is the number of operations that may come at once over the whole fleet.
	Burst float64
}

// Group is a database group.
type Group struct {
	// ID names the group.
	ID ids.GroupID
	// Connections is the number of connections that one server takes from all VMs together.
	Connections int
	// SyncReplicas is the number of replicas that hold a write before it is acknowledged.
	SyncReplicas int
}

// Catalog is one version of the configuration; it is immutable once published.
type Catalog struct {
	// Version is the operators' number.
	Version Version
	// Routes holds the routes by name.
	Routes map[ids.RouteName]*Route
	// Groups holds the groups by name.
	Groups map[ids.GroupID]*Group
	// Organisations holds the organisations by name.
	Organisations map[ids.OrganisationID]*Organisation
	// Keys holds the organisation of each key in force.
	Keys map[Key]*Organisation
	// TransactionIdle is the time after which an open transaction without statements may be ended; 0 means never.
	TransactionIdle time.Duration
}

// Role is what a backend server believes itself to be.
type Role uint8

// The roles of a backend server.
const (
	// Replica follows a primary.
	Replica Role = iota
	// Leader is a primary.
	Leader
)

// String returns the name of the role for logs.
func (role Role) String() string { return [...]string{"replica", "primary"}[role] }

// Server is what a backend server registered of itself.
type Server struct {
	// ID names the server.
	ID ids.BackendServerID
	// Group is the group that the server belongs to.
	Group ids.GroupID
	// Address is the server's host and port.
	Address string
	// Zone is the availability zone of the server.
	Zone ids.AvailabilityZone
	// Slots is the number of statements that the server runs at a time.
	Slots int
	// Leaving states that the server takes no new work.
	Leaving bool
	// Role is what the server believes itself to be.
	Role Role
	// Born is the time of day of the server's start in Unix milliseconds; it tells two lives under one id apart.
	Born int64
}

// Same states whether two registrations describe one life of one server at one place.
func (server Server) Same(other Server) bool {
	return server.ID == other.ID && server.Born == other.Born && server.Address == other.Address && server.Group == other.Group
}
