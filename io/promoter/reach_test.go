package promoter

import (
	"context"
	"errors"
	"io"
	"syscall"
	"testing"
	"time"

	"dotterelgw/core/catalog"
	"dotterelgw/core/config"
	"dotterelgw/core/ids"
	"dotterelgw/core/leader"
	"dotterelgw/core/membership"
	"dotterelgw/core/statement"
	"dotterelgw/io/clock"
	"dotterelgw/io/dbpool"
	"dotterelgw/io/fleet"
	"dotterelgw/io/mesh"
	"dotterelgw/io/monitor"
	"dotterelgw/io/observe"
)

// path is the way from a VM to a backend server, which is cut off unless it is open. A cut may refuse connections.
type path struct{ open, refuses bool }

var errCutOff = errors.New("no answer")

// Dial implements dbpool.Dialer.Dial.
func (path path) Dial(context.Context, catalog.Server, ids.OrganisationID) (dbpool.Link, error) {
	switch {
	case path.refuses:
		return nil, syscall.ECONNREFUSED
	case !path.open:
		return nil, errCutOff
	}
	return statusLink{}, nil
}

// statusLink is a connection to a replica that answers each call.
type statusLink struct{}

func (statusLink) Send(time.Time, ...dbpool.Call) error { return nil }

func (statusLink) Receive(time.Time) (statement.Reply, error) {
	return statement.Reply{State: statement.Idle}, nil
}

func (statusLink) Status(statement.Reply) (leader.Status, error) {
	return leader.Status{Term: 1}, nil
}

func (statusLink) Usable() bool { return true }

func (statusLink) Close(bool) {}

// secretStore holds the secret of the VMs alone.
type secretStore struct{ mesh.Store }

// GetShared implements mesh.Store.GetShared.
func (secretStore) GetShared(context.Context, string) (config.Entry, bool, error) {
	return config.Entry{Value: []byte("secret")}, true, nil
}

// Era implements mesh.Store.Era.
func (secretStore) Era() ids.Era { return 0 }

// startReach starts what a VM needs to ask others, and to be asked.
func startReach(t *testing.T, vm ids.VMID, path path) (*unlistedMembers, *mesh.Mesh) {
	t.Helper()
	eventLog := observe.NewEventLog(io.Discard, string(vm))
	t.Cleanup(func() { eventLog.Close(time.Second) })
	network, err := mesh.New(vm, "127.0.0.1:0", eventLog)
	if err != nil {
		t.Fatal(err)
	}
	go network.Run(t.Context(), secretStore{})
	groups := monitor.New(t.Context(), path, "z", eventLog)
	return newUnlistedMembers(groups, newReach(network, groups), eventLog), network
}

// Guards against a member that is dropped because the holder of the duty alone can't reach it, and against one that is never dropped though
// nobody can.
func TestSilentMemberIsDroppedIfNoVMReachesIt(t *testing.T) {
	for name, test := range map[string]struct {
		own, other path
		want       process
	}{
		"another VM reaches it":                {path{}, path{open: true}, processSilent},
		"refused here, another VM reaches it":  {path{refuses: true}, path{open: true}, processRefused},
		"nobody reaches it":                    {path{}, path{}, processIsolated},
		"refused here, another VM is silenced": {path{refuses: true}, path{}, processIsolated},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			holder, network := startReach(t, "vm1", test.own)
			_, other := startReach(t, "vm2", test.other)
			vms := []fleet.VM{{ID: "vm1", Peer: network.Address()}, {ID: "vm2", Peer: other.Address()}}
			network.SetVMs(vms)
			other.SetVMs(vms)
			record := membership.Record{Members: []membership.Member{{ID: "s", StartedMS: 1, Address: "h:1"}}}
			members := holder.set(1, "g", record, nil)
			for end := clock.Now() + 4*time.Second; clock.Now() < end && !holder.servers(members)[0].Ended; clock.Sleep(t.Context(), 10*time.Millisecond) {
				holder.poll(t.Context(), members)
			}
			holder.mutex.Lock()
			defer holder.mutex.Unlock()
			if got := members[0].process; got != test.want {
				t.Errorf("the process counts as %s, want %s", got, test.want)
			}
		})
	}
}
