package member_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"dotterelgw/core/ids"
	"dotterelgw/core/member"
)

func members(count, zones int) []member.Member {
	list := make([]member.Member, count)
	for i := range list {
		list[i] = member.Member{ID: ids.VMID(fmt.Sprintf("vm-%03d", i)), Zone: ids.AvailabilityZone(fmt.Sprint(i % zones))}
	}
	return list
}

// TestTopMovesLittle guards against reassigning duties when an unrelated VM joins or leaves, and against a result that
// depends on the order of the list.
func TestTopMovesLittle(t *testing.T) {
	properties := gopter.NewProperties(nil)
	properties.Property("removing a member only moves its own place", prop.ForAll(func(key string, count, removed int) bool {
		all := members(count, 4)
		before := member.Top(key, 3, all)
		without := slices.Delete(slices.Clone(all), removed%count, removed%count+1)
		slices.Reverse(without)
		kept := slices.DeleteFunc(slices.Clone(before), func(m member.Member) bool { return m.ID == all[removed%count].ID })
		return slices.Equal(member.Top(key, 3, without)[:min(len(kept), 3)], kept)
	}, gen.AnyString(), gen.IntRange(2, 20), gen.IntRange(0, 100)))
	properties.TestingRun(t)
}

// TestTopIsEven guards against a hash that assigns most duties to one of several VMs with similar names.
func TestTopIsEven(t *testing.T) {
	all, counts := members(8, 4), map[ids.VMID]int{}
	for i := range 8000 {
		counts[member.Top(fmt.Sprint("group-", i), 1, all)[0].ID]++
	}
	for id, count := range counts {
		if count < 850 || count > 1150 {
			t.Errorf("%s has %d of 8000 duties", id, count)
		}
	}
}

// viewWithHeartbeats returns the view of one VM after it received a heartbeat from every other VM.
func viewWithHeartbeats(self int, list []member.Member, reachable func(int) bool, now time.Duration) *member.View {
	view := member.NewView(list[self], 0)
	view.SetList(list)
	view.SetSelf(member.Live, reachable(self))
	for i, other := range list {
		view.RecordHeartbeat(member.Heartbeat{Member: other, State: member.Live, Reachable: reachable(i)}, now)
	}
	view.Assign(now)
	return view
}

func allReachable(int) bool { return true }

func noneReachable(int) bool { return false }

// TestRelays guards against too many VMs calling the key-value service: two per zone while it answers, four per zone while
// it is down.
func TestRelays(t *testing.T) {
	now := time.Minute
	list := members(96, 4)
	cases := map[string]struct {
		reachable func(int) bool
		want      int
	}{"service answers": {allReachable, 8}, "service is down": {noneReachable, 16}}
	for name, c := range cases {
		relays := 0
		for i := range list {
			if viewWithHeartbeats(i, list, c.reachable, now).IsRelay() {
				relays++
			}
		}
		if relays != c.want {
			t.Errorf("%s: %d relays, want %d", name, relays, c.want)
		}
	}
}

// TestPartners guards against too many or too few heartbeats. In a mesh each VM sends them to all others; in a larger fleet
// to the relays of its own zone and, if it is a relay, to one relay of each other zone.
func TestPartners(t *testing.T) {
	now := time.Minute
	cases := map[string]struct{ size, relay, other int }{
		"mesh":         {16, 15, 15},
		"above a mesh": {32, 4, 2},
		"96 VMs":       {96, 4, 2},
	}
	for name, c := range cases {
		list := members(c.size, 4)
		for i := range list {
			view := viewWithHeartbeats(i, list, allReachable, now)
			want := c.other
			if view.IsRelay() {
				want = c.relay
			}
			if got := len(view.HeartbeatTargets()); got != want {
				t.Errorf("%s: VM %d has %d partners, want %d", name, i, got, want)
			}
		}
	}
}

// TestSilentVMLosesDuties guards against leaving duties with a VM whose heartbeats timed out or which is leaving.
func TestSilentVMLosesDuties(t *testing.T) {
	list := members(8, 2)
	view := viewWithHeartbeats(0, list, allReachable, time.Minute)
	late := time.Minute + member.HeartbeatTimeout + time.Millisecond
	for _, other := range list[:7] {
		view.RecordHeartbeat(member.Heartbeat{Member: other, State: member.Live}, late)
	}
	live := view.Members(late)
	if len(live) != 7 || slices.Contains(live, list[7]) {
		t.Errorf("live members %v", live)
	}
	leaving := slices.Clone(list)
	leaving[3].Leaving = true
	view.SetList(leaving)
	view.RecordHeartbeat(member.Heartbeat{Member: list[4], State: member.Leaving}, late)
	if live := view.Members(late); len(live) != 5 {
		t.Errorf("leaving VMs are counted: %v", live)
	}
}

// TestSilentReports guards against excluding a VM that only some relays report as silent, and against keeping one that all
// relays report. In a fleet larger than a mesh a VM depends on these reports.
func TestSilentReports(t *testing.T) {
	list := members(32, 4)
	now := time.Minute
	self := slices.IndexFunc(list, func(m member.Member) bool {
		return m.Zone == "0" && !viewWithHeartbeats(slices.Index(list, m), list, allReachable, now).IsRelay()
	})
	view := member.NewView(list[self], 0)
	view.SetList(list)
	relays := viewWithHeartbeats(self, list, allReachable, now).HeartbeatTargets()
	reportedByBoth, reportedByOne := ids.VMID("vm-005"), ids.VMID("vm-006")
	view.RecordHeartbeat(member.Heartbeat{Member: relays[0], State: member.Live, Reachable: true, Silent: []ids.VMID{reportedByBoth, reportedByOne}}, now)
	view.RecordHeartbeat(member.Heartbeat{Member: relays[1], State: member.Live, Reachable: true, Silent: []ids.VMID{reportedByBoth}}, now)
	view.SetSelf(member.Live, false)
	view.Assign(now)
	if live := view.Members(now); len(live) != 31 || slices.Contains(live, list[5]) {
		t.Errorf("got %d members, want all but vm-005, which all relays report as silent", len(live))
	}
}

func BenchmarkAssign2400(b *testing.B) {
	list := members(2400, 23)
	view := member.NewView(list[0], 0)
	view.SetList(list)
	view.SetSelf(member.Live, true)
	for i, other := range list {
		if i%23 == 0 || i < 46 {
			view.RecordHeartbeat(member.Heartbeat{Member: other, State: member.Live, Reachable: true}, time.Minute)
		}
	}
	b.ReportAllocs()
	for b.Loop() {
		view.Assign(time.Minute)
		view.Members(time.Minute)
	}
}
