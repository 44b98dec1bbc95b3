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

// write sends a write to the server that the VM considers to be the primary.
func (sim *simulation) write(vm *vm) {
	var target *database
	term := ids.Term(0)
	for index, status := range vm.latest {
		if status != nil && status.AcceptsWrites() && status.Term > term {
			target, term = sim.servers[index], status.Term
		}
	}
	if target == nil {
		return
	}
	sim.call(vm, target.node, func() func() {
		if !target.status().AcceptsWrites() {
			return nil
		}
		sim.nextID++
		id := sim.nextID
		target.log = append(target.log, logRecord{term: target.term, id: id})
		want := position.Position{Term: target.term, Log: ids.LogPosition(len(target.log))}
		return func() {
			if sim.naiveAck {
				sim.acknowledge(id, want)
				return
			}
			vm.writes = append(vm.writes, pendingWrite{want: want, executedBy: target.record.ID, id: id, at: sim.now})
			sim.confirm(vm)
		}
	})
}

// confirm acknowledges the VM's pending writes that are known to be durable, and drops those that are lost or too old.
func (sim *simulation) confirm(vm *vm) {
	kept := vm.writes[:0]
	for _, write := range vm.writes {
		switch state := Durability(write.want, write.executedBy, 3, vm.latest[:], vm.coordinator.Record().Starts); {
		case state == Durable:
			sim.acknowledge(write.id, write.want)
		case state == Pending && sim.now-write.at < 5*time.Second:
			kept = append(kept, write)
		}
	}
	vm.writes = kept
}

func (sim *simulation) recordViolation(format string, arguments ...any) {
	sim.violations = append(sim.violations, fmt.Sprintf("at %v: ", sim.now)+fmt.Sprintf(format, arguments...))
}

func holds(log []logRecord, id int, want position.Position) bool {
	return int(want.Log) <= len(log) && log[want.Log-1].id == id
}

// canAcknowledge reports whether a primary of the term can still acknowledge writes or pass a barrier. Promised terms only
// increase, so a primary that was superseded before its delayed promotion arrived never can. It may lack acknowledged writes.
func (sim *simulation) canAcknowledge(term ids.Term) bool {
	confirming := 0
	for _, server := range sim.servers {
		if server.promised <= term {
			confirming++
		}
	}
	return confirming >= WriteQuorum(len(sim.servers))
}

func (sim *simulation) acknowledge(id int, want position.Position) {
	sim.acknowledged[id] = want
	for _, promotion := range sim.promotions {
		if promotion.term > want.Term && sim.canAcknowledge(promotion.term) && !holds(promotion.log, id, want) {
			sim.recordViolation("acknowledged a write at %v that the primary of term %d lacks", want, promotion.term)
		}
	}
}

// promoted checks that a new primary has every acknowledged write.
func (sim *simulation) promoted(server *database) {
	sim.promotions = append(sim.promotions, promotion{term: server.term, log: server.log})
	for id, want := range sim.acknowledged {
		if want.Term < server.term && sim.canAcknowledge(server.term) && !holds(server.log, id, want) {
			sim.recordViolation("primary of term %d lacks the acknowledged write at %v", server.term, want)
		}
	}
}

// checkPrimaries checks that at most one primary can acknowledge.
func (sim *simulation) checkPrimaries() {
	count := 0
	for _, primary := range sim.servers {
		if primary.status().AcceptsWrites() && sim.canAcknowledge(primary.term) {
			count++
		}
	}
	if count > 1 {
		sim.recordViolation("%d primaries that can acknowledge", count)
	}
}

// checkHistory checks that a server's log has every acknowledged write whose position it is reported to have reached.
func (sim *simulation) checkHistory() {
	for id, want := range sim.acknowledged {
		for _, server := range sim.servers {
			end := server.status().End()
			if position.Reached(end, want, sim.record.Starts) && !holds(server.log, id, want) {
				sim.recordViolation("%s at %v lacks the write at %v, which it is reported to have reached", server.record.ID, end, want)
			}
		}
	}
}

// injectFault injects a fault of the kind and schedules its end.
func (sim *simulation) injectFault(kind uint8) {
	duration := time.Duration(200+sim.random.Intn(4000)) * time.Millisecond
	node, other := sim.random.Intn(nodeCount), sim.random.Intn(nodeCount)
	switch kind %= 9; kind {
	case 0: // a partition in one direction
		sim.blocked[node][other] = true
		sim.at(duration, func() { sim.blocked[node][other] = false })
	case 1: // a partition in both directions
		sim.blocked[node][other], sim.blocked[other][node] = true, true
		sim.at(duration, func() { sim.blocked[node][other], sim.blocked[other][node] = false, false })
	case 2, 3, 7, 8: // a server is isolated from all nodes, or paused
		node = vmCount + sim.random.Intn(3)
		if kind%2 == 1 {
			sim.paused[node] = sim.now + duration
			return
		}
		for peer := range nodeCount {
			sim.blocked[node][peer], sim.blocked[peer][node] = true, true
		}
		sim.at(duration, func() {
			for peer := range nodeCount {
				sim.blocked[node][peer], sim.blocked[peer][node] = false, false
			}
		})
	case 4: // a VM is paused for longer than any timeout
		sim.paused[sim.random.Intn(vmCount)] = sim.now + duration
	case 5: // responses of the key-value service are lost and requests delayed
		sim.answerLoss, sim.maxSwapDelay = 0.5, 700*time.Millisecond
		sim.at(duration, func() { sim.answerLoss, sim.maxSwapDelay = 0, 0 })
	case 6: // a server is leaving
		server := sim.servers[sim.random.Intn(3)]
		server.leaving = true
		sim.at(duration, func() { server.leaving = false })
	}
}

