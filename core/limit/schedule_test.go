package limit

import (
	"fmt"
	"math/rand"
	"slices"
	"time"

	"dotterelgw/core/ids"
)

const (
	simulatedVMs        = 8
	simulatedStep       = 4 * time.Millisecond
	queueTimeout        = 50 * time.Millisecond
	maxConfigurationAge = 3 * time.Second
	simulatedOrg        = ids.OrganisationID("acme")
)

// variant switches off one rule, for tests that show its effect. The zero value is the complete protocol.
type variant struct {
	fullStart bool // new holders skip the fill delay, and holders grant however old their configuration check is
	noExpiry  bool // grants are valid for an hour
	static    bool // each VM admits from an equal static share, without borrowing
}

type vm struct {
	id                ids.VMID
	holder            *Holder
	borrower          *Borrower
	drift             float64
	offset            time.Duration
	running           bool
	pausedUntil       time.Duration
	partitionedUntil  time.Duration
	downUntil         time.Duration
	configurationRead time.Duration // the time of the last read of the share record
	inbox             []message
	static            Bucket
	waiting           []time.Duration
}

func (vm *vm) clock(at time.Duration) time.Duration {
	return vm.offset + time.Duration(float64(at)*(1+vm.drift))
}

type message struct {
	at     time.Duration
	handle func(now time.Duration)
}

// schedule is one random run of eight VMs with crashes, pauses, partitions, delayed messages and changes of the share
// record.
type schedule struct {
	random      *rand.Rand
	variant     variant
	budget      Budget
	faults      bool
	offered     func(now time.Duration, vm int) float64 // requests per second at each VM
	vms         []*vm
	shareRecord ShareRecord
	admitted    []time.Duration
	requests    int
}

func newSchedule(seed int64, budget Budget, variant variant, faults bool) *schedule {
	schedule := &schedule{random: rand.New(rand.NewSource(seed)), variant: variant, budget: budget, faults: faults}
	for index := range simulatedVMs {
		schedule.shareRecord.VMs = append(schedule.shareRecord.VMs, ids.VMID(fmt.Sprintf("vm%d", index)))
	}
	schedule.shareRecord.Epoch = 1
	for _, id := range schedule.shareRecord.VMs {
		vm := &vm{id: id, drift: (schedule.random.Float64()*2 - 1) * MaxDrift, offset: time.Duration(schedule.random.Int63n(int64(time.Hour)))}
		schedule.vms = append(schedule.vms, vm)
		schedule.start(vm, 0)
	}
	return schedule
}

func rankByHash(organisation ids.OrganisationID, n int, vms []ids.VMID) []ids.VMID {
	ranked := slices.Clone(vms)
	weight := func(vm ids.VMID) uint32 {
		hash := uint32(2166136261)
		for _, char := range []byte(string(organisation) + string(vm)) {
			hash = (hash ^ uint32(char)) * 16777619
		}
		return hash * 2654435761
	}
	slices.SortFunc(ranked, func(a, b ids.VMID) int { return int(int64(weight(a)) - int64(weight(b))) })
	return ranked[:min(n, len(ranked))]
}

func (schedule *schedule) start(vm *vm, now time.Duration) {
	handover := maxConfigurationAge
	if schedule.variant.fullStart {
		handover = -time.Hour
	}
	vm.holder = NewHolder(vm.id, rankByHash, handover)
	vm.holder.SetBudget(vm.clock(now), simulatedOrg, schedule.budget)
	vm.holder.Apply(vm.clock(now), schedule.shareRecord)
	vm.borrower = NewBorrower(vm.holder.Validity(simulatedOrg))
	part := Share{Rate: schedule.budget.Rate / simulatedVMs, Burst: schedule.budget.Burst / simulatedVMs}
	vm.static = NewBucket(part, vm.clock(now))
	vm.running, vm.configurationRead, vm.inbox, vm.waiting = true, now, nil, nil
}

func (schedule *schedule) run(length time.Duration) {
	for now := time.Duration(0); now < length; now += simulatedStep {
		if schedule.faults {
			schedule.injectFault(now)
		}
		for index, vm := range schedule.vms {
			if !vm.running || now < vm.pausedUntil {
				continue
			}
			schedule.step(now, index, vm)
		}
	}
}

// injectFault causes one random fault every 600 ms on average. Each lasts up to four seconds.
func (schedule *schedule) injectFault(now time.Duration) {
	for _, vm := range schedule.vms {
		if !vm.running && now >= vm.downUntil {
			schedule.start(vm, now)
		}
	}
	if schedule.random.Float64() > float64(simulatedStep)/float64(600*time.Millisecond) {
		return
	}
	vm := schedule.vms[schedule.random.Intn(len(schedule.vms))]
	until := now + time.Duration(schedule.random.Int63n(int64(4*time.Second)))
	switch schedule.random.Intn(8) {
	case 0:
		schedule.changeRecord(vm.id)
	case 1, 2:
		vm.running, vm.downUntil = false, until
	case 3, 4:
		vm.partitionedUntil = until
	default:
		vm.pausedUntil = until
	}
}

