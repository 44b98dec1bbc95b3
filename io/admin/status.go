package admin

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"dotterelgw/core/ids"
	"dotterelgw/io/peer/peerpb"
)

// peerTimeout bounds a request to other VMs.
const peerTimeout = 2 * time.Second

// status returns the state of the fleet as seen by this VM.
func (server *Server) status(call call) (any, error) {
	status := Status{
		VM: server.VM, AvailabilityZone: server.Zone, Admitting: server.Control.Admitting(),
		Revision: server.Control.Revision(), Members: []MemberView{}, Ready: true,
	}
	if err := server.Ready(); err != nil {
		status.Ready, status.NotReady = false, err.Error()
	}
	for _, member := range server.Control.Members() {
		status.Members = append(status.Members, MemberView{
			ID: member.ID, Address: member.Address, AvailabilityZone: member.Zone, Leaving: member.Leaving,
		})
	}
	ctx, cancel := context.WithTimeout(call.Context(), peerTimeout)
	defer cancel()
	// The error is ignored, since the rest of the status is useful without a complete list.
	status.Behind, _ = server.Control.UnconfirmedVMs(ctx, status.Revision)
	var err error
	status.Groups, err = server.groups()
	return status, err
}

// explainRefusal returns the record of a refusal. It fetches it from the VM whose identifier the refusal's begins with.
func (server *Server) explainRefusal(call call) (any, error) {
	id := ids.RequestID(call.PathValue("id"))
	vm, _, ok := splitID(id)
	if !ok {
		return nil, invalid(fmt.Sprintf("%q is not the identifier of a refusal", id),
			"copy the identifier from the detail of the error that the caller got, such as vm1-1a2b")
	}
	unknown := notFound(fmt.Sprintf("VM %s has no record of refusal %s", vm, id),
		"records are kept for 10 minutes and up to 10,000 per VM, and end with the process; see the counters under /metrics")
	if vm == server.VM {
		record, ok := server.Recorder.Find(id)
		if !ok {
			return nil, unknown
		}
		return record, nil
	}
	address := ""
	for _, member := range server.Control.Members() {
		if member.ID == vm {
			address = member.Address
		}
	}
	if address == "" {
		return nil, notFound(fmt.Sprintf("VM %s, which refused, is not live", vm), "its records ended with it; see `dotterelctl status` for the live VMs")
	}
	record, found, err := server.fetchRecord(call.Context(), address, id)
	if err != nil {
		return nil, &Problem{
			Code: CodeUnavailable, Message: fmt.Sprintf("VM %s does not answer: %v", vm, err),
			Next: "try again, or ask the administration API of " + string(vm),
		}
	}
	if !found {
		return nil, unknown
	}
	return record, nil
}

// fetchRecord requests the record of a refusal from the VM at the peer address.
func (server *Server) fetchRecord(ctx context.Context, address string, id ids.RequestID) (Record, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	peer, err := server.Peers.Peer(address)
	if err != nil {
		return Record{}, false, fmt.Errorf("connect to %s: %w", address, err)
	}
	reply, err := peer.Refusals(ctx, &peerpb.RefusalRequest{Id: string(id)})
	if err != nil {
		return Record{}, false, fmt.Errorf("ask %s: %w", address, err)
	}
	if !reply.GetFound() {
		return Record{}, false, nil
	}
	var record Record
	if err := json.Unmarshal(reply.GetRecord(), &record); err != nil {
		return Record{}, false, fmt.Errorf("decode record from %s: %w", address, err)
	}
	return record, true, nil
}

// drain begins a planned stop of this VM.
func (server *Server) drain(call call) (any, error) {
	vm := ids.VMID(call.PathValue("vm"))
	if vm != server.VM {
		return nil, &Problem{
			Code: CodeOtherVM, Message: fmt.Sprintf("this is VM %s, not %s", server.VM, vm),
			Next: "send the request to the administration API of " + string(vm),
		}
	}
	_ = server.Logger.Log("level", "info", "msg", "drain requested", "operator", call.operator.Name)
	server.Drain()
	return map[string]any{"vm": server.VM, "draining": true}, nil
}
