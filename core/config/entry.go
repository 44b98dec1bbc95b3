package config

import (
	"strings"

	"dotterelgw/core/ids"
)

// Prefixes of the keys in the key-value service.
const (
	// Prefix starts every key of the project.
	Prefix = "/dotterelgw/"
	// ContractPrefix starts the keys of contract records; the organisation follows.
	ContractPrefix = Prefix + "contracts/"
	// GroupPrefix starts the keys of group records; the group follows.
	GroupPrefix = Prefix + "groups/"
	// TermPrefix starts the keys of term records; the group follows.
	TermPrefix = Prefix + "terms/"
	// SharesKey is the key of the record with the share epoch and the VMs that hold shares of the rate limits.
	SharesKey = Prefix + "shares"
)

// Entry is one version of a configuration entry.
type Entry struct {
	// Key is the full key, with Prefix.
	Key string
	// Value is the value in JSON. It is shared between readers and must not be modified.
	Value []byte
	// Revision is the key's mod_revision in the key-value service.
	Revision ids.Revision
	// Leased is set if the entry is removed once its writer stops renewing a lease.
	Leased bool
}

// ContractKey returns the key of the organisation's contract.
func ContractKey(organisation ids.OrganisationID) string {
	return ContractPrefix + string(organisation)
}

// GroupKey returns the key of the group's record.
func GroupKey(group ids.GroupID) string { return GroupPrefix + string(group) }

// TermKey returns the key of the group's term record.
func TermKey(group ids.GroupID) string { return TermPrefix + string(group) }

// ParseContractKey parses a contract key and returns its organisation, and false for any other key.
func ParseContractKey(key string) (ids.OrganisationID, bool) {
	organisation, ok := strings.CutPrefix(key, ContractPrefix)
	return ids.OrganisationID(organisation), ok && organisation != ""
}

// ParseGroupKey parses the key of a group record and returns its group, and false for any other key.
func ParseGroupKey(key string) (ids.GroupID, bool) {
	group, ok := strings.CutPrefix(key, GroupPrefix)
	return ids.GroupID(group), ok && group != ""
}

// ParseTermKey parses the key of a term record and returns its group, and false for any other key.
func ParseTermKey(key string) (ids.GroupID, bool) {
	group, ok := strings.CutPrefix(key, TermPrefix)
	return ids.GroupID(group), ok && group != ""
}
