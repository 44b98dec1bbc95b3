package failover_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"google.golang.org/grpc"

	"dotterelgw/core/config"
	"dotterelgw/core/ids"
	"dotterelgw/core/member"
	"dotterelgw/core/position"
	"dotterelgw/core/route"
	"dotterelgw/io/failover"
	"dotterelgw/io/group"
	"dotterelgw/io/peer/peerpb"
	"dotterelgw/standin/database"
)

const groupID = ids.GroupID("g1")

// store is an in-memory key-value service that loses the answers to the writes for which lose returns true.
type store struct {
	mutex    sync.Mutex
	entry    config.Entry
	writes   int
	lose     func(write int) bool
	onChange func(config.TermRecord, ids.Revision)
}

func (store *store) Get(context.Context, string) (config.Entry, bool, error) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	return store.entry, store.entry.Revision > 0, nil
}

func (store *store) CompareAndSwap(_ context.Context, key string, expected ids.Revision, value []byte) (ids.Revision, bool, error) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	if store.entry.Revision != expected {
		return store.entry.Revision, false, nil
	}
	store.writes++
	store.entry = config.Entry{Key: key, Value: value, Revision: expected + 1}
	record, err := config.Decode[config.TermRecord](store.entry)
	if err != nil {
		return 0, false, err
	}
	go store.onChange(record, store.entry.Revision)
	if store.lose != nil && store.lose(store.writes) {
		return 0, false, errors.New("answer lost")
	}
	return store.entry.Revision, true, nil
}

// peers connects the executors of the test's VMs without a network.
type peers map[string]*failover.Executor

type client struct {
	peerpb.PeerClient
	executor *failover.Executor
}

func (client client) Evidence(ctx context.Context, request *peerpb.EvidenceRequest, _ ...grpc.CallOption) (*peerpb.EvidenceReply, error) {
	return client.executor.Evidence(ctx, request)
}

func (peers peers) Peer(address string) (peerpb.PeerClient, error) {
	return client{executor: peers[address]}, nil
}

// fleet holds three VMs and a group of three stand-in servers, of which a is the primary.
type fleet struct {
	servers map[ids.BackendServerID]*database.Server
	record  config.GroupRecord
	groups  []*group.Groups
	store   *store
}

func start(t *testing.T, lose func(int) bool) *fleet {
	t.Helper()
	fleet := &fleet{servers: map[ids.BackendServerID]*database.Server{}, record: config.GroupRecord{Group: groupID}}
	primary := ""
	for _, id := range []ids.BackendServerID{"a", "b", "c"} {
		settings := database.Settings{ID: id, Role: database.Replica, Primary: primary}
		if primary == "" {
			settings.Role = database.Primary
		}
		server, err := database.New(settings)
		if err != nil {
			t.Fatal(err)
		}
		if primary == "" {
			primary = server.Address()
		}
		done := make(chan error, 1)
		go func() { done <- server.Run(context.Background()) }()
		t.Cleanup(func() {
			server.Close()
			<-done
		})
		fleet.servers[id] = server
		fleet.record.Servers = append(fleet.record.Servers, config.ServerRecord{ID: id, Address: server.Address()})
	}
	all := peers{}
	var members []member.Member
	for _, id := range []ids.VMID{"vm1", "vm2", "vm3"} {
		members = append(members, member.Member{ID: id, Address: string(id)})
	}
	fleet.store = &store{lose: lose, onChange: func(record config.TermRecord, revision ids.Revision) {
		for index, one := range members {
			fleet.groups[index].ApplyTerm(groupID, record)
			all[one.Address].ApplyTerm(groupID, record, revision)
		}
	}}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	t.Cleanup(func() {
		cancel()
		running.Wait()
		for _, groups := range fleet.groups {
			groups.Close()
		}
	})
	for _, one := range members {
		groups := group.New(group.WithLogin(group.Login{VM: one.ID}))
		groups.Apply(fleet.record)
		fleet.groups = append(fleet.groups, groups)
		all[one.Address] = failover.New(one.ID, fleet.store, groups, all, member.Top, func() []member.Member { return members })
		all[one.Address].Apply(fleet.record)
	}
	for _, one := range members {
		running.Go(func() { _ = all[one.Address].Run(ctx) })
	}
	return fleet
}

