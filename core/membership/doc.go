// Package membership decides which servers a group has and whose log must be known before one of them is promoted. The record of the
// members outlasts their registrations and the processes of the VMs.
package membership
