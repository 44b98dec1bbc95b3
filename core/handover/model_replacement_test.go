package handover_test

import (
	"dotterelgw/core/handover"
	"dotterelgw/core/ids"
	"dotterelgw/core/leader"
	"dotterelgw/core/membership"
	"dotterelgw/core/position"
)

// step has the holder of the duty do its next step, as io/promoter does: it orders again, begins a replacement, or ends a pause that was
// left over.
func (model *model) step() {
	model.updateMembers()
	switch {
	case model.attempt != nil:
		model.orderPromotion()
	case model.leader() == nil:
		model.beginReplacement()
	default:
		model.cleanUp()
	}
}

// cleanUp makes paused databases receive again and releases the VMs once no order can take effect any more.
func (model *model) cleanUp() {
	if model.order.PendingFor(model.now) > 0 {
		return
	}
	model.abandon(model.nextTerm())
}

// abandon ends an attempt without a promotion.
func (model *model) abandon(term ids.Term) {
	model.attempt = nil
	if model.order.PendingFor(model.now) > 0 {
		return
	}
	for _, vm := range model.vms {
		vm.fence.Release(term)
		vm.tracker.RequireTerm(vm.fence.MinTerm())
	}
	for index := range model.databases {
		if model.databases[index].up {
			model.databases[index].paused = 0
		}
	}
	model.order, model.mark = handover.Order{}, 0
	model.replicate()
}

// nextTerm returns the term after the highest one that a database which answers knows.
func (model *model) nextTerm() ids.Term {
	var term ids.Term
	for _, database := range model.databases {
		if database.up {
			term = max(term, database.term)
		}
	}
	return term + 1
}

// beginReplacement fences the group and orders a promotion if that is safe.
func (model *model) beginReplacement() {
	term := model.nextTerm()
	fenceResult := model.fenceDatabases(term)
	if model.order.PendingFor(model.now) > 0 {
		fenceResult.Ordered = model.order.Server
	}
	successor, ok := fenceResult.Successor()
	if !ok {
		model.abandon(term)
		return
	}
	window := handover.OrderWindow{BegunAt: model.now}
	safetyChecks := handover.SafetyChecks{Acknowledged: model.fenceVMs(term), Listed: true}
	successor, cause := fenceResult.Confirm(successor, safetyChecks)
	switch {
	case cause != "":
		model.abandon(term)
	case !model.order.ConflictsWith(successor.ID, model.now):
		model.attempt = &attempt{successor: successor, window: window, term: term}
		model.mark = term
		model.orderPromotion()
	}
}

// fenceDatabases pauses every database that answers, the registered ones and other members. There is no primary among them.
func (model *model) fenceDatabases(term ids.Term) handover.FenceResult {
	var fenceResult handover.FenceResult
	var answered []membership.Member
	registered := membership.Record{}
	for index := range model.databases {
		database := &model.databases[index]
		if !database.registered {
			if database.up && model.stored.Contains(model.identity(index)) && !model.rules.unlistedGone {
				database.paused = max(database.paused, term)
				answered = append(answered, model.identity(index))
				fenceResult.Unlisted = append(fenceResult.Unlisted, model.member(index))
			}
			continue
		}
		registered.Members = append(registered.Members, model.identity(index))
		if !database.up {
			continue
		}
		database.paused = max(database.paused, term)
		answered = append(answered, model.identity(index))
		fenceResult.Others = append(fenceResult.Others, model.member(index))
	}
	record := model.stored.Union(registered)
	if model.rules.registeredOnly {
		record = registered
	}
	fenceResult.Unheard = len(record.Unheard(answered))
	return fenceResult
}

// member returns the state of the database as it reports it.
func (model *model) member(index int) handover.Member {
	database := &model.databases[index]
	return handover.Member{
		ID: model.id(index), Observed: true, Term: database.term, Received: database.received(), PausedTerm: database.paused,
	}
}

// fenceVMs fences the old primary on all VMs and returns the last position that any of them acknowledged.
func (model *model) fenceVMs(term ids.Term) position.Position {
	var acknowledged position.Position
	for index, vm := range model.vms {
		if model.rules.unknownVM && index > 0 {
			continue
		}
		if model.rules.cutOffVM && index > 0 {
			// Its last observation of the old primary expires meanwhile.
			model.now += leader.LeaseDuration
			continue
		}
		vm.fence.Renew(model.now, term)
		vm.tracker.Revoke(model.now)
		vm.tracker.RequireTerm(vm.fence.MinTerm())
		if acknowledged.Less(vm.acknowledged) && !model.rules.silentVMs {
			acknowledged = vm.acknowledged
		}
	}
	return acknowledged
}

// orderPromotion orders the promotion of the attempt, or gives the attempt up if its checks are too old.
func (model *model) orderPromotion() {
	if !model.attempt.window.Allows(model.now) && !model.rules.repeatOrders {
		model.attempt = nil
		return
	}
	model.order = handover.Order{Server: model.attempt.successor.ID, SentAt: model.now}
	if !model.serviceAway {
		model.accepted = append(model.accepted, model.attempt.successor.ID)
	}
}
