package freshness_test

import (
	"fmt"
	"math/rand"
	"time"

	"dotterelgw/core/freshness"
	"dotterelgw/core/ids"
)

// rules selects the protocol that a simulated fleet follows. The checks must fail for the incomplete ones of
// TestNaiveRulesFail.
type rules struct {
	// majorityBeforeWrite requires the proposing VM to have answers from a majority before the write.
	majorityBeforeWrite bool
	// majorityAfterWrite requires that a majority holds the change before it counts as accepted.
	majorityAfterWrite bool
	// confirmByMajority allows a majority to confirm in place of the service.
	confirmByMajority bool
	// voteAtOnce lets a restarted VM vote without the waiting time.
	voteAtOnce bool
}

var fullRules = rules{majorityBeforeWrite: true, majorityAfterWrite: true, confirmByMajority: true}

const (
	step            = 20 * time.Millisecond
	heartbeatPeriod = 500 * time.Millisecond
	simulatedTime   = 40 * time.Second
)

// interval is the half-open time range [from, to) of a fault.
type interval struct{ from, to time.Duration }

func (interval interval) covers(now time.Duration) bool {
	return interval.from <= now && now < interval.to
}

type intervals []interval

func (intervals intervals) covers(now time.Duration) bool {
	for _, interval := range intervals {
		if interval.covers(now) {
			return true
		}
	}
	return false
}

// simulation is a deterministic model of VMs and a key-value service, with lost messages, pauses, restarts and proposed
// changes. It advances in fixed steps, and each random choice comes from the seed.
type simulation struct {
	rules          rules
	random         *rand.Rand
	now            time.Duration
	maxDelay       time.Duration
	vms            []*vm
	serviceOutages intervals            // the service answers no VM
	serviceCuts    []intervals          // by VM: the service does not answer it
	linkCuts       map[[2]int]intervals // by sender and receiver: messages are lost
	events         map[time.Duration][]func()
	stored         ids.Revision
	accepted       map[ids.Revision]time.Duration
	// admissions counts the checks at which each VM was allowed to admit requests.
	admissions []int
	violation  string
}

type vm struct {
	index       int
	id          ids.VMID
	state       *freshness.Tracker
	revision    ids.Revision
	incarnation int // incremented on each restart; messages to an earlier incarnation are lost
	paused      intervals
	queue       []func()
	lastHeard   map[int]time.Duration // when it last heard from each VM that reached the service
	lastRead    time.Duration         // when the service last answered it
	unaccepted  map[ids.Revision]bool // its own changes, stored but not yet accepted
}

func newSimulation(seed int64, size int, rules rules) *simulation {
	simulation := &simulation{
		rules: rules, random: rand.New(rand.NewSource(seed)), maxDelay: 60 * time.Millisecond,
		linkCuts: map[[2]int]intervals{}, events: map[time.Duration][]func(){}, accepted: map[ids.Revision]time.Duration{},
		serviceCuts: make([]intervals, size), admissions: make([]int, size),
	}
	for i := range size {
		simulation.vms = append(simulation.vms, &vm{index: i, id: ids.VMID(fmt.Sprint("vm-", i))})
	}
	for _, vm := range simulation.vms {
		simulation.startVM(vm)
	}
	return simulation
}

func (simulation *simulation) startVM(vm *vm) {
	vm.incarnation++
	vm.revision, vm.queue, vm.unaccepted = 0, nil, map[ids.Revision]bool{}
	vm.lastHeard, vm.lastRead = map[int]time.Duration{}, -time.Hour
	start := simulation.now
	if simulation.rules.voteAtOnce {
		start -= time.Hour
	}
	vm.state = freshness.New(vm.id, start)
	var list []ids.VMID
	for _, other := range simulation.vms {
		list = append(list, other.id)
	}
	vm.state.SetList(list, simulation.now)
}

// randomTime returns a time from low to high in whole steps above low.
func (simulation *simulation) randomTime(low, high time.Duration) time.Duration {
	return low + time.Duration(simulation.random.Int63n(int64((high-low)/step)+1))*step
}

func (simulation *simulation) randomInterval(longest time.Duration) interval {
	from := simulation.randomTime(3*time.Second, simulatedTime)
	return interval{from: from, to: from + simulation.randomTime(step, longest)}
}

// after runs the function on the VM after the delay, unless the VM has restarted by then. A paused VM runs it on resume.
func (simulation *simulation) after(delay time.Duration, vm *vm, run func()) {
	incarnation, at := vm.incarnation, simulation.now+max(delay, step)
	simulation.events[at] = append(simulation.events[at], func() {
		if vm.incarnation == incarnation {
			vm.queue = append(vm.queue, run)
		}
	})
}

func (simulation *simulation) delay() time.Duration {
	return simulation.randomTime(step, simulation.maxDelay)
}

func (simulation *simulation) linkUp(from, to *vm) bool {
	return !simulation.linkCuts[[2]int{from.index, to.index}].covers(simulation.now)
}

func (simulation *simulation) serviceAnswers(vm *vm) bool {
	return !simulation.serviceOutages.covers(simulation.now) && !simulation.serviceCuts[vm.index].covers(simulation.now)
}

