package settings

import (
	"encoding/hex"
	"fmt"
	"net/netip"
	"net/url"
	"regexp"
	"strings"
)

const (
	// minTokenSecretBytes is the minimum length of the decoded token secret.
	minTokenSecretBytes = 16
	// sha256HexLength is the length of a SHA-256 hash in hexadecimal digits.
	sha256HexLength = 64
)

// namePattern matches the allowed names of VMs, availability zones and operators.
var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9_-]{0,62}$`)

// InvalidSetting describes an unknown key or a setting with an invalid value.
type InvalidSetting struct {
	// Key is the full key of the setting, such as limits.max_connections.
	Key string
	// Value is the invalid value; empty for secrets.
	Value string
	// Allowed describes the allowed values.
	Allowed string
}

// InvalidSettingsError reports all faults of a settings file requireAllOrNone.
type InvalidSettingsError struct {
	// File is the path of the settings file.
	File string
	// Faults holds the faults in the order of the checks.
	Faults []InvalidSetting
}

// Error implements error.Error.
func (faults *InvalidSettingsError) Error() string {
	lines := make([]string, 0, len(faults.Faults))
	for _, invalidSetting := range faults.Faults {
		lines = append(lines, fmt.Sprintf("%s: %s = %q: %s", faults.File, invalidSetting.Key, invalidSetting.Value, invalidSetting.Allowed))
	}
	return strings.Join(lines, "\n")
}

// check validates all settings and returns every fault.
func check(settings Settings) []InvalidSetting {
	var faults faultList
	faults.name("vm", string(settings.VM))
	faults.name("availability_zone", string(settings.AvailabilityZone))
	faults.secret(settings.TokenSecret)
	faults.address("listen.caller", settings.Listen.Caller)
	faults.address("listen.peer", settings.Listen.Peer)
	faults.address("listen.admin", settings.Listen.Admin)
	faults.address("platform.key_value", settings.Platform.KeyValue)
	faults.url("platform.vm_list", settings.Platform.VMList)
	faults.requireAllOrNone("tls.certificate, tls.key and tls.ca", settings.TLS.Certificate, settings.TLS.Key, settings.TLS.CA)
	faults.requireAllOrNone("tls.caller_certificate and tls.caller_key", settings.TLS.CallerCertificate, settings.TLS.CallerKey)
	if settings.TLS.CallerCertificate == "" && !settings.Listen.Plaintext {
		faults.add("tls.caller_certificate", "", "a PEM file, unless listen.plaintext = true")
	}
	faults.atLeast("limits.max_message_bytes", settings.Limits.MaxMessageBytes, 1024)
	faults.atLeast("limits.max_connections", settings.Limits.MaxConnections, 1)
	faults.atLeast("drain.delay_ms", settings.Drain.DelayMS, 0)
	faults.atLeast("drain.grace_ms", settings.Drain.GraceMS, 0)
	switch settings.Log.Level {
	case "debug", "info", "warn", "error":
	default:
		faults.add("log.level", settings.Log.Level, "debug, info, warn or error")
	}
	for index, operator := range settings.Admin.Operators {
		faults.operator(fmt.Sprintf("admin.operators[%d]", index), operator)
	}
	return faults
}

// faultList collects faults. Its methods check one setting each and add a fault if the value is invalid.
type faultList []InvalidSetting

// add adds a fault.
func (faults *faultList) add(key, value, allowed string) {
	*faults = append(*faults, InvalidSetting{Key: key, Value: value, Allowed: allowed})
}

// name checks a name against namePattern.
func (faults *faultList) name(key, value string) {
	if !namePattern.MatchString(value) {
		faults.add(key, value, "1 to 63 characters of a-z, 0-9, _ and -")
	}
}

// address checks that the value is an IP address with a port.
func (faults *faultList) address(key, value string) {
	if _, err := netip.ParseAddrPort(value); err != nil {
		faults.add(key, value, "an IP number and a port, such as 10.0.0.5:5432")
	}
}

// url checks that the value is an http or https URL with a host.
func (faults *faultList) url(key, value string) {
	parsed, err := url.Parse(value)
	if err != nil || (parsed.Scheme != "http" && parsed.Scheme != "https") || parsed.Host == "" {
		faults.add(key, value, "an http or https URL")
	}
}

// requireAllOrNone checks that either all values are set or none.
func (faults *faultList) requireAllOrNone(key string, values ...string) {
	set := 0
	for _, value := range values {
		if value != "" {
			set++
		}
	}
	if set != 0 && set != len(values) {
		faults.add(key, strings.Join(values, " "), "all of them or none")
	}
}

// atLeast checks the value against a minimum.
func (faults *faultList) atLeast(key string, value, minimum int) {
	if value < minimum {
		faults.add(key, fmt.Sprint(value), fmt.Sprintf("at least %d", minimum))
	}
}

// secret checks the token secret. The fault leaves out its value.
func (faults *faultList) secret(value string) {
	decoded, err := hex.DecodeString(value)
	if err != nil || len(decoded) < minTokenSecretBytes {
		faults.add("token_secret", "", fmt.Sprintf("at least %d bytes in hexadecimal", minTokenSecretBytes))
	}
}

// operator checks the name and the credential hash of an operator.
func (faults *faultList) operator(key string, operator Operator) {
	faults.name(key+".name", operator.Name)
	if _, err := hex.DecodeString(operator.CredentialSHA256); err != nil || len(operator.CredentialSHA256) != sha256HexLength {
		faults.add(key+".credential_sha256", "", "the SHA-256 of the credential in hexadecimal")
	}
}
