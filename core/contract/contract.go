package contract

import (
	"time"

	"dotterelgw/core/ids"
)

// Access declares which statements a route accepts.
type Access string

// The kinds of access that a route may declare.
const (
	// ReadWrite sends statements to the primary, except for those in read-only transactions.
	ReadWrite Access = "read_write"
	// Read declares that every statement of the route is a read.
	Read Access = "read"
	// Auto tries single SELECT statements on a replica first.
	Auto Access = "auto"
)

// Contract holds an organisation's rate limit, resource limits, routes and keys.
type Contract struct {
	// Organisation is the organisation that the contract is for.
	Organisation ids.OrganisationID `toml:"organisation"`
	// Rate is the number of statements per second over the whole fleet.
	Rate float64 `toml:"rate"`
	// Burst is the number of statements that may arrive at once over the whole fleet.
	Burst float64 `toml:"burst"`
	// Weight is the organisation's weight in fair sharing; 1 by default.
	Weight float64 `toml:"weight"`
	// Limits holds the limits on connections, transactions and queued requests.
	Limits Limits `toml:"limits"`
	// Routes holds the routes in the order of the file.
	Routes []Route `toml:"routes"`
	// Keys holds all keys that were issued, including withdrawn ones.
	Keys []Key `toml:"keys"`
}

// Limits holds the maximum resources that an organisation may use on one VM at a time.
type Limits struct {
	// Connections is the maximum number of caller connections per VM.
	Connections int `toml:"connections"`
	// Transactions is the maximum number of backend connections in use per VM.
	Transactions int `toml:"transactions"`
	// Queue is the maximum number of requests per VM that wait for a backend connection.
	Queue int `toml:"queue"`
	// QueueTimeoutMS is the maximum wait for a backend connection in milliseconds.
	QueueTimeoutMS int `toml:"queue_timeout_ms"`
}

// Route maps a database name that callers connect to onto a database group.
type Route struct {
	// Name is the database name that callers send.
	Name ids.RouteName `toml:"name"`
	// Group is the database group that serves the route.
	Group ids.GroupID `toml:"group"`
	// Database is the database within the backend servers; the organisation's name by default.
	Database ids.DatabaseName `toml:"database"`
	// Access declares which statements the route accepts; ReadWrite by default.
	Access Access `toml:"access"`
	// MaxStalenessMS is the maximum staleness of reads in milliseconds. With 0, a replica must have replayed the log up to the
	// session's own position.
	MaxStalenessMS int `toml:"max_age_ms"`
	// Open allows callers of every organisation to use the route.
	Open bool `toml:"open"`
}

// MaxStaleness returns the maximum staleness of the route's reads.
func (route Route) MaxStaleness() time.Duration {
	return time.Duration(route.MaxStalenessMS) * time.Millisecond
}

// Key is a caller's key: its SCRAM-SHA-256 verifier, never the key itself.
type Key struct {
	// ID names the key within the organisation.
	ID ids.KeyID `toml:"id"`
	// Verifier is "SCRAM-SHA-256$ITERATIONS:SALT$STORED_KEY:SERVER_KEY" with base64 parts, as in pg_authid.
	Verifier string `toml:"verifier"`
	// IssuedAt is the date and time at which the key was issued, RFC 3339.
	IssuedAt time.Time `toml:"given"`
	// WithdrawnAt is the date and time at which the key was withdrawn; zero while the key is valid.
	WithdrawnAt time.Time `toml:"withdrawn,omitempty"`
}

// Route returns the route with the name.
func (contract *Contract) Route(name ids.RouteName) (Route, bool) {
	for _, route := range contract.Routes {
		if route.Name == name {
			return route, true
		}
	}
	return Route{}, false
}

// Key returns the key with the identifier, even if it is withdrawn.
func (contract *Contract) Key(id ids.KeyID) (Key, bool) {
	for _, key := range contract.Keys {
		if key.ID == id {
			return key, true
		}
	}
	return Key{}, false
}
