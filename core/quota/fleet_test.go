package quota_test

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"dotterelgw/core/ids"
	"dotterelgw/core/limit"
	"dotterelgw/core/quota"
)

const (
	// tick is the step of the simulated clock.
	tick = time.Millisecond
	// planTicks is the number of steps between two plans of a VM.
	planTicks = 50
	// waitTicks is the number of steps that an operation waits for a loan.
	waitTicks = 20
)

// message is a datagram under way.
type message struct {
	at       int
	from, to ids.VMID
	ask      *quota.Ask
	loan     *quota.Loan
}

// simulation runs the books of a fleet without a network.
type simulation struct {
	random *rand.Rand
	books  map[ids.VMID]*quota.Book
	vms    []ids.VMID
	budget limit.Budget
	// away is what each process is told of how long it was away.
	away time.Duration
	// cut states which VMs no datagram reaches.
	cut      map[ids.VMID]bool
	messages []message
	waiting  []waiting
	admitted []time.Duration
	refused  int
	byVM     map[ids.VMID]int
	// whole is the budget undivided, and refusedByOneBucket what it refuses of the same load.
	whole              limit.Bucket
	refusedByOneBucket int
}

type waiting struct {
	vm  ids.VMID
	end int
}

const organisation ids.OrganisationID = "org"

func newSimulation(seed int64, vms int, budget limit.Budget) *simulation {
	simulation := &simulation{
		random: rand.New(rand.NewSource(seed)), books: make(map[ids.VMID]*quota.Book), cut: make(map[ids.VMID]bool),
		budget: budget, away: quota.LeastAway, byVM: make(map[ids.VMID]int),
		whole: limit.NewBucket(limit.Share{Rate: budget.Rate, Burst: budget.Burst}, 0),
	}
	for index := range vms {
		simulation.vms = append(simulation.vms, ids.VMID(fmt.Sprintf("vm%d", index)))
	}
	for _, vm := range simulation.vms {
		simulation.restart(vm, 0)
	}
	return simulation
}

// restart gives the VM an empty book, as a new process has.
func (simulation *simulation) restart(vm ids.VMID, now time.Duration) {
	book := quota.NewBook(vm, simulation.away)
	book.SetVMs(now, simulation.vms)
	book.SetBudgets(now, map[ids.OrganisationID]limit.Budget{organisation: simulation.budget})
	simulation.books[vm] = book
}

// run plays the time with the demand in operations a second of each VM.
func (simulation *simulation) run(from, length time.Duration, demand map[ids.VMID]float64) {
	for step := int(from / tick); step < int((from+length)/tick); step++ {
		now := time.Duration(step) * tick
		simulation.deliver(step, now)
		for index, vm := range simulation.vms {
			if simulation.random.Float64() < demand[vm]*tick.Seconds() {
				simulation.arrive(step, now, vm)
			}
			if (step+index*7)%planTicks == 0 {
				simulation.plan(step, now, vm)
			}
		}
		simulation.expire(step, now)
	}
}

func (simulation *simulation) arrive(step int, now time.Duration, vm ids.VMID) {
	if simulation.whole.Take(now, 1) == 0 {
		simulation.refusedByOneBucket++
	}
	book := simulation.books[vm]
	switch {
	case book.Admit(now, organisation):
		simulation.admit(now, vm)
	case book.Wait(now, organisation):
		simulation.waiting = append(simulation.waiting, waiting{vm: vm, end: step + waitTicks})
		simulation.plan(step, now, vm)
	default:
		simulation.refused++
	}
}

func (simulation *simulation) admit(now time.Duration, vm ids.VMID) {
	simulation.admitted = append(simulation.admitted, now)
	simulation.byVM[vm]++
}

func (simulation *simulation) plan(step int, now time.Duration, vm ids.VMID) {
	for _, ask := range simulation.books[vm].Plan(now) {
		simulation.send(message{at: step + 1 + simulation.random.Intn(2), from: vm, to: ask.To, ask: &ask.Ask})
	}
}

func (simulation *simulation) send(message message) {
	if !simulation.cut[message.from] && !simulation.cut[message.to] {
		simulation.messages = append(simulation.messages, message)
	}
}

func (simulation *simulation) deliver(step int, now time.Duration) {
	var later []message
	due := simulation.messages
	simulation.messages = nil
	for _, one := range due {
		switch {
		case one.at > step:
			later = append(later, one)
		case one.ask != nil:
			loan := simulation.books[one.to].Lend(now, *one.ask)
			simulation.send(message{at: step + 1 + simulation.random.Intn(2), from: one.to, to: one.from, loan: &loan})
		default:
			if simulation.books[one.to].Receive(now, one.from, *one.loan) {
				simulation.plan(step, now, one.to)
			}
		}
	}
	simulation.messages = append(simulation.messages, later...)
}

