package handover_test

import (
	"testing"
	"time"

	"dotterelgw/core/handover"
	"dotterelgw/core/ids"
	"dotterelgw/core/position"
)

// Guards against acknowledging a write that the successor lacks, and against relying on the old primary again before its
// successor takes over. It happens when a crashed replica comes back while the primary, which only some VMs reach, is
// replaced: the replica then confirms the old primary's writes.
func TestFence(t *testing.T) {
	const term ids.Term = 2
	for name, test := range map[string]struct {
		act       func(fence *handover.Fence)
		now       time.Duration
		at        position.Position
		expired   bool
		unassured bool
		want      handover.WriteState
		inForce   bool
	}{
		"not assured":                          {act: func(*handover.Fence) {}, unassured: true, at: at(5), want: handover.Pending, inForce: true},
		"not assured, nobody promoted":         {act: func(fence *handover.Fence) { fence.Release(term) }, unassured: true, at: at(5), want: handover.Pending},
		"not assured, fence expired":           {act: func(*handover.Fence) {}, now: handover.FenceDuration, unassured: true, at: at(5), want: handover.Pending},
		"not assured, waited for it":           {act: func(*handover.Fence) {}, now: handover.FenceDuration, expired: true, unassured: true, at: at(5), want: handover.PossiblyLost},
		"not assured, successor has it":        {act: func(fence *handover.Fence) { fence.PrimaryPromoted(term, at(5)) }, unassured: true, at: at(5), want: handover.Durable},
		"not assured, write of new term":       {act: func(*handover.Fence) {}, unassured: true, at: position.Position{Term: 2, Log: 5}, want: handover.Pending, inForce: true},
		"no replacement":                       {act: func(*handover.Fence) {}, at: at(5), want: handover.Durable},
		"replacement in progress":              {act: func(*handover.Fence) {}, at: at(5), want: handover.Pending, inForce: true},
		"write of the new primary":             {act: func(*handover.Fence) {}, at: position.Position{Term: 2, Log: 5}, want: handover.Durable, inForce: true},
		"no server promoted":                   {act: func(fence *handover.Fence) { fence.Release(term) }, at: at(5), want: handover.Durable},
		"earlier term released":                {act: func(fence *handover.Fence) { fence.Release(term - 1) }, at: at(5), want: handover.Pending, inForce: true},
		"successor has the write":              {act: func(fence *handover.Fence) { fence.PrimaryPromoted(term, at(5)) }, at: at(5), want: handover.Durable},
		"successor lacks the write":            {act: func(fence *handover.Fence) { fence.PrimaryPromoted(term, at(4)) }, at: at(5), want: handover.PossiblyLost},
		"fence expired":                        {act: func(*handover.Fence) {}, now: handover.FenceDuration, at: at(5), want: handover.Durable},
		"write waited until the fence expired": {act: func(*handover.Fence) {}, now: handover.FenceDuration, at: at(5), expired: true, want: handover.PossiblyLost},
		"next replacement in progress": {
			act:     func(fence *handover.Fence) { fence.PrimaryPromoted(term, at(5)); fence.Renew(0, term+1) },
			at:      position.Position{Term: 2, Log: 6},
			want:    handover.Pending,
			inForce: true,
		},
	} {
		t.Run(name, func(t *testing.T) {
			var fence handover.Fence
			if name != "no replacement" {
				fence.Renew(0, term)
			}
			test.act(&fence)
			assuredUntil := test.now + time.Second
			if test.unassured {
				assuredUntil = test.now
			}
			if got := fence.Durability(test.now, test.at, test.expired, assuredUntil); got != test.want {
				t.Errorf("verdict %d, want %d", got, test.want)
			}
			if minTerm, until := fence.MinTerm(); (minTerm > 1 && test.now < until) != test.inForce {
				t.Errorf("minimum term %d until %v, want in force: %t", minTerm, until, test.inForce)
			}
		})
	}
}
