package fleet

import (
	"encoding/json"
	"io"
	"testing"
	"time"

	"dotterelgw/core/config"
	"dotterelgw/core/ids"
	"dotterelgw/io/clock"
	"dotterelgw/io/observe"
	"dotterelgw/io/platform"
)

// registration returns the stored registration of a VM.
func registration(t *testing.T, id ids.VMID) config.Entry {
	t.Helper()
	value, err := json.Marshal(VM{ID: id, Peer: "10.0.0.1:1", Zone: "z1"})
	if err != nil {
		t.Fatal(err)
	}
	return config.Entry{Key: Prefix + string(id), Value: value}
}

// Guards against rates and connections divided over too few VMs, because a VM that lost its registration for a moment is removed
// at once, and over too many, because a stopped VM is never removed.
func TestMissingVMs(t *testing.T) {
	eventLog := observe.NewEventLog(io.Discard, "vm1")
	defer eventLog.Close(time.Second)
	fleet := New(VM{ID: "vm1"}, nil, eventLog)
	if fleet.Listed() || len(fleet.VMs()) != 1 {
		t.Errorf("before the first listing: listed %t, %d VMs", fleet.Listed(), len(fleet.VMs()))
	}
	fleet.apply(platform.WatchEvent{Listing: true, Entries: []config.Entry{
		registration(t, "vm1"), registration(t, "vm2"), registration(t, "vm3"),
		{Key: Prefix + "odd", Value: []byte("{")},
		{Key: Prefix + "vm9", Value: registration(t, "vm2").Value},
	}})
	fleet.apply(platform.WatchEvent{Entries: []config.Entry{{Key: Prefix + "vm1"}, {Key: Prefix + "vm2"}, {Key: Prefix + "vm3"}}})
	fleet.apply(platform.WatchEvent{Entries: []config.Entry{registration(t, "vm3")}})
	fleet.removeMissing(clock.Now() + time.Second)
	if got := len(fleet.VMs()); got != 3 {
		t.Errorf("a second later: %d VMs, want 3", got)
	}
	fleet.removeMissing(clock.Now() + removalDelay)
	vms := fleet.VMs()
	if len(vms) != 2 || vms[0].ID != "vm1" || vms[1].ID != "vm3" {
		t.Errorf("VMs %v, want vm1 and vm3", vms)
	}
}
