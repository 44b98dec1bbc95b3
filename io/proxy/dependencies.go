package proxy

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"dotterelgw/core/budget"
	"dotterelgw/core/catalog"
	"dotterelgw/core/ids"
	"dotterelgw/core/quota"
	"dotterelgw/core/statement"
	"dotterelgw/io/monitor"
	"dotterelgw/io/observe"
)

// Caller is the connection of a caller in some protocol. Only Wake may be called concurrently with the other methods.
type Caller interface {
	// Start reads the start-up message: the route and the key, which is empty if the caller sent none.
	Start(deadline time.Time) (ids.RouteName, catalog.Key, error)
	// Accept tells the caller that its session is open.
	Accept() error
	// Reject tells the caller why no session was opened.
	Reject(reply statement.Reply) error
	// Next returns the next request. A zero deadline means no timeout. The error wraps os.ErrDeadlineExceeded if the
	// deadline passed or Wake was called.
	Next(deadline time.Time) (statement.Request, error)
	// Keep tells how many bytes the values and prepared statements of the session take from now on. The error means that there is no
	// memory for them.
	Keep(size budget.Bytes) error
	// RolledBack tells that the proxy has rolled the open transaction back, so that nothing is lost if the connection ends.
	RolledBack()
	// Pending reports whether a part of the next request has arrived.
	Pending() bool
	// Wake makes a blocked Next return. It may be called from any goroutine.
	Wake()
	// Reply sends the answer to a request.
	Reply(reply statement.Reply) error
	// ReplyTo returns the answer to send for an error of Start, Next or Keep; false if the connection was simply closed.
	ReplyTo(err error) (statement.Reply, bool)
	// Close closes the connection.
	Close()
}

// Directory supplies the configuration in force.
type Directory interface {
	// Catalog returns the configuration, nil before the first one has been received.
	Catalog() *catalog.Catalog
	// CatalogAge returns the time since the configuration was last confirmed to be the newest.
	CatalogAge() time.Duration
}

// Groups supplies the database groups.
type Groups interface {
	// Group returns the group, nil if none of its servers is registered.
	Group(id ids.GroupID) *monitor.Group
	// AcquireFailed records that no connection to the server could be acquired.
	AcquireFailed(server *monitor.Server, err error)
}

// Limiter enforces the rate and burst of each organisation across all VMs.
type Limiter interface {
	// Admit takes one operation from the organisation's budget. If none is left, it returns the time after which to
	// retry.
	Admit(organisation *catalog.Organisation) (ok bool, retryAfter time.Duration)
	// Standing returns what an operation of the organisation would meet now, and when a refused one could be tried again. It spends nothing.
	Standing(organisation *catalog.Organisation) (standing quota.Standing, retryAfter time.Duration)
}

// ColdLimiter limits the statements that cold backend servers get from all VMs.
type ColdLimiter interface {
	// Admit takes one statement from the budget of the server, if it is cold.
	Admit(server ids.BackendServerID) bool
}

// Dependencies holds what sessions need from other packages.
type Dependencies struct {
	Directory Directory
	Groups    Groups
	Limiter   Limiter
	// Cold limits statements to cold servers; nil if nothing does.
	Cold     ColdLimiter
	EventLog *observe.EventLog
	Metrics  metrics.Registry
	// MaxCatalogAge is the age beyond which the configuration is too old to admit requests.
	MaxCatalogAge time.Duration
	// MaxSessionBytes bounds the values and prepared statements of one session.
	MaxSessionBytes budget.Bytes
}
