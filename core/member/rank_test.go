package member_test

import (
	"fmt"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"dotterelgw/core/member"
)

// TestTopAndRankAgree guards against a partial selection by Top that differs from the full rendezvous order, and against a
// Rank that disagrees with that order.
func TestTopAndRankAgree(t *testing.T) {
	properties := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(20261204))
	properties.Property("the first n are a prefix of the full order", prop.ForAll(func(count, n, key int) bool {
		list := members(count, 3)
		name := fmt.Sprint("key-", key)
		whole := member.Top(name, count, list)
		top := member.Top(name, n, list)
		for place, ranked := range whole {
			if rank, found := member.Rank(name, ranked.ID, list); rank != place || !found {
				return false
			}
			if place < len(top) && top[place].ID != ranked.ID {
				return false
			}
		}
		return len(top) == min(n, count)
	}, gen.IntRange(1, 40), gen.IntRange(0, 50), gen.IntRange(0, 1000)))
	properties.TestingRun(t)
}
