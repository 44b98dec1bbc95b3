package failover

import (
	"fmt"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"dotterelgw/core/ids"
	"dotterelgw/core/position"
)

// write sends a write to the server that the VM takes for the primary.
func (sim *simulation) write(vm *vm) {
	var target *database
	term := ids.Term(0)
	for index, status := range vm.latest {
		if status != nil && status.Accepts() && status.Term > term {
			target, term = sim.servers[index], status.Term
		}
	}
	if target == nil {
		return
	}
	sim.call(vm, target.node, func() func() {
		if !target.status().Accepts() {
			return nil
		}
		sim.nextID++
		id := sim.nextID
		target.log = append(target.log, row{term: target.term, id: id})
		want := position.Position{Term: target.term, Log: ids.LogPosition(len(target.log))}
		return func() {
			if sim.naiveAck {
				sim.acknowledge(id, want)
				return
			}
			vm.writes = append(vm.writes, pendingWrite{want: want, ran: target.record.ID, id: id, at: sim.now})
			sim.confirm(vm)
		}
	})
}

// confirm acknowledges the writes that the VM knows to be durable.
func (sim *simulation) confirm(vm *vm) {
	kept := vm.writes[:0]
	for _, write := range vm.writes {
		switch knowledge := Durability(write.want, write.ran, 3, vm.latest[:], vm.plan.Record().Starts); {
		case knowledge == Durable:
			sim.acknowledge(write.id, write.want)
		case knowledge == Pending && sim.now-write.at < 5*time.Second:
			kept = append(kept, write)
		}
	}
	vm.writes = kept
}

func (sim *simulation) violate(format string, arguments ...any) {
	sim.violations = append(sim.violations, fmt.Sprintf("at %v: ", sim.now)+fmt.Sprintf(format, arguments...))
}

func has(log []row, id int, want position.Position) bool {
	return int(want.Log) <= len(log) && log[want.Log-1].id == id
}

// able states whether a primary of the term can still acknowledge or pass a barrier. Promises only rise, so a primary
// that was superseded before its late promotion arrived never can; such a primary may lack acknowledged writes.
func (sim *simulation) able(term ids.Term) bool {
	loyal := 0
	for _, server := range sim.servers {
		if server.promised <= term {
			loyal++
		}
	}
	return loyal >= KeepCount(len(sim.servers))
}

func (sim *simulation) acknowledge(id int, want position.Position) {
	sim.acked[id] = want
	for _, promotion := range sim.promotions {
		if promotion.term > want.Term && sim.able(promotion.term) && !has(promotion.log, id, want) {
			sim.violate("acknowledged %v, which the primary of term %d lacks", want, promotion.term)
		}
	}
}

// promoted checks that a new primary has every acknowledged write.
func (sim *simulation) promoted(server *database) {
	sim.promotions = append(sim.promotions, promotion{term: server.term, log: server.log})
	for id, want := range sim.acked {
		if want.Term < server.term && sim.able(server.term) && !has(server.log, id, want) {
			sim.violate("primary of term %d lacks acknowledged %v", server.term, want)
		}
	}
}

// checkPrimaries checks that at most one primary can acknowledge.
func (sim *simulation) checkPrimaries() {
	count := 0
	for _, primary := range sim.servers {
		if primary.status().Accepts() && sim.able(primary.term) {
			count++
		}
	}
	if count > 1 {
		sim.violate("%d primaries that can acknowledge", count)
	}
}

// checkHistory checks that what a replica is said to have reached is in its log.
func (sim *simulation) checkHistory() {
	for id, want := range sim.acked {
		for _, server := range sim.servers {
			end := server.status().End()
			if position.Reached(end, want, sim.record.Starts) && !has(server.log, id, want) {
				sim.violate("%s at %v is said to have reached %v", server.record.ID, end, want)
			}
		}
	}
}

