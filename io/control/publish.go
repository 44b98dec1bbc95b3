package control

import (
	"maps"
	"time"

	"dotterelgw/core/config"
	"dotterelgw/core/contract"
	"dotterelgw/core/ids"
	"dotterelgw/core/member"
)

// contracts holds the newest version of each contract. It is immutable once published; a change copies it.
type contracts map[ids.OrganisationID]contractVersion

// contractVersion is a version of a contract. contract is nil if the version is withdrawn or unreadable.
type contractVersion struct {
	contract *contract.Contract
	revision ids.Revision
}

// Contract implements Control.Contract.
func (controller *Controller) Contract(organisation ids.OrganisationID) (*contract.Contract, ids.Revision, bool) {
	found, ok := (*controller.contracts.Load())[organisation]
	return found.contract, found.revision, ok && found.contract != nil
}

// Admitting implements Control.Admitting. It compares with the clock, so that a VM that resumes after a
// pause stops at once.
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

// majorityCheckInterval is the least time between counts of answers during an outage of the service. It bounds their
// cost.
const majorityCheckInterval = 50 * time.Millisecond

// publish makes changed entries and the admission limit visible to readers. Contracts are stored before the limit, so
// that no reader sees a confirmation without the entries that it covers. The caller holds the mutex.
func (controller *Controller) publish(changed []config.Entry) {
	controller.publishContracts(changed)
	controller.notifier.enqueue(changed)
	controller.metricSet.entriesApplied.Inc(int64(len(changed)))
	now := controller.clock.now()
	revision := controller.entries.Revision()
	controller.revision.Store(int64(revision))
	controller.confirmMajority(now)
	if until, ok := controller.tracker.AdmitUntil(); ok {
		controller.admitUntil.Store(int64(until))
	}
}

// confirmMajority lets a majority of the VMs confirm the configuration while neither this VM nor its peers reach the
// service. The caller holds the mutex.
func (controller *Controller) confirmMajority(now time.Duration) {
	if now-controller.lastMajorityCheck < majorityCheckInterval || controller.serviceReachable(now) || controller.view.PlatformHeard(now, reachableWindow) {
		return
	}
	controller.lastMajorityCheck = now
	controller.tracker.ConfirmMajority(controller.entries.Revision(), now)
}

// publishMembers stores the current membership for readers. The caller holds the mutex.
func (controller *Controller) publishMembers(now time.Duration) {
	controller.view.SetSelf(controller.state(), controller.serviceReachable(now))
	members := controller.view.Members(now)
	controller.members.Store(&members)
}

func (controller *Controller) publishContracts(changed []config.Entry) {
	var next contracts
	for _, entry := range changed {
		organisation, ok := config.ParseContractKey(entry.Key)
		if !ok {
			continue
		}
		if next == nil {
			next = maps.Clone(*controller.contracts.Load())
		}
		if next[organisation].revision < entry.Revision {
			next[organisation] = controller.parseContract(entry)
		}
	}
	if next != nil {
		controller.contracts.Store(&next)
	}
}

// parseContract parses a contract. An unreadable one counts as withdrawn, since falling back to the previous version
// could keep a withdrawn key valid.
func (controller *Controller) parseContract(entry config.Entry) contractVersion {
	result := contractVersion{revision: entry.Revision}
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

// confirmationAge returns the age of a confirmation for a heartbeat in milliseconds, rounded up, or -1 if there is none.
func confirmationAge(age time.Duration, known bool) int64 {
	if !known {
		return -1
	}
	return int64((age + time.Millisecond - 1) / time.Millisecond)
}
