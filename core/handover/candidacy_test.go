package handover

import (
	"testing"
	"time"
)

// Pattern: the holder of the duty is lost before 295 VMs, which hear of a new holder within half a second. Guards against all of them
// writing to the store at once, and against a duty that stays vacant when the first candidates are lost too.
func TestCandidacy(t *testing.T) {
	const (
		vms  = 295
		news = 500 * time.Millisecond
	)
	for name, test := range map[string]struct{ lost, most int }{
		"the first lives": {0, 10}, "two are lost": {2, 12}, "a tenth is lost": {30, 40},
	} {
		t.Run(name, func(t *testing.T) {
			taken := Candidacy(test.lost)
			writers := 0
			for rank := test.lost; rank < vms; rank++ {
				if Candidacy(rank) <= taken+news {
					writers++
				}
			}
			if writers > test.most {
				t.Errorf("%d VMs write, want %d at most", writers, test.most)
			}
			if taken > 2*time.Second {
				t.Errorf("taken after %v", taken)
			}
		})
	}
}
