package freshness

import (
	"maps"
	"slices"
	"time"

	"dotterelgw/core/ids"
)

const (
	// AdmissionLimit is the maximum age of the last confirmation; a VM with an older one admits no requests.
	AdmissionLimit = 3 * time.Second
	// AnswerWindow is the maximum age of a peer's answer that counts towards a majority, for a confirmation or an acceptance.
	AnswerWindow = time.Second
	// previousListWindow is how long a replaced VM list still requires a majority of its own. VMs that receive a new list
	// within this time of each other share at least one list, in which their majorities intersect.
	previousListWindow = 10 * time.Second
	// driftDivisor extends waiting times by one part in 100, for clocks that run 1 % slow.
	driftDivisor = 100
)

// Answer is a peer's reply to a heartbeat.
type Answer struct {
	// Sent is the time at which this VM sent the heartbeat that the peer replied to.
	Sent time.Duration
	// Revision is the revision up to which the peer holds all entries.
	Revision ids.Revision
	// Voting is set if the peer counts towards a majority that confirms in place of the key-value service.
	Voting bool
	// PlatformHeard is set if the peer reaches the key-value service or hears from a VM that does.
	PlatformHeard bool
}

// Tracker tracks the last confirmation of one VM and the answers of its peers. All times are monotonic, measured from an
// arbitrary origin. It is not safe for concurrent use.
type Tracker struct {
	self          ids.VMID
	startedAt     time.Duration
	confirmedAt   time.Duration
	everConfirmed bool
	answers       map[ids.VMID]Answer
	lists         []vmList // in order of receipt, the current one last
}

type vmList struct {
	vms          []ids.VMID
	currentUntil time.Duration // the last time at which this was the current list
}

// New returns the state of a VM that started at the given time.
func New(self ids.VMID, startedAt time.Duration) *Tracker {
	return &Tracker{self: self, startedAt: startedAt, answers: map[ids.VMID]Answer{}}
}

// ConfirmService records that the key-value service answered a read sent at the given time and that this VM has applied
// every entry up to the revision in the answer.
func (tracker *Tracker) ConfirmService(sent time.Duration) { tracker.confirm(sent) }

// ConfirmPeer records that a peer reported a confirmation of the given age in answer to a heartbeat sent at the given time,
// and that this VM has applied the peer's entries. Network delay makes the confirmation look older, never newer.
func (tracker *Tracker) ConfirmPeer(sent, age time.Duration) { tracker.confirm(sent - age) }

func (tracker *Tracker) confirm(at time.Duration) {
	if !tracker.everConfirmed || at > tracker.confirmedAt {
		tracker.confirmedAt, tracker.everConfirmed = at, true
	}
}

// RecordAnswer records a peer's answer. It keeps the answer to the heartbeat that was sent last, whatever the order of arrival.
func (tracker *Tracker) RecordAnswer(peer ids.VMID, answer Answer) {
	if held, ok := tracker.answers[peer]; !ok || answer.Sent >= held.Sent {
		tracker.answers[peer] = answer
	}
}

// SetList sets the current VM list, which includes this VM. Replaced lists count for previousListWindow longer.
func (tracker *Tracker) SetList(vms []ids.VMID, now time.Duration) {
	vms = slices.Clone(vms)
	slices.Sort(vms)
	if last := len(tracker.lists) - 1; last >= 0 {
		tracker.lists[last].currentUntil = now
		if slices.Equal(tracker.lists[last].vms, vms) {
			return
		}
	}
	tracker.lists = append(tracker.lists, vmList{vms: vms, currentUntil: now})
	maps.DeleteFunc(tracker.answers, func(_ ids.VMID, answer Answer) bool { return now-answer.Sent > previousListWindow })
}

// ConfirmMajority confirms the revision while no VM reaches the key-value service, and reports whether it succeeded. It
// needs answers within AnswerWindow from more than half of the VMs, counting this one if it votes: each holds no newer
// revision and neither reaches the service nor hears from a VM that does. The time of the confirmation is that of the
// oldest heartbeat needed for the majority.
func (tracker *Tracker) ConfirmMajority(revision ids.Revision, now time.Duration) bool {
	at, ok := tracker.majority(now, tracker.Voting(), func(answer Answer) bool {
		return answer.Voting && !answer.PlatformHeard && answer.Revision <= revision
	})
	if ok {
		tracker.confirm(at)
	}
	return ok
}

// HasMajority reports whether more than half of the VMs, counting this one, answered within AnswerWindow. Without a
// majority a VM must not start a change, because the change could not be accepted.
func (tracker *Tracker) HasMajority(now time.Duration) bool {
	_, ok := tracker.majority(now, true, func(Answer) bool { return true })
	return ok
}

// Accepted reports whether more than half of the VMs hold the stored revision, by answers within AnswerWindow; held is
// the revision of this VM. Only then is the change accepted. A majority before the write is not enough, because the write
// may take effect after this VM is partitioned from the others, which then confirm each other without the change.
func (tracker *Tracker) Accepted(stored, held ids.Revision, now time.Duration) bool {
	_, ok := tracker.majority(now, held >= stored, func(answer Answer) bool { return answer.Revision >= stored })
	return ok
}

// Voting reports whether this VM counts towards a majority that confirms in place of the key-value service. A restart
// loses the entries that the VM acknowledged, while its acknowledgements still count for AnswerWindow. The VM therefore
// votes only after a confirmation later than AnswerWindow after its start, plus the allowance for clock drift.
func (tracker *Tracker) Voting() bool {
	return tracker.everConfirmed && tracker.confirmedAt >= tracker.startedAt+AnswerWindow+AnswerWindow/driftDivisor
}

// AdmitUntil returns the time up to which the VM may admit requests, and false if it was never confirmed.
func (tracker *Tracker) AdmitUntil() (time.Duration, bool) {
	return tracker.confirmedAt + AdmissionLimit, tracker.everConfirmed
}

// Age returns the age of the last confirmation, and false if the VM was never confirmed.
func (tracker *Tracker) Age(now time.Duration) (time.Duration, bool) {
	return now - tracker.confirmedAt, tracker.everConfirmed
}

// majority looks for more than half of the VMs of the current list and of each list replaced within previousListWindow,
// among the VMs with a qualifying answer within AnswerWindow, and this VM if countSelf is set. It returns the time of the
// oldest heartbeat needed, and false without such a majority.
func (tracker *Tracker) majority(now time.Duration, countSelf bool, qualifies func(Answer) bool) (time.Duration, bool) {
	for len(tracker.lists) > 1 && now-tracker.lists[0].currentUntil > previousListWindow {
		tracker.lists = tracker.lists[1:]
	}
	oldest := now
	for _, list := range tracker.lists {
		var sent []time.Duration
		for _, vm := range list.vms {
			if vm == tracker.self {
				if countSelf {
					sent = append(sent, now)
				}
			} else if answer, ok := tracker.answers[vm]; ok && now-answer.Sent <= AnswerWindow && qualifies(answer) {
				sent = append(sent, answer.Sent)
			}
		}
		needed := len(list.vms)/2 + 1
		if len(sent) < needed {
			return 0, false
		}
		slices.Sort(sent)
		oldest = min(oldest, sent[len(sent)-needed])
	}
	return oldest, len(tracker.lists) > 0
}
