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
