package contract

import (
	"time"

	"dotterelgw/core/ids"
)

// Access states which statements a route takes.
type Access string

// The kinds of access that a route may declare.
const (
	// ReadWrite sends statements to the primary unless their transaction is read only.
	ReadWrite Access = "read_write"
	// Read declares that every statement of the route is a read.
	Read Access = "read"
	// Auto tries single SELECT statements on a replica first.
	Auto Access = "auto"
)

// Contract is everything that an organisation meets.
type Contract struct {
	// Organisation is the organisation that the contract is for.
	Organisation ids.OrganisationID `toml:"organisation"`
	// Rate is the number of statements a second over the whole fleet.
	Rate float64 `toml:"rate"`
	// Burst is the number of statements that may come at once over the whole fleet.
	Burst float64 `toml:"burst"`
	// Weight is the organisation's weight in fair sharing; 1 by default.
	Weight float64 `toml:"weight"`
	// Limits holds the bounds on connections, transactions and waiting requests.
	Limits Limits `toml:"limits"`
	// Routes holds the routes by their order in the file.
	Routes []Route `toml:"routes"`
	// Keys holds the keys that were given, including withdrawn ones.
	Keys []Key `toml:"keys"`
}

// Limits bounds what an organisation may hold on one VM at a time.
type Limits struct {
	// Connections is the number of caller connections per VM.
	Connections int `toml:"connections"`
	// Transactions is the number of backend connections in use per VM.
	Transactions int `toml:"transactions"`
	// Queue is the number of requests waiting for a backend connection per VM.
	Queue int `toml:"queue"`
	// QueueTimeoutMS is the longest wait for a backend connection in milliseconds.
	QueueTimeoutMS int `toml:"queue_timeout_ms"`
}

// Route maps a name that callers connect to onto a database group.
type Route struct {
	// Name is the database name that callers give.
	Name ids.RouteName `toml:"name"`
	// Group is the database group that serves the route.
	Group ids.GroupID `toml:"group"`
	// Database is the database within the backend servers; the organisation's name by default.
	Database ids.DatabaseName `toml:"database"`
	// Access states which statements the route takes.
	Access Access `toml:"access"`
	// MaxAgeMS is the age of data in milliseconds that reads accept; 0 accepts only the session's own position.
	MaxAgeMS int `toml:"max_age_ms"`
	// Open states that callers of every organisation may use the route.
	Open bool `toml:"open"`
}

// MaxAge returns the age of data that reads of the route accept.
func (route Route) MaxAge() time.Duration { return time.Duration(route.MaxAgeMS) * time.Millisecond }

// Key is a caller's key: its SCRAM-SHA-256 verifier, never the key itself.
type Key struct {
	// ID names the key within the organisation.
	ID ids.KeyID `toml:"id"`
	// Verifier is "SCRAM-SHA-256$ITERATIONS:SALT$STORED_KEY:SERVER_KEY" with base64 parts, as in pg_authid.
	Verifier string `toml:"verifier"`
	// Given is the date and time at which the key was given, RFC 3339.
	Given time.Time `toml:"given"`
	// Withdrawn is the date and time of withdrawal; zero while the key is in use.
	Withdrawn time.Time `toml:"withdrawn,omitempty"`
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

// Key returns the key with the identifier, withdrawn or not.
func (contract *Contract) Key(id ids.KeyID) (Key, bool) {
	for _, key := range contract.Keys {
		if key.ID == id {
			return key, true
		}
	}
	return Key{}, false
}
