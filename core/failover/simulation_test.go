package failover

import (
	"container/heap"
	"fmt"
	"math/rand"
	"time"

	"dotterelgw/core/config"
	"dotterelgw/core/ids"
	"dotterelgw/core/position"
)

// The simulation runs three VMs, three servers and the key-value service on a simulated clock. Nodes 0 to 2 are the VMs,
// 3 to 5 the servers and 6 the key-value service.
const (
	vmCount     = 3
	nodeCount   = 7
	serviceNode = 6
	probeEvery  = 40 * time.Millisecond
)

type event struct {
	at    time.Duration
	order int
	run   func()
}

type events []event

func (events events) Len() int { return len(events) }

func (events events) Less(i, j int) bool {
	if events[i].at != events[j].at {
		return events[i].at < events[j].at
	}
	return events[i].order < events[j].order
}
func (events events) Swap(i, j int) { events[i], events[j] = events[j], events[i] }
func (events *events) Push(x any)   { *events = append(*events, x.(event)) }
func (events *events) Pop() any {
	old := *events
	last := old[len(old)-1]
	*events = old[:len(old)-1]
	return last
}

type logRecord struct {
	term ids.Term
	id   int
}

type database struct {
	node      int
	record    config.ServerRecord
	log       []logRecord
	primary   bool
	term      ids.Term
	promised  ids.Term
	following int
	leaving   bool
}

type vm struct {
	node        int
	coordinator *Coordinator
	watch       [3]ProbeMonitor
	latest      [3]*Status
	probing     [3]bool
	writes      []pendingWrite
}

type pendingWrite struct {
	want       position.Position
	executedBy ids.BackendServerID
	id         int
	at         time.Duration
}

type promotion struct {
	term ids.Term
	log  []logRecord
}

// simulation holds the state of the simulated system and the violations found.
type simulation struct {
	random       *rand.Rand
	now          time.Duration
	queue        events
	sequence     int
	blocked      [nodeCount][nodeCount]bool
	paused       [nodeCount]time.Duration
	answerLoss   float64       // probability that a response of the key-value service is lost
	maxSwapDelay time.Duration // maximum delay of a swap
	vms          []*vm
	servers      []*database
	record       config.TermRecord
	revision     ids.Revision
	nextID       int
	acknowledged map[int]position.Position
	promotions   []promotion
	claims       int
	violations   []string

	// racing makes all orderers act at once instead of delayed by rank.
	racing bool
	// naiveAck acknowledges writes on the primary's response alone.
	naiveAck bool
}

func newSimulation(seed int64, change func(*Coordinator)) *simulation {
	sim := &simulation{random: rand.New(rand.NewSource(seed)), acknowledged: map[int]position.Position{}}
	group := config.GroupRecord{Group: "g"}
	for index := range 3 {
		record := config.ServerRecord{ID: ids.BackendServerID(fmt.Sprint("s", index)), Address: fmt.Sprint(index)}
		group.Servers = append(group.Servers, record)
		sim.servers = append(sim.servers, &database{
			node: vmCount + index, record: record, primary: index == 0, term: 1, promised: 1, following: 0,
		})
	}
	for index := range vmCount {
		coordinator, err := NewCoordinator(ids.VMID(fmt.Sprint("vm", index)), group, 0)
		if err != nil {
			panic(err)
		}
		if change != nil {
			change(coordinator)
		}
		sim.vms = append(sim.vms, &vm{node: index, coordinator: coordinator})
	}
	for index, vm := range sim.vms {
		sim.every(time.Duration(index)*time.Millisecond, 20*time.Millisecond, func() { sim.onVM(vm, sim.tick) })
		sim.every(0, probeEvery, func() { sim.onVM(vm, sim.probeAll) })
		sim.every(0, 30*time.Millisecond, func() { sim.onVM(vm, sim.write) })
		sim.every(0, 100*time.Millisecond, func() { sim.onVM(vm, sim.readRecord) })
	}
	for _, server := range sim.servers {
		sim.every(0, 7*time.Millisecond, func() { sim.replicate(server) })
	}
	return sim
}

