package experiment

import (
	"fmt"
	"time"

	"dotterelgw/core/ids"
)

// Duration is a time.Duration that TOML writes as a string such as "1m30s".
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

// Experiment describes one run.
type Experiment struct {
	// Name names the run in results and reports.
	Name string `toml:"name" json:"name"`
	// Profile names the profile whose values apply where the file gives none.
	Profile string `toml:"profile" json:"profile,omitempty"`
	// Seed decides the arrivals, the kinds of requests and the moves of sessions.
	Seed uint64 `toml:"seed" json:"seed"`
	// Duration is the length of the schedule, including the warm-up.
	Duration Duration `toml:"duration" json:"duration"`
	// Warmup is the time at the beginning whose requests are checked but not measured.
	Warmup Duration `toml:"warmup" json:"warmup"`
	// Objective is the time within which an answer counts as good service.
	Objective Duration `toml:"objective" json:"objective"`
	// Timeout bounds one request, connecting included.
	Timeout Duration `toml:"timeout" json:"timeout"`
	// Protocol is "exec" (one unnamed statement per request), "cache" (named statements, pgx's default) or "simple".
	Protocol string `toml:"protocol" json:"protocol"`
	// Fleet starts the processes under test; without it Proxies lists running ones.
	Fleet *Fleet `toml:"fleet" json:"fleet,omitempty"`
	// Proxies lists running proxies.
	Proxies []Proxy `toml:"proxies" json:"proxies,omitempty"`
	// Servers lists running stand-ins, for failures.
	Servers []Server `toml:"servers" json:"servers,omitempty"`
	// Organisations lists who sends requests.
	Organisations []Organisation `toml:"organisations" json:"organisations"`
	// Failures lists what is broken when.
	Failures []Failure `toml:"failures" json:"failures,omitempty"`
}

// Fleet describes the processes to start.
type Fleet struct {
	// VMs is the number of proxies, Groups that of database groups with three servers each.
	VMs    int `toml:"vms" json:"vms"`
	Groups int `toml:"groups" json:"groups"`
	// Zones lists the availability zones.
	Zones []ids.AvailabilityZone `toml:"zones" json:"zones"`
	// Connections and Slots are the limits of each server.
	Connections int `toml:"connections" json:"connections"`
	Slots       int `toml:"slots" json:"slots"`
	// LagMS is the replay lag of replicas in milliseconds.
	LagMS int `toml:"lag_ms" json:"lag_ms"`
}

// Proxy is a running proxy.
type Proxy struct {
	// Name names the proxy in the history.
	Name string `toml:"name" json:"name"`
	// Address is the host and port for callers, Admin the URL of the administration API; empty skips its metrics.
	Address string `toml:"address" json:"address"`
	Admin   string `toml:"admin" json:"admin,omitempty"`
	// Parameters is the query part of the connection URL, "sslmode=disable" by default.
	Parameters string `toml:"parameters" json:"parameters,omitempty"`
}

// Server is a running stand-in.
type Server struct {
	// ID names the stand-in in failures, Group the group of a database server.
	ID    string `toml:"id" json:"id"`
	Group string `toml:"group" json:"group,omitempty"`
	// Address is the PostgreSQL address of a database server, Switches the URL of the fault switches.
	Address  string `toml:"address" json:"address,omitempty"`
	Switches string `toml:"switches" json:"switches"`
}

// Organisation describes the load of one organisation, or of several equal ones.
type Organisation struct {
	// Name names the organisation; Count copies get "-1", "-2" and so on.
	Name  string `toml:"name" json:"name"`
	Count int    `toml:"count" json:"count,omitempty"`
	// Group is the database group; copies without one are spread over the fleet's groups.
	Group string `toml:"group" json:"group"`
	// Route is the route to connect to.
	Route string `toml:"route" json:"route"`
	// User and Password are the credentials at running proxies; the password may name an environment variable as $NAME.
	User     string `toml:"user" json:"user,omitempty"`
	Password string `toml:"password" json:"-"`
	// Rate is the mean number of requests a second; Arrivals is "poisson", "even" or "bursts" of BurstSize.
	Rate      float64 `toml:"rate" json:"rate"`
	Arrivals  string  `toml:"arrivals" json:"arrivals"`
	BurstSize int     `toml:"burst_size" json:"burst_size,omitempty"`
	// Phases multiply the rate from a time on.
	Phases []Phase `toml:"phases" json:"phases,omitempty"`
	// ReadShare is the share of reads; TransactionShare is the share of transactions among the other requests.
	ReadShare        float64 `toml:"read_share" json:"read_share"`
	TransactionShare float64 `toml:"transaction_share" json:"transaction_share"`
	// Sessions is the number of sessions; requests of one session run one after the other.
	Sessions int `toml:"sessions" json:"sessions"`
	// MoveEvery is the mean time after which a session moves to another proxy; 0 means never. Move is "spread", or
	// "together" for all sessions on the same proxy at a time.
	MoveEvery Duration `toml:"move_every" json:"move_every"`
	Move      string   `toml:"move" json:"move"`
	// Token makes sessions carry the session token when they move.
	Token bool `toml:"token" json:"token"`
	// Contract is what the organisation's contract states; a fleet gets it, running proxies must have it.
	Contract Contract `toml:"contract" json:"contract"`
}

// Phase multiplies the rate from a time on.
type Phase struct {
	At     Duration `toml:"at" json:"at"`
	Factor float64  `toml:"factor" json:"factor"`
}

// Contract holds the limits of an organisation's contract.
type Contract struct {
	// Rate is in statements a second, Burst in statements.
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

// Failure is a fault at a stated time.
type Failure struct {
	// At is when the fault begins; Until, if given, is when it is undone.
	At    Duration `toml:"at" json:"at"`
	Until Duration `toml:"until" json:"until,omitempty"`
	// Target is a stand-in's id, "primary:GROUP", "platform" or a proxy's name.
	Target string `toml:"target" json:"target"`
	// Switches are set at a stand-in; Undo are set at the end, and clear the switches by default.
	Switches map[string]any `toml:"switches" json:"switches,omitempty"`
	Undo     map[string]any `toml:"undo" json:"undo,omitempty"`
	// Action is "kill", "pause" or "terminate" for a process of the fleet; Until starts or resumes it.
	Action string `toml:"action" json:"action,omitempty"`
	// Group is the group whose failover gap is measured; the target's group by default.
	Group string `toml:"group" json:"group,omitempty"`
}
