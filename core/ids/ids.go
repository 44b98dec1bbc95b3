package ids

import "fmt"

// OrganisationID names an organisation; it is 1 to 63 characters of [a-z0-9_-].
type OrganisationID string

// KeyID names one key of an organisation; it is 1 to 63 characters of [a-z0-9_-].
type KeyID string

// RouteName names a route of an organisation's contract.
type RouteName string

// GroupID names a database group.
type GroupID string

// BackendServerID names one database of a group.
type BackendServerID string

// VMID names a VM that runs a proxy.
type VMID string

// AvailabilityZone names the availability zone of a VM or a backend server.
type AvailabilityZone string

// DatabaseName names a database within a backend server.
type DatabaseName string

// Term counts the primaries of a group; each promotion takes a higher term.
type Term uint64

// LogPosition is a position in the log of a group, comparable within one history.
type LogPosition uint64

// Revision is the mod_revision of a configuration entry, as counted by the key-value service.
type Revision int64

// RequestID identifies one request or refusal; the VM's identifier comes first.
type RequestID string

// NewRequestID returns the identifier of the request with this sequence number on the VM.
func NewRequestID(vm VMID, sequence uint64) RequestID {
	return RequestID(fmt.Sprintf("%s-%x", vm, sequence))
}
