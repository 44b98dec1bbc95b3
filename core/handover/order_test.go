package handover_test

import (
	"testing"
	"time"

	"dotterelgw/core/handover"
	"dotterelgw/core/ids"
)

// Guards against an order to promote that takes effect after the fences of the VMs have expired.
func TestOrderTakesEffectWithinTheFence(t *testing.T) {
	window := handover.OrderWindow{BegunAt: 10 * second}
	fenceEnd := window.BegunAt + handover.FenceDuration
	for now := window.BegunAt; now < fenceEnd+second; now += second / 100 {
		if window.Allows(now) && now+handover.OrderEffectTime > fenceEnd {
			t.Fatalf("an order is allowed %v after the fence, which lasts for %v", now-window.BegunAt, handover.FenceDuration)
		}
	}
	if !window.Allows(window.BegunAt + second) {
		t.Error("no order is allowed 1 s after the fence")
	}
}

// Guards against two servers that are promoted shortly after one another, of which the second lacks what was acknowledged at the
// first, and against an old order that blocks promotions for ever.
func TestPendingOrder(t *testing.T) {
	const sent = 10 * second
	for name, test := range map[string]struct {
		order     handover.Order
		successor ids.BackendServerID
		now       time.Duration
		pending   time.Duration
		conflicts bool
	}{
		"none":                     {handover.Order{}, "b", second, 0, false},
		"same server":              {handover.Order{Server: "b", SentAt: sent}, "b", sent + second, second, false},
		"other server":             {handover.Order{Server: "c", SentAt: sent}, "b", sent + second, second, true},
		"other server, long ago":   {handover.Order{Server: "c", SentAt: sent}, "b", sent + handover.OrderEffectTime, 0, false},
		"by an earlier holder":     {handover.Order{SentAt: sent}, "b", sent + second, second, false},
		"by an earlier holder ago": {handover.Order{SentAt: sent}, "b", sent + 3*second, 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			if got := test.order.PendingFor(test.now); got != test.pending {
				t.Errorf("pending for %v, want %v", got, test.pending)
			}
			if got := test.order.ConflictsWith(test.successor, test.now); got != test.conflicts {
				t.Errorf("conflicts: %t, want %t", got, test.conflicts)
			}
		})
	}
}

// Guards against the choice of another server than the one that an earlier order may still promote, if both logs are as long.
func TestSuccessorOfPendingOrder(t *testing.T) {
	for name, test := range map[string]struct {
		members []handover.Member
		want    ids.BackendServerID
	}{
		"as long":        {[]handover.Member{follows("b", 5), follows("c", 5)}, "c"},
		"shorter":        {[]handover.Member{follows("b", 6), follows("c", 5)}, "b"},
		"did not answer": {[]handover.Member{follows("b", 5)}, "b"},
	} {
		t.Run(name, func(t *testing.T) {
			successor, _ := handover.FenceResult{Others: test.members, Ordered: "c"}.Successor()
			if successor.ID != test.want {
				t.Errorf("successor %q, want %q", successor.ID, test.want)
			}
		})
	}
}
