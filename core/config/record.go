package config

import (
	"encoding/json"
	"fmt"

	"dotterelgw/core/ids"
	"dotterelgw/core/position"
)

// ContractRecord is the value of a contract key.
type ContractRecord struct {
	// ChangeID identifies the change that wrote the record. After a lost response, the writer reads the record back and
	// compares it to learn whether the write took effect.
	ChangeID string `json:"change_id"`
	// Withdrawn is set if the whole contract is withdrawn; the record remains as a tombstone.
	Withdrawn bool `json:"withdrawn"`
	// Text is the contract in TOML.
	Text string `json:"text"`
}

// GroupRecord is the value of a group key: the servers of a database group.
type GroupRecord struct {
	// Group names the database group.
	Group ids.GroupID `json:"group"`
	// Servers holds the group's backend servers.
	Servers []ServerRecord `json:"servers"`
	// Connections is the maximum number of connections that each server accepts from the whole fleet.
	Connections int `json:"connections"`
	// Slots is the maximum number of statements that each server runs concurrently.
	Slots int `json:"slots"`
}

// ServerRecord describes one backend server of a group.
type ServerRecord struct {
	// ID names the server.
	ID ids.BackendServerID `json:"id"`
	// Address is the server's numeric host and port.
	Address string `json:"address"`
	// AvailabilityZone is the server's zone.
	AvailabilityZone ids.AvailabilityZone `json:"availability_zone"`
}

// TermRecord is the value of a term key: the primary of a group and the state of a promotion in progress.
type TermRecord struct {
	// Term is the highest term claimed for the group.
	Term ids.Term `json:"term"`
	// Primary is the primary of the term in the step steady, and of the preceding term in the other steps.
	Primary ids.BackendServerID `json:"primary"`
	// Step is the step of the promotion: fencing, promoting or steady.
	Step string `json:"step"`
	// Orderer is the VM that runs the promotion.
	Orderer ids.VMID `json:"orderer"`
	// Candidate is the server to promote; it is set from the step promoting onwards.
	Candidate ids.BackendServerID `json:"candidate"`
	// Start is the log position at which the term begins.
	Start ids.LogPosition `json:"start"`
	// Starts is the term history: the position at which each known term began, in ascending order of terms.
	Starts []position.Position `json:"starts"`
}

// startRecord encodes a position.Position, which has no JSON tags, with snake_case names.
type startRecord struct {
	Term ids.Term        `json:"term"`
	Log  ids.LogPosition `json:"log"`
}

// MarshalJSON implements json.Marshaler. It uses snake_case names for the positions of Starts too.
func (record TermRecord) MarshalJSON() ([]byte, error) {
	type plain TermRecord
	starts := make([]startRecord, len(record.Starts))
	for i, start := range record.Starts {
		starts[i] = startRecord{Term: start.Term, Log: start.Log}
	}
	value, err := json.Marshal(struct {
		plain
		Starts []startRecord `json:"starts"`
	}{plain(record), starts})
	if err != nil {
		return nil, fmt.Errorf("encode term record: %w", err)
	}
	return value, nil
}

// Encode returns the record in JSON, as stored under its key.
func Encode[R ContractRecord | GroupRecord | TermRecord](record R) ([]byte, error) {
	value, err := json.Marshal(record)
	if err != nil {
		return nil, fmt.Errorf("encode record: %w", err)
	}
	return value, nil
}

// Decode parses the JSON value of an entry.
func Decode[R ContractRecord | GroupRecord | TermRecord](entry Entry) (R, error) {
	var record R
	if err := json.Unmarshal(entry.Value, &record); err != nil {
		return record, fmt.Errorf("decode %s at revision %d: %w", entry.Key, entry.Revision, err)
	}
	return record, nil
}
