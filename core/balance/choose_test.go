package balance_test

import (
	"testing"
	"time"

	"dotterelgw/core/balance"
	"dotterelgw/core/position"
)

const millisecond = time.Millisecond

func idle(latency time.Duration) balance.Candidate {
	return balance.Candidate{Local: true, Latency: latency, Slots: 3, Matching: true, Applied: position.Position{Term: 1, Log: 100}}
}

func with(candidate balance.Candidate, change func(*balance.Candidate)) balance.Candidate {
	change(&candidate)
	return candidate
}

// Each case is a pattern of load or failure; the first candidate is the one to choose.
func TestChoose(t *testing.T) {
	want := position.Position{Term: 1, Log: 90}
	lagging := func(candidate *balance.Candidate) {
		candidate.Applied.Log, candidate.Lag = 50, 3*time.Second
	}
	for name, candidates := range map[string][]balance.Candidate{
		"reads leave the primary to writes": {
			idle(20 * millisecond), with(idle(20*millisecond), func(candidate *balance.Candidate) { candidate.Leader = true }),
		},
		"the primary serves when the replica is slow": {
			with(idle(20*millisecond), func(candidate *balance.Candidate) { candidate.Leader = true }), idle(90 * millisecond),
		},
		"a replica that lags by seconds gets nothing": {
			with(idle(90*millisecond), func(candidate *balance.Candidate) { candidate.Leader = true }), with(idle(millisecond), lagging),
		},
		"the own zone while it is no slower": {
			idle(20 * millisecond), with(idle(20*millisecond), func(candidate *balance.Candidate) { candidate.Local = false }),
		},
		"another zone when the own one is slow": {
			with(idle(10*millisecond), func(candidate *balance.Candidate) { candidate.Local = false }), idle(40 * millisecond),
		},
		"a connection at hand before one to be opened": {
			with(idle(25*millisecond), func(candidate *balance.Candidate) { candidate.InFlight = 1 }),
			with(idle(22*millisecond), func(candidate *balance.Candidate) { candidate.Matching, candidate.Free = false, true }),
		},
		"opening before closing another organisation's": {
			with(idle(20*millisecond), func(candidate *balance.Candidate) { candidate.Matching, candidate.Free = false, true }),
			with(idle(20*millisecond), func(candidate *balance.Candidate) { candidate.Matching, candidate.Evictable = false, true }),
		},
		"requests under way count": {
			idle(20 * millisecond), with(idle(15*millisecond), func(candidate *balance.Candidate) { candidate.InFlight = 6 }),
		},
		"statements of other VMs that wait count": {
			with(idle(20*millisecond), func(candidate *balance.Candidate) { candidate.Local = false }),
			with(idle(20*millisecond), func(candidate *balance.Candidate) { candidate.Busy = 12 }),
		},
		"statements of other VMs that run in free slots do not": {
			with(idle(20*millisecond), func(candidate *balance.Candidate) { candidate.Busy = 3 }),
			with(idle(20*millisecond), func(candidate *balance.Candidate) { candidate.Local = false }),
		},
	} {
		t.Run(name, func(t *testing.T) {
			if got := balance.Choose(candidates, want, 100*millisecond); got != 0 {
				t.Errorf("chose %d: costs %v and %v", got, candidates[0].Cost(), candidates[1].Cost())
			}
		})
	}
	if got := balance.Choose([]balance.Candidate{with(idle(millisecond), lagging)}, want, 100*millisecond); got != -1 {
		t.Errorf("chose %d of none that reaches the position", got)
	}
}

// Pattern: a server answers late for a while. Guards against it being shunned for ever after.
func TestLatencyIsForgotten(t *testing.T) {
	var latency balance.Latency
	for step := range 20 {
		latency.Observe(time.Duration(step+1)*millisecond, time.Second)
	}
	if early := latency.Estimate(30 * millisecond); early < 900*millisecond {
		t.Errorf("right after: %v", early)
	}
	if late := latency.Estimate(10 * time.Second); late > 30*millisecond {
		t.Errorf("after 10 s: %v", late)
	}
}