// expire admits or refuses the operations that wait.
func (simulation *simulation) expire(step int, now time.Duration) {
	var left []waiting
	for _, one := range simulation.waiting {
		last := step >= one.end
		switch {
		case simulation.books[one.vm].AdmitWaiting(now, organisation, last):
			simulation.admit(now, one.vm)
		case last:
			simulation.refused++
		default:
			left = append(left, one)
		}
	}
	simulation.waiting = left
}

// most returns the largest number of admitted operations in any window of the length.
func (simulation *simulation) most(window time.Duration) int {
	most, first := 0, 0
	for last := range simulation.admitted {
		for simulation.admitted[last]-simulation.admitted[first] >= window {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

func even(simulation *simulation, total float64) map[ids.VMID]float64 {
	demand := make(map[ids.VMID]float64)
	for _, vm := range simulation.vms {
		demand[vm] = total / float64(len(simulation.vms))
	}
	return demand
}

// window is the time over which the use of a rate is judged.
const window = 5 * time.Second

// bound is what an organisation may use in a window with the tolerance that the platform grants.
func bound(budget limit.Budget) int {
	return int((budget.Rate*window.Seconds()+budget.Burst)*1.1 + 20)
}

// Pattern: an organisation sends many times its rate. Guards against more than rate and burst over the whole fleet, and
// against a rate of which a large part is refused.
func TestOrganisationOverItsRate(t *testing.T) {
	for name, budget := range map[string]limit.Budget{
		"large": {Rate: 113, Burst: 113}, "small": {Rate: 21, Burst: 21}, "tiny": {Rate: 3, Burst: 3}, "wide burst": {Rate: 20, Burst: 200},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range int64(5) {
				simulation := newSimulation(seed, 7, budget)
				demand := even(simulation, 0)
				demand["vm0"], demand["vm1"], demand["vm2"] = 5*budget.Rate, 2*budget.Rate, budget.Rate/2
				simulation.run(0, 30*time.Second, demand)
				if most := simulation.most(window); most > bound(budget) {
					t.Errorf("seed %d: %d operations in %v, bound %d", seed, most, window, bound(budget))
				}
				if least := int(budget.Rate * 30 * 0.9); len(simulation.admitted) < least {
					t.Errorf("seed %d: %d operations in 30 s, want %d at least", seed, len(simulation.admitted), least)
				}
			}
		})
	}
}

// Pattern: uneven load within the rate, as a balancer by hash of the client gives. Guards against refusals of operations
// that the rate covers.
func TestUnevenLoadWithinTheRate(t *testing.T) {
	for name, budget := range map[string]limit.Budget{"large": {Rate: 113, Burst: 113}, "small": {Rate: 21, Burst: 21}} {
		t.Run(name, func(t *testing.T) {
			refused, all := 0, 0
			for seed := range int64(5) {
				simulation := newSimulation(seed, 7, budget)
				demand := even(simulation, 0)
				demand["vm0"], demand["vm1"], demand["vm2"] = 0.35*budget.Rate, 0.2*budget.Rate, 0.07*budget.Rate
				// The parts begin empty and fill before callers come.
				simulation.run(10*time.Second, 30*time.Second, demand)
				refused += simulation.refused
				all += simulation.refused + len(simulation.admitted)
			}
			if share := float64(refused) / float64(all); share > 0.01 {
				t.Errorf("%.2f %% of %d operations within the rate refused, target 1 %%", 100*share, all)
			}
		})
	}
}

// Pattern: small organisations before a large fleet, of which few VMs own a part. Guards against asking VMs that have nothing to
// lend, and against parts so small that what they earn is lost or cannot be lent whole. What one bucket for the whole fleet
// would refuse of the same load isn't counted.
func TestSmallOrganisationBeforeLargeFleet(t *testing.T) {
	for name, budget := range map[string]limit.Budget{
		"small": {Rate: 30, Burst: 30}, "smaller": {Rate: 12, Burst: 12}, "tiny": {Rate: 6, Burst: 6},
	} {
		t.Run(name, func(t *testing.T) {
			refused, whole, all := 0, 0, 0
			for seed := range int64(5) {
				simulation := newSimulation(seed, 87, budget)
				simulation.run(10*time.Second, 30*time.Second, even(simulation, 0.62*budget.Rate))
				refused += simulation.refused
				whole += simulation.refusedByOneBucket
				all += simulation.refused + len(simulation.admitted)
			}
			t.Logf("%d operations: %d refused, %d by one bucket", all, refused, whole)
			if share := float64(refused-whole) / float64(all); share > 0.01 {
				t.Errorf("%.2f %% of %d operations within the rate refused, target 1 %%", 100*share, all)
			}
		})
	}
}

// Pattern: all processes are killed and start again while an organisation is over its rate. Guards against parts that are
// full after each start.
func TestRestartsGrantNothing(t *testing.T) {
	budget := limit.Budget{Rate: 50, Burst: 50}
	simulation := newSimulation(1, 7, budget)
	demand := even(simulation, 500)
	for second := range 20 {
		simulation.run(time.Duration(second)*time.Second, time.Second, demand)
		for _, vm := range simulation.vms {
			simulation.restart(vm, time.Duration(second+1)*time.Second)
		}
	}
	if most := simulation.most(window); most > bound(budget) {
		t.Errorf("%d operations in %v, bound %d", most, window, bound(budget))
	}
}

// Pattern: all processes are killed again and again while an organisation sends ten times its rate, and the platform starts them half a
// second later. Guards against parts that begin with more than they earned while their processes were away.
func TestRestartsAfterPause(t *testing.T) {
	const away, up = 500 * time.Millisecond, time.Second
	budget := limit.Budget{Rate: 50, Burst: 50}
	simulation := newSimulation(1, 7, budget)
	simulation.away = 450 * time.Millisecond
	demand := even(simulation, 500)
	for now := time.Duration(0); now < 20*time.Second; {
		simulation.run(now, up, demand)
		now += up
		simulation.run(now, away, nil)
		now += away
		for _, vm := range simulation.vms {
			simulation.restart(vm, now)
		}
	}
	if most := simulation.most(window); most > bound(budget) {
		t.Errorf("%d operations in %v, bound %d", most, window, bound(budget))
	}
}

// Pattern: all VMs lose power and start again before callers whose organisations use little of their rates. Guards against
// refusing the first operations of a fleet that just started.
func TestFirstOperationsAfterStart(t *testing.T) {
	budget := limit.Budget{Rate: 60, Burst: 60}
	refused, all := 0, 0
	for seed := range int64(60) {
		simulation := newSimulation(seed, 8, budget)
		simulation.run(0, time.Second, even(simulation, 0.62*budget.Rate))
		refused += simulation.refused
		all += simulation.refused + len(simulation.admitted)
	}
	if share := float64(refused) / float64(all); share > 0.01 {
		t.Errorf("%.2f %% of %d operations in the first second refused, target 1 %%", 100*share, all)
	}
}

// Pattern: a VM is cut off from the others and goes on. Guards against a partition that raises the rate.
func TestPartitionedVM(t *testing.T) {
	budget := limit.Budget{Rate: 113, Burst: 113}
	simulation := newSimulation(3, 7, budget)
	demand := even(simulation, 1000)
	simulation.run(0, 5*time.Second, demand)
	simulation.cut["vm0"], simulation.cut["vm3"] = true, true
	simulation.run(5*time.Second, 10*time.Second, demand)
	simulation.cut = map[ids.VMID]bool{}
	simulation.run(15*time.Second, 10*time.Second, demand)
	if most := simulation.most(window); most > bound(budget) {
		t.Errorf("%d operations in %v, bound %d", most, window, bound(budget))
	}
}

// Guards against a loan that counts twice, or that was never asked for.
func TestForeignLoans(t *testing.T) {
	simulation := newSimulation(1, 2, limit.Budget{Rate: 100, Burst: 100})
	book := simulation.books["vm0"]
	now := 100 * time.Second
	if !book.Wait(now, organisation) {
		t.Fatal("nothing to wait for")
	}
	asks := book.Plan(now)
	if len(asks) != 1 {
		t.Fatalf("%d asks", len(asks))
	}
	loan := quota.Loan{Number: asks[0].Number, Items: []quota.Lent{{Organisation: organisation, Amount: 1}}}
	foreign := loan
	foreign.Number += 7
	before := count(book, now)
	for range 2 {
		book.Receive(now, "vm2", loan)
		book.Receive(now, "vm1", foreign)
		book.Receive(now, "vm1", loan)
	}
	if after := count(book, now); before+after != before+1 {
		t.Errorf("%d operations after one loan of 1", after)
	}
}

// count spends everything that the book has.
func count(book *quota.Book, now time.Duration) int {
	spent := 0
	for book.Admit(now, organisation) {
		spent++
	}
	return spent
}