// disturb begins one fault and schedules its end.
func (sim *simulation) disturb(kind uint8) {
	lasts := time.Duration(200+sim.random.Intn(4000)) * time.Millisecond
	node, other := sim.random.Intn(nodeCount), sim.random.Intn(nodeCount)
	switch kind %= 9; kind {
	case 0: // a partition in one direction
		sim.blocked[node][other] = true
		sim.at(lasts, func() { sim.blocked[node][other] = false })
	case 1: // a partition in both directions
		sim.blocked[node][other], sim.blocked[other][node] = true, true
		sim.at(lasts, func() { sim.blocked[node][other], sim.blocked[other][node] = false, false })
	case 2, 3, 7, 8: // a server is cut off from everybody, or stops in the midst of its work
		node = vmCount + sim.random.Intn(3)
		if kind%2 == 1 {
			sim.paused[node] = sim.now + lasts
			return
		}
		for peer := range nodeCount {
			sim.blocked[node][peer], sim.blocked[peer][node] = true, true
		}
		sim.at(lasts, func() {
			for peer := range nodeCount {
				sim.blocked[node][peer], sim.blocked[peer][node] = false, false
			}
		})
	case 4: // a VM is paused for longer than any timeout
		sim.paused[sim.random.Intn(vmCount)] = sim.now + lasts
	case 5: // answers of the service are lost, requests arrive late
		sim.loseAnswer, sim.slowSwap = 0.5, 700*time.Millisecond
		sim.at(lasts, func() { sim.loseAnswer, sim.slowSwap = 0, 0 })
	case 6: // a server is leaving
		server := sim.servers[sim.random.Intn(3)]
		server.leaving = true
		sim.at(lasts, func() { server.leaving = false })
	}
}

// run disturbs the group as the kinds say, heals it, and checks that writes are acknowledged again.
func (sim *simulation) run(kinds []uint8) {
	sim.every(0, time.Second, sim.checkHistory)
	sim.runUntil(time.Second)
	for _, kind := range kinds {
		sim.disturb(kind)
		sim.runUntil(sim.now + time.Duration(sim.random.Intn(1200))*time.Millisecond)
	}
	sim.runUntil(sim.now + 14*time.Second)
	before := len(sim.acked)
	sim.runUntil(sim.now + time.Second)
	if len(sim.violations) > 0 {
		return
	}
	accepting := 0
	for _, server := range sim.servers {
		if server.status().Accepts() && server.term == sim.record.Term && server.record.ID == sim.record.Primary {
			accepting++
		}
	}
	if accepting != 1 || sim.record.Step != Steady || len(sim.acked) <= before {
		sim.violate("not healed: record %+v, %d primaries, %d acknowledged", sim.record, accepting, len(sim.acked)-before)
	}
	for _, server := range sim.servers {
		for id, want := range sim.acked {
			if server.record.ID == sim.record.Primary && !has(server.log, id, want) {
				sim.violate("the last primary lacks acknowledged %v", want)
			}
		}
		if server.term != sim.record.Term {
			sim.violate("%s still acts in term %d of %d", server.record.ID, server.term, sim.record.Term)
		}
	}
}

func violations(seed int64, kinds []uint8, change func(*simulation)) []string {
	sim := newSimulation(seed, nil)
	if change != nil {
		change(sim)
	}
	sim.run(kinds)
	return sim.violations
}

// TestPromotionInvariants guards requirement 1.1.2: no acknowledged write is lost and never do two primaries
// acknowledge, whatever fails at once, and a primary exists once the failures are over.
func TestPromotionInvariants(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(20261204)
	parameters.MinSuccessfulTests = 60
	properties := gopter.NewProperties(parameters)
	properties.Property("promotions are safe", prop.ForAll(func(seed int64, kinds []uint8) string {
		racing := func(sim *simulation) { sim.racing = seed%2 == 0 }
		if found := violations(seed, kinds, racing); len(found) > 0 {
			return found[0]
		}
		return ""
	}, gen.Int64(), gen.SliceOfN(14, gen.UInt8())))
	properties.TestingRun(t)
}

