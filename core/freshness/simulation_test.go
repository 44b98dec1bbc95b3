package freshness_test

import (
	"fmt"
	"math/rand"
	"time"

	"dotterelgw/core/freshness"
	"dotterelgw/core/ids"
)

// rules selects the protocol that a simulated fleet follows; the naive ones must fail the checks.
type rules struct {
	// heardBefore demands that the proposing VM hears from a majority before the write.
	heardBefore bool
	// acknowledged demands that a majority holds the change before it counts as accepted.
	acknowledged bool
	// outage allows a majority to stand in for the service.
	outage bool
	// rejoin makes a restarted VM vote at once.
	rejoin bool
}

var fullRules = rules{heardBefore: true, acknowledged: true, outage: true}

const (
	step          = 20 * time.Millisecond
	askPeriod     = 500 * time.Millisecond
	simulatedTime = 40 * time.Second
)

// span is a time during which something is broken.
type span struct{ from, to time.Duration }

func (span span) covers(now time.Duration) bool { return span.from <= now && now < span.to }

type spans []span

func (spans spans) covers(now time.Duration) bool {
	for _, span := range spans {
		if span.covers(now) {
			return true
		}
	}
	return false
}

// world is a deterministic model: some VMs, a service, links that lose messages, pauses, restarts and proposals.
type world struct {
	rules    rules
	random   *rand.Rand
	now      time.Duration
	maxDelay time.Duration
	vms      []*vm
	down     spans            // the service answers nobody
	unserved []spans          // by VM: the service does not answer it
	cut      map[[2]int]spans // by sender and receiver
	events   map[time.Duration][]func()
	stored   ids.Revision
	accepted map[ids.Revision]time.Duration
	// admissions counts the steps at which each VM admitted.
	admissions []int
	violation  string
}

type vm struct {
	index    int
	id       ids.VMID
	state    *freshness.Freshness
	revision ids.Revision
	life     int // rises with each restart; messages to an earlier life are lost
	paused   spans
	queue    []func()
	heardOf  map[int]time.Duration // when it last heard of each VM that reached the service
	answered time.Duration
	waiting  map[ids.Revision]bool
}

func newWorld(seed int64, size int, rules rules) *world {
	world := &world{
		rules: rules, random: rand.New(rand.NewSource(seed)), maxDelay: 60 * time.Millisecond,
		cut: map[[2]int]spans{}, events: map[time.Duration][]func(){}, accepted: map[ids.Revision]time.Duration{},
		unserved: make([]spans, size), admissions: make([]int, size),
	}
	for i := range size {
		world.vms = append(world.vms, &vm{index: i, id: ids.VMID(fmt.Sprint("vm-", i))})
	}
	for _, vm := range world.vms {
		world.boot(vm)
	}
	return world
}

func (world *world) boot(vm *vm) {
	vm.life++
	vm.revision, vm.queue, vm.waiting = 0, nil, map[ids.Revision]bool{}
	vm.heardOf, vm.answered = map[int]time.Duration{}, -time.Hour
	start := world.now
	if world.rules.rejoin {
		start -= time.Hour
	}
	vm.state = freshness.New(vm.id, start)
	var list []ids.VMID
	for _, other := range world.vms {
		list = append(list, other.id)
	}
	vm.state.SetList(list, world.now)
}

// between returns a random time on the simulation's grid.
func (world *world) between(low, high time.Duration) time.Duration {
	return low + time.Duration(world.random.Int63n(int64((high-low)/step)+1))*step
}

func (world *world) span(longest time.Duration) span {
	from := world.between(3*time.Second, simulatedTime)
	return span{from: from, to: from + world.between(step, longest)}
}

// after runs the function on the VM after the delay, unless the VM has restarted; a paused VM runs it on resume.
func (world *world) after(delay time.Duration, vm *vm, run func()) {
	life, at := vm.life, world.now+max(delay, step)
	world.events[at] = append(world.events[at], func() {
		if vm.life == life {
			vm.queue = append(vm.queue, run)
		}
	})
}

func (world *world) delay() time.Duration { return world.between(step, world.maxDelay) }

func (world *world) linked(from, to *vm) bool {
	return !world.cut[[2]int{from.index, to.index}].covers(world.now)
}

