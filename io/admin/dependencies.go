package admin

import (
	"context"

	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"

	"dotterelgw/core/config"
	"dotterelgw/core/ids"
	"dotterelgw/core/member"
	"dotterelgw/core/route"
	"dotterelgw/io/peer/peerpb"
)

// Control provides the configuration and the membership view of this VM.
type Control interface {
	// Entry returns the newest entry that the VM holds for the key.
	Entry(key string) (config.Entry, bool)
	// OnChange registers a function that is called with every entry held at registration and with every change.
	OnChange(changed func(config.Entry))
	// Propose stores the value if the key is at the expected revision. Its errors are those of io/control. A non-zero
	// revision with control.ErrNoMajority means that the value is stored, but not acknowledged.
	Propose(ctx context.Context, key string, expected ids.Revision, value []byte) (ids.Revision, error)
	// Revision returns the revision up to which the VM holds every entry.
	Revision() ids.Revision
	// UnconfirmedVMs returns the VMs that have not confirmed that they hold the revision, also together with an error.
	UnconfirmedVMs(ctx context.Context, revision ids.Revision) ([]ids.VMID, error)
	// Members returns the live VMs sorted by id.
	Members() []member.Member
	// Admitting reports whether the configuration is confirmed.
	Admitting() bool
}

// Reader reads from the key-value service, to find out the outcome of changes whose answer was lost.
type Reader interface {
	// Get returns the stored entry, or false if there is none.
	Get(ctx context.Context, key string) (config.Entry, bool, error)
	// GetAt returns the version that was current at the revision, or false if there was none.
	GetAt(ctx context.Context, key string, revision ids.Revision) (config.Entry, bool, error)
}

// Groups provides the state of the database groups.
type Groups interface {
	// View returns the state of the group, or nil if it is unknown.
	View(group ids.GroupID) *route.View
}

// Dialer returns gRPC clients for other VMs.
type Dialer interface {
	// Peer returns a client for the VM at the peer address.
	Peer(address string) (peerpb.PeerClient, error)
}

// Dependencies holds what the API uses of other packages.
type Dependencies struct {
	// VM identifies this VM.
	VM ids.VMID
	// Zone is this VM's availability zone.
	Zone     ids.AvailabilityZone
	Control  Control
	Reader   Reader
	Groups   Groups
	Peers    Dialer
	Recorder Recorder
	// Ready returns nil while the VM accepts new connections, otherwise the reason why it does not.
	Ready func() error
	// Drain begins a planned stop of this VM. It must not block.
	Drain func()
	// Operators holds the users of the API.
	Operators []Operator
	// Metrics is served under /metrics. Nil means an empty registry.
	Metrics metrics.Registry
	// Logger gets one line per change and refused request. Nil discards them.
	Logger log.Logger
}
