package node

import (
	"fmt"
	"net"
	"strconv"
	"time"

	"dotterelgw/core/ids"
	"dotterelgw/core/quota"
	"dotterelgw/core/zonebalance"
	"dotterelgw/io/settings"
)

// Settings holds the settings of the process.
type Settings struct {
	// VM is the identifier of the VM that runs the process.
	VM ids.VMID `toml:"vm"`
	// AvailabilityZone is the availability zone of the VM.
	AvailabilityZone ids.AvailabilityZone `toml:"availability_zone"`
	// Listen holds the listen addresses.
	Listen Listen `toml:"listen"`
	// Store is the key-value service.
	Store Address `toml:"store"`
	// Promotion is the service that promotes backend servers.
	Promotion Address `toml:"promotion"`
	// Limits holds the resource limits of the process.
	Limits Limits `toml:"limits"`
	// Callers limits what callers may take.
	Callers Callers `toml:"callers"`
	// Drain configures a planned stop.
	Drain Drain `toml:"drain"`
	// Configuration holds the time limits for applying changes of the configuration.
	Configuration Configuration `toml:"configuration"`
	// Restart describes how the platform restarts a process.
	Restart Restart `toml:"restart"`
	// Evacuation holds the limits for evacuated availability zones and cold backend servers.
	Evacuation Evacuation `toml:"evacuation"`
	// Zones weighs traffic between availability zones.
	Zones Zones `toml:"zones"`
}

// Zones weighs traffic between availability zones.
type Zones struct {
	// ByteCostMS is the time of a caller in milliseconds that a kilobyte sent to another availability zone is worth. With 0 reads leave the
	// zone whenever their callers gain time.
	ByteCostMS float64 `toml:"byte_cost_ms"`
}

// policy returns the policy of the balance between availability zones.
func (zones Zones) policy() zonebalance.Policy {
	return zonebalance.Policy{ByteCost: time.Duration(zones.ByteCostMS * float64(time.Millisecond))}
}

// Restart describes how the platform restarts a process.
type Restart struct {
	// AwayMS is the minimum time in milliseconds between the end of a process and the start of the next one. After a
	// start the VM spends what its shares of the rate limits have accrued in this time. A value that is too large lets
	// organisations exceed their rates after a restart.
	AwayMS float64 `toml:"away_ms"`
}

// Away returns the minimum downtime before a process starts.
func (restart Restart) Away() time.Duration {
	return time.Duration(restart.AwayMS * float64(time.Millisecond))
}

// Configuration holds the time limits for applying changes of the configuration.
type Configuration struct {
	// ApplyMS is the time limit in milliseconds on a VM that can reach the key-value service.
	ApplyMS float64 `toml:"apply_ms"`
	// StretchMS is the additional time in milliseconds on a VM that cannot.
	StretchMS float64 `toml:"stretch_ms"`
}

// catalogAgeMargin is how long before the end of the time limit a VM stops relying on an old configuration.
const catalogAgeMargin = 500 * time.Millisecond

// MaxAge returns the age beyond which a configuration is too old to admit requests.
func (configuration Configuration) MaxAge() time.Duration {
	return configuration.applyWithin() + time.Duration(configuration.StretchMS*float64(time.Millisecond)) - catalogAgeMargin
}

// applyWithin returns the time limit for applying a configuration on a VM that can reach the key-value service.
func (configuration Configuration) applyWithin() time.Duration {
	return time.Duration(configuration.ApplyMS * float64(time.Millisecond))
}

// Listen holds host and port of each listener.
type Listen struct {
	// Caller is the address for callers.
	Caller string `toml:"caller"`
	// Ready is the address for the platform's readiness checks.
	Ready string `toml:"ready"`
	// Peer is the address for datagrams of other VMs.
	Peer string `toml:"peer"`
	// Metrics is the address of the metrics endpoint.
	Metrics string `toml:"metrics"`
}

// Address is the address of a service.
type Address struct {
	// Address is host and port.
	Address string `toml:"address"`
}

// Limits holds the resource limits of the process.
type Limits struct {
	// MemoryMB is the memory limit of the process in megabytes; a process that exceeds it is killed.
	MemoryMB int `toml:"memory_mb"`
	// MaxDescriptors is the maximum number of open file descriptors.
	MaxDescriptors int `toml:"max_descriptors"`
	// ProcessorShare is the number of processor cores that the VM may use. VMs with more of them hold the connections of backend servers
	// for the others.
	ProcessorShare float64 `toml:"processor_share"`
}

const (
	// reservedDescriptors is the number of descriptors reserved for anything but callers: files, the store, other VMs and backend servers.
	reservedDescriptors = 500
	// reservedFraction is that number as a fraction of all descriptors, if that is more: a larger VM is home of more servers, with
	// connections to them and streams of other VMs.
	reservedFraction = 0.125
)

// MaxSessions returns the maximum number of concurrent callers.
func (limits Limits) MaxSessions() int {
	return limits.MaxDescriptors - max(reservedDescriptors, int(reservedFraction*float64(limits.MaxDescriptors)))
}

