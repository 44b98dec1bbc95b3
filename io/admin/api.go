package admin

import (
	"time"

	"dotterelgw/core/config"
	"dotterelgw/core/ids"
)

// Change is the body of a request that applies a contract or a group.
type Change struct {
	// File names the file for error messages.
	File string `json:"file,omitempty"`
	// Text is the contract in TOML, or the group in TOML or JSON.
	Text string `json:"text"`
	// Expected is the revision that the change replaces; nil means the version in force on the VM that is asked.
	Expected *ids.Revision `json:"expected,omitempty"`
	// ChangeID identifies the change; a repeated request with the same identifier has no further effect.
	ChangeID string `json:"change_id,omitempty"`
}

// Changed is the response to a change.
type Changed struct {
	// Entry is the key of the changed entry.
	Entry string `json:"entry"`
	// Revision is the revision of the change.
	Revision ids.Revision `json:"revision"`
	// Replaced is the revision that the change replaced; 0 for none.
	Replaced ids.Revision `json:"replaced"`
	// ChangeID identifies the change.
	ChangeID string `json:"change_id"`
	// InForce states that every live VM has the change. It is nil unless the request asked to wait, or unless the change is
	// stored but no majority of the VMs has acknowledged it yet.
	InForce *bool `json:"in_force,omitempty"`
	// Missing names the live VMs that do not have the change yet.
	Missing []ids.VMID `json:"missing,omitempty"`
}

// KeyGiven is the response to giving a key. It is the only place where the key itself appears.
type KeyGiven struct {
	Changed
	// ID names the key.
	ID ids.KeyID `json:"id"`
	// User is the user name that callers give.
	User string `json:"user"`
	// Secret is the key; nobody can show it again.
	Secret string `json:"key"`
}

// KeyView is a key without its verifier.
type KeyView struct {
	// ID names the key.
	ID ids.KeyID `json:"id"`
	// Given is the time at which the key was given.
	Given time.Time `json:"given"`
	// Withdrawn is the time of withdrawal; nil while the key is in use.
	Withdrawn *time.Time `json:"withdrawn,omitempty"`
}

// ContractView is a contract without verifiers.
type ContractView struct {
	// Organisation is the organisation that the contract is for.
	Organisation ids.OrganisationID `json:"organisation"`
	// Revision is the revision of the version.
	Revision ids.Revision `json:"revision"`
	// ChangeID identifies the change that wrote the version.
	ChangeID string `json:"change_id"`
	// Withdrawn states that the contract is withdrawn.
	Withdrawn bool `json:"withdrawn"`
	// Rate is the number of statements a second over the whole fleet.
	Rate float64 `json:"rate"`
	// Burst is the number of statements that may come at once over the whole fleet.
	Burst float64 `json:"burst"`
	// Routes holds the names of the routes.
	Routes []ids.RouteName `json:"routes"`
	// Keys holds the keys, withdrawn ones included.
	Keys []KeyView `json:"keys"`
	// Text is the contract in TOML without its keys; lists leave it out.
	Text string `json:"text,omitempty"`
}

// GroupView is a group's record, and its state if the VM knows it.
type GroupView struct {
	config.GroupRecord
	// Revision is the revision of the record.
	Revision ids.Revision `json:"revision"`
	// Term is the highest term that the VM knows of.
	Term ids.Term `json:"term"`
	// Primary is the primary of the term; empty for none.
	Primary ids.BackendServerID `json:"primary"`
	// Reachable is the number of servers that answer.
	Reachable int `json:"reachable"`
}

// MemberView is a live VM.
type MemberView struct {
	// ID names the VM.
	ID ids.VMID `json:"id"`
	// Address is the VM's peer address.
	Address string `json:"address"`
	// AvailabilityZone is the VM's availability zone.
	AvailabilityZone ids.AvailabilityZone `json:"availability_zone"`
	// Leaving states that the VM gets no new work.
	Leaving bool `json:"leaving"`
}

// Status is what one VM knows.
type Status struct {
	// VM is the VM that answers.
	VM ids.VMID `json:"vm"`
	// AvailabilityZone is its availability zone.
	AvailabilityZone ids.AvailabilityZone `json:"availability_zone"`
	// Admitting states that the VM's configuration is confirmed, so that it admits requests.
	Admitting bool `json:"admitting"`
	// Ready states that the VM takes new connections; NotReady says why not.
	Ready bool `json:"ready"`
	// NotReady is the reason for which the VM takes no new connections.
	NotReady string `json:"not_ready,omitempty"`
	// Revision is the revision up to which the VM holds the configuration.
	Revision ids.Revision `json:"revision"`
	// Members holds the live VMs.
	Members []MemberView `json:"members"`
	// Behind names the live VMs that have not reached Revision.
	Behind []ids.VMID `json:"behind,omitempty"`
	// Groups holds the groups.
	Groups []GroupView `json:"groups"`
}

// List is the response to a request for a list.
type List[T any] struct {
	// Items holds the listed things in order.
	Items []T `json:"items"`
}

// Version is one of the two versions in a conflict.
type Version struct {
	// Revision is the version's revision; for the refused version, the one that it was to replace.
	Revision ids.Revision `json:"revision"`
	// ChangeID identifies the change that wrote, or was to write, the version.
	ChangeID string `json:"change_id,omitempty"`
	// Withdrawn states that the version withdraws the contract.
	Withdrawn bool `json:"withdrawn,omitempty"`
	// Text is the contract in TOML without its keys, or the group record in JSON; empty if there is none.
	Text string `json:"text"`
}

// Code classifies a problem.
type Code string

// The codes of problems.
const (
	CodeInvalid        Code = "invalid"
	CodeUnauthorized   Code = "unauthorized"
	CodeNotFound       Code = "not_found"
	CodeConflict       Code = "conflict"
	CodeUnavailable    Code = "unavailable"
	CodeOutcomeUnknown Code = "outcome_unknown"
	CodeOtherVM        Code = "other_vm"
)

// Problem is the body of every response that is not a success.
type Problem struct {
	// Code classifies the problem.
	Code Code `json:"code"`
	// Message says what went wrong.
	Message string `json:"message"`
	// Next says what to do next.
	Next string `json:"next"`
	// ChangeID identifies the change that the problem concerns.
	ChangeID string `json:"change_id,omitempty"`
	// Current is the stored version in a conflict.
	Current *Version `json:"current,omitempty"`
	// Yours is the refused version in a conflict.
	Yours *Version `json:"yours,omitempty"`
}

// Error implements error.Error.
func (problem *Problem) Error() string { return problem.Message }
