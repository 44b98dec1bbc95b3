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

// closingLedger is a ledger that closes the first connection of the organisation.
type closingLedger struct {
	ledger
	closed atomic.Bool
}

// Dial implements dbpool.Dialer.Dial.
func (closing *closingLedger) Dial(ctx context.Context, server catalog.Server, organisation ids.OrganisationID) (dbpool.Link, error) {
	link, err := closing.ledger.Dial(ctx, server, organisation)
	if err != nil || organisation != "org" || closing.closed.Swap(true) {
		return link, err
	}
	return &replicaLink{ledgerLink: link.(*ledgerLink), closed: true}, nil
}

// Guards against statements and transactions that are refused because the home found its connection closed before it sent them, although
// the server accepts others.
func TestHomeFindsItsConnectionClosed(t *testing.T) {
	for name, statements := range map[string][]statement.Kind{"write": {statement.Write}, "read": {statement.Read}, "transaction": {statement.Begin, statement.Read}} {
		t.Run(name, func(t *testing.T) {
			closing := &closingLedger{}
			atHome := monitor.New(t.Context(), closing, "z", newEventLog(t))
			atHome.SetServers(0, []catalog.Server{ledgerInfo})
			atHome.Server(ledgerInfo.ID).Pool.SetLimit(2)
			session := newLedgerSession(newServerBehind(t, atHome, &closing.ledger))
			for index, kind := range statements {
				reply := do(session, statement.RequestID(rune('a'+index)), statement.Statement{Kind: kind, Text: "X"})
				if reply.Code != statement.Complete {
					t.Errorf("%s: %s %s", kind, reply.Code, reply.Message)
				}
			}
			if !closing.closed.Load() {
				t.Error("no connection was closed")
			}
		})
	}
}