func (simulation *simulation) reachable(vm *vm) bool {
	return simulation.now-vm.lastRead <= time.Second
}

func (simulation *simulation) platformHeard(vm *vm) bool {
	for _, at := range vm.lastHeard {
		if simulation.now-at <= time.Second {
			return true
		}
	}
	return false
}

// sendHeartbeat sends a heartbeat to a peer. The answer carries the peer's revision and the age of its confirmation.
func (simulation *simulation) sendHeartbeat(from, to *vm) {
	sent, reaches := simulation.now, simulation.reachable(from)
	if !simulation.linkUp(from, to) {
		return
	}
	simulation.after(simulation.delay(), to, func() {
		if reaches {
			to.lastHeard[from.index] = simulation.now
		}
		if !simulation.linkUp(to, from) {
			return
		}
		answer := freshness.Answer{
			Sent: sent, Revision: to.revision, Voting: to.state.Voting(), PlatformHeard: simulation.reachable(to) || simulation.platformHeard(to),
		}
		age, known := to.state.Age(simulation.now)
		reachable := simulation.reachable(to)
		// after drops the answer if the VM that asked has restarted since.
		simulation.after(simulation.delay(), from, func() {
			if reachable {
				from.lastHeard[to.index] = simulation.now
			}
			from.revision = max(from.revision, answer.Revision)
			if known {
				from.state.ConfirmPeer(sent, age)
			}
			from.state.RecordAnswer(to.id, answer)
		})
	})
}

// read reads the revision from the service; it succeeds if the service answers the VM both at the start and at the end.
func (simulation *simulation) read(vm *vm) {
	sent := simulation.now
	if !simulation.serviceAnswers(vm) {
		return
	}
	revision := simulation.stored
	simulation.after(simulation.delay(), vm, func() {
		if simulation.serviceAnswers(vm) {
			vm.revision = max(vm.revision, revision)
			vm.lastRead = simulation.now
			vm.state.ConfirmService(sent)
		}
	})
}

// propose writes a change. In a third of the cases the write takes effect up to 4 s after it was sent.
func (simulation *simulation) propose(vm *vm) {
	if simulation.rules.majorityBeforeWrite && !vm.state.HasMajority(simulation.now) || !simulation.serviceAnswers(vm) {
		return
	}
	delay := simulation.delay()
	if simulation.random.Intn(3) == 0 {
		delay = simulation.randomTime(step, 4*time.Second)
	}
	incarnation, at := vm.incarnation, simulation.now+delay
	simulation.events[at] = append(simulation.events[at], func() {
		if simulation.serviceOutages.covers(simulation.now) {
			return
		}
		simulation.stored++
		if vm.incarnation == incarnation && simulation.serviceAnswers(vm) {
			stored := simulation.stored
			simulation.after(simulation.delay(), vm, func() {
				vm.revision = max(vm.revision, stored)
				vm.unaccepted[stored] = true
			})
		}
	})
}

func (simulation *simulation) accept(vm *vm) {
	for revision := range vm.unaccepted {
		if simulation.rules.majorityAfterWrite && !vm.state.Accepted(revision, vm.revision, simulation.now) {
			continue
		}
		delete(vm.unaccepted, revision)
		simulation.accepted[revision] = simulation.now
	}
}

// check records a violation if a VM that lacks an accepted change may admit later than AdmissionLimit after the acceptance.
// The acceptance counts from the report to the operator, and the age of a confirmation from the sending of the heartbeat,
// so that message delays do not extend the bound.
func (simulation *simulation) check(vm *vm) {
	until, known := vm.state.AdmitUntil()
	if !known || simulation.now > until {
		return
	}
	simulation.admissions[vm.index]++
	for revision, at := range simulation.accepted {
		if revision > vm.revision && simulation.now-at > freshness.AdmissionLimit && simulation.violation == "" {
			simulation.violation = fmt.Sprintf("at %s %s admits without revision %d, accepted at %s", simulation.now, vm.id, revision, at)
		}
	}
}

func (simulation *simulation) run() {
	for ; simulation.now < simulatedTime; simulation.now += step {
		for _, event := range simulation.events[simulation.now] {
			event()
		}
		delete(simulation.events, simulation.now)
		for _, vm := range simulation.vms {
			if vm.paused.covers(simulation.now) {
				continue
			}
			// After a pause, requests are admitted before any message is handled.
			simulation.check(vm)
			queue := vm.queue
			vm.queue = nil
			for _, run := range queue {
				run()
			}
			if (simulation.now+time.Duration(vm.index)*step)%heartbeatPeriod == 0 {
				simulation.read(vm)
				for _, other := range simulation.vms {
					if other != vm {
						simulation.sendHeartbeat(vm, other)
					}
				}
			}
			if simulation.rules.confirmByMajority && !simulation.reachable(vm) && !simulation.platformHeard(vm) {
				vm.state.ConfirmMajority(vm.revision, simulation.now)
			}
			simulation.accept(vm)
			simulation.check(vm)
		}
	}
}
