package experiment

import (
	"embed"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/BurntSushi/toml"
)

//go:embed profiles/*.toml
var profiles embed.FS

// Load reads an experiment from a file. If the file does not exist, the profile of that name is used.
func Load(name string) (*Experiment, error) {
	text, err := os.ReadFile(name)
	if errors.Is(err, fs.ErrNotExist) {
		if profile, profileErr := Profile(name); profileErr == nil {
			text, err = profile, nil
		}
	}
	if err != nil {
		return nil, fmt.Errorf("reading the experiment: %w", err)
	}
	return Parse(string(text))
}

// Profile returns the TOML text of a profile, "frissito" or "seixal".
func Profile(name string) ([]byte, error) { return profiles.ReadFile("profiles/" + name + ".toml") }

// Parse parses an experiment. Missing values are taken from its profile, then from the defaults.
func Parse(text string) (*Experiment, error) {
	var given Experiment
	meta, err := toml.Decode(text, &given)
	if err != nil {
		return nil, fmt.Errorf("experiment: %w", err)
	}
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		// Keys of the tables switches and undo are not restricted.
		return nil, fmt.Errorf("experiment: unknown key %s", unknown[0])
	}
	experiment := &Experiment{}
	if given.Profile != "" {
		profile, err := Profile(given.Profile)
		if err != nil {
			return nil, fmt.Errorf("experiment: no profile %q", given.Profile)
		}
		if _, err := toml.Decode(string(profile), experiment); err != nil {
			return nil, fmt.Errorf("profile %s: %w", given.Profile, err)
		}
		// Lists of the file replace those of the profile. Without this, toml.Decode would merge them element by element.
		for key, resetList := range map[string]func(){
			"organisations": func() { experiment.Organisations = nil },
			"failures":      func() { experiment.Failures = nil },
			"proxies":       func() { experiment.Fleet = nil },
		} {
			if meta.IsDefined(key) {
				resetList()
			}
		}
	}
	if _, err := toml.Decode(text, experiment); err != nil {
		return nil, fmt.Errorf("experiment: %w", err)
	}
	experiment.applyDefaults()
	if err := experiment.validate(); err != nil {
		return nil, fmt.Errorf("experiment: %w", err)
	}
	return experiment, nil
}

const (
	defaultDuration  = 60 * time.Second
	defaultObjective = 250 * time.Millisecond
	defaultTimeout   = 10 * time.Second
	defaultSessions  = 8
	// defaultBurstSeconds is the default burst of a contract, as a multiple of its rate per second.
	defaultBurstSeconds = 1.0
)

func (experiment *Experiment) applyDefaults() {
	setDefault(&experiment.Name, "experiment")
	setDefault(&experiment.Seed, 1)
	setDefault(&experiment.Duration, Duration(defaultDuration))
	setDefault(&experiment.Objective, Duration(defaultObjective))
	setDefault(&experiment.Timeout, Duration(defaultTimeout))
	setDefault(&experiment.Protocol, "exec")
	for index := range experiment.Proxies {
		setDefault(&experiment.Proxies[index].Parameters, "sslmode=disable")
	}
	var organisations []Organisation
	for _, organisation := range experiment.Organisations {
		setDefault(&organisation.Route, "main")
		setDefault(&organisation.Arrivals, "poisson")
		setDefault(&organisation.Sessions, defaultSessions)
		setDefault(&organisation.Move, "spread")
		contract := &organisation.Contract
		setDefault(&contract.Rate, 2*organisation.Rate)
		setDefault(&contract.Burst, defaultBurstSeconds*contract.Rate)
		setDefault(&contract.Weight, 1)
		setDefault(&contract.Connections, 100)
		setDefault(&contract.Transactions, 8)
		setDefault(&contract.Queue, 200)
		setDefault(&contract.QueueTimeoutMS, 5000)
		setDefault(&contract.Access, "auto")
		for number := range max(1, organisation.Count) {
			one := organisation
			if organisation.Count > 1 {
				one.Name = fmt.Sprintf("%s-%d", organisation.Name, number+1)
			}
			one.Count = 0
			if one.Group == "" && experiment.Fleet != nil && experiment.Fleet.Groups > 0 {
				one.Group = fmt.Sprintf("g%d", len(organisations)%experiment.Fleet.Groups+1)
			}
			organisations = append(organisations, one)
		}
	}
	experiment.Organisations = organisations
	for index := range experiment.Failures {
		failure := &experiment.Failures[index]
		if group, ok := strings.CutPrefix(failure.Target, "primary:"); ok {
			setDefault(&failure.Group, group)
		}
		if failure.Until > 0 && failure.Undo == nil && len(failure.Switches) > 0 {
			failure.Undo = map[string]any{}
			for name, value := range failure.Switches {
				failure.Undo[name] = clearedValue(value)
			}
		}
	}
}

