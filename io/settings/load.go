package settings

import (
	"bytes"
	"flag"
	"fmt"
	"os"

	"github.com/BurntSushi/toml"
	"github.com/juju/errors"
	"github.com/peterbourgon/ff/v3"

	"dotterelgw/core/ids"
)

// EnvPrefix is the prefix of the environment variables that override settings.
const EnvPrefix = "DOTTERELGW"

// Load reads the file named by the flag -config, applies overrides from flags and the environment, and validates the result.
// Flags take precedence over the environment, which takes precedence over the file.
func Load(arguments []string) (Settings, error) {
	flags := flag.NewFlagSet("dotterelgw", flag.ContinueOnError)
	config := flags.String("config", "", "settings file (TOML)")
	overrides := register(flags)
	if err := ff.Parse(flags, arguments, ff.WithEnvVarPrefix(EnvPrefix)); err != nil {
		return Settings{}, fmt.Errorf("reading flags and environment: %w", err)
	}
	if *config == "" {
		return Settings{}, errors.NotValidf("an empty -config; name the settings file")
	}
	settings, invalidSettings, err := Decode(*config, defaults())
	if err != nil {
		return Settings{}, fmt.Errorf("reading settings: %w", err)
	}
	overrides.apply(&settings)
	invalidSettings = append(invalidSettings, check(settings)...)
	if len(invalidSettings) > 0 {
		return Settings{}, fmt.Errorf("checking settings: %w", &InvalidSettingsError{File: *config, Faults: invalidSettings})
	}
	return settings, nil
}

// Decode decodes a TOML file into a copy of the defaults. Keys that do not exist in T are reported as faults.
func Decode[T any](file string, defaults T) (T, []InvalidSetting, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return defaults, nil, fmt.Errorf("reading the file: %w", err)
	}
	settings := defaults
	meta, err := toml.NewDecoder(bytes.NewReader(text)).Decode(&settings)
	if err != nil {
		return defaults, nil, fmt.Errorf("%s: %w", file, err)
	}
	var invalidSettings []InvalidSetting
	for _, key := range meta.Undecoded() {
		invalidSettings = append(invalidSettings, InvalidSetting{Key: key.String(), Allowed: "no such key; see docs/operations/settings.md"})
	}
	return settings, invalidSettings, nil
}

// overrides holds the values of the flags that override settings, which are those that differ between VMs. Empty values override
// nothing.
type overrides struct {
	vm, zone, caller, peer, admin, keyValue, vmList, level *string
}

// register defines the override flags. The ff package also sets them from the environment.
func register(flags *flag.FlagSet) overrides {
	return overrides{
		vm:       flags.String("vm", "", "overrides vm"),
		zone:     flags.String("availability-zone", "", "overrides availability_zone"),
		caller:   flags.String("listen-caller", "", "overrides listen.caller"),
		peer:     flags.String("listen-peer", "", "overrides listen.peer"),
		admin:    flags.String("listen-admin", "", "overrides listen.admin"),
		keyValue: flags.String("platform-key-value", "", "overrides platform.key_value"),
		vmList:   flags.String("platform-vm-list", "", "overrides platform.vm_list"),
		level:    flags.String("log-level", "", "overrides log.level"),
	}
}

// apply copies the overrides that are set to the settings.
func (overrides overrides) apply(settings *Settings) {
	override(&settings.VM, ids.VMID(*overrides.vm))
	override(&settings.AvailabilityZone, ids.AvailabilityZone(*overrides.zone))
	override(&settings.Listen.Caller, *overrides.caller)
	override(&settings.Listen.Peer, *overrides.peer)
	override(&settings.Listen.Admin, *overrides.admin)
	override(&settings.Platform.KeyValue, *overrides.keyValue)
	override(&settings.Platform.VMList, *overrides.vmList)
	override(&settings.Log.Level, *overrides.level)
}

// override sets the target unless the value is empty.
func override[T ~string](target *T, value T) {
	if value != "" {
		*target = value
	}
}
