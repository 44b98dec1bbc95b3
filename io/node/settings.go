package node

import (
	"fmt"
	"net"
	"strconv"
	"time"

	"dotterelgw/core/ids"
	"dotterelgw/core/quota"
	"dotterelgw/io/settings"
)

// Settings holds what the process is told at its start.
type Settings struct {
	// VM is the identifier of the VM that runs the process.
	VM ids.VMID `toml:"vm"`
	// AvailabilityZone is the availability zone of the VM.
	AvailabilityZone ids.AvailabilityZone `toml:"availability_zone"`
	// Listen holds the addresses that the process listens on.
	Listen Listen `toml:"listen"`
	// Store is the key-value service.
	Store Address `toml:"store"`
	// Promotion is the service that promotes backend servers.
	Promotion Address `toml:"promotion"`
	// Limits holds bounds on what the process takes.
	Limits Limits `toml:"limits"`
	// Drain holds the times of a planned stop.
	Drain Drain `toml:"drain"`
	// Configuration holds how soon changes of the configuration must be in force.
	Configuration Configuration `toml:"configuration"`
	// Restart holds what is known of how the platform starts a process again.
	Restart Restart `toml:"restart"`
}

// Restart holds what is known of how the platform starts a process again.
type Restart struct {
	// AwayMS is the time in milliseconds that passes at least between the end of a process and the start of the next one. What the
	// VM's parts of rates earn in it is spent after a start; a value that is too large lets organisations exceed their rates then.
	AwayMS float64 `toml:"away_ms"`
}

// Away returns the time for which a process that starts was away at least.
func (restart Restart) Away() time.Duration {
	return time.Duration(restart.AwayMS * float64(time.Millisecond))
}

// Configuration holds how soon changes of the configuration must be in force.
type Configuration struct {
	// ApplyMS is the time in milliseconds on a VM that reaches the key-value service.
	ApplyMS float64 `toml:"apply_ms"`
	// StretchMS is the time in milliseconds by which it may be longer on a VM that does not.
	StretchMS float64 `toml:"stretch_ms"`
}

// staleMargin is the time before the end of the bound at which a VM stops relying on an old configuration.
const staleMargin = 500 * time.Millisecond

// MaxAge returns the age from which on a configuration is too old to admit requests.
func (configuration Configuration) MaxAge() time.Duration {
	return configuration.applyWithin() + time.Duration(configuration.StretchMS*float64(time.Millisecond)) - staleMargin
}

// applyWithin returns the time within which a configuration must be in force on a VM that reaches the key-value service.
func (configuration Configuration) applyWithin() time.Duration {
	return time.Duration(configuration.ApplyMS * float64(time.Millisecond))
}

// Listen holds host and port of each listener.
type Listen struct {
	// Caller is the address for callers.
	Caller string `toml:"caller"`
	// Ready is the address at which the platform asks whether the VM takes new connections.
	Ready string `toml:"ready"`
	// Peer is the address for datagrams of other VMs.
	Peer string `toml:"peer"`
	// Metrics is the address of the metrics.
	Metrics string `toml:"metrics"`
}

// Address is host and port of a service.
type Address struct {
	// Address is host and port.
	Address string `toml:"address"`
}

// Limits holds bounds on what the process takes.
type Limits struct {
	// MemoryMB is the memory of the process in megabytes; beyond it the process is ended.
	MemoryMB int `toml:"memory_mb"`
	// MaxDescriptors is the number of descriptors that the process may open.
	MaxDescriptors int `toml:"max_descriptors"`
}

// reservedDescriptors is the number of descriptors kept for what is no caller: files, the store, other VMs, backend servers.
const reservedDescriptors = 500

// MaxSessions returns the number of callers that the process takes.
func (limits Limits) MaxSessions() int { return limits.MaxDescriptors - reservedDescriptors }

// Drain holds the times of a planned stop.
type Drain struct {
	// GraceS is the time in seconds from the signal until the process is ended.
	GraceS float64 `toml:"grace_s"`
}

// Grace returns the time from the signal until the process is ended.
func (drain Drain) Grace() time.Duration { return time.Duration(drain.GraceS * float64(time.Second)) }

// Bounds of the settings.
const (
	leastMemoryMB = 32
	leastGraceS   = 0.5
	leastApplyMS  = 1000
	mostAwayMS    = 5000
)

func defaults() Settings {
	return Settings{
		Limits: Limits{MemoryMB: 256, MaxDescriptors: 4000}, Drain: Drain{GraceS: 6}, Configuration: Configuration{ApplyMS: 3000, StretchMS: 12000},
		Restart: Restart{AwayMS: float64(quota.LeastAway.Milliseconds())},
	}
}

// Load reads and checks a settings file.
func Load(file string) (Settings, error) {
	read, faults, err := settings.Decode(file, defaults())
	if err != nil {
		return Settings{}, fmt.Errorf("reading settings: %w", err)
	}
	if faults = append(faults, read.check()...); len(faults) > 0 {
		return Settings{}, fmt.Errorf("checking settings: %w", &settings.FaultsError{File: file, Faults: faults})
	}
	return read, nil
}

func (read Settings) check() []settings.Fault {
	var faults []settings.Fault
	fault := func(key, value, allowed string) {
		faults = append(faults, settings.Fault{Key: key, Value: value, Allowed: allowed})
	}
	if read.VM == "" {
		fault("vm", "", "a name")
	}
	// The peer port takes datagrams, so it may have the number of a port for connections.
	addresses := []struct{ key, value, network string }{
		{"listen.caller", read.Listen.Caller, "tcp"},
		{"listen.ready", read.Listen.Ready, "tcp"},
		{"listen.peer", read.Listen.Peer, "udp"},
		{"listen.metrics", read.Listen.Metrics, "tcp"},
		{"store.address", read.Store.Address, ""},
		{"promotion.address", read.Promotion.Address, ""},
	}
	taken := make(map[string]string)
	for _, address := range addresses {
		_, port, err := net.SplitHostPort(address.value)
		if err != nil {
			fault(address.key, address.value, "host:port")
			continue
		}
		// With port 0 the system chooses one.
		if address.network == "" || port == "0" {
			continue
		}
		place := address.network + " " + address.value
		if other, ok := taken[place]; ok {
			fault(address.key, address.value, "an address other than that of "+other)
		}
		taken[place] = address.key
	}
	if read.Limits.MemoryMB < leastMemoryMB {
		fault("limits.memory_mb", strconv.Itoa(read.Limits.MemoryMB), fmt.Sprintf("at least %d", leastMemoryMB))
	}
	if read.Limits.MaxSessions() < 1 {
		fault("limits.max_descriptors", strconv.Itoa(read.Limits.MaxDescriptors), fmt.Sprintf("more than %d", reservedDescriptors))
	}
	if read.Drain.GraceS < leastGraceS {
		fault("drain.grace_s", fmt.Sprint(read.Drain.GraceS), fmt.Sprintf("at least %g", leastGraceS))
	}
	if read.Restart.AwayMS < 0 || read.Restart.AwayMS > mostAwayMS {
		fault("restart.away_ms", fmt.Sprint(read.Restart.AwayMS), fmt.Sprintf("0 to %d", mostAwayMS))
	}
	if read.Configuration.ApplyMS < leastApplyMS {
		fault("configuration.apply_ms", fmt.Sprint(read.Configuration.ApplyMS), fmt.Sprintf("at least %d", leastApplyMS))
	}
	if read.Configuration.StretchMS < 0 {
		fault("configuration.stretch_ms", fmt.Sprint(read.Configuration.StretchMS), "0 or more")
	}
	return faults
}
