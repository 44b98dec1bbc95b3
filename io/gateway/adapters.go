package gateway

import (
	"context"

	"github.com/juju/errors"

	"dotterelgw/core/ids"
	"dotterelgw/core/member"
	"dotterelgw/core/refusal"
	"dotterelgw/io/admin"
	"dotterelgw/io/peer"
	"dotterelgw/io/peer/peerpb"
	"dotterelgw/io/session"
)

// members lists the live VMs; control.Controller implements it.
type members interface {
	Members() []member.Member
}

// fleet implements limiter.Fleet.
type fleet struct {
	members members
	dialer  peer.Dialer
}

// LiveVMs implements limiter.Fleet.LiveVMs. It omits VMs that are leaving.
func (fleet fleet) LiveVMs() []ids.VMID {
	var live []ids.VMID
	for _, member := range fleet.members.Members() {
		if !member.Leaving {
			live = append(live, member.ID)
		}
	}
	return live
}

// Peer implements limiter.Fleet.Peer.
func (fleet fleet) Peer(vm ids.VMID) (peerpb.PeerClient, error) {
	for _, member := range fleet.members.Members() {
		if member.ID == vm {
			return fleet.dialer.Peer(member.Address)
		}
	}
	return nil, errors.NotFoundf("live VM %s", vm)
}

// recorder implements the Recorder interfaces of the frontend and the sessions.
type recorder struct {
	admin admin.Recorder
}

// Record implements session.Recorder.Record.
func (recorder recorder) Record(refused *refusal.Refusal, caller session.Caller) *refusal.Refusal {
	return recorder.admin.Record(refused, admin.Caller{
		Organisation: caller.Organisation, Key: caller.Key, Route: caller.Route, ContractRevision: caller.ContractRevision,
	})
}

// forwarder implements frontend.Forwarder. It forwards cancel requests to the VMs whose process IDs have the same prefix.
type forwarder struct {
	members members
	dialer  peer.Dialer
}

// Cancel implements frontend.Forwarder.Cancel.
func (forwarder forwarder) Cancel(ctx context.Context, processID uint32, secret []byte) {
	request := &peerpb.CancelRequest{ProcessId: processID, SecretKey: secret}
	for _, member := range forwarder.members.Members() {
		if session.PrefixForVM(member.ID) != session.PrefixOfProcessID(processID) {
			continue
		}
		if client, err := forwarder.dialer.Peer(member.Address); err == nil {
			_, _ = client.Cancel(ctx, request) // the protocol has no response to a cancel request
		}
	}
}
