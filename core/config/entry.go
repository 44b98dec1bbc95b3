package config

import (
	"dotterelgw/core/ids"
	"dotterelgw/core/position"
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
	// SharesKey is the key of the share epoch.
	SharesKey = Prefix + "shares"
)

// Entry is one configuration entry.
type Entry struct {
	// Key is the key in the key-value service.
	Key string
	// Value is the stored value, JSON for every key of the project.
	Value []byte
	// Revision is the mod_revision of this version.
	Revision ids.Revision
}

// GroupRecord is the JSON value stored under a group key.
type GroupRecord struct {
	// Group names the group.
	Group ids.GroupID `json:"group"`
	// Servers holds the group's backend servers.
	Servers []ServerRecord `json:"servers"`
	// Connections is the number of connections that each server accepts.
	Connections int `json:"connections"`
	// Slots is the number of statements that each server runs at the same time.
	Slots int `json:"slots"`
}

// ServerRecord describes one backend server of a group.
type ServerRecord struct {
	// ID names the server.
	ID ids.BackendServerID `json:"id"`
	// Address is the server's host and port.
	Address string `json:"address"`
	// AvailabilityZone is the server's availability zone.
	AvailabilityZone ids.AvailabilityZone `json:"availability_zone"`
}

// TermRecord is the JSON value stored under a term key.
type TermRecord struct {
	// Term is the group's highest term.
	Term ids.Term `json:"term"`
	// Primary is the primary of the term; in a step other than steady, of the term before.
	Primary ids.BackendServerID `json:"primary"`
	// Step is the step of the promotion: fencing, promoting or steady.
	Step string `json:"step"`
	// Orderer is the VM that carries out the promotion.
	Orderer ids.VMID `json:"orderer"`
	// Candidate is the server that is to be promoted, recorded from the step promoting.
	Candidate ids.BackendServerID `json:"candidate"`
	// Start is the log position at which the term begins.
	Start ids.LogPosition `json:"start"`
	// Starts holds, for each known term in rising order, the position at which it began.
	Starts []position.Position `json:"starts"`
}

// ContractKey returns the key of the organisation's contract.
func ContractKey(organisation ids.OrganisationID) string {
	return ContractPrefix + string(organisation)
}

// GroupKey returns the key of the group's record.
func GroupKey(group ids.GroupID) string { return GroupPrefix + string(group) }

// TermKey returns the key of the group's term record.
func TermKey(group ids.GroupID) string { return TermPrefix + string(group) }
