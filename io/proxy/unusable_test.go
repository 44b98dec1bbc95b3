package proxy

import (
	"context"
	"strings"
	"sync/atomic"
	"testing"

	"dotterelgw/core/catalog"
	"dotterelgw/core/ids"
	"dotterelgw/core/leader"
	"dotterelgw/core/refusal"
	"dotterelgw/core/statement"
	"dotterelgw/io/dbpool"
	"dotterelgw/io/monitor"
)

// replicaID identifies the replica of a closingGroup.
const replicaID ids.BackendServerID = "replica"

// closingGroup is a ledger with a replica. One of its servers closes each new connection once closing is set.
type closingGroup struct {
	ledger
	closes  ids.BackendServerID
	closing atomic.Bool
}

// Dial implements dbpool.Dialer.Dial.
func (group *closingGroup) Dial(ctx context.Context, server catalog.Server, organisation ids.OrganisationID) (dbpool.Link, error) {
	link, err := group.ledger.Dial(ctx, server, organisation)
	if err != nil {
		return nil, err
	}
	return &closingLink{
		ledgerLink: link.(*ledgerLink), replica: server.ID == replicaID, closed: server.ID == group.closes && group.closing.Load(),
	}, nil
}

// closingLink is a connection to a server of a closingGroup.
type closingLink struct {
	*ledgerLink
	replica, closed bool
}

// Usable implements dbpool.Link.Usable.
func (link *closingLink) Usable() bool { return !link.closed }

// Status implements dbpool.Link.Status.
func (link *closingLink) Status(reply statement.Reply) (leader.Status, error) {
	status, err := link.ledgerLink.Status(reply)
	if link.replica {
		status.Role = catalog.RoleReplica
	}
	return status, err
}

// newClosingGroup returns a server before a closingGroup whose server now closes each new connection.
func newClosingGroup(t *testing.T, closes ids.BackendServerID) *Server {
	t.Helper()
	group := &closingGroup{closes: closes}
	groups := monitor.New(t.Context(), group, "z", newEventLog(t))
	replica := ledgerInfo
	replica.ID, replica.Role = replicaID, catalog.RoleReplica
	groups.SetServers(0, []catalog.Server{ledgerInfo, replica})
	for _, id := range []ids.BackendServerID{ledgerInfo.ID, replicaID} {
		groups.Server(id).Pool.SetLimit(2)
	}
	server := newServerBefore(t, groups)
	group.closing.Store(true)
	return server
}

// Guards against reads that are refused although another server would run them, because all their attempts go to a server that closes each
// connection before anything is sent.
func TestReadLeavesServerThatClosesEachConnection(t *testing.T) {
	server := newClosingGroup(t, replicaID)
	for index := range 20 {
		reply := do(newLedgerSession(server), statement.RequestID(rune('a'+index)), statement.Statement{Kind: statement.Read, Text: "READ x"})
		if reply.Code != statement.Complete {
			t.Fatalf("read %d: %s %s", index, reply.Code, reply.Message)
		}
	}
}

// Guards against a refusal that names a lack of connections when the server closed each of them.
func TestRefusalNamesServerThatClosesEachConnection(t *testing.T) {
	server := newClosingGroup(t, ledgerInfo.ID)
	reply := do(newLedgerSession(server), "w", statement.Statement{Kind: statement.Write, Text: "WRITE x 1"})
	if reply.Code != statement.Aborted || !strings.Contains(reply.Message, string(refusal.BackendLost)) {
		t.Errorf("answered with %s %s", reply.Code, reply.Message)
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
	return &closingLink{ledgerLink: link.(*ledgerLink), closed: true}, nil
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
