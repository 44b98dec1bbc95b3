package leader_test

import (
	"testing"
	"time"

	"dotterelgw/core/handover"
	"dotterelgw/core/leader"
)

// Guards against a lease that rests on servers which have restarted while an order to promote another one is pending: a restart ends the
// pause that would show the order. A VM that is cut off from the VM that replaces primaries learns of it in no other way. Also guards
// against a lease that ends although no order can be pending.
func TestAssurance(t *testing.T) {
	const known = 10 * second
	for name, test := range map[string]struct {
		act  func(tracker *leader.Tracker)
		want time.Duration
	}{
		"primary and a known replica": {func(tracker *leader.Tracker) {
			tracker.Observe("a", primary(1, 5, 12*second))
			tracker.Observe("b", replica(1, 0, 13*second))
		}, 12 * second},
		"known replica is paused": {func(tracker *leader.Tracker) {
			tracker.Observe("a", primary(1, 5, 12*second))
			tracker.Observe("b", replica(1, 2, 13*second))
		}, known},
		"primary and replica have restarted": {func(tracker *leader.Tracker) {
			restarted := servers("a2", "b2", "c")
			tracker.SetServers(11*second, restarted)
			tracker.Observe("a2", primary(1, 5, 12*second))
			tracker.Observe("b2", replica(1, 0, 12*second))
			tracker.Observe("c", replica(1, 2, 12*second))
		}, known},
		"replica has restarted under its identifier": {func(tracker *leader.Tracker) {
			restarted := servers("a", "b")
			restarted[1].StartedMS = 2
			tracker.SetServers(11*second, restarted)
			tracker.Observe("a", primary(1, 5, 12*second))
			tracker.Observe("b", replica(1, 0, 12*second))
		}, known},
		"replica has restarted, the holder tells of no order": {func(tracker *leader.Tracker) {
			tracker.SetServers(11*second, servers("a", "b2"))
			tracker.Assure(12 * second)
			tracker.Observe("a", primary(1, 5, 13*second))
			tracker.Observe("b2", replica(1, 0, 13*second))
		}, 13 * second},
		"all servers have restarted and run longer than an order is pending": {func(tracker *leader.Tracker) {
			tracker.SetServers(11*second, servers("a2", "b2"))
			tracker.Observe("a2", primary(1, 5, 11*second+handover.FenceDuration))
			tracker.Observe("b2", replica(1, 0, 11*second+handover.FenceDuration))
		}, 11*second + handover.FenceDuration},
		"all but one have restarted, one is silent": {func(tracker *leader.Tracker) {
			tracker.SetServers(11*second, servers("a2", "b2", "c"))
			tracker.Observe("a2", primary(1, 5, 30*second))
			tracker.Observe("b2", replica(1, 0, 30*second))
		}, known},
		"primary has stepped down and leads again": {func(tracker *leader.Tracker) {
			tracker.Observe("a", replica(1, 0, 11*second))
			tracker.Observe("a", primary(1, 5, 12*second))
			tracker.Observe("b", replica(1, 0, 12*second))
		}, known},
		"known replica leads the next term": {func(tracker *leader.Tracker) {
			tracker.Observe("b", primary(2, 5, 12*second))
			tracker.Observe("c", replica(2, 2, 12*second))
		}, 12 * second},
		"primary of an earlier term": {func(tracker *leader.Tracker) {
			tracker.Observe("b", primary(2, 5, 12*second))
			tracker.Observe("a", primary(1, 5, 12*second))
		}, known},
	} {
		t.Run(name, func(t *testing.T) {
			tracker := leader.NewTracker()
			tracker.SetServers(second, servers("a", "b", "c"))
			tracker.Assure(known)
			tracker.Observe("a", primary(1, 4, known))
			test.act(tracker)
			if got := tracker.AssuredAt(); got != test.want {
				t.Errorf("assured at %v, want %v", got, test.want)
			}
			if got := tracker.LeaseExpiry(); got > test.want+leader.LeaseDuration {
				t.Errorf("lease until %v, but assured at %v", got, test.want)
			}
		})
	}
}