func (sim *simulation) at(delay time.Duration, run func()) {
	sim.sequence++
	heap.Push(&sim.queue, event{at: sim.now + delay, order: sim.sequence, run: run})
}

func (sim *simulation) every(first, period time.Duration, run func()) {
	sim.at(first, func() {
		run()
		sim.every(period, period, run)
	})
}

func (sim *simulation) runUntil(end time.Duration) {
	for len(sim.queue) > 0 && sim.queue[0].at <= end && len(sim.violations) == 0 {
		next := heap.Pop(&sim.queue).(event)
		sim.now = next.at
		next.run()
	}
	sim.now = max(sim.now, end)
}

// onVM runs a periodic task unless the VM is paused.
func (sim *simulation) onVM(vm *vm, task func(*vm)) {
	if sim.now >= sim.paused[vm.node] {
		task(vm)
	}
}

// send delivers a message after a delay unless the link is blocked in that direction. A paused receiver gets it after its
// pause.
func (sim *simulation) send(from, to int, deliver func()) {
	delay := time.Duration(500+sim.random.Intn(2500)) * time.Microsecond
	sim.at(delay, func() {
		if sim.blocked[from][to] {
			return
		}
		if wait := sim.paused[to] - sim.now; wait > 0 {
			sim.at(wait, deliver)
			return
		}
		deliver()
	})
}

// call runs a function on a server or the key-value service and sends the result back. A nil result loses the response.
func (sim *simulation) call(vm *vm, to int, run func() func()) {
	sim.send(vm.node, to, func() {
		if answer := run(); answer != nil {
			sim.send(to, vm.node, answer)
		}
	})
}

func (server *database) status() Status {
	status := Status{
		Server: server.record.ID, Primary: server.primary, Term: server.term, Promised: server.promised, Leaving: server.leaving,
	}
	if count := len(server.log); count > 0 {
		status.LogTerm = server.log[count-1].term
		status.Written, status.Received, status.Replayed = ids.LogPosition(count), ids.LogPosition(count), ids.LogPosition(count)
	}
	return status
}

func (sim *simulation) probeAll(vm *vm) {
	for index, server := range sim.servers {
		if vm.probing[index] {
			continue
		}
		vm.probing[index] = true
		open := true
		sim.call(vm, server.node, func() func() {
			status := server.status()
			return func() {
				if open {
					open, vm.probing[index] = false, false
					vm.watch[index].Answered(sim.now, status)
					vm.latest[index] = &status
					sim.confirm(vm)
				}
			}
		})
		sim.at(ProbeTimeout, func() {
			sim.afterPause(vm, func() {
				if open {
					open, vm.probing[index] = false, false
					vm.watch[index].Failed()
				}
			})
		})
	}
}

func (sim *simulation) afterPause(vm *vm, run func()) {
	if wait := sim.paused[vm.node] - sim.now; wait > 0 {
		sim.at(wait, func() { sim.afterPause(vm, run) })
		return
	}
	run()
}

func (sim *simulation) evidence(vm *vm) []Evidence {
	evidence := make([]Evidence, 0, 3)
	for index, server := range sim.servers {
		one := vm.watch[index].Evidence(sim.now)
		one.Server = server.record.ID
		evidence = append(evidence, one)
	}
	return evidence
}

func (sim *simulation) tick(vm *vm) {
	tickInput := TickInput{Own: sim.evidence(vm), Rank: vm.node, Watchers: vmCount}
	if sim.racing {
		tickInput.Rank = 0
	}
	if vm.coordinator.NeedsOthers(tickInput.Own) {
		for _, other := range sim.vms {
			if other != vm && !sim.blocked[vm.node][other.node] && !sim.blocked[other.node][vm.node] && sim.now >= sim.paused[other.node] {
				tickInput.Others = append(tickInput.Others, sim.evidence(other))
			}
		}
	}
	sim.execute(vm, vm.coordinator.Tick(sim.now, tickInput))
}

func (sim *simulation) execute(vm *vm, commands []Command) {
	for _, command := range commands {
		switch command.Kind {
		case Swap:
			sim.swap(vm, command)
		case Read:
			sim.read(vm, true)
		default:
			sim.command(vm, command)
		}
	}
}

