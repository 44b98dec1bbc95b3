package handover_test

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"dotterelgw/core/catalog"
	"dotterelgw/core/handover"
	"dotterelgw/core/ids"
	"dotterelgw/core/leader"
	"dotterelgw/core/membership"
	"dotterelgw/core/position"
)

const (
	modelDatabases = 3
	modelVMs       = 2
	// modelTick is the time that one action lets pass: longer than an order or its checks last, shorter than a fence.
	modelTick = 2500 * time.Millisecond
	// modelLapse is the number of ticks after which the registration of a crashed database is gone.
	modelLapse = 3
)

// rules switches parts of the product's decisions back to what they were, to show that the model finds the faults that they had.
type rules struct {
	// repeatOrders repeats an order for as long as its successor can be reached, however old its checks are.
	repeatOrders bool
	// registeredOnly takes the registered servers of the moment for the whole group.
	registeredOnly bool
	// unlistedGone takes a server whose registration is gone for one whose process has ended.
	unlistedGone bool
	// unmarkedOrders has a VM that starts know nothing of a promotion that has been ordered.
	unmarkedOrders bool
	// silentVMs has no VM tell the holder of the duty what it acknowledged. The VMs are fenced all the same.
	silentVMs bool
	// cutOffVM cuts the second VM off from the holder of the duty and from the store, so that it gets no notice to fence the old primary.
	cutOffVM bool
	// unknownVM has the holder of the duty not know of the second VM, which has just registered, and not wait for it.
	unknownVM bool
	// alwaysAssured has the VMs take for granted that they would know of an order to promote.
	alwaysAssured bool
}

// modelDatabase is one database at its address. A restart keeps the log and gives it another identifier.
type modelDatabase struct {
	starts, downFor   int
	up, primary, deaf bool
	registered        bool
	term, paused      ids.Term
	log               []int
}

// modelVM is what one VM keeps in memory.
type modelVM struct {
	tracker      *leader.Tracker
	fence        handover.Fence
	acknowledged position.Position
	// learnedAt holds when the VM learned of each server.
	learnedAt map[ids.BackendServerID]time.Duration
}

func newModelVM() *modelVM {
	return &modelVM{tracker: leader.NewTracker(), learnedAt: make(map[ids.BackendServerID]time.Duration)}
}

// attempt is a replacement for which a promotion has been ordered.
type attempt struct {
	successor handover.Member
	window    handover.OrderWindow
	term      ids.Term
}

// model is a group, the VMs in front of it and the services of the platform. Time passes by actions only.
type model struct {
	rules     rules
	now       time.Duration
	databases [modelDatabases]modelDatabase
	vms       [modelVMs]*modelVM
	// stored is the record of the members in the store; members is what the holder of the duty knows, nil after a restart.
	stored  membership.Record
	members *membership.Tracker
	// mark is the term of a replacement whose order may still take effect, as the store holds it; 0 if there is none.
	mark ids.Term
	// serviceAway makes the promotion service turn orders away; accepted holds the orders that have not taken effect.
	serviceAway bool
	accepted    []ids.BackendServerID
	attempt     *attempt
	order       handover.Order
	writes      int
	// acknowledged holds the writes that callers were told of.
	acknowledged []int
	// violation describes an acknowledged write that a promoted database lacks.
	violation string
}

func newModel(rules rules) *model {
	model := &model{rules: rules, now: time.Minute}
	for index := range model.databases {
		model.databases[index] = modelDatabase{starts: 1, up: true, registered: true, primary: index == 0, term: 1}
	}
	for index := range model.vms {
		model.vms[index] = newModelVM()
		model.listServers(model.vms[index])
		model.vms[index].tracker.Assure(model.now)
	}
	model.updateMembers()
	return model
}

func (model *model) id(index int) ids.BackendServerID {
	return ids.BackendServerID(fmt.Sprintf("i-%d-%d", index, model.databases[index].starts))
}

func (model *model) identity(index int) membership.Member {
	return membership.Member{ID: model.id(index), StartedMS: int64(model.databases[index].starts), Address: fmt.Sprint("host-", index)}
}