// Drain configures a planned stop.
type Drain struct {
	// GraceS is the time in seconds from the stop signal until the process is killed.
	GraceS float64 `toml:"grace_s"`
}

// Grace returns the time from the stop signal until the process is killed.
func (drain Drain) Grace() time.Duration { return time.Duration(drain.GraceS * float64(time.Second)) }

// Limits of the settings.
const (
	minMemoryMB = 32
	minGraceS   = 0.5
	minApplyMS  = 1000
	maxAwayMS   = 5000

	minProcessorShare = 0.01
	maxProcessorShare = 1024
	// maxByteCostMS keeps every read within its zone.
	maxByteCostMS = 60_000
)

func defaults() Settings {
	return Settings{
		Limits: Limits{MemoryMB: 256, MaxDescriptors: 4000, ProcessorShare: 1}, Drain: Drain{GraceS: 6}, Configuration: Configuration{ApplyMS: 3000, StretchMS: 12000},
		Callers: defaultCallers(),
		Restart: Restart{AwayMS: float64(quota.MinDowntime.Milliseconds())},
	}
}

// Load reads and validates a settings file.
func Load(file string) (Settings, error) {
	read, invalidSettings, err := settings.Decode(file, defaults())
	if err != nil {
		return Settings{}, fmt.Errorf("reading settings: %w", err)
	}
	if invalidSettings = append(invalidSettings, read.check()...); len(invalidSettings) > 0 {
		return Settings{}, fmt.Errorf("checking settings: %w", &settings.InvalidSettingsError{File: file, Faults: invalidSettings})
	}
	return read, nil
}

func (read Settings) check() []settings.InvalidSetting {
	var invalidSettings []settings.InvalidSetting
	fault := func(key, value, allowed string) {
		invalidSettings = append(invalidSettings, settings.InvalidSetting{Key: key, Value: value, Allowed: allowed})
	}
	if !ids.IsIdentifier(string(read.VM)) {
		fault("vm", string(read.VM), "a name without blanks and control characters")
	}
	// The peer port is a UDP port, so it may have the same number as a TCP port.
	addresses := []struct{ key, value, network string }{
		{"listen.caller", read.Listen.Caller, "tcp"},
		{"listen.ready", read.Listen.Ready, "tcp"},
		{"listen.peer", read.Listen.Peer, "udp"},
		{"listen.metrics", read.Listen.Metrics, "tcp"},
		{"store.address", read.Store.Address, ""},
		{"promotion.address", read.Promotion.Address, ""},
	}
	used := make(map[string]string)
	for _, address := range addresses {
		_, port, err := net.SplitHostPort(address.value)
		if err != nil {
			fault(address.key, address.value, "host:port")
			continue
		}
		// With port 0 the operating system chooses a free port.
		if address.network == "" || port == "0" {
			continue
		}
		endpoint := address.network + " " + address.value
		if other, ok := used[endpoint]; ok {
			fault(address.key, address.value, "an address other than that of "+other)
		}
		used[endpoint] = address.key
	}
	if read.Limits.MemoryMB < minMemoryMB {
		fault("limits.memory_mb", strconv.Itoa(read.Limits.MemoryMB), fmt.Sprintf("at least %d", minMemoryMB))
	}
	if read.Limits.MaxSessions() < 1 {
		fault("limits.max_descriptors", strconv.Itoa(read.Limits.MaxDescriptors), fmt.Sprintf("more than %d", reservedDescriptors))
	}
	if share := read.Limits.ProcessorShare; !(share >= minProcessorShare && share <= maxProcessorShare) {
		fault("limits.processor_share", fmt.Sprint(share), fmt.Sprintf("%g to %d", minProcessorShare, maxProcessorShare))
	}
	read.Callers.check(fault)
	if read.Drain.GraceS < minGraceS {
		fault("drain.grace_s", fmt.Sprint(read.Drain.GraceS), fmt.Sprintf("at least %g", minGraceS))
	}
	if read.Restart.AwayMS < 0 || read.Restart.AwayMS > maxAwayMS {
		fault("restart.away_ms", fmt.Sprint(read.Restart.AwayMS), fmt.Sprintf("0 to %d", maxAwayMS))
	}
	if cost := read.Zones.ByteCostMS; !(cost >= 0 && cost <= maxByteCostMS) {
		fault("zones.byte_cost_ms", fmt.Sprint(read.Zones.ByteCostMS), fmt.Sprintf("0 to %d", maxByteCostMS))
	}
	if read.Configuration.ApplyMS < minApplyMS {
		fault("configuration.apply_ms", fmt.Sprint(read.Configuration.ApplyMS), fmt.Sprintf("at least %d", minApplyMS))
	}
	if read.Configuration.StretchMS < 0 {
		fault("configuration.stretch_ms", fmt.Sprint(read.Configuration.StretchMS), "0 or more")
	}
	return append(invalidSettings, read.Evacuation.check()...)
}
