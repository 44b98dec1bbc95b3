package experiment

import (
	"fmt"
	"time"

	"dotterelgw/core/ids"
)

// Duration is a time.Duration that is written in TOML as a string such as "1m30s".
type Duration time.Duration

// UnmarshalText implements encoding.TextUnmarshaler.UnmarshalText.
func (duration *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("duration %q: %w", text, err)
	}
	*duration = Duration(parsed)
	return nil
}

// MarshalText implements encoding.TextMarshaler.MarshalText.
func (duration Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(duration).String()), nil
}

// Experiment describes a load run: the processes under test, the load and the failures to inject.
type Experiment struct {
	// Name identifies the run in results and reports.
	Name string `toml:"name" json:"name"`
	// Profile is the name of the profile that provides the values missing in the file.
	Profile string `toml:"profile" json:"profile,omitempty"`
	// Seed initialises the random generators for arrivals, kinds of requests and moves of sessions.
	Seed uint64 `toml:"seed" json:"seed"`
	// Duration is the length of the schedule, including the warm-up.
	Duration Duration `toml:"duration" json:"duration"`
	// Warmup is the initial period whose requests are checked for violations but excluded from the measures.
	Warmup Duration `toml:"warmup" json:"warmup"`
	// Objective is the latency up to which a response counts towards the service level.
	Objective Duration `toml:"objective" json:"objective"`
	// Timeout bounds one request, including the time to connect.
	Timeout Duration `toml:"timeout" json:"timeout"`
	// Protocol is "exec" (one unnamed statement per request), "cache" (named statements, pgx's default) or "simple".
	Protocol string `toml:"protocol" json:"protocol"`
	// Fleet describes the processes to start. If it is nil, the load goes to the running proxies of Proxies.
	Fleet *Fleet `toml:"fleet" json:"fleet,omitempty"`
	// Proxies lists running proxies.
	Proxies []Proxy `toml:"proxies" json:"proxies,omitempty"`
	// Servers lists running stand-ins that failures may target.
	Servers []Server `toml:"servers" json:"servers,omitempty"`
	// Organisations lists the organisations that send requests.
	Organisations []Organisation `toml:"organisations" json:"organisations"`
	// Failures lists the failures to inject.
	Failures []Failure `toml:"failures" json:"failures,omitempty"`
}

// Fleet describes the processes to start for an experiment.
type Fleet struct {
	// VMs is the number of proxies. Groups is the number of database groups, which have three servers each.
	VMs    int `toml:"vms" json:"vms"`
	Groups int `toml:"groups" json:"groups"`
	// Zones lists the availability zones.
	Zones []ids.AvailabilityZone `toml:"zones" json:"zones"`
	// Connections and Slots are the limits of each server on connections and on concurrently executed statements.
	Connections int `toml:"connections" json:"connections"`
	Slots       int `toml:"slots" json:"slots"`
	// LagMS is the replay lag of replicas in milliseconds.
	LagMS int `toml:"lag_ms" json:"lag_ms"`
}

// Proxy is a running proxy.
type Proxy struct {
	// Name identifies the proxy in the history; the address by default.
	Name string `toml:"name" json:"name"`
	// Address is the host and port for callers. Admin is the URL of the administration API; if it is empty, the metrics of
	// the proxy are not read.
	Address string `toml:"address" json:"address"`
	Admin   string `toml:"admin" json:"admin,omitempty"`
	// Parameters is the query string of the connection URL, "sslmode=disable" by default.
	Parameters string `toml:"parameters" json:"parameters,omitempty"`
}

// Server is a running stand-in.
type Server struct {
	// ID is the name by which failures target the stand-in. Group is the group of a database server.
	ID    string `toml:"id" json:"id"`
	Group string `toml:"group" json:"group,omitempty"`
	// Address is the PostgreSQL address of a database server. Switches is the URL of the fault switches.
	Address  string `toml:"address" json:"address,omitempty"`
	Switches string `toml:"switches" json:"switches"`
}