// TestNaiveVariantsFail guards the checks themselves: rules that are known to be wrong must be found out.
func TestNaiveVariantsFail(t *testing.T) {
	variants := map[string]func(*simulation){
		"acknowledged on the primary's answer": func(sim *simulation) { sim.naiveAck = true },
		"any reachable replica is promoted": func(sim *simulation) {
			for _, vm := range sim.vms {
				vm.plan.quorum = 1
				vm.plan.choose = func(statuses []Status) Status { return statuses[len(statuses)-1] }
			}
		},
		"not the furthest is promoted": func(sim *simulation) {
			for _, vm := range sim.vms {
				vm.plan.choose = func(statuses []Status) Status {
					worst := statuses[0]
					for _, status := range statuses {
						if status.End().Less(worst.End()) {
							worst = status
						}
					}
					return worst
				}
			}
		},
	}
	for name, change := range variants {
		t.Run(name, func(t *testing.T) {
			for seed := range int64(100) {
				if found := violations(seed, []uint8{2, 1, 3, 2, 4, 2, 3, 1}, change); len(found) > 0 {
					t.Logf("found with seed %d: %s", seed, found[0])
					return
				}
			}
			t.Error("the checks found nothing")
		})
	}
}

// TestShortStall guards the bound of section 1.3: a primary that stalls for less than 1 s is not replaced.
func TestShortStall(t *testing.T) {
	properties := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(3))
	properties.Property("no claim", prop.ForAll(func(seed int64, begin, lasts uint16) bool {
		sim := newSimulation(seed, nil)
		sim.runUntil(time.Second + time.Duration(begin%1000)*time.Millisecond)
		sim.paused[vmCount] = sim.now + time.Duration(lasts%1000)*time.Millisecond
		sim.runUntil(sim.now + 3*time.Second)
		return sim.claims == 0 && len(sim.violations) == 0
	}, gen.Int64(), gen.UInt16(), gen.UInt16()))
	properties.TestingRun(t)
}

// TestPausedWatcher guards against the pause of the watchers themselves being taken for silence of the primary.
func TestPausedWatcher(t *testing.T) {
	sim := newSimulation(1, nil)
	sim.runUntil(time.Second)
	for vm := range vmCount {
		sim.paused[vm] = sim.now + 10*time.Second
	}
	sim.runUntil(20 * time.Second)
	if sim.claims != 0 || len(sim.violations) > 0 {
		t.Errorf("%d claims, %v", sim.claims, sim.violations)
	}
}

// TestFailoverGap guards the target of 3 s from the loss of the primary to the next acknowledged write, also if the
// first watcher fails with it, and the bound when the orderer fails in the midst of the promotion.
func TestFailoverGap(t *testing.T) {
	cases := map[string]struct {
		step  string // vm0 fails when the record is at this step; "" for never
		limit time.Duration
	}{
		"primary":                   {"", 3 * time.Second},
		"primary and first watcher": {Steady, 3 * time.Second},
		"primary, then the orderer while fencing":   {Fencing, 5 * time.Second},
		"primary, then the orderer while promoting": {Promoting, 5 * time.Second},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			longest := time.Duration(0)
			for seed := range int64(20) {
				sim := newSimulation(seed, nil)
				sim.runUntil(2 * time.Second)
				sim.paused[vmCount] = time.Hour
				lost := sim.now
				newest := func() (term ids.Term) {
					for _, want := range sim.acked {
						term = max(term, want.Term)
					}
					return term
				}
				for newest() == 1 && sim.now < lost+10*time.Second {
					if sim.record.Step == test.step {
						sim.paused[0] = time.Hour
					}
					sim.runUntil(sim.now + time.Millisecond)
				}
				longest = max(longest, sim.now-lost)
				if len(sim.violations) > 0 {
					t.Errorf("seed %d: %v", seed, sim.violations)
				}
			}
			t.Logf("longest gap %v", longest)
			if longest > test.limit {
				t.Errorf("gap %v", longest)
			}
		})
	}
}
