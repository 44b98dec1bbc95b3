package handover_test

import (
	"flag"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

// action changes the model.
type action struct {
	name string
	do   func(model *model)
}

// actions holds everything that may happen. The databases are interchangeable but for the first one, the initial primary. "power" crashes
// a database that runs and starts one that is down; "deaf", "unlist" and "service" switch too.
var actions = func() []action {
	all := []action{
		{"tick", (*model).tick},
		{"step", (*model).step},
		{"effect", (*model).takeEffect},
		{"service", func(model *model) { model.serviceAway = !model.serviceAway }},
	}
	for index := range modelDatabases {
		all = append(
			all,
			action{fmt.Sprint("power", index), func(model *model) { model.switchPower(index) }},
			action{fmt.Sprint("deaf", index), func(model *model) {
				model.databases[index].deaf = !model.databases[index].deaf
				model.replicate()
			}},
			action{fmt.Sprint("unlist", index), func(model *model) { model.unlist(index) }},
		)
	}
	for index := range modelVMs {
		all = append(
			all,
			action{fmt.Sprint("write", index), func(model *model) { model.write(model.vms[index]) }},
			action{fmt.Sprint("restartVM", index), func(model *model) { model.restartVM(index) }},
		)
	}
	return all
}()

// play runs the actions on a new model and returns it.
func play(rules rules, sequence []int) *model {
	model := newModel(rules)
	for _, number := range sequence {
		actions[number].do(model)
	}
	return model
}

// describe returns the names of the actions.
func describe(sequence []int) string {
	names := make([]string, 0, len(sequence))
	for _, number := range sequence {
		names = append(names, actions[number].name)
	}
	return strings.Join(names, " ")
}

var (
	exploreDepth = flag.Int("handover.depth", 6, "number of actions of the exhaustive exploration")
	exploreRuns  = flag.Int("handover.runs", 30000, "number of random orders of events")
	exploreSeed  = flag.Int64("handover.seed", 20261205, "seed of the random orders of events")
)

// explore plays every order of the actions up to the depth, without going on from a state that it has seen. It returns the shortest order
// after which a promoted database lacks an acknowledged write, and the number of states.
func explore(rules rules, numbers []int, depth int) (broken []int, states int) {
	seen := map[string]bool{newModel(rules).fingerprint(): true}
	frontier := [][]int{nil}
	for range depth {
		var next [][]int
		for _, sequence := range frontier {
			for _, number := range numbers {
				longer := append(sequence[:len(sequence):len(sequence)], number)
				model := play(rules, longer)
				if model.violation != "" {
					return longer, len(seen)
				}
				if state := model.fingerprint(); !seen[state] {
					seen[state] = true
					next = append(next, longer)
				}
			}
		}
		frontier = next
	}
	return nil, len(seen)
}

// Guards against an order of events after which a promoted database lacks an acknowledged write. All actions are explored to a small
// depth; fewer actions, which leave out what is interchangeable, to a larger one.
func TestEveryOrderOfEvents(t *testing.T) {
	for name, test := range map[string]struct {
		actions string
		depth   int
	}{
		"all actions":                    {"", *exploreDepth},
		"the promotion service away":     {"service power0 power2 step tick write0", *exploreDepth + 4},
		"a replica receives nothing":     {"deaf1 power0 power2 restartVM0 step tick write0", *exploreDepth + 3},
		"a replica is not registered":    {"deaf1 unlist2 power0 restartVM0 step tick write0", *exploreDepth + 3},
		"VMs restart during a promotion": {"power0 power2 restartVM0 restartVM1 step effect write1 tick", *exploreDepth + 2},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			began := time.Now()
			numbers := parse(t, test.actions)
			if test.actions == "" {
				for number := range actions {
					numbers = append(numbers, number)
				}
			}
			broken, states := explore(rules{}, numbers, test.depth)
			if broken != nil {
				t.Errorf("a write is lost after %s", describe(broken))
			}
			t.Logf("%d actions deep, %d states, %v", test.depth, states, time.Since(began))
		})
	}
}

// frequent returns the actions to draw from: time, the steps of the holder and writes come more often than faults.
func frequent() []any {
	var drawn []any
	for number, action := range actions {
		times := 2
		switch {
		case action.name == "step":
			times = 4
		case action.name == "tick", strings.HasPrefix(action.name, "write"):
			times = 3
		case strings.HasPrefix(action.name, "restartVM"), action.name == "service":
			times = 1
		}
		for range times {
			drawn = append(drawn, number)
		}
	}
	return drawn
}

// randomLength is the largest number of actions of a random order of events.
const randomLength = 40

// search plays random orders of events and returns the shortest one found that breaks the property, or an empty text.
func search(t *testing.T, runs int, holds func(sequence []int) bool) string {
	t.Helper()
	parameters := gopter.DefaultTestParametersWithSeed(*exploreSeed)
	parameters.MinSuccessfulTests = runs
	parameters.MaxSize = randomLength
	broken := ""
	property := prop.ForAll(func(sequence []int) bool {
		if holds(sequence) {
			return true
		}
		if broken == "" || len(describe(sequence)) < len(broken) {
			broken = describe(sequence)
		}
		return false
	}, gen.SliceOf(gen.OneConstOf(frequent()...)))
	property.Check(parameters)
	return broken
}