func (sim *simulation) swap(vm *vm, command Command) {
	if command.Record.Step == Fencing {
		sim.claims++
	}
	open := true
	finish := func(result SwapResult, revision ids.Revision) {
		if open {
			open = false
			sim.execute(vm, vm.coordinator.Swapped(sim.now, result, command.Record, revision))
		}
	}
	deliver := func() func() {
		result, revision := SwapConflict, ids.Revision(0)
		if sim.revision == command.Expected {
			sim.revision++
			sim.record, result, revision = command.Record, SwapStored, sim.revision
		}
		if sim.random.Float64() < sim.answerLoss {
			return nil
		}
		return func() { finish(result, revision) }
	}
	sim.at(time.Duration(sim.random.Int63n(int64(sim.maxSwapDelay)+1)), func() { sim.call(vm, serviceNode, deliver) })
	sim.at(500*time.Millisecond, func() { sim.afterPause(vm, func() { finish(SwapUnknown, 0) }) })
}

func (sim *simulation) read(vm *vm, asked bool) {
	open := true
	finish := func(record config.TermRecord, revision ids.Revision, failed bool) {
		if open {
			open = false
			if asked {
				sim.execute(vm, vm.coordinator.Read(sim.now, record, revision, failed))
			} else if revision > 0 {
				sim.execute(vm, vm.coordinator.Applied(sim.now, record, revision))
			}
		}
	}
	sim.call(vm, serviceNode, func() func() {
		record, revision := sim.record, sim.revision
		return func() { finish(record, revision, false) }
	})
	if asked {
		sim.at(500*time.Millisecond, func() { sim.afterPause(vm, func() { finish(config.TermRecord{}, 0, true) }) })
	}
}

func (sim *simulation) readRecord(vm *vm) { sim.read(vm, false) }

// command runs a group function on a server.
func (sim *simulation) command(vm *vm, command Command) {
	var server *database
	for _, one := range sim.servers {
		if one.record.ID == command.Server.ID {
			server = one
		}
	}
	sim.call(vm, server.node, func() func() {
		refused := false
		switch command.Kind {
		case Fence:
			refused = server.promised > command.Term
			server.promised = max(server.promised, command.Term)
		case Promote:
			refused = server.promised != command.Term
			if !refused && !(server.primary && server.term == command.Term) {
				server.primary, server.term = true, command.Term
				sim.promoted(server)
			}
		case Follow:
			refused = server.promised > command.Term || server.primary && server.term == command.Term
			if !refused {
				server.primary, server.term, server.promised = false, command.Term, command.Term
				server.following = int(command.Primary.Address[0] - '0')
				server.truncate(command.Term, command.Start)
			}
		}
		sim.checkPrimaries()
		status := server.status()
		return func() {
			switch command.Kind {
			case Fence:
				sim.execute(vm, vm.coordinator.Fenced(sim.now, command.Term, status, refused))
			case QueryStatus:
				sim.execute(vm, vm.coordinator.StatusReceived(sim.now, status))
			case Promote:
				sim.execute(vm, vm.coordinator.Promoted(sim.now, command.Term, status, refused))
			}
		}
	})
}

// truncate removes the records of older terms beyond the start, as group_follow does.
func (server *database) truncate(term ids.Term, start ids.LogPosition) {
	for index := int(start); index < len(server.log); index++ {
		if server.log[index].term < term {
			server.log = append([]logRecord(nil), server.log[:index]...)
			return
		}
	}
}

// replicate copies a random number of missing records from the primary that the server follows. Like group_follow, it relies
// on positions only: a log that was not truncated where it diverges stays wrong.
func (sim *simulation) replicate(server *database) {
	source := sim.servers[server.following]
	healthy := !sim.blocked[source.node][server.node] && !sim.blocked[server.node][source.node] &&
		sim.now >= sim.paused[source.node] && sim.now >= sim.paused[server.node]
	if server.primary || !healthy || !source.primary || source.term != server.term || server.promised > server.term {
		return
	}
	if have, all := len(server.log), len(source.log); all > have {
		server.log = append(server.log, source.log[have:have+1+sim.random.Intn(all-have)]...)
	}
}
