package allot_test

import (
	"testing"

	"dotterelgw/core/allot"
)

// Pattern: one VM gets a quarter of the callers, as it is alone in its availability zone. Guards against connections that
// lie unused beside requests that wait, and against VMs that open more than the server takes.
func TestDemand(t *testing.T) {
	for name, test := range map[string]struct{ part, usable, total, want int }{
		"others use little":     {2, 14, 5, 5},
		"others use theirs":     {2, 14, 14, 2},
		"more than is usable":   {2, 14, 20, 2},
		"nearly all is in use":  {2, 14, 12, 2},
		"nobody has any so far": {2, 14, 0, 6},
	} {
		if got := allot.Demand(test.part, test.usable, test.total); got != test.want {
			t.Errorf("%s: %d connections, want %d", name, got, test.want)
		}
	}
	total := 0
	held := make([]int, 7)
	for range 20 {
		before := total
		for vm := range held {
			if wanted := allot.Demand(2, 14, before); wanted > held[vm] {
				total += wanted - held[vm]
				held[vm] = wanted
			}
		}
	}
	if total > 7*6 {
		t.Errorf("%d connections of VMs that all want more", total)
	}
}
