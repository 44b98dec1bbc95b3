package proxy

import (
	"context"
	"sync/atomic"
	"testing"

	"dotterelgw/core/catalog"
	"dotterelgw/core/ids"
	"dotterelgw/core/leader"
	"dotterelgw/core/statement"
	"dotterelgw/io/dbpool"
	"dotterelgw/io/monitor"
)

// replicaID identifies the replica of a closingGroup.
const replicaID ids.BackendServerID = "replica"

// closingGroup is a ledger with a replica that closes each new connection once closing is set.
type closingGroup struct {
	ledger
	closing atomic.Bool
}

// Dial implements dbpool.Dialer.Dial.
func (group *closingGroup) Dial(ctx context.Context, server catalog.Server, organisation ids.OrganisationID) (dbpool.Link, error) {
	link, err := group.ledger.Dial(ctx, server, organisation)
	if err != nil || server.ID != replicaID {
		return link, err
	}
	return &replicaLink{ledgerLink: link.(*ledgerLink), closed: group.closing.Load()}, nil
}

// replicaLink is a connection to a replica.
type replicaLink struct {
	*ledgerLink
	closed bool
}

// Usable implements dbpool.Link.Usable.
func (link *replicaLink) Usable() bool { return !link.closed }

// Status implements dbpool.Link.Status.
func (link *replicaLink) Status(reply statement.Reply) (leader.Status, error) {
	status, err := link.ledgerLink.Status(reply)
	status.Role = catalog.RoleReplica
	return status, err
}

// Guards against reads that are refused although another server would run them, because all their attempts go to a server that closes each
// connection before anything is sent.
func TestReadLeavesServerThatClosesEachConnection(t *testing.T) {
	group := &closingGroup{}
	groups := monitor.New(t.Context(), group, "z", newEventLog(t))
	replica := ledgerInfo
	replica.ID, replica.Role = replicaID, catalog.RoleReplica
	groups.SetServers(0, []catalog.Server{ledgerInfo, replica})
	for _, id := range []ids.BackendServerID{ledgerInfo.ID, replicaID} {
		groups.Server(id).Pool.SetLimit(2)
	}
	server := newServerBefore(t, groups)
	group.closing.Store(true)
	for index := range 20 {
		reply := do(newLedgerSession(server), statement.RequestID(rune('a'+index)), statement.Statement{Kind: statement.Read, Text: "READ x"})
		if reply.Code != statement.Complete {
			t.Fatalf("read %d: %s %s", index, reply.Code, reply.Message)
		}
	}
}
