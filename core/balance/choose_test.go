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

// Guards against reads sent to a slower or lagging server. The first candidate of each case is the one to choose.
func TestChoose(t *testing.T) {
	want := position.Position{Term: 1, Log: 90}
	lagging := func(candidate *balance.Candidate) {
		candidate.Applied.Log, candidate.Lag = 50, 3*time.Second
	}
	for name, candidates := range map[string][]balance.Candidate{
		"equal latency, replica before primary": {
			idle(20 * millisecond), with(idle(20*millisecond), func(candidate *balance.Candidate) { candidate.Primary = true }),
		},
		"slow replica, primary serves": {
			with(idle(20*millisecond), func(candidate *balance.Candidate) { candidate.Primary = true }), idle(90 * millisecond),
		},
		"replica lagging by seconds": {
			with(idle(90*millisecond), func(candidate *balance.Candidate) { candidate.Primary = true }), with(idle(millisecond), lagging),
		},
		"equal latency, local zone first": {
			idle(20 * millisecond), with(idle(20*millisecond), func(candidate *balance.Candidate) { candidate.Local = false }),
		},
		"slow local zone, remote zone serves": {
			with(idle(10*millisecond), func(candidate *balance.Candidate) { candidate.Local = false }), idle(40 * millisecond),
		},
		"idle connection before a new one": {
			with(idle(25*millisecond), func(candidate *balance.Candidate) { candidate.InFlight = 1 }),
			with(idle(22*millisecond), func(candidate *balance.Candidate) { candidate.Matching, candidate.Free = false, true }),
		},
		"new connection before eviction": {
			with(idle(20*millisecond), func(candidate *balance.Candidate) { candidate.Matching, candidate.Free = false, true }),
			with(idle(20*millisecond), func(candidate *balance.Candidate) { candidate.Matching, candidate.Evictable = false, true }),
		},
		"in-flight statements add cost": {
			idle(20 * millisecond), with(idle(15*millisecond), func(candidate *balance.Candidate) { candidate.InFlight = 6 }),
		},
		"queued statements of other VMs add cost": {
			with(idle(20*millisecond), func(candidate *balance.Candidate) { candidate.Local = false }),
			with(idle(20*millisecond), func(candidate *balance.Candidate) { candidate.Busy = 12 }),
		},
		"statements of other VMs within the slots add no cost": {
			with(idle(20*millisecond), func(candidate *balance.Candidate) { candidate.Busy = 3 }),
			with(idle(20*millisecond), func(candidate *balance.Candidate) { candidate.Local = false }),
		},
	} {
		t.Run(name, func(t *testing.T) {
			if got := balance.Choose(candidates, want, 100*millisecond); got != 0 {
				t.Errorf("chose candidate %d: costs %v and %v", got, candidates[0].Cost(), candidates[1].Cost())
			}
		})
	}
	if got := balance.Choose([]balance.Candidate{with(idle(millisecond), lagging)}, want, 100*millisecond); got != -1 {
		t.Errorf("chose candidate %d, though none reaches the position", got)
	}
}

// Guards against a server that was slow for a while and is never chosen again.
func TestLatencyIsForgotten(t *testing.T) {
	var latency balance.Latency
	for step := range 20 {
		latency.Observe(time.Duration(step+1)*millisecond, time.Second)
	}
	if recent := latency.Estimate(30 * millisecond); recent < 900*millisecond {
		t.Errorf("estimate right after the samples: %v", recent)
	}
	if decayed := latency.Estimate(10 * time.Second); decayed > 30*millisecond {
		t.Errorf("estimate after 10 s: %v", decayed)
	}
}
