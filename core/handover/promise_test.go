package handover_test

import (
	"testing"
	"time"

	"dotterelgw/core/handover"
	"dotterelgw/core/ids"
	"dotterelgw/core/position"
)

// Pattern: a replica that had crashed comes back while the primary, which only some VMs reach, is replaced; the primary's
// writes are done by it from then on. Guards against acknowledging a write that the successor lacks, and against an old
// primary that counts as sound again before its successor leads.
func TestPromise(t *testing.T) {
	const term ids.Term = 2
	for name, test := range map[string]struct {
		act     func(promise *handover.Promise)
		after   time.Duration
		at      position.Position
		expired bool
		want    handover.Verdict
		binds   bool
	}{
		"no replacement":              {act: func(*handover.Promise) {}, at: at(5), want: handover.Kept},
		"a replacement is under way":  {act: func(*handover.Promise) {}, at: at(5), want: handover.Undecided, binds: true},
		"a write of the new primary":  {act: func(*handover.Promise) {}, at: position.Position{Term: 2, Log: 5}, want: handover.Kept, binds: true},
		"nobody was promoted":         {act: func(promise *handover.Promise) { promise.Release(term) }, at: at(5), want: handover.Kept},
		"an earlier one was given up": {act: func(promise *handover.Promise) { promise.Release(term - 1) }, at: at(5), want: handover.Undecided, binds: true},
		"the successor holds it":      {act: func(promise *handover.Promise) { promise.Lead(term, at(5)) }, at: at(5), want: handover.Kept},
		"the successor lacks it":      {act: func(promise *handover.Promise) { promise.Lead(term, at(4)) }, at: at(5), want: handover.Doubtful},
		"the promise ran out":         {act: func(*handover.Promise) {}, after: handover.PromiseDuration, at: at(5), want: handover.Kept},
		"it waited until the end":     {act: func(*handover.Promise) {}, after: handover.PromiseDuration, at: at(5), expired: true, want: handover.Doubtful},
		"another replacement follows": {
			act:   func(promise *handover.Promise) { promise.Lead(term, at(5)); promise.Make(0, term+1) },
			at:    position.Position{Term: 2, Log: 6},
			want:  handover.Undecided,
			binds: true,
		},
	} {
		t.Run(name, func(t *testing.T) {
			var promise handover.Promise
			if name != "no replacement" {
				promise.Make(0, term)
			}
			test.act(&promise)
			if got := promise.Judge(test.after, test.at, test.expired); got != test.want {
				t.Errorf("verdict %d, want %d", got, test.want)
			}
			if bound, until := promise.InForce(); (bound > 1 && test.after < until) != test.binds {
				t.Errorf("bound to term %d until %v, want %t", bound, until, test.binds)
			}
		})
	}
}
