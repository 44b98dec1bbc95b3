package config

import (
	"encoding/json"
	"fmt"

	"dotterelgw/core/ids"
	"dotterelgw/core/position"
)

// ContractRecord is the value of a contract key.
type ContractRecord struct {
	// ChangeID identifies the change that wrote the record, so that a lost answer can be settled by reading back.
	ChangeID string `json:"change_id"`
	// Withdrawn states that the whole contract is withdrawn; the record stays as a tombstone.
	Withdrawn bool `json:"withdrawn"`
	// Text is the contract's TOML.
	Text string `json:"text"`
}

// GroupRecord is the value of a group key: the servers of a database group.
type GroupRecord struct {
	// Group names the database group.
	Group ids.GroupID `json:"group"`
	// Servers holds the group's backend servers.
	Servers []ServerRecord `json:"servers"`
	// Connections is the number of connections that each server accepts from the whole fleet.
	Connections int `json:"connections"`
	// Slots is the number of statements that each server runs at a time.
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

// TermRecord is the value of a term key: the primary of a group and the promotion under way.
type TermRecord struct {
	// Term is the highest term taken for the group.
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
	// Starts holds the first position of each known term in rising order.
	Starts []position.Position `json:"starts"`
}

// startRecord is the snake_case form of position.Position, which has no JSON tags.
type startRecord struct {
	Term ids.Term        `json:"term"`
	Log  ids.LogPosition `json:"log"`
}

// MarshalJSON implements json.Marshaler.MarshalJSON with snake_case names throughout.
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

// Encode returns the JSON form of a record.
func Encode[R ContractRecord | GroupRecord | TermRecord](record R) ([]byte, error) {
	value, err := json.Marshal(record)
	if err != nil {
		return nil, fmt.Errorf("encode record: %w", err)
	}
	return value, nil
}

// Decode reads a record from an entry's value.
func Decode[R ContractRecord | GroupRecord | TermRecord](entry Entry) (R, error) {
	var record R
	if err := json.Unmarshal(entry.Value, &record); err != nil {
		return record, fmt.Errorf("decode %s at revision %d: %w", entry.Key, entry.Revision, err)
	}
	return record, nil
}