// run injects faults of the given kinds, waits until they have ended, and checks that the group has recovered and
// acknowledges writes again.
func (sim *simulation) run(faults []uint8) {
	sim.every(0, time.Second, sim.checkHistory)
	sim.runUntil(time.Second)
	for _, kind := range faults {
		sim.injectFault(kind)
		sim.runUntil(sim.now + time.Duration(sim.random.Intn(1200))*time.Millisecond)
	}
	sim.runUntil(sim.now + 14*time.Second)
	before := len(sim.acknowledged)
	sim.runUntil(sim.now + time.Second)
	if len(sim.violations) > 0 {
		return
	}
	accepting := 0
	for _, server := range sim.servers {
		if server.status().AcceptsWrites() && server.term == sim.record.Term && server.record.ID == sim.record.Primary {
			accepting++
		}
	}
	if accepting != 1 || sim.record.Step != Steady || len(sim.acknowledged) <= before {
		sim.recordViolation("group has not recovered: record %+v, %d primaries, %d writes acknowledged", sim.record, accepting, len(sim.acknowledged)-before)
	}
	for _, server := range sim.servers {
		for id, want := range sim.acknowledged {
			if server.record.ID == sim.record.Primary && !holds(server.log, id, want) {
				sim.recordViolation("the last primary lacks the acknowledged write at %v", want)
			}
		}
		if server.term != sim.record.Term {
			sim.recordViolation("%s acts in term %d, want %d", server.record.ID, server.term, sim.record.Term)
		}
	}
}

func violations(seed int64, faults []uint8, change func(*simulation)) []string {
	sim := newSimulation(seed, nil)
	if change != nil {
		change(sim)
	}
	sim.run(faults)
	return sim.violations
}

// TestPromotionInvariants guards requirement 1.1.2 under arbitrary concurrent failures: no acknowledged write is lost, no
// two primaries can acknowledge writes, and there is a primary once the failures have ended.
func TestPromotionInvariants(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(20261204)
	parameters.MinSuccessfulTests = 60
	properties := gopter.NewProperties(parameters)
	properties.Property("promotions are safe", prop.ForAll(func(seed int64, faults []uint8) string {
		racing := func(sim *simulation) { sim.racing = seed%2 == 0 }
		if found := violations(seed, faults, racing); len(found) > 0 {
			return found[0]
		}
		return ""
	}, gen.Int64(), gen.SliceOfN(14, gen.UInt8())))
	properties.TestingRun(t)
}

// TestNaiveVariantsFail guards against ineffective checks: the simulation must detect rules that are known to be unsafe.
func TestNaiveVariantsFail(t *testing.T) {
	variants := map[string]func(*simulation){
		"write acknowledged on the primary's response alone": func(sim *simulation) { sim.naiveAck = true },
		"any reachable replica promoted": func(sim *simulation) {
			for _, vm := range sim.vms {
				vm.coordinator.quorum = 1
				vm.coordinator.choose = func(statuses []Status) Status { return statuses[len(statuses)-1] }
			}
		},
		"shortest log promoted": func(sim *simulation) {
			for _, vm := range sim.vms {
				vm.coordinator.choose = func(statuses []Status) Status {
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
					t.Logf("violation found with seed %d: %s", seed, found[0])
					return
				}
			}
			t.Error("the checks found no violation")
		})
	}
}

// TestShortStall guards against replacing a primary that stalls for less than 1 s, the bound of section 1.3.
func TestShortStall(t *testing.T) {
	properties := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(3))
	properties.Property("no claim", prop.ForAll(func(seed int64, begin, duration uint16) bool {
		sim := newSimulation(seed, nil)
		sim.runUntil(time.Second + time.Duration(begin%1000)*time.Millisecond)
		sim.paused[vmCount] = sim.now + time.Duration(duration%1000)*time.Millisecond
		sim.runUntil(sim.now + 3*time.Second)
		return sim.claims == 0 && len(sim.violations) == 0
	}, gen.Int64(), gen.UInt16(), gen.UInt16()))
	properties.TestingRun(t)
}

// TestPausedWatcher guards against replacing a healthy primary when it is the watchers that were paused.
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

// TestFailoverGap guards the limit of 3 s from the loss of the primary to the next acknowledged write, also if the first
// watcher fails at the same time, and the limit if the orderer fails during the promotion.
func TestFailoverGap(t *testing.T) {
	cases := map[string]struct {
		step  string // vm0 fails when the record is at this step, never if empty
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
					for _, want := range sim.acknowledged {
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
				t.Errorf("longest gap %v exceeds the limit", longest)
			}
		})
	}
}
