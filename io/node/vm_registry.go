package node

import (
	"context"

	"dotterelgw/core/ids"
	"dotterelgw/io/fleet"
)

// vmRegistry implements promoter.Registry.
type vmRegistry struct {
	fleet *fleet.Fleet
	// store answers by calls of its own, so that a listing is no older than the call.
	store fleet.Store
}

// IsRegistered implements promoter.Registry.IsRegistered.
func (vmRegistry vmRegistry) IsRegistered() bool { return vmRegistry.fleet.IsRegistered() }

// List implements promoter.Registry.List.
func (vmRegistry vmRegistry) List(ctx context.Context) ([]ids.VMID, error) {
	vms, err := fleet.List(ctx, vmRegistry.store)
	listed := make([]ids.VMID, 0, len(vms))
	for _, vm := range vms {
		listed = append(listed, vm.ID)
	}
	return listed, err
}
