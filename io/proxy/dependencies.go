package proxy

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"dotterelgw/core/catalog"
	"dotterelgw/core/ids"
	"dotterelgw/core/statement"
	"dotterelgw/io/dbpool"
	"dotterelgw/io/monitor"
	"dotterelgw/io/observe"
)

// Caller is the connection of a caller in some protocol. One goroutine uses it, but for Wake.
type Caller interface {
	// Start reads what the caller sends first: the route and its key, which is empty if it shows none.
	Start(deadline time.Time) (ids.RouteName, catalog.Key, error)
	// Accept tells the caller that its session is open.
	Accept() error
	// Reject tells the caller why there is no session.
	Reject(reply statement.Reply) error
	// Next returns the next request; a zero deadline waits for ever. The error wraps os.ErrDeadlineExceeded when the
	// deadline passed or Wake was called.
	Next(deadline time.Time) (statement.Request, error)
	// Pending states whether a part of a further request was read.
	Pending() bool
	// Wake makes a Next that is waiting return. It may be called from any goroutine.
	Wake()
	// Reply sends the answer to a request.
	Reply(reply statement.Reply) error
	// ReplyTo returns the answer that an error of Start or Next deserves; false if the connection just ended.
	ReplyTo(err error) (statement.Reply, bool)
	// Close ends the connection.
	Close()
}

// Directory supplies the configuration in force.
type Directory interface {
	// Catalog returns the configuration, nil before the first one.
	Catalog() *catalog.Catalog
	// CatalogAge returns the time since the configuration was known to be the newest.
	CatalogAge() time.Duration
}

// Groups supplies the database groups.
type Groups interface {
	// Group returns the group, nil if no server of it is registered.
	Group(id ids.GroupID) *monitor.Group
	// NoConnection notes that a server could not be connected to.
	NoConnection(server *monitor.Server, err error)
}

// Limiter admits operations by the organisation's rate and burst over the fleet.
type Limiter interface {
	// Admit spends one operation of the organisation; without one it returns the time after which there may be one.
	Admit(organisation *catalog.Organisation) (ok bool, retryAfter time.Duration)
}

// Dependencies holds what sessions need from other packages.
type Dependencies struct {
	Directory Directory
	Groups    Groups
	Limiter   Limiter
	Decisions *observe.Decisions
	Metrics   metrics.Registry
	// MaxCatalogAge is the age from which on the configuration is too old to admit requests.
	MaxCatalogAge time.Duration
}

// poolRequest returns the request for a connection.
func poolRequest(organisation ids.OrganisationID, route *catalog.Route) dbpool.Request {
	return dbpool.Request{Organisation: organisation, Priority: route.Priority}
}
