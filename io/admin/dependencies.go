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

// Control holds the configuration and the membership view of this VM.
type Control interface {
	// Entry returns the entry that the VM holds.
	Entry(key string) (config.Entry, bool)
	// OnChange registers a function that gets every entry, those held at registration included.
	OnChange(changed func(config.Entry))
	// Propose stores the value if the key's revision is expected. Its errors are those of io/control; a non-zero revision
	// with control.ErrNoMajority states that the value is stored, but not acknowledged.
	Propose(ctx context.Context, key string, expected ids.Revision, value []byte) (ids.Revision, error)
	// Revision returns the revision up to which the VM holds all entries.
	Revision() ids.Revision
	// InForce returns the VMs that have not shown that they hold the revision, also with an error.
	InForce(ctx context.Context, revision ids.Revision) ([]ids.VMID, error)
	// Members returns the live VMs in order.
	Members() []member.Member
	// Admitting states whether the configuration is confirmed.
	Admitting() bool
}

// Reader reads the key-value service itself, to settle changes whose answer was lost.
type Reader interface {
	// Get returns the stored entry.
	Get(ctx context.Context, key string) (config.Entry, bool, error)
	// GetAt returns the version that was current at the revision.
	GetAt(ctx context.Context, key string, revision ids.Revision) (config.Entry, bool, error)
}

// Groups supplies the state of the database groups.
type Groups interface {
	// View returns what the VM knows of the group; nil when unknown.
	View(group ids.GroupID) *route.View
}

// Dialer returns clients for other VMs.
type Dialer interface {
	// Peer returns a client for the VM at the peer address.
	Peer(address string) (peerpb.PeerClient, error)
}

// Dependencies holds everything that the API needs from other packages.
type Dependencies struct {
	// VM is this VM.
	VM ids.VMID
	// Zone is this VM's availability zone.
	Zone     ids.AvailabilityZone
	Control  Control
	Reader   Reader
	Groups   Groups
	Peers    Dialer
	Recorder Recorder
	// Ready returns nil while the VM takes new connections, otherwise the reason why not.
	Ready func() error
	// Drain begins a planned stop of this VM and returns at once.
	Drain func()
	// Operators holds those who may use the API.
	Operators []Operator
	// Metrics is shown under /metrics.
	Metrics metrics.Registry
	// Logger gets one line per change.
	Logger log.Logger
}