func setDefault[T comparable](value *T, defaultValue T) {
	var zero T
	if *value == zero {
		*value = defaultValue
	}
}

// clearedValue returns the value that clears a fault switch of the same type.
func clearedValue(value any) any {
	switch value.(type) {
	case bool:
		return false
	case []any:
		return []any{}
	}
	return 0
}

func (experiment *Experiment) validate() error {
	switch {
	case experiment.Fleet == nil && len(experiment.Proxies) == 0:
		return errors.New("neither a fleet nor proxies are given")
	case experiment.Fleet != nil && (experiment.Fleet.VMs < 1 || experiment.Fleet.Groups < 1 || len(experiment.Fleet.Zones) == 0):
		return errors.New("the fleet needs vms, groups and zones")
	case len(experiment.Organisations) == 0:
		return errors.New("no organisations are given")
	case experiment.Warmup >= experiment.Duration:
		return errors.New("the warm-up is not shorter than the duration")
	case !slices.Contains([]string{"exec", "cache", "simple"}, experiment.Protocol):
		return fmt.Errorf("unknown protocol %q", experiment.Protocol)
	}
	for _, organisation := range experiment.Organisations {
		if err := organisation.validate(); err != nil {
			return fmt.Errorf("organisation %s: %w", organisation.Name, err)
		}
	}
	for _, failure := range experiment.Failures {
		if failure.Target == "" || len(failure.Switches) == 0 && failure.Action == "" {
			return fmt.Errorf("the failure at %s needs a target and switches or an action", time.Duration(failure.At))
		}
		if !slices.Contains([]string{"", "kill", "pause", "terminate"}, failure.Action) {
			return fmt.Errorf("unknown action %q", failure.Action)
		}
	}
	return nil
}

// maxSessions keeps the row ids unique: package engine reserves 1000 session numbers for each second.
const maxSessions = 1000

func (organisation *Organisation) validate() error {
	switch {
	case organisation.Name == "":
		return errors.New("no name is given")
	case organisation.Rate <= 0:
		return errors.New("the rate is not positive")
	case organisation.ReadShare < 0 || organisation.ReadShare > 1:
		return errors.New("read_share is not between 0 and 1")
	case organisation.TransactionShare < 0 || organisation.TransactionShare > 1:
		return errors.New("transaction_share is not between 0 and 1")
	case organisation.Sessions < 1 || organisation.Sessions > maxSessions:
		return fmt.Errorf("sessions is not between 1 and %d", maxSessions)
	case !slices.Contains([]string{"poisson", "even", "bursts"}, organisation.Arrivals):
		return fmt.Errorf("unknown arrivals %q", organisation.Arrivals)
	case organisation.Arrivals == "bursts" && organisation.BurstSize < 1:
		return errors.New("bursts need a burst_size")
	case organisation.Move != "spread" && organisation.Move != "together":
		return fmt.Errorf("unknown move %q", organisation.Move)
	}
	return nil
}