// Organisation describes the load of one organisation, or of Count identical ones.
type Organisation struct {
	// Name is the name of the organisation. If Count is above 1, the suffixes "-1", "-2" and so on are appended.
	Name  string `toml:"name" json:"name"`
	Count int    `toml:"count" json:"count,omitempty"`
	// Group is the database group. Organisations without one are spread evenly over the groups of the fleet.
	Group string `toml:"group" json:"group"`
	// Route is the route to connect to, "main" by default.
	Route string `toml:"route" json:"route"`
	// User and Password are the credentials for running proxies. The password may refer to an environment variable as $NAME.
	User     string `toml:"user" json:"user,omitempty"`
	Password string `toml:"password" json:"-"`
	// Rate is the mean number of requests per second. Arrivals is "poisson", "even" or "bursts"; bursts consist of
	// BurstSize requests.
	Rate      float64 `toml:"rate" json:"rate"`
	Arrivals  string  `toml:"arrivals" json:"arrivals"`
	BurstSize int     `toml:"burst_size" json:"burst_size,omitempty"`
	// Phases change the rate during the run.
	Phases []Phase `toml:"phases" json:"phases,omitempty"`
	// ReadShare is the share of reads. TransactionShare is the share of transactions among the remaining requests.
	ReadShare        float64 `toml:"read_share" json:"read_share"`
	TransactionShare float64 `toml:"transaction_share" json:"transaction_share"`
	// Sessions is the number of sessions. The requests of one session run sequentially.
	Sessions int `toml:"sessions" json:"sessions"`
	// MoveEvery is the mean time after which a session moves to another proxy; 0 means never. Move is "spread", or
	// "together" if all sessions move at the same time and share one proxy.
	MoveEvery Duration `toml:"move_every" json:"move_every"`
	Move      string   `toml:"move" json:"move"`
	// Token makes sessions present their session token to the next proxy when they move.
	Token bool `toml:"token" json:"token"`
	// Contract is the contract of the organisation. It is applied to a fleet; running proxies must already have it.
	Contract Contract `toml:"contract" json:"contract"`
}

// Phase multiplies the rate of an organisation by Factor from the time At until the next phase.
type Phase struct {
	At     Duration `toml:"at" json:"at"`
	Factor float64  `toml:"factor" json:"factor"`
}

// Contract holds the limits of an organisation's contract.
type Contract struct {
	// Rate is in statements per second, Burst in statements.
	Rate           float64 `toml:"rate" json:"rate"`
	Burst          float64 `toml:"burst" json:"burst"`
	Weight         float64 `toml:"weight" json:"weight"`
	Connections    int     `toml:"connections" json:"connections"`
	Transactions   int     `toml:"transactions" json:"transactions"`
	Queue          int     `toml:"queue" json:"queue"`
	QueueTimeoutMS int     `toml:"queue_timeout_ms" json:"queue_timeout_ms"`
	MaxAgeMS       int     `toml:"max_age_ms" json:"max_age_ms"`
	// Access is the access of the route, "auto" by default.
	Access string `toml:"access" json:"access"`
}

// Failure is a fault that is injected at a given time.
type Failure struct {
	// At is the time at which the fault is injected. Until is the time at which it is undone; 0 means never.
	At    Duration `toml:"at" json:"at"`
	Until Duration `toml:"until" json:"until,omitempty"`
	// Target is the id of a stand-in, "primary:GROUP", "platform" or the name of a proxy.
	Target string `toml:"target" json:"target"`
	// Switches are the fault switches to set at the stand-in. Undo are the switches to set at the time Until; by default
	// they clear those of Switches.
	Switches map[string]any `toml:"switches" json:"switches,omitempty"`
	Undo     map[string]any `toml:"undo" json:"undo,omitempty"`
	// Action is "kill", "pause" or "terminate" and is applied to a process of the fleet. At the time Until the process is
	// started or resumed.
	Action string `toml:"action" json:"action,omitempty"`
	// Group is the group whose failover gap is measured; the group of the target by default.
	Group string `toml:"group" json:"group,omitempty"`
}
