package ids

import "fmt"

// OrganisationID names an organisation; it is 1 to 63 characters of [a-z0-9_-].
type OrganisationID string

// KeyID names one access key of an organisation; it is 1 to 63 characters of [a-z0-9_-].
type KeyID string

// RouteName names a route of an organisation's contract; callers give it as the database name.
type RouteName string

// GroupID names a database group.
type GroupID string

// BackendServerID names one backend server of a group.
type BackendServerID string

// VMID names a VM that runs a proxy.
type VMID string

// AvailabilityZone names the availability zone of a VM or a backend server.
type AvailabilityZone string

// DatabaseName names a database on a backend server.
type DatabaseName string

// Term numbers the primaries of a group; each promotion takes a higher term.
type Term uint64

// LogPosition is a position in the log of a group. Positions are comparable only within one term history.
type LogPosition uint64

// RequestID identifies one request or refusal. It starts with the VM's identifier.
type RequestID string

// NewRequestID returns "VM-SEQUENCE", with the VM's sequence number in hexadecimal.
func NewRequestID(vm VMID, sequence uint64) RequestID {
	return RequestID(fmt.Sprintf("%s-%x", vm, sequence))
}