// received returns the end of the database's log.
func (database modelDatabase) received() position.Position {
	return position.Position{Term: database.term, Log: ids.LogPosition(len(database.log))}
}

func (database modelDatabase) status() leader.Status {
	role := catalog.RoleReplica
	if database.primary {
		role = catalog.RolePrimary
	}
	return leader.Status{Role: role, Term: database.term, Received: database.received(), PausedTerm: database.paused}
}

// leader returns the running primary of the highest term, nil if there is none.
func (model *model) leader() *modelDatabase {
	var newest *modelDatabase
	for index := range model.databases {
		database := &model.databases[index]
		if database.up && database.primary && (newest == nil || database.term > newest.term) {
			newest = database
		}
	}
	return newest
}

// replicate copies the log of the leader to every replica that receives it, and reports whether there is one.
func (model *model) replicate() (received bool) {
	primary := model.leader()
	if primary == nil {
		return false
	}
	for index := range model.databases {
		replica := &model.databases[index]
		if replica == primary || !replica.up || replica.deaf || replica.paused > primary.term || replica.term > primary.term {
			continue
		}
		replica.primary, replica.term, replica.paused = false, primary.term, 0
		replica.log = slices.Clone(primary.log)
		received = true
	}
	return received
}

// updateMembers brings the record of the members up to date, as the holder of the duty does.
func (model *model) updateMembers() {
	if model.members == nil {
		model.members = membership.NewTracker(model.stored)
	}
	var servers []membership.Server
	for index, database := range model.databases {
		answers := database.up && (database.registered || !model.rules.unlistedGone)
		servers = append(servers, membership.Server{
			Member: model.identity(index), Unlisted: !database.registered, Ended: !database.registered && !answers, Observed: true, Silent: !answers,
			Primary: database.primary && answers, Term: database.term, Received: database.received(), ObservedAt: model.now,
		})
	}
	model.stored = model.members.Update(model.now, servers)
}

// tick lets time pass. Accepted orders take effect, and registrations of databases that are down lapse.
func (model *model) tick() {
	for len(model.accepted) > 0 {
		model.takeEffect()
	}
	model.now += modelTick
	for index := range model.databases {
		database := &model.databases[index]
		if !database.up {
			database.downFor++
			database.registered = database.registered && database.downFor < modelLapse
		}
	}
	model.replicate()
	model.updateMembers()
}

// switchPower crashes a database that runs. It starts one that is down with the log that it had, under another identifier.
func (model *model) switchPower(index int) {
	database := &model.databases[index]
	if database.up {
		database.up, database.downFor = false, 0
		return
	}
	newest := model.leader()
	database.starts++
	database.up, database.registered, database.paused = true, true, 0
	database.primary = database.primary && (newest == nil || newest.term <= database.term)
	model.replicate()
}

// unlist has the store drop the registration of a database that runs, or has the database register again.
func (model *model) unlist(index int) {
	database := &model.databases[index]
	database.registered = database.up && !database.registered
	model.updateMembers()
}

// restartVM ends the memory of a VM. The first VM holds the duty; its successor reads the members anew.
func (model *model) restartVM(index int) {
	vm := newModelVM()
	model.listServers(vm)
	model.readFence(vm)
	model.vms[index] = vm
	if index == 0 {
		model.members, model.attempt, model.order = nil, nil, handover.Order{Server: "", SentAt: model.now}
	}
}

// readFence has a VM that starts learn from the store whether an order to promote may be pending.
func (model *model) readFence(vm *modelVM) {
	if model.mark == 0 || model.rules.unmarkedOrders {
		vm.tracker.Assure(model.now)
		return
	}
	vm.fence.Renew(model.now, model.mark)
	vm.tracker.RequireTerm(vm.fence.MinTerm())
}

