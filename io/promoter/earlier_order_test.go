package promoter

import (
	"io"
	"testing"
	"time"

	"dotterelgw/core/config"
	"dotterelgw/core/ids"
	"dotterelgw/io/clock"
	"dotterelgw/io/observe"
)

// Guards against two orders to promote that are pending at once, by this VM and by the holder of the duty before it, and against a wait for an
// order that nobody can have sent.
func TestEarlierOrderPending(t *testing.T) {
	const token = 7
	eventLog := observe.NewEventLog(io.Discard, "vm1")
	t.Cleanup(func() { eventLog.Close(time.Second) })
	for name, test := range map[string]struct {
		stored   ids.Term
		unloaded bool
		fenced   bool
		takenFor time.Duration
		waits    bool
	}{
		"no fence stored":                 {},
		"fence of an earlier holder":      {stored: 2, waits: true},
		"taken long ago":                  {stored: 2, takenFor: time.Minute},
		"this VM has fenced the primary":  {stored: 2, fenced: true},
		"stored fences not read yet":      {unloaded: true, waits: true},
		"not read, fenced by this VM now": {unloaded: true, fenced: true},
	} {
		t.Run(name, func(t *testing.T) {
			store := &membersStore{entries: make(map[string]config.Entry), era: 1}
			if test.stored > 0 {
				set(t, newStoredFences(store, eventLog), test.stored)
			}
			promoter := &Promoter{fences: newStoredFences(store, eventLog), duty: &duty{}}
			promoter.duty.takenAt.Store(int64(clock.Now() - test.takenFor))
			if !test.unloaded {
				if err := promoter.fences.load(t.Context(), token); err != nil {
					t.Fatal(err)
				}
			}
			pending := promoter.earlierOrderPending(token, "g", &groupWatch{fenced: test.fenced})
			if waits := pending > 0; waits != test.waits {
				t.Errorf("waits for %v, want a wait: %t", pending, test.waits)
			}
		})
	}
}