func (world *world) served(vm *vm) bool {
	return !world.down.covers(world.now) && !world.unserved[vm.index].covers(world.now)
}

func (world *world) reachable(vm *vm) bool { return world.now-vm.answered <= time.Second }

func (world *world) heard(vm *vm) bool {
	for _, at := range vm.heardOf {
		if world.now-at <= time.Second {
			return true
		}
	}
	return false
}

// ask sends a question to a peer; the answer brings the peer's revision and confirmation.
func (world *world) ask(from, to *vm) {
	sent, reaches := world.now, world.reachable(from)
	if !world.linked(from, to) {
		return
	}
	world.after(world.delay(), to, func() {
		if reaches {
			to.heardOf[from.index] = world.now
		}
		if !world.linked(to, from) {
			return
		}
		answer := freshness.Answer{
			Sent: sent, Revision: to.revision, Voting: to.state.Voting(), PlatformHeard: world.reachable(to) || world.heard(to),
		}
		age, known := to.state.Age(world.now)
		reachable := world.reachable(to)
		// The answer belongs to the life of the VM that asked; after checks that.
		world.after(world.delay(), from, func() {
			if reachable {
				from.heardOf[to.index] = world.now
			}
			from.revision = max(from.revision, answer.Revision)
			if known {
				from.state.ConfirmPeer(sent, age)
			}
			from.state.Hear(to.id, answer)
		})
	})
}

// read asks the service for its revision.
func (world *world) read(vm *vm) {
	sent := world.now
	if !world.served(vm) {
		return
	}
	revision := world.stored
	world.after(world.delay(), vm, func() {
		if world.served(vm) {
			vm.revision = max(vm.revision, revision)
			vm.answered = world.now
			vm.state.ConfirmService(sent)
		}
	})
}

// propose writes a withdrawal. The write may take effect long after it was sent.
func (world *world) propose(vm *vm) {
	if world.rules.heardBefore && !vm.state.HearsMajority(world.now) || !world.served(vm) {
		return
	}
	delay := world.delay()
	if world.random.Intn(3) == 0 {
		delay = world.between(step, 4*time.Second)
	}
	life, at := vm.life, world.now+delay
	world.events[at] = append(world.events[at], func() {
		if world.down.covers(world.now) {
			return
		}
		world.stored++
		if vm.life == life && world.served(vm) {
			stored := world.stored
			world.after(world.delay(), vm, func() {
				vm.revision = max(vm.revision, stored)
				vm.waiting[stored] = true
			})
		}
	})
}

func (world *world) accept(vm *vm) {
	for revision := range vm.waiting {
		if world.rules.acknowledged && !vm.state.Accepted(revision, vm.revision, world.now) {
			continue
		}
		delete(vm.waiting, revision)
		world.accepted[revision] = world.now
	}
}

// check finds an admission by a VM that lacks a change later than the bound after its acceptance. Acceptance is counted
// from the report to the operator, and ages from the question, so that delays add nothing to the bound.
func (world *world) check(vm *vm) {
	until, known := vm.state.AdmitUntil()
	if !known || world.now > until {
		return
	}
	world.admissions[vm.index]++
	for revision, at := range world.accepted {
		if revision > vm.revision && world.now-at > freshness.AdmissionLimit && world.violation == "" {
			world.violation = fmt.Sprintf("at %s %s admits without revision %d, accepted at %s", world.now, vm.id, revision, at)
		}
	}
}

func (world *world) run() {
	for ; world.now < simulatedTime; world.now += step {
		for _, event := range world.events[world.now] {
			event()
		}
		delete(world.events, world.now)
		for _, vm := range world.vms {
			if vm.paused.covers(world.now) {
				continue
			}
			// The data path is the first to run after a pause.
			world.check(vm)
			queue := vm.queue
			vm.queue = nil
			for _, run := range queue {
				run()
			}
			if (world.now+time.Duration(vm.index)*step)%askPeriod == 0 {
				world.read(vm)
				for _, other := range world.vms {
					if other != vm {
						world.ask(vm, other)
					}
				}
			}
			if world.rules.outage && !world.reachable(vm) && !world.heard(vm) {
				vm.state.ConfirmMajority(vm.revision, world.now)
			}
			world.accept(vm)
			world.check(vm)
		}
	}
}
