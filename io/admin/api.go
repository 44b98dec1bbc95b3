package admin

import (
	"time"

	"dotterelgw/core/config"
	"dotterelgw/core/ids"
)

// Change is the body of a request to apply a contract or a group.
type Change struct {
	// File is the name of the file, used in error messages.
	File string `json:"file,omitempty"`
	// Text is the contract in TOML, or the group in TOML or JSON.
	Text string `json:"text"`
	// Expected is the revision that the change replaces. Nil means the version held by the VM that handles the request.
	Expected *ids.Revision `json:"expected,omitempty"`
	// ChangeID identifies the change. Repeating a request with the same identifier has no further effect.
	ChangeID string `json:"change_id,omitempty"`
}

// ChangeResult is the response to a successful change.
type ChangeResult struct {
	// Entry is the key of the changed configuration entry.
	Entry string `json:"entry"`
	// Revision is the revision at which the change is stored.
	Revision ids.Revision `json:"revision"`
	// Replaced is the revision that the change replaced; 0 for none.
	Replaced ids.Revision `json:"replaced"`
	// ChangeID identifies the change.
	ChangeID string `json:"change_id"`
	// InForce states whether every listed VM holds the change. It is nil, unless the request has wait=true or the change
	// is stored but not yet acknowledged by a majority of the VMs.
	InForce *bool `json:"in_force,omitempty"`
	// Missing lists the VMs that are not known to hold the change.
	Missing []ids.VMID `json:"missing,omitempty"`
}

// KeyIssued is the response to a request for a new key. No other response contains the secret.
type KeyIssued struct {
	ChangeResult
	// ID identifies the key within the organisation.
	ID ids.KeyID `json:"id"`
	// User is the user name for connections with the key.
	User string `json:"user"`
	// Secret is the key itself. It is not stored and cannot be retrieved later.
	Secret string `json:"key"`
}

// KeyView is a key without its verifier.
type KeyView struct {
	// ID identifies the key within the organisation.
	ID ids.KeyID `json:"id"`
	// Given is the time at which the key was issued.
	Given time.Time `json:"given"`
	// Withdrawn is the time of withdrawal; nil while the key is valid.
	Withdrawn *time.Time `json:"withdrawn,omitempty"`
}

// ContractView is a contract without verifiers.
type ContractView struct {
	// Organisation identifies the organisation of the contract.
	Organisation ids.OrganisationID `json:"organisation"`
	// Revision is the revision of the stored version.
	Revision ids.Revision `json:"revision"`
	// ChangeID identifies the change that stored this version.
	ChangeID string `json:"change_id"`
	// Withdrawn states that the contract is withdrawn.
	Withdrawn bool `json:"withdrawn"`
	// Rate is the limit in statements per second over the whole fleet.
	Rate float64 `json:"rate"`
	// Burst is the number of statements admitted at once over the whole fleet.
	Burst float64 `json:"burst"`
	// Routes holds the names of the routes.
	Routes []ids.RouteName `json:"routes"`
	// Keys holds the keys, including withdrawn ones.
	Keys []KeyView `json:"keys"`
	// Text is the contract in TOML without its keys. Lists omit it.
	Text string `json:"text,omitempty"`
}

// GroupView is a group's record and the state of the group, as far as the VM knows it.
type GroupView struct {
	config.GroupRecord
	// Revision is the revision of the record.
	Revision ids.Revision `json:"revision"`
	// Term is the highest known term; 0 if the state is unknown.
	Term ids.Term `json:"term"`
	// Primary is the primary of the term; empty if there is none.
	Primary ids.BackendServerID `json:"primary"`
	// Reachable is the number of reachable servers.
	Reachable int `json:"reachable"`
}

// MemberView is a live VM.
type MemberView struct {
	// ID identifies the VM.
	ID ids.VMID `json:"id"`
	// Address is the VM's peer address.
	Address string `json:"address"`
	// AvailabilityZone is the availability zone of the VM.
	AvailabilityZone ids.AvailabilityZone `json:"availability_zone"`
	// Leaving states that the VM is being removed and gets no new work.
	Leaving bool `json:"leaving"`
}

// Status is the state of the fleet as seen by one VM.
type Status struct {
	// VM is the VM that handles the request.
	VM ids.VMID `json:"vm"`
	// AvailabilityZone is its availability zone.
	AvailabilityZone ids.AvailabilityZone `json:"availability_zone"`
	// Admitting states that the VM's configuration is confirmed and the VM admits requests.
	Admitting bool `json:"admitting"`
	// Ready states that the VM accepts new connections.
	Ready bool `json:"ready"`
	// NotReady is the reason why the VM does not accept new connections; empty if Ready.
	NotReady string `json:"not_ready,omitempty"`
	// Revision is the revision up to which the VM holds every configuration entry.
	Revision ids.Revision `json:"revision"`
	// Members holds the live VMs.
	Members []MemberView `json:"members"`
	// Behind lists the VMs that are not known to have reached Revision.
	Behind []ids.VMID `json:"behind,omitempty"`
	// Groups holds the groups in the configuration.
	Groups []GroupView `json:"groups"`
}

// List is the response to requests for lists.
type List[T any] struct {
	// Items holds the elements, sorted by key.
	Items []T `json:"items"`
}

// Version is the stored or the refused version in a conflict.
type Version struct {
	// Revision is the revision of the stored version. For the refused version it is the expected revision.
	Revision ids.Revision `json:"revision"`
	// ChangeID identifies the change that stored, or should have stored, the version.
	ChangeID string `json:"change_id,omitempty"`
	// Withdrawn states that the version withdraws the contract.
	Withdrawn bool `json:"withdrawn,omitempty"`
	// Text is the contract in TOML without its keys, or the group record in JSON. It is empty if there is no version.
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

// Problem is the body of every error response.
type Problem struct {
	// Code classifies the problem.
	Code Code `json:"code"`
	// Message describes the problem.
	Message string `json:"message"`
	// Next tells the operator what to do next.
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
