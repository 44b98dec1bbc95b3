package control

import (
	"maps"
	"time"

	"dotterelgw/core/config"
	"dotterelgw/core/contract"
	"dotterelgw/core/ids"
	"dotterelgw/core/member"
)

// contracts is immutable once published; a change copies it.
type contracts map[ids.OrganisationID]held

// held is the newest version of a contract; contract is nil if it is withdrawn or unreadable.
type held struct {
	contract *contract.Contract
	revision ids.Revision
}

// Contract implements Control.Contract.
func (controller *Controller) Contract(organisation ids.OrganisationID) (*contract.Contract, ids.Revision, bool) {
	found, ok := (*controller.contracts.Load())[organisation]
	return found.contract, found.revision, ok && found.contract != nil
}

// Admitting implements Control.Admitting. The comparison with the clock makes a VM that was paused stop at once.
func (controller *Controller) Admitting() bool {
	return int64(controller.clock.now()) <= controller.admitUntil.Load()
}

// Members implements Control.Members.
func (controller *Controller) Members() []member.Member { return *controller.members.Load() }

// Revision implements Control.Revision.
func (controller *Controller) Revision() ids.Revision {
	return ids.Revision(controller.revision.Load())
}

// Leaving implements Control.Leaving.
func (controller *Controller) Leaving(server ids.BackendServerID) bool {
	_, ok := (*controller.leaving.Load())[server]
	return ok
}

// Entry implements Control.Entry.
func (controller *Controller) Entry(key string) (config.Entry, bool) {
	controller.mutex.Lock()
	defer controller.mutex.Unlock()
	return controller.entries.Get(key)
}

// majorityPeriod bounds the cost of counting answers during an outage.
const majorityPeriod = 50 * time.Millisecond

// publish makes changed entries and the confirmation visible. Contracts come before the admission limit, so that no
// confirmation is visible without the entries that it covers. The caller holds the mutex.
func (controller *Controller) publish(changed []config.Entry) {
	controller.publishContracts(changed)
	controller.changes.add(changed)
	controller.measures.applied.Inc(int64(len(changed)))
	now := controller.clock.now()
	revision := controller.entries.Revision()
	controller.revision.Store(int64(revision))
	controller.confirmMajority(now)
	if until, ok := controller.freshness.AdmitUntil(); ok {
		controller.admitUntil.Store(int64(until))
	}
}

// confirmMajority lets a majority stand in for the service. The caller holds the mutex.
func (controller *Controller) confirmMajority(now time.Duration) {
	if now-controller.triedMajority < majorityPeriod || controller.reachable(now) || controller.view.PlatformHeard(now, reachableWindow) {
		return
	}
	controller.triedMajority = now
	controller.freshness.ConfirmMajority(controller.entries.Revision(), now)
}

// publishMembers makes the present membership visible. The caller holds the mutex.
func (controller *Controller) publishMembers(now time.Duration) {
	controller.view.SetSelf(controller.state(), controller.reachable(now))
	members := controller.view.Members(now)
	controller.members.Store(&members)
}

func (controller *Controller) publishContracts(changed []config.Entry) {
	var next contracts
	for _, entry := range changed {
		organisation, ok := config.ContractOf(entry.Key)
		if !ok {
			continue
		}
		if next == nil {
			next = maps.Clone(*controller.contracts.Load())
		}
		if next[organisation].revision < entry.Revision {
			next[organisation] = controller.read(entry)
		}
	}
	if next != nil {
		controller.contracts.Store(&next)
	}
}

// read parses a contract. An unreadable one counts as withdrawn, since keeping the version before it could keep a
// withdrawn key alive.
func (controller *Controller) read(entry config.Entry) held {
	result := held{revision: entry.Revision}
	record, err := config.Decode[config.ContractRecord](entry)
	if err == nil && !record.Withdrawn {
		result.contract, err = contract.Parse(entry.Key, []byte(record.Text))
	}
	if err != nil {
		_ = controller.logger.Log("msg", "contract is unreadable and counts as withdrawn", "key", entry.Key, "revision", entry.Revision, "err", err)
		result.contract = nil
	}
	return result
}

// age returns the age of the confirmation in milliseconds for a heartbeat, rounded up, or -1 for none.
func age(duration time.Duration, known bool) int64 {
	if !known {
		return -1
	}
	return int64((duration + time.Millisecond - 1) / time.Millisecond)
}
