package allot_test

import (
	"testing"

	"dotterelgw/core/allot"
)

// Guards against requests that wait while connections are unused, for example when one VM is alone in its availability zone and
// gets a quarter of the callers, and against VMs that together open more connections than the server accepts.
func TestDemand(t *testing.T) {
	for name, test := range map[string]struct{ share, usable, total, want int }{
		"others use few":        {2, 14, 5, 5},
		"others use all theirs": {2, 14, 14, 2},
		"more than usable":      {2, 14, 20, 2},
		"nearly all in use":     {2, 14, 12, 2},
		"none open yet":         {2, 14, 0, 6},
	} {
		if got := allot.ConnectionLimit(test.share, test.usable, test.total); got != test.want {
			t.Errorf("%s: %d connections, want %d", name, got, test.want)
		}
	}
	total := 0
	held := make([]int, 7)
	for range 20 {
		before := total
		for vm := range held {
			if allowed := allot.ConnectionLimit(2, 14, before); allowed > held[vm] {
				total += allowed - held[vm]
				held[vm] = allowed
			}
		}
	}
	if total > 7*6 {
		t.Errorf("%d connections in total when every VM opens as many as it may", total)
	}
}
