package monitor

import (
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"dotterelgw/core/catalog"
	"dotterelgw/core/ids"
	"dotterelgw/core/member"
	"dotterelgw/core/statement"
	"dotterelgw/core/zonebalance"
	"dotterelgw/io/dbpool"
	"dotterelgw/io/observe"
)

// fakeHomes relies on all VMs but the avoided ones; the unreachable ones can't be opened.
type fakeHomes struct {
	avoided, unreachable []ids.VMID
	opened               []ids.VMID
}

func (homes *fakeHomes) Choose(ranked []ids.VMID, _ ids.BackendServerID) (ids.VMID, bool) {
	for _, vm := range ranked {
		if !slices.Contains(homes.avoided, vm) {
			return vm, true
		}
	}
	return "", false
}

func (homes *fakeHomes) Open(_ context.Context, home ids.VMID, _ catalog.Server, _ dbpool.Request, _ time.Time) (dbpool.Link, error) {
	if slices.Contains(homes.unreachable, home) {
		return nil, errors.New("unreachable")
	}
	homes.opened = append(homes.opened, home)
	return &statusLink{}, nil
}

// Load: 9 VMs before a server of which they may use 4 connections. Guards against a home that hands its own statements over or may not
// hold the connections, a VM that ignores the second home, and one that can't serve without homes.
func TestAcquireThroughHomes(t *testing.T) {
	info := catalog.Server{ID: "i-1", Group: testGroup, Zone: "z", Slots: 4}
	var vms []member.Member
	for index := range 9 {
		vms = append(vms, member.Member{ID: ids.VMID(fmt.Sprint("vm", index)), Zone: "z", ProcessorShare: 1, ServesAsHome: true})
	}
	homesOf := func(self ids.VMID, homes *fakeHomes) *Server {
		monitor := New(t.Context(), &backend{}, "z", observe.NewEventLog(io.Discard, string(self)))
		monitor.SetHomes(homes, nil)
		monitor.sharing.Self = self
		monitor.SetCatalog(&catalog.Catalog{Groups: map[ids.GroupID]*catalog.Group{testGroup: {ID: testGroup, Connections: 8}}})
		monitor.SetVMs(vms)
		monitor.SetServers(0, []catalog.Server{info})
		return monitor.Server(info.ID)
	}
	ranked := homesOf("none", &fakeHomes{}).rankedHomes()
	first, second := ranked[0], ranked[1]
	other := vms[slices.IndexFunc(vms, func(vm member.Member) bool { return !slices.Contains(ranked, vm.ID) })].ID
	for name, test := range map[string]struct {
		self   ids.VMID
		homes  fakeHomes
		want   []ids.VMID
		limits int
	}{
		"another VM":              {other, fakeHomes{}, []ids.VMID{first}, 1},
		"the home":                {first, fakeHomes{}, nil, 4},
		"the second home":         {second, fakeHomes{}, []ids.VMID{first}, 4},
		"the first home avoided":  {other, fakeHomes{avoided: []ids.VMID{first}}, []ids.VMID{second}, 1},
		"the first home not open": {other, fakeHomes{unreachable: []ids.VMID{first}}, []ids.VMID{second}, 1},
		"no home can be used":     {other, fakeHomes{avoided: []ids.VMID{first}, unreachable: []ids.VMID{second}}, nil, 1},
		"second home, first lost": {second, fakeHomes{avoided: []ids.VMID{first}}, nil, 4},
	} {
		server := homesOf(test.self, &test.homes)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		conn, err := server.Acquire(ctx, dbpool.Request{Organisation: "org1"}, time.Now().Add(time.Second))
		cancel()
		if err != nil || !slices.Equal(test.homes.opened, test.want) {
			t.Errorf("%s: opened %v, %v, want %v", name, test.homes.opened, err, test.want)
			continue
		}
		conn.Release(statement.Idle)
		if server.allotment.own != test.limits {
			t.Errorf("%s: may hold %d connections, want %d", name, server.allotment.own, test.limits)
		}
	}
}

// Guards against reads of a zone that all leave it because of a single read, which was sent to the zone's server before or must not run on
// the primary.
func TestZoneBalanceIgnoresConditionsOfOneRead(t *testing.T) {
	near, far := catalog.Server{ID: "i-1", Group: testGroup, Zone: "z", Slots: 4}, catalog.Server{ID: "i-2", Group: testGroup, Zone: "y", Slots: 4}
	var vms []member.Member
	for index := range 9 {
		vms = append(vms, member.Member{ID: ids.VMID(fmt.Sprint("vm", index)), Zone: "z", ProcessorShare: 1, ServesAsHome: true})
	}
	monitor := New(t.Context(), &backend{}, "z", observe.NewEventLog(io.Discard, "vm0"))
	monitor.SetHomes(&fakeHomes{}, nil)
	monitor.BalanceZones(zonebalance.Policy{}, metrics.NewRegistry())
	monitor.SetCatalog(&catalog.Catalog{Groups: map[ids.GroupID]*catalog.Group{testGroup: {ID: testGroup, Connections: 8}}})
	monitor.SetVMs(vms)
	monitor.SetServers(0, []catalog.Server{near, far})
	group := monitor.Group(testGroup)
	retried, _ := group.ChooseRead(ReadRequest{Excluded: map[ids.BackendServerID]bool{near.ID: true}})
	if retried == nil || retried.ID() != far.ID {
		t.Fatalf("the read that excludes %s goes to %v", near.ID, retried)
	}
	if server, _ := group.ChooseRead(ReadRequest{}); server == nil || server.ID() != near.ID {
		t.Errorf("the next read of the zone goes to %v, want %s", server.ID(), near.ID)
	}
}
