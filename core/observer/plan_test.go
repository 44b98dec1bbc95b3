package observer

import (
	"fmt"
	"slices"
	"testing"

	"dotterelgw/core/ids"
	"dotterelgw/core/member"
)

// fleet returns VMs that are spread evenly over the availability zones.
func fleet(vms, zones int) []member.Member {
	var members []member.Member
	for index := range vms {
		zone := ids.AvailabilityZone(fmt.Sprintf("z%d", index%zones))
		members = append(members, member.Member{ID: ids.VMID(fmt.Sprintf("front-%s-%d", zone, index/zones)), Zone: zone})
	}
	return members
}

// sources returns the VMs from which the VM fetches the state of the group; observe reports whether they are its observers.
func sources(plan *Plan, group ids.GroupID) (vms []ids.VMID, observe bool) {
	if collectors := plan.Collectors(); len(collectors) > 0 {
		return collectors, false
	}
	return plan.Observers(group, "")[:1], true
}

// Guards against all VMs querying the same VM, and against several VMs polling the servers of one group. The main case is 295 VMs
// in six availability zones that need the state of 20 groups several times a second.
func TestLoadOfPlan(t *testing.T) {
	const groups = 20
	for name, test := range map[string]struct{ vms, zones, divisor int }{
		"grown": {90, 4, 2}, "large": {295, 6, 4}, "very large": {2400, 23, 10},
	} {
		t.Run(name, func(t *testing.T) {
			vms := fleet(test.vms, test.zones)
			load := make(map[ids.VMID]float64)
			observing := make(map[ids.GroupID]map[ids.VMID]bool)
			for _, vm := range vms {
				plan := NewPlan(vm, vms)
				collectors := len(plan.Collectors())
				for index := range groups {
					group := ids.GroupID(fmt.Sprintf("g%d", index))
					queried, observe := sources(plan, group)
					if !observe {
						continue
					}
					if observing[group] == nil {
						observing[group] = make(map[ids.VMID]bool)
					}
					observing[group][queried[0]] = true
					load[queried[0]]++
				}
				for _, collector := range plan.Collectors() {
					load[collector] += 1 / float64(collectors)
				}
			}
			limit := float64(test.vms / test.divisor)
			for vm, count := range load {
				if count > limit {
					t.Errorf("%s is queried by %.0f VMs, want %.0f at most", vm, count, limit)
				}
			}
			for group, observers := range observing {
				if len(observers) != 1 {
					t.Errorf("%s is observed by %d VMs", group, len(observers))
				}
			}
		})
	}
}

// Guards against a group without an observer after the loss of one VM, against VMs that query themselves or another availability
// zone, and against a small fleet that ignores the observations of the VM that performs failovers, which polls all servers.
func TestPlan(t *testing.T) {
	vms := fleet(295, 6)
	for _, vm := range vms {
		plan := NewPlan(vm, vms)
		observers := plan.Observers("g1", "front-z0-0")
		if len(observers) != 2 || observers[0] == observers[1] {
			t.Fatalf("observers %v", observers)
		}
		if slices.Contains(plan.Collectors(), vm.ID) {
			t.Errorf("%s queries itself", vm.ID)
		}
		if collects := len(plan.Collectors()) == 0; collects != plan.IsCollector() {
			t.Errorf("%s is a collector: %t, but queries %v", vm.ID, plan.IsCollector(), plan.Collectors())
		}
		for _, collector := range plan.Collectors() {
			if !slices.Contains(vms, member.Member{ID: collector, Zone: vm.Zone}) {
				t.Errorf("%s queries %s in another availability zone", vm.ID, collector)
			}
		}
	}
	small := fleet(7, 4)
	plan := NewPlan(small[3], small)
	if observers := plan.Observers("g1", small[2].ID); observers[0] != small[2].ID || len(plan.Collectors()) > 0 {
		t.Errorf("observers %v, collectors %v", observers, plan.Collectors())
	}
}
