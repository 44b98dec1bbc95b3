package database

import (
	"maps"
	"strings"
)

// reportedVariables are sent to the client in ParameterStatus messages at start-up.
var reportedVariables = []string{
	"server_version", "server_encoding", "client_encoding", "DateStyle", "TimeZone", "integer_datetimes",
	"standard_conforming_strings", "application_name", "default_transaction_read_only",
}

// variables holds the configuration parameters of one session by name in lower case; defaults are the values that
// RESET restores.
type variables struct {
	defaults, values map[string]string
}

func newVariables(parameters map[string]string) *variables {
	defaults := map[string]string{
		"server_version": "17.0", "server_version_num": "170000", "server_encoding": "UTF8", "client_encoding": "UTF8",
		"datestyle": "ISO, MDY", "timezone": "UTC", "integer_datetimes": "on", "standard_conforming_strings": "on",
		"application_name": "", "default_transaction_read_only": "off", "transaction_isolation": "read committed",
		"default_transaction_isolation": "read committed", "search_path": `"$user", public`, "statement_timeout": "0",
		"extra_float_digits": "1",
	}
	for name, value := range parameters {
		switch name {
		case "user", "database", "replication":
		case "options":
			maps.Copy(defaults, startupOptions(value))
		default:
			defaults[strings.ToLower(name)] = value
		}
	}
	return &variables{defaults: defaults, values: maps.Clone(defaults)}
}

func (variables *variables) get(name string) string { return variables.values[strings.ToLower(name)] }

func (variables *variables) lookup(name string) (string, bool) {
	value, ok := variables.values[strings.ToLower(name)]
	return value, ok
}

func (variables *variables) set(name, value string) {
	if strings.EqualFold(value, "default") {
		variables.reset(name)
		return
	}
	variables.values[strings.ToLower(name)] = value
}

func (variables *variables) reset(name string) {
	if value, ok := variables.defaults[name]; ok {
		variables.values[name] = value
		return
	}
	delete(variables.values, name)
}

func (variables *variables) resetAll() { variables.values = maps.Clone(variables.defaults) }

func (variables *variables) snapshot() map[string]string { return maps.Clone(variables.values) }

// readOnly reports whether transactions without an explicit access mode are read-only.
func (variables *variables) readOnly() bool {
	return isTrue(variables.get("default_transaction_read_only"))
}
