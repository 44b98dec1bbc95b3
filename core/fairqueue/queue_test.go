package fairqueue_test

import (
	"slices"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"dotterelgw/core/fairqueue"
)

// TestShares guards against a backlogged organisation that gets less than its share: with weight w of a total weight W, it must
// get at least n·w/W - 1 of n services, whatever the others queue.
func TestShares(t *testing.T) {
	properties := gopter.NewProperties(nil)
	properties.Property("backlogged flows are served by weight", prop.ForAll(
		func(weights []int, served int) bool {
			queue := fairqueue.New[int, [2]int]()
			total := 0
			for flow, weight := range weights {
				total += weight
				for item := range served {
					queue.Push(flow, float64(weight), [2]int{flow, item})
				}
			}
			counts := make([]int, len(weights))
			for range served {
				item, ok := queue.Pop(nil)
				if !ok || item[1] != counts[item[0]] {
					return false
				}
				counts[item[0]]++
			}
			for flow, weight := range weights {
				if fair := float64(served) * float64(weight) / float64(total); float64(counts[flow]) < fair-1 {
					return false
				}
			}
			return true
		},
		gen.SliceOfN(4, gen.IntRange(1, 10)), gen.IntRange(1, 200),
	))
	properties.Property("each pushed item is popped or removed exactly once", prop.ForAll(
		func(actions []int) bool {
			queue := fairqueue.New[int, int]()
			var tickets []fairqueue.Ticket[int]
			var seen []int
			next := 0
			for _, action := range actions {
				switch {
				case action < 6:
					tickets = append(tickets, queue.Push(action%3, float64(action), next))
					next++
				case action < 8:
					if item, ok := queue.Pop(func(key, _ int) bool { return key != action%3 }); ok {
						seen = append(seen, item)
					}
				case len(tickets) > 0:
					if at := action % len(tickets); queue.Remove(tickets[at]) {
						seen = append(seen, at)
					}
				}
			}
			for item, ok := queue.Pop(nil); ok; item, ok = queue.Pop(nil) {
				seen = append(seen, item)
			}
			slices.Sort(seen)
			for index, item := range seen {
				if index != item {
					return false
				}
			}
			return len(seen) == next && queue.Len() == 0
		},
		gen.SliceOf(gen.IntRange(0, 11)),
	))
	properties.TestingRun(t)
}

// TestNoCreditForAbsence guards against an organisation that was idle for a while and then takes every connection.
func TestNoCreditForAbsence(t *testing.T) {
	queue := fairqueue.New[string, string]()
	for range 100 {
		queue.Push("busy", 1, "busy")
	}
	for range 50 {
		queue.Pop(nil)
	}
	for range 10 {
		queue.Push("back", 1, "back")
	}
	counts := map[string]int{}
	for range 10 {
		item, _ := queue.Pop(nil)
		counts[item]++
	}
	if counts["busy"] < 4 {
		t.Errorf("the backlogged organisation got %d of 10 services, want 4 at least", counts["busy"])
	}
}

// BenchmarkQueue measures one Push and one Pop with 8 organisations.
func BenchmarkQueue(b *testing.B) {
	queue := fairqueue.New[int, int]()
	for flow := range 8 {
		queue.Push(flow, 1, flow)
	}
	for round := range b.N {
		queue.Push(round%8, 1, round)
		queue.Pop(nil)
	}
}