// Guards against a longer order of events after which a promoted database lacks an acknowledged write.
func TestRandomOrdersOfEvents(t *testing.T) {
	began := time.Now()
	if broken := search(t, *exploreRuns, func(sequence []int) bool { return play(rules{}, sequence).violation == "" }); broken != "" {
		t.Errorf("%s", broken)
	}
	t.Logf("%d orders, %v", *exploreRuns, time.Since(began))
}

// Guards against a group that stays without a primary although all its databases run again.
func TestGroupRecovers(t *testing.T) {
	recovers := func(sequence []int) bool {
		model := play(rules{}, sequence)
		model.serviceAway = false
		for index := range model.databases {
			model.databases[index].deaf = false
			model.databases[index].registered = model.databases[index].up
			if !model.databases[index].up {
				model.switchPower(index)
			}
		}
		for range 10 {
			model.step()
			model.tick()
		}
		before := len(model.acknowledged)
		model.write(model.vms[1])
		return len(model.acknowledged) > before
	}
	if broken := search(t, *exploreRuns, recovers); broken != "" {
		t.Errorf("no write is acknowledged after %s", broken)
	}
}

// Guards against a promotion that is safe only because VMs remember what they acknowledged: those that are silent, or that have restarted,
// do not.
func TestAcknowledgedPositionsAreNotNeeded(t *testing.T) {
	broken, states := explore(rules{silentVMs: true}, parse(t, "deaf1 power0 power2 restartVM0 step tick write0 write1"), *exploreDepth+2)
	if broken != nil {
		t.Errorf("a write is lost after %s", describe(broken))
	}
	t.Logf("%d states", states)
}

// Guards against a VM that is cut off from the holder of the duty, but not from the databases, and acknowledges writes of the old primary
// during a promotion.
func TestCutOffVM(t *testing.T) {
	for name, test := range map[string]struct {
		actions string
		depth   int
	}{
		"servers restart":                   {"power0 power2 step tick write1", *exploreDepth + 1},
		"servers and the holder restart":    {"power0 power1 power2 restartVM0 step effect tick write1", *exploreDepth},
		"a replica receives nothing":        {"deaf1 power0 power2 step tick write0 write1", *exploreDepth + 1},
		"the promotion service is away":     {"service power0 power2 step tick write1", *exploreDepth + 2},
		"the VM restarts before it is cut":  {"power0 power2 restartVM1 step tick write1", *exploreDepth + 1},
		"all servers restart, time goes on": {"power0 power1 power2 step tick write1", *exploreDepth + 2},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			broken, states := explore(rules{cutOffVM: true}, parse(t, test.actions), test.depth)
			if broken != nil {
				t.Errorf("a write is lost after %s", describe(broken))
			}
			t.Logf("%d states", states)
		})
	}
}

// Guards against a VM that is cut off from the holder of the duty and never acknowledges writes again although nothing is being replaced.
func TestCutOffVMServes(t *testing.T) {
	for name, sequence := range map[string]string{
		"no fault":                   "write1",
		"a replica is down":          "power2 tick write1",
		"a replica has restarted":    "power2 power2 tick write1",
		"all servers have restarted": "power0 power0 power1 power1 power2 power2 write1 tick tick write1",
		"a replica was promoted":     "power0 step tick power0 tick write1 tick tick write1",
	} {
		t.Run(name, func(t *testing.T) {
			if model := play(rules{cutOffVM: true}, parse(t, sequence)); len(model.acknowledged) == 0 || model.violation != "" {
				t.Errorf("%d writes acknowledged, %s", len(model.acknowledged), model.violation)
			}
		})
	}
}

// Guards against a model that can't find the faults that were found in real processes: with the rules of before, it must.
func TestEarlierRulesLoseWrites(t *testing.T) {
	for name, test := range map[string]struct {
		rules   rules
		actions string
		depth   int
	}{
		"orders are repeated on outdated checks":        {rules{repeatOrders: true, alwaysAssured: true}, "service power0 power2 step tick write0", 12},
		"only registered servers are members":           {rules{registeredOnly: true, alwaysAssured: true}, "deaf1 power0 power2 restartVM0 step tick write0", 10},
		"a server without a registration has ended":     {rules{unlistedGone: true, alwaysAssured: true}, "deaf1 unlist2 power0 restartVM0 step tick write0", 10},
		"a VM that starts does not know of an order":    {rules{unmarkedOrders: true, alwaysAssured: true}, "power0 power2 restartVM1 step write1 tick", 8},
		"the holder does not wait for a VM that starts": {rules{unknownVM: true}, "power0 power2 restartVM1 step write1 tick", 8},
		"a VM that is cut off does not miss the holder": {rules{cutOffVM: true, alwaysAssured: true}, "power0 power2 step tick write1", 7},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			broken, states := explore(test.rules, parse(t, test.actions), test.depth)
			if broken == nil {
				t.Fatalf("the earlier rules lose no write, %d states", states)
			}
			t.Logf("%s; %d states", describe(broken), states)
			if violation := play(rules{}, broken).violation; violation != "" {
				t.Errorf("by the present rules: %s", violation)
			}
		})
	}
}

// parse returns the actions with the names.
func parse(t *testing.T, names string) []int {
	t.Helper()
	var sequence []int
	for _, name := range strings.Fields(names) {
		for number, action := range actions {
			if action.name == name {
				sequence = append(sequence, number)
			}
		}
	}
	return sequence
}
