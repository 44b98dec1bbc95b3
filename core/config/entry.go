package config

import (
	"strings"

	"dotterelgw/core/ids"
)

// Prefixes of the keys in the key-value service.
const (
	// Prefix is the prefix of every key of the project.
	Prefix = "/dotterelgw/"
	// ContractPrefix is the prefix of the contract keys.
	ContractPrefix = Prefix + "contracts/"
	// GroupPrefix is the prefix of the group keys.
	GroupPrefix = Prefix + "groups/"
	// TermPrefix is the prefix of the term keys.
	TermPrefix = Prefix + "terms/"
	// SharesKey is the key of the share epoch and the VMs that hold shares.
	SharesKey = Prefix + "shares"
)

// Entry is one configuration entry; its revision is the key's mod_revision.
type Entry struct {
	// Key is the full key, with Prefix.
	Key string
	// Value is the JSON value; it is shared and must not be changed.
	Value []byte
	// Revision is the service's mod_revision of the key.
	Revision ids.Revision
}

// ContractKey returns the key of the organisation's contract.
func ContractKey(organisation ids.OrganisationID) string {
	return ContractPrefix + string(organisation)
}

// GroupKey returns the key of the group's record.
func GroupKey(group ids.GroupID) string { return GroupPrefix + string(group) }

// TermKey returns the key of the group's term record.
func TermKey(group ids.GroupID) string { return TermPrefix + string(group) }

// ContractOf returns the organisation whose contract the key holds, and false for other keys.
func ContractOf(key string) (ids.OrganisationID, bool) {
	organisation, ok := strings.CutPrefix(key, ContractPrefix)
	return ids.OrganisationID(organisation), ok && organisation != ""
}

// GroupOf returns the group whose record the key holds, and false for other keys.
func GroupOf(key string) (ids.GroupID, bool) {
	group, ok := strings.CutPrefix(key, GroupPrefix)
	return ids.GroupID(group), ok && group != ""
}

// TermOf returns the group whose term record the key holds, and false for other keys.
func TermOf(key string) (ids.GroupID, bool) {
	group, ok := strings.CutPrefix(key, TermPrefix)
	return ids.GroupID(group), ok && group != ""
}