// listServers has the VM learn of the registered servers.
func (model *model) listServers(vm *modelVM) {
	var registered []catalog.Server
	for index, database := range model.databases {
		if database.registered {
			identity := model.identity(index)
			registered = append(registered, catalog.Server{ID: identity.ID, Address: identity.Address, StartedMS: identity.StartedMS})
		}
	}
	vm.tracker.SetServers(model.now, registered)
	learnedBefore := vm.learnedAt
	vm.learnedAt = make(map[ids.BackendServerID]time.Duration)
	for _, server := range registered {
		vm.learnedAt[server.ID] = model.now
		if at, known := learnedBefore[server.ID]; known {
			vm.learnedAt[server.ID] = at
		}
	}
}

// write has a caller write through the VM, which polls the group before. A VM that is cut off learns nothing from the others.
func (model *model) write(vm *modelVM) {
	model.listServers(vm)
	for index, database := range model.databases {
		if database.up && database.registered {
			vm.tracker.Observe(model.id(index), leader.Observation{Status: database.status(), SentAt: model.now})
		}
	}
	if model.rules.alwaysAssured {
		vm.tracker.Assure(model.now)
	}
	if model.mark == 0 && (!model.rules.cutOffVM || vm == model.vms[0]) {
		vm.tracker.Assure(model.now)
	}
	server, _, known := vm.tracker.Primary()
	if !known || vm.tracker.LeaseExpiry() <= model.now {
		return
	}
	for index := range model.databases {
		database := &model.databases[index]
		if model.id(index) != server.ID || !database.up || database != model.leader() {
			continue
		}
		model.writes++
		database.log = append(database.log, model.writes)
		at := database.received()
		if model.replicate() && vm.fence.Durability(model.now, at, false, vm.tracker.AssuredUntil()) == handover.Durable {
			model.acknowledged = append(model.acknowledged, model.writes)
			vm.acknowledged = at
		}
	}
}

// takeEffect makes the first accepted order take effect.
func (model *model) takeEffect() {
	if len(model.accepted) == 0 {
		return
	}
	ordered := model.accepted[0]
	model.accepted = model.accepted[1:]
	for index := range model.databases {
		database := &model.databases[index]
		if model.id(index) == ordered && database.up && database != model.leader() {
			model.promote(database)
		}
	}
}

// promote makes the database the primary of the next term and checks that it has every acknowledged write.
func (model *model) promote(successor *modelDatabase) {
	for _, write := range model.acknowledged {
		if !slices.Contains(successor.log, write) && model.violation == "" {
			model.violation = fmt.Sprintf("the promoted database lacks the acknowledged write %d", write)
		}
	}
	var term ids.Term
	for _, database := range model.databases {
		term = max(term, database.term)
	}
	start := successor.received()
	for index := range model.databases {
		model.databases[index].primary = model.databases[index].primary && !model.databases[index].up
	}
	successor.primary, successor.term, successor.paused = true, term+1, 0
	model.replicate()
	if model.attempt == nil {
		return
	}
	for _, vm := range model.vms {
		vm.fence.PrimaryPromoted(successor.term, start)
		vm.tracker.RequireTerm(vm.fence.MinTerm())
	}
	model.attempt, model.order, model.mark = nil, handover.Order{}, 0
}

// fingerprint identifies the state, so that no state is explored twice.
func (model *model) fingerprint() string {
	var text strings.Builder
	order := model.order.PendingFor(model.now)
	fmt.Fprint(&text, model.databases, model.serviceAway, model.mark, model.accepted, model.stored, model.members == nil, order, model.order.Server, model.acknowledged)
	for _, vm := range model.vms {
		term, until := vm.fence.MinTerm()
		fmt.Fprint(&text, vm.acknowledged, term, max(until-model.now, 0), vm.tracker.AssuredUntil() > model.now)
		for index := range model.databases {
			// How long the VM has known the server matters only if it was not known at the last assurance.
			learnedAt, known := vm.learnedAt[model.id(index)]
			if !known || learnedAt <= vm.tracker.AssuredAt() || model.rules.alwaysAssured {
				fmt.Fprint(&text, known)
				continue
			}
			fmt.Fprint(&text, min(model.now-learnedAt, handover.FenceDuration))
		}
	}
	if model.attempt != nil {
		fmt.Fprint(&text, model.attempt.successor.ID, model.now-model.attempt.window.BegunAt)
	}
	return text.String()
}