func (fleet *fleet) term(t *testing.T) config.TermRecord {
	t.Helper()
	entry, found, _ := fleet.store.Get(context.Background(), "")
	if !found {
		return config.TermRecord{}
	}
	record, err := config.Decode[config.TermRecord](entry)
	if err != nil {
		t.Fatal(err)
	}
	return record
}

// write inserts a row at the server's address and returns its position.
func write(ctx context.Context, address, vm string) (position.Position, error) {
	conn, err := pgconn.Connect(ctx, fmt.Sprintf("postgres://app@%s/shop?sslmode=disable&application_name=%s", address, vm))
	if err != nil {
		return position.Position{}, err
	}
	defer func() { _ = conn.Close(context.Background()) }()
	// The position is read in a separate query, because the statements of one query commit together at its end.
	if _, err := conn.Exec(ctx, "CREATE TABLE IF NOT EXISTS bids (id INTEGER PRIMARY KEY, vm TEXT); INSERT INTO bids (vm) VALUES ('"+vm+"')").ReadAll(); err != nil {
		return position.Position{}, err
	}
	results, err := conn.Exec(ctx, "SELECT * FROM group_position()").ReadAll()
	if err != nil {
		return position.Position{}, err
	}
	row := results[len(results)-1].Rows[0]
	term, _ := strconv.ParseUint(string(row[0]), 10, 64)
	log, _ := strconv.ParseUint(string(row[1]), 10, 64)
	return position.Position{Term: ids.Term(term), Log: ids.LogPosition(log)}, nil
}

// writeConfirmed writes through a VM until a write is confirmed, and returns its position.
func (fleet *fleet) writeConfirmed(t *testing.T, groups *group.Groups, limit time.Duration) position.Position {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	for ctx.Err() == nil {
		view := groups.View(groupID)
		if server, ok := route.Choose(view, route.Request{}); ok {
			attempt, stop := context.WithTimeout(ctx, 300*time.Millisecond)
			wrote, err := write(attempt, view.Servers[server].Address, "vm1")
			stop()
			if err == nil && groups.Confirm(ctx, groupID, view.Servers[server].ID, wrote) == nil {
				return wrote
			}
			if err != nil {
				groups.ReportError(groupID, view.Servers[server].ID, err)
			}
		}
		time.Sleep(2 * time.Millisecond)
	}
	t.Fatalf("no confirmed write within %v; term record %+v", limit, fleet.term(t))
	return position.Position{}
}

// within fails the test unless the condition holds within the limit.
func within(t *testing.T, limit time.Duration, what string, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(limit); !holds(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("not within %v: %s", limit, what)
		}
	}
}

// hasRecord reports whether the server's log has the record at the position.
func hasRecord(server *database.Server, want position.Position) bool {
	records := server.Records()
	return int(want.Log) <= len(records) && records[want.Log-1].Term == want.Term
}

// isolatedVM returns the groups of a VM that can reach only the given address.
func (fleet *fleet) isolatedVM(t *testing.T, address string) *group.Groups {
	t.Helper()
	groups := group.New(group.WithLogin(group.Login{VM: "vm4"}), group.WithTimeouts(500*time.Millisecond, 500*time.Millisecond),
		group.WithDial(func(ctx context.Context, to string) (net.Conn, error) {
			if to != address {
				return nil, errors.New("no route")
			}
			return new(net.Dialer).DialContext(ctx, "tcp", to)
		}))
	t.Cleanup(groups.Close)
	groups.Apply(fleet.record)
	groups.ApplyTerm(groupID, fleet.term(t))
	return groups
}

// isolateServer partitions a server from the watchers and from replication.
func isolateServer(state *database.Switches) {
	state.Partitioned = []string{"vm1", "vm2", "vm3", "replication"}
}

func equalLogs(left, right *database.Server) bool {
	return slices.EqualFunc(left.Records(), right.Records(), func(one, other database.Record) bool {
		return one.Term == other.Term && one.Position == other.Position
	})
}
