package freshness

import (
	"maps"
	"slices"
	"time"

	"dotterelgw/core/ids"
)

const (
	// AdmissionLimit is the age of the last confirmation above which a VM admits nothing.
	AdmissionLimit = 3 * time.Second
	// AnswerWindow is the age above which a peer's answer counts neither for a majority nor for an acceptance.
	AnswerWindow = time.Second
	// listWindow is the time for which majorities are also required in earlier VM lists. VMs whose lists differ by a
	// shorter lag then share at least one list, in which their majorities intersect.
	listWindow = 10 * time.Second
	// driftDivisor allows for clocks that run 1 % slow.
	driftDivisor = 100
)

// Answer is what a peer said in reply to a question.
type Answer struct {
	// Sent is the time at which the question was sent.
	Sent time.Duration
	// Revision is the revision up to which the peer holds all entries.
	Revision ids.Revision
	// Voting states that the peer may count in a majority that stands in for the service.
	Voting bool
	// PlatformHeard states that the peer reaches the service or hears from a VM that does.
	PlatformHeard bool
}

// Freshness is the state of one VM. Times are monotonic since an arbitrary origin. It is not safe for concurrent use.
type Freshness struct {
	self      ids.VMID
	start     time.Duration
	confirmed time.Duration
	known     bool
	answers   map[ids.VMID]Answer
	lists     []list
}

type list struct {
	vms   []ids.VMID
	until time.Duration // the time at which the list was last the current one
}

// New returns the state of a VM that started at the given time.
func New(self ids.VMID, start time.Duration) *Freshness {
	return &Freshness{self: self, start: start, answers: map[ids.VMID]Answer{}}
}

// ConfirmService records that the service answered a read sent at the given time, and that everything up to the
// service's revision in the answer has been applied.
func (freshness *Freshness) ConfirmService(sent time.Duration) { freshness.confirm(sent) }

// ConfirmPeer records that a peer, asked at the given time, stated a confirmation of the given age and that the
// peer's entries have been applied. Network delay only makes the confirmation look older than it is.
func (freshness *Freshness) ConfirmPeer(sent, age time.Duration) { freshness.confirm(sent - age) }

func (freshness *Freshness) confirm(at time.Duration) {
	if !freshness.known || at > freshness.confirmed {
		freshness.confirmed, freshness.known = at, true
	}
}

// Hear records a peer's answer; a later question replaces an earlier one.
func (freshness *Freshness) Hear(peer ids.VMID, answer Answer) {
	if held, ok := freshness.answers[peer]; !ok || answer.Sent >= held.Sent {
		freshness.answers[peer] = answer
	}
}

// SetList records the VM list, this VM included.
func (freshness *Freshness) SetList(vms []ids.VMID, now time.Duration) {
	vms = slices.Clone(vms)
	slices.Sort(vms)
	if last := len(freshness.lists) - 1; last >= 0 {
		freshness.lists[last].until = now
		if slices.Equal(freshness.lists[last].vms, vms) {
			return
		}
	}
	freshness.lists = append(freshness.lists, list{vms: vms, until: now})
	maps.DeleteFunc(freshness.answers, func(_ ids.VMID, answer Answer) bool { return now-answer.Sent > listWindow })
}

// ConfirmMajority confirms the revision during an outage of the service for all VMs, and returns whether it could:
// more than half of the VMs, this one included if it votes, answered within AnswerWindow that they hold nothing newer
// and hear from no VM that reaches the service. The confirmation dates from the oldest question that it needs.
func (freshness *Freshness) ConfirmMajority(revision ids.Revision, now time.Duration) bool {
	at, ok := freshness.majority(now, freshness.Voting(), func(answer Answer) bool {
		return answer.Voting && !answer.PlatformHeard && answer.Revision <= revision
	})
	if ok {
		freshness.confirm(at)
	}
	return ok
}

// HearsMajority states whether more than half of the VMs answered within AnswerWindow; a VM that does not hear them
// must not start a change, since it could not be accepted.
func (freshness *Freshness) HearsMajority(now time.Duration) bool {
	_, ok := freshness.majority(now, true, func(Answer) bool { return true })
	return ok
}

// Accepted states whether more than half of the VMs hold the stored revision, by answers within AnswerWindow; held is
// the revision of this VM. A change counts as accepted only then: hearing a majority before the write is not enough,
// since the write may take effect after the VM has been cut off, while the others confirm each other without it.
func (freshness *Freshness) Accepted(stored, held ids.Revision, now time.Duration) bool {
	_, ok := freshness.majority(now, held >= stored, func(answer Answer) bool { return answer.Revision >= stored })
	return ok
}

// Voting states whether this VM may count in a majority that stands in for the service. A VM that restarted has
// forgotten what it acknowledged, and that acknowledgement may count for AnswerWindow, so its confirmation must be
// later than that.
func (freshness *Freshness) Voting() bool {
	return freshness.known && freshness.confirmed >= freshness.start+AnswerWindow+AnswerWindow/driftDivisor
}

// AdmitUntil returns the time up to which the VM may admit requests, and false if it never was confirmed.
func (freshness *Freshness) AdmitUntil() (time.Duration, bool) {
	return freshness.confirmed + AdmissionLimit, freshness.known
}

// Age returns the age of the last confirmation, and false if there is none.
func (freshness *Freshness) Age(now time.Duration) (time.Duration, bool) {
	return now - freshness.confirmed, freshness.known
}

// majority returns the time of the oldest question needed for more than half of every recent list.
func (freshness *Freshness) majority(now time.Duration, self bool, counts func(Answer) bool) (time.Duration, bool) {
	for len(freshness.lists) > 1 && now-freshness.lists[0].until > listWindow {
		freshness.lists = freshness.lists[1:]
	}
	oldest := now
	for _, current := range freshness.lists {
		var sent []time.Duration
		for _, vm := range current.vms {
			if vm == freshness.self {
				if self {
					sent = append(sent, now)
				}
			} else if answer, ok := freshness.answers[vm]; ok && now-answer.Sent <= AnswerWindow && counts(answer) {
				sent = append(sent, answer.Sent)
			}
		}
		needed := len(current.vms)/2 + 1
		if len(sent) < needed {
			return 0, false
		}
		slices.Sort(sent)
		oldest = min(oldest, sent[len(sent)-needed])
	}
	return oldest, len(freshness.lists) > 0
}
