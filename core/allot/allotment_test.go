package allot

import (
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

// Guards against rounding in Divide that makes the allotments of a server add up to more than its connections. Only with more
// VMs than connections may the sum exceed them, since each VM gets at least one.
func TestDivideNeverExceedsTheTotal(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(20261204)
	properties := gopter.NewProperties(parameters)
	properties.Property("the shares add up to the total", prop.ForAll(func(connections, vms int) bool {
		sum := 0
		for rank := range vms {
			sum += Divide(connections, vms, rank)
		}
		return sum == max(connections, vms)
	}, gen.IntRange(1, 200), gen.IntRange(1, 100)))
	properties.TestingRun(t)
}

// Guards against a VM that uses a larger allotment while other VMs still use their old ones, which exceeds the server's limit.
func TestLargerAllotmentsWait(t *testing.T) {
	allotments := New()
	steps := []struct {
		at        int
		set, want int
	}{{0, 3, 3}, {1, 5, 3}, {5, 5, 3}, {6, 5, 5}, {7, 2, 2}, {8, 5, 2}, {9, 6, 2}, {13, 6, 2}, {14, 6, 6}}
	for _, step := range steps {
		if got := allotments.Set(time.Duration(step.at)*GrowDelay/5, "g1-a", step.set); got != step.want {
			t.Errorf("at %d: got %d, want %d", step.at, got, step.want)
		}
	}
}
