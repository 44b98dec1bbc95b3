package freshness_test

import (
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"dotterelgw/core/freshness"
	"dotterelgw/core/ids"
)

// newFaultySimulation returns a simulation with service outages, pauses, restarts, proposals and partitions at random
// times.
func newFaultySimulation(seed int64, rules rules) *simulation {
	simulation := newSimulation(seed, 3+int(uint64(seed)%4), rules)
	if simulation.random.Intn(3) == 0 {
		simulation.maxDelay = 700 * time.Millisecond
	}
	for range simulation.random.Intn(3) {
		simulation.serviceOutages = append(simulation.serviceOutages, simulation.randomInterval(15*time.Second))
	}
	for i, vm := range simulation.vms {
		for range simulation.random.Intn(3) {
			simulation.serviceCuts[i] = append(simulation.serviceCuts[i], simulation.randomInterval(30*time.Second))
		}
		if simulation.random.Intn(3) == 0 {
			vm.paused = append(vm.paused, simulation.randomInterval(6*time.Second))
		}
		if simulation.random.Intn(3) == 0 {
			at := simulation.randomTime(2*time.Second, simulatedTime)
			simulation.events[at] = append(simulation.events[at], func() { simulation.startVM(vm) })
		}
		for range 1 + simulation.random.Intn(2) {
			at := simulation.randomTime(3*time.Second, simulatedTime)
			simulation.events[at] = append(simulation.events[at], func() { simulation.after(0, vm, func() { simulation.propose(vm) }) })
		}
	}
	// Cutting every link between two random sets of VMs partitions the fleet; cutting a single direction makes a link one-way.
	for range 1 + simulation.random.Intn(3) {
		outage, side := simulation.randomInterval(30*time.Second), simulation.random.Intn(1<<len(simulation.vms))
		for from := range simulation.vms {
			for to := range simulation.vms {
				if side>>from&1 != side>>to&1 || simulation.random.Intn(12) == 0 {
					simulation.linkCuts[[2]int{from, to}] = append(simulation.linkCuts[[2]int{from, to}], outage)
				}
			}
		}
	}
	return simulation
}

// TestBoundHolds guards requirement 6: a VM that lacks an accepted change stops admitting requests within AdmissionLimit
// of the acceptance, under any combination of simulated faults.
func TestBoundHolds(t *testing.T) {
	parameters := gopter.DefaultTestParameters()
	parameters.MinSuccessfulTests = 300
	properties := gopter.NewProperties(parameters)
	accepted, outages := 0, 0
	properties.Property("no late admission", prop.ForAll(func(seed int64) string {
		simulation := newFaultySimulation(seed, fullRules)
		simulation.run()
		accepted += len(simulation.accepted)
		outages += len(simulation.serviceOutages)
		return simulation.violation
	}, gen.Int64()))
	properties.TestingRun(t)
	t.Logf("%d accepted changes, %d outages", accepted, outages)
	if accepted < 300 {
		t.Errorf("only %d changes were accepted, too few for the property to be meaningful", accepted)
	}
}

// TestNaiveRulesFail guards against a simulation that cannot detect violations: it must find one for each rule set that
// lacks part of the protocol.
func TestNaiveRulesFail(t *testing.T) {
	cases := map[string]struct {
		rules rules
		// firstSeed is the seed to start from; it keeps the search short.
		firstSeed int64
	}{
		"no majority rule":               {rules{confirmByMajority: true}, 0},
		"majority only before the write": {rules{majorityBeforeWrite: true, confirmByMajority: true}, 1200},
		"restarted VM votes at once":     {rules{majorityBeforeWrite: true, majorityAfterWrite: true, confirmByMajority: true, voteAtOnce: true}, 900},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := c.firstSeed; seed < c.firstSeed+20000; seed++ {
				simulation := newFaultySimulation(seed, c.rules)
				if simulation.run(); simulation.violation != "" {
					t.Logf("seed %d: %s", seed, simulation.violation)
					return
				}
			}
			t.Error("no violation found")
		})
	}
}

// TestOutageForEverybody guards against VMs that reach each other but stop admitting requests when the key-value service
// is down for all of them.
func TestOutageForEverybody(t *testing.T) {
	for size := 2; size <= 8; size++ {
		simulation := newSimulation(int64(size), size, fullRules)
		simulation.serviceOutages = intervals{{from: 5 * time.Second, to: simulatedTime}}
		firstCheck := 2 * time.Second
		for at := firstCheck; at < simulatedTime; at += step {
			simulation.events[at] = append(simulation.events[at], func() {
				for _, vm := range simulation.vms {
					if until, _ := vm.state.AdmitUntil(); simulation.now > until && simulation.violation == "" {
						simulation.violation = string(vm.id) + " stopped admitting at " + simulation.now.String()
					}
				}
			})
		}
		if simulation.run(); simulation.violation != "" {
			t.Errorf("%d VMs: %s", size, simulation.violation)
		}
	}
}

// TestMajorityOfEveryRecentList guards against disjoint majorities while two VMs have different VM lists.
func TestMajorityOfEveryRecentList(t *testing.T) {
	state := freshness.New("a", 0)
	answer := freshness.Answer{Sent: time.Minute, Voting: true}
	state.SetList([]ids.VMID{"a", "b", "c"}, 0)
	state.SetList([]ids.VMID{"a", "d", "e"}, time.Minute)
	state.RecordAnswer("d", answer)
	if state.HasMajority(time.Minute) {
		t.Error("majority found without a majority of the previous list")
	}
	state.RecordAnswer("b", answer)
	if !state.HasMajority(time.Minute) {
		t.Error("no majority found with majorities of both lists")
	}
	state.SetList([]ids.VMID{"a", "d", "e"}, 2*time.Minute)
	state.RecordAnswer("d", freshness.Answer{Sent: 2 * time.Minute})
	if !state.HasMajority(2 * time.Minute) {
		t.Error("the previous list still requires a majority after it expired")
	}
}
