package handover

import (
	"testing"
	"time"
)

// Guards against 295 VMs all writing to the store at once when the lease holder is lost, although they hear of a new holder
// within half a second, and against a lease that stays free for long when the first candidates are lost too.
func TestCandidacy(t *testing.T) {
	const (
		vms               = 295
		notificationDelay = 500 * time.Millisecond
	)
	for name, test := range map[string]struct{ lost, maxWriters int }{
		"no candidate lost": {0, 10}, "two lost": {2, 12}, "a tenth lost": {30, 40},
	} {
		t.Run(name, func(t *testing.T) {
			acquiredAfter := CandidateDelay(test.lost)
			writers := 0
			for rank := test.lost; rank < vms; rank++ {
				if CandidateDelay(rank) <= acquiredAfter+notificationDelay {
					writers++
				}
			}
			if writers > test.maxWriters {
				t.Errorf("%d VMs write, want at most %d", writers, test.maxWriters)
			}
			if acquiredAfter > 2*time.Second {
				t.Errorf("acquired after %v, want at most 2 s", acquiredAfter)
			}
		})
	}
}

// Guards against a lease that stays with a VM that can't reach the promotion service, and against one that moves all the time while the
// service is away for all VMs.
func TestLeavesDuty(t *testing.T) {
	for name, test := range map[string]struct {
		unsentFor, since time.Duration
		handedOver       bool
		leaves           bool
		retakeDelay      time.Duration
	}{
		"one failure":               {unsentFor: time.Second / 10},
		"failing for a second":      {unsentFor: time.Second, leaves: true},
		"handed over just before":   {unsentFor: 2 * time.Second, since: 3 * time.Second, handedOver: true, retakeDelay: time.Second},
		"handed over some time ago": {unsentFor: 2 * time.Second, since: 20 * time.Second, handedOver: true, leaves: true},
	} {
		t.Run(name, func(t *testing.T) {
			if got := LeavesDuty(test.unsentFor, test.since, test.handedOver); got != test.leaves {
				t.Errorf("leaves the duty: %t, want %t", got, test.leaves)
			}
			if got := RetakeDelay(test.since, test.handedOver); got != test.retakeDelay {
				t.Errorf("retakes it after %v, want %v", got, test.retakeDelay)
			}
		})
	}
}
