package position_test

import (
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"dotterelgw/core/ids"
	"dotterelgw/core/position"
)

func at(term ids.Term, log ids.LogPosition) position.Position {
	return position.Position{Term: term, Log: log}
}

// TestReached guards against stale reads after a promotion: a higher log position in a diverged history must not count as
// reached.
func TestReached(t *testing.T) {
	starts := []position.Position{at(1, 0), at(3, 100), at(4, 150)}
	cases := map[string]struct {
		replayed, want position.Position
		reached        bool
	}{
		"same term, behind":                      {at(3, 120), at(3, 121), false},
		"same term, equal":                       {at(3, 120), at(3, 120), true},
		"later term, kept position":              {at(3, 120), at(1, 100), true},
		"later term, kept position not replayed": {at(3, 99), at(1, 100), false},
		"later term, lost position":              {at(4, 900), at(1, 101), false},
		"two terms later, lost in between":       {at(4, 900), at(3, 151), false},
		"two terms later, kept position":         {at(4, 160), at(3, 150), true},
		"term outside the history":               {at(4, 900), at(2, 50), false},
		"server of a term outside the history":   {at(5, 900), at(4, 160), false},
		"earlier term, common part":              {at(1, 100), at(4, 90), true},
		"earlier term, position of the later":    {at(1, 900), at(3, 101), false},
		"no position":                            {at(1, 0), at(0, 0), true},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			if reached := position.Reached(test.replayed, test.want, starts); reached != test.reached {
				t.Errorf("Reached(%v, %v) = %v", test.replayed, test.want, reached)
			}
		})
	}
}

// TestNormal guards against attributing the position of an idle new primary to its own term although the preceding term
// wrote that record.
func TestNormal(t *testing.T) {
	starts := position.Extend([]position.Position{at(1, 0), at(2, 100)}, 2, 3, at(5, 150))
	for want, normal := range map[position.Position]position.Position{
		at(5, 151): at(5, 151), at(5, 150): at(2, 150), at(5, 100): at(1, 100), at(7, 9): at(7, 9),
	} {
		if got := position.Normalise(want, starts); got != normal {
			t.Errorf("Normal(%v) = %v, want %v", want, got, normal)
		}
	}
	if !position.Contiguous(starts, 2, 5) || position.Contiguous([]position.Position{at(2, 1), at(4, 1)}, 2, 4) || position.Contiguous(starts, 5, 6) {
		t.Error("Unbroken")
	}
}

// history builds branching logs and their term histories: each step forks from an earlier server's log, as a promotion
// does.
func history(choices []uint8) (logs [][]ids.Term, starts [][]position.Position) {
	logs = [][]ids.Term{{1, 1, 1}}
	starts = [][]position.Position{{at(1, 0)}}
	for index := 0; index+2 < len(choices); index += 3 {
		parent := int(choices[index]) % len(logs)
		from := logs[parent]
		keep := int(choices[index+1]) % (len(from) + 1)
		term := ids.Term(index/3 + 2)
		log := append([]ids.Term{}, from[:keep]...)
		last := ids.Term(1)
		if keep > 0 {
			last = from[keep-1]
		}
		chain := position.Extend(starts[parent], last, 0, at(term, ids.LogPosition(keep)))
		for range int(choices[index+2])%4 + 1 {
			log = append(log, term)
		}
		logs, starts = append(logs, log), append(starts, chain)
	}
	return logs, starts
}

// TestReachedMeansContained guards against Reached accepting a position that the server's log does not contain, or
// rejecting one that it contains, after any sequence of promotions.
func TestReachedMeansContained(t *testing.T) {
	properties := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(20261204))
	properties.Property("reached implies equal records", prop.ForAll(func(choices []uint8) bool {
		logs, starts := history(choices)
		chain, own := starts[len(starts)-1], logs[len(logs)-1]
		for _, log := range logs {
			for index, term := range log {
				want := at(term, ids.LogPosition(index+1))
				contained := index < len(own) && own[index] == term
				if position.Reached(at(own[len(own)-1], ids.LogPosition(len(own))), want, chain) != contained {
					return false
				}
			}
		}
		return true
	}, gen.SliceOfN(18, gen.UInt8())))
	properties.TestingRun(t)
}
