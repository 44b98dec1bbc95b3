package fleet

import (
	"time"

	"dotterelgw/core/ids"
)

// Options describes the fleet to start.
type Options struct {
	// Programs is the directory with the built programs.
	Programs string
	// Directory receives settings, certificates and logs.
	Directory string
	// Zones holds the availability zones; proxies and databases are spread over them in turn.
	Zones []ids.AvailabilityZone
	// VMs is the number of proxies.
	VMs int
	// Groups is the number of database groups, of three databases each.
	Groups int
	// Connections is the connection limit of each database.
	Connections int
	// Slots is the maximum number of statements that each database executes concurrently; 0 means no limit.
	Slots int
	// Lag is the replicas' replay lag.
	Lag time.Duration
	// Plaintext lets callers connect without TLS.
	Plaintext bool
	// DrainDelay is the time in a planned stop between becoming unready and closing the listener.
	DrainDelay time.Duration
	// Tables is added to the settings of each proxy, as TOML.
	Tables string
	// Links makes the proxies connect to each other and to the platform's services through relays, which can be cut.
	Links bool
	// Capture makes each database write the bytes that it receives to the file NAME.capture in Directory.
	Capture bool
	// MemoryAnswers makes each database answer SELECT 1 from memory, for benchmarks of the proxies.
	MemoryAnswers bool
}

const serversPerGroup = 3

// zone returns the availability zone of the VM or server with the index.
func (options Options) zone(index int) ids.AvailabilityZone {
	return options.Zones[index%len(options.Zones)]
}