// changeRecord publishes a record in which the VM joins, or leaves if the record lists more than half of the VMs.
func (schedule *schedule) changeRecord(id ids.VMID) {
	vms := slices.Clone(schedule.shareRecord.VMs)
	if at := slices.Index(vms, id); at < 0 {
		vms = append(vms, id)
	} else if len(vms) > simulatedVMs/2 {
		vms = slices.Delete(vms, at, at+1)
	}
	slices.Sort(vms)
	schedule.shareRecord = ShareRecord{Epoch: schedule.shareRecord.Epoch + 1, VMs: vms}
}

func (schedule *schedule) step(now time.Duration, index int, vm *vm) {
	if now >= vm.partitionedUntil && schedule.random.Intn(50) == 0 { // reads the configuration every 200 ms on average
		vm.holder.Apply(vm.clock(now), schedule.shareRecord)
		vm.configurationRead = now
	}
	inbox := vm.inbox
	vm.inbox = nil
	for _, message := range inbox {
		if message.at > now {
			vm.inbox = append(vm.inbox, message)
			continue
		}
		message.handle(now)
	}
	schedule.admitWaiting(now, vm)
	for range schedule.arrivals(now, index) {
		schedule.requests++
		if schedule.admit(now, vm) {
			schedule.admitted = append(schedule.admitted, now)
		} else {
			vm.waiting = append(vm.waiting, now)
		}
	}
	vm.borrower.SetWaiting(int64(len(vm.waiting)))
	schedule.requestTokens(now, vm)
}

func (schedule *schedule) admitWaiting(now time.Duration, vm *vm) {
	for len(vm.waiting) > 0 {
		expired := now-vm.waiting[0] > queueTimeout
		if !expired {
			if schedule.variant.static || !schedule.configurationFresh(now, vm) || !vm.borrower.AdmitWaiting(vm.clock(now)) {
				return
			}
			schedule.admitted = append(schedule.admitted, now)
		}
		vm.waiting = vm.waiting[1:]
	}
}

func (schedule *schedule) configurationFresh(now time.Duration, vm *vm) bool {
	return vm.clock(now)-vm.clock(vm.configurationRead) <= maxConfigurationAge
}

func (schedule *schedule) admit(now time.Duration, vm *vm) bool {
	if schedule.variant.static {
		return vm.static.Take(vm.clock(now), 1) == 1
	}
	return schedule.configurationFresh(now, vm) && vm.borrower.Admit(vm.clock(now))
}

func (schedule *schedule) arrivals(now time.Duration, index int) int {
	mean := schedule.offered(now, index) * simulatedStep.Seconds()
	count := int(mean)
	if schedule.random.Float64() < mean-float64(count) {
		count++
	}
	return count
}

func (schedule *schedule) requestTokens(now time.Duration, vm *vm) {
	amount := vm.borrower.TokensToRequest(vm.clock(now))
	holders := vm.holder.Holders(simulatedOrg)
	if amount == 0 || len(holders) == 0 {
		return
	}
	epoch := vm.holder.Record().Epoch
	sent := vm.clock(now)
	for index, each := range vm.borrower.Split(amount, len(holders)) {
		if each > 0 {
			vm.borrower.AddPending(each)
			schedule.send(now, vm, holders[index], epoch, sent, each)
		}
	}
}

func (schedule *schedule) send(now time.Duration, from *vm, to ids.VMID, epoch Epoch, sent time.Duration, amount int64) {
	target := schedule.vms[slices.IndexFunc(schedule.vms, func(vm *vm) bool { return vm.id == to })]
	borrower, answered := from.borrower, false
	finish := func() {
		if !answered {
			answered = true
			borrower.AddPending(-amount)
		}
	}
	from.inbox = append(from.inbox, message{at: now + MinValidity, handle: func(time.Duration) { finish() }})
	target.inbox = append(target.inbox, message{at: now + schedule.delay(), handle: func(now time.Duration) {
		granted, validity := int64(0), time.Duration(0)
		if schedule.configurationFresh(now, target) || schedule.variant.fullStart {
			granted, validity = target.holder.Borrow(target.clock(now), epoch, simulatedOrg, amount)
		}
		from.inbox = append(from.inbox, message{at: now + schedule.delay(), handle: func(now time.Duration) {
			finish()
			if schedule.variant.noExpiry {
				validity = time.Hour
			}
			borrower.Receive(from.clock(now), sent, granted, validity)
		}})
	}})
}

// delay returns the delay of a message: one simulated step, and with faults up to 500 ms for one message in 20.
func (schedule *schedule) delay() time.Duration {
	if schedule.faults && schedule.random.Intn(20) == 0 {
		return time.Duration(schedule.random.Int63n(int64(500 * time.Millisecond)))
	}
	return simulatedStep
}

// excess returns the largest number of requests by which any interval exceeds rate × length + burst, and 0 if none does.
func (schedule *schedule) excess() float64 {
	tokens, worst := schedule.budget.Burst, 0.0
	last := time.Duration(0)
	for _, at := range schedule.admitted {
		tokens = min(tokens+schedule.budget.Rate*(at-last).Seconds(), schedule.budget.Burst) - 1
		last = at
		worst = max(worst, -tokens)
	}
	return worst
}
